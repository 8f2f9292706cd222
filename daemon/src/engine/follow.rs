//! Follows what the platform keeps, through outages and lost history.

use std::sync::Arc;
use std::time::Duration;

use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::time::Instant;

use crate::engine::directory::Change;
use crate::engine::directory::Changes;
use crate::engine::directory::Currency;
use crate::engine::directory::Directory;
use crate::engine::directory::DirectoryError;
use crate::engine::directory::Listing;
use crate::engine::directory::RecordKind;
use crate::engine::directory::Revision;
use crate::engine::event_log;
use crate::engine::store_availability::StoreAvailability;
use crate::engine::store_availability::unanswered;
use crate::engine::store_era::StoreEra;
use crate::engine::store_gate::StoreGate;

/// Takes over what a kind of records says.
pub trait Follower: Send {
    /// The kind it follows.
    fn kind(&self) -> RecordKind;

    /// These are all records.
    fn replace(&mut self, listing: Listing);

    /// These records changed, up to a revision.
    fn change(&mut self, revision: Revision, changes: Vec<Change>);

    /// Some time has passed without a change.
    fn tick(&mut self) {}

    /// Pause after a change before the next one is waited for.
    fn pause_after_change(&self) -> Duration {
        change_pause(self.currency())
    }

    /// Pause between the first list of all and the first watch.
    fn pause_after_first_list(&self) -> Duration {
        Duration::ZERO
    }

    /// The store began or ceased to fail.
    fn outage(&mut self, _lasting: bool) {}

    /// How current the records have to be.
    fn currency(&self) -> Currency {
        Currency::Fresh
    }

    /// Longest time until the next tick is due.
    fn wait_limit(&self) -> Duration {
        watch_wait(self.currency())
    }
}

/// Longest wait of one watch.
///
/// Signs of life tell of a store that is silent. Where only the connection of a watch
/// is, and no sign tells what it missed, the end of the wait does.
pub const WATCH_WAIT: Duration = Duration::from_millis(4_500);

/// Wait of a watch after a call without an answer. A long one could be swallowed as
/// well, and would tell nothing for all its time.
const PROVING_WAIT: Duration = Duration::from_millis(100);

/// Why a watch under way is not waited for any more.
const GIVEN_UP: &str = "given up, as the store gives no sign of life";

/// How long a follower relies on signs of life alone while the store is lost.
const SIGNS_LIMIT: Duration = Duration::from_secs(5);

/// Longest wait where a late answer costs little: instances and duties change
/// seldom, and heartbeats tell of what is newer. Each call is paid for.
const LONG_WATCH_WAIT: Duration = Duration::from_secs(15);

/// Longest wait of a watch, by how current the records have to be. Who reads
/// old answers hears from the relays, not from the watch, what matters soon.
#[must_use]
pub fn watch_wait(currency: Currency) -> Duration {
    match currency {
        Currency::Fresh => WATCH_WAIT,
        Currency::MayBeOld => LONG_WATCH_WAIT,
    }
}

/// Pause after a change before the next one is waited for, by how current the
/// records have to be. When many servers or instances register, each change
/// would otherwise end a watch of every instance: with 74 of them 1,700 calls
/// for servers and 5,500 for instances.
#[must_use]
pub fn change_pause(currency: Currency) -> Duration {
    match currency {
        Currency::Fresh => Duration::ZERO,
        Currency::MayBeOld => OLD_CHANGE_PAUSE,
    }
}

/// Two heartbeats: what matters sooner has come from others by then.
const OLD_CHANGE_PAUSE: Duration = Duration::from_secs(1);

/// By then a starting instance has listed the others (4 ms, 100 ms from a slow
/// store) and knows whether it is a relay. Without this pause all of them
/// began with a watch of the present state, at ten times the price.
pub const PEER_LISTING_TIME: Duration = Duration::from_secs(1);

/// First and longest pause after a failed call. The longest leaves five tries
/// within the 3 s in which a configuration has to be in force.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_millis(600);

/// Longest pause of those who learn what is newer from others: refused calls
/// are paid for as well, and 74 instances would make 500 a second.
const LONGEST_PAUSE_OLD: Duration = Duration::from_millis(2_500);

/// The first call for the configuration is made again after this time, and more
/// than the answer of a slow store takes (250 ms).
const CALLED_AGAIN_AFTER: Duration = Duration::from_millis(400);

/// First calls of one kind that are under way together.
const FIRST_CALLS_AT_ONCE: usize = 3;

/// Answers of the store that come within this time are taken to be as late as
/// each other.
pub const ANSWERED_TOGETHER: Duration = Duration::from_millis(100);

/// What the followers of an instance know of the store together.
#[derive(Clone, Default)]
pub struct StoreState {
    /// Who tries a store that refuses.
    pub gate: Arc<StoreGate>,
    /// The latest era.
    pub era: Arc<StoreEra>,
    /// Whether the store answers.
    pub contact: Arc<StoreAvailability>,
}

/// Follows a kind of records for ever.
pub async fn follow(directory: Arc<dyn Directory>, state: StoreState, mut follower: impl Follower) {
    let StoreState { gate, era, contact } = state;
    let kind = follower.kind();
    let mut pause = FIRST_PAUSE;
    let mut failing = false;
    let mut revision: Option<Revision> = None;
    // What an old answer shows may be forgotten already: a list of it would
    // end in the same error, thousands of times a second.
    let mut forgotten = false;
    let mut listed = false;
    loop {
        let losses = contact.losses();
        let result = match revision {
            None => {
                let currency = if forgotten { Currency::Fresh } else { follower.currency() };
                let listing = if listed {
                    directory.list(kind, currency).await
                } else {
                    first_list(&*directory, &gate, kind, currency).await
                };
                listing.and_then(|listing| take_listing(&mut follower, &era, listing))
            }
            Some(after) => {
                let wait = if failing { PROVING_WAIT } else { follower.wait_limit() };
                let called_at = Instant::now();
                contact.note_followed(kind, after);
                let changes = tokio::select! {
                    changes = directory.watch(kind, after, wait, follower.currency()) => changes,
                    () = era.wait_for_later(after.era) => Err(DirectoryError::HistoryGone),
                    () = contact.wait_for_loss(losses) => {
                        event_log::emit(&unanswered(kind, "watch", called_at.elapsed(), GIVEN_UP));
                        Err(DirectoryError::Silent)
                    }
                };
                match changes {
                    Ok(changes) => take_changes(&mut follower, after, changes).await,
                    Err(error) => Err(error),
                }
            }
        };
        match result {
            Ok(next) => {
                gate.answered();
                if std::mem::take(&mut failing) {
                    report_regained(kind, next);
                    follower.outage(false);
                }
                pause = FIRST_PAUSE;
                forgotten &= revision.is_none();
                revision = Some(next);
                if !listed {
                    listed = true;
                    tokio::time::sleep(follower.pause_after_first_list()).await;
                }
            }
            Err(DirectoryError::HistoryGone) => {
                let event = Event::new(EventKind::StoreHistoryGone).with("kind", kind);
                event_log::emit(&event.with_some("since", revision));
                if forgotten {
                    tokio::time::sleep(FIRST_PAUSE).await;
                }
                forgotten = true;
                revision = None;
            }
            Err(error) => {
                if !std::mem::replace(&mut failing, true) {
                    let event = Event::new(EventKind::StoreLost).with("kind", kind);
                    event_log::emit(&event.with("reason", error).with_some("revision", revision));
                    follower.outage(true);
                }
                if contact.losses() > losses {
                    let regained = contact.wait_until_regained();
                    let regained = tokio::time::timeout(SIGNS_LIMIT, regained).await.is_ok();
                    // A sign proves what a short watch would, at a tenth of its price.
                    if let (true, Some(revision)) = (regained, revision) {
                        failing = false;
                        report_regained(kind, revision);
                        follower.outage(false);
                    }
                    follower.tick();
                    continue;
                }
                // Who reads the present state, for others as well, tries by itself.
                // Until something is known only the configuration is tried.
                let longest = match (follower.currency(), listed) {
                    (Currency::Fresh, true) => {
                        tokio::time::sleep(pause).await;
                        LONGEST_PAUSE
                    }
                    (Currency::Fresh, false) if kind == RecordKind::Configuration => {
                        tokio::time::sleep(FIRST_PAUSE).await;
                        FIRST_PAUSE
                    }
                    _ => {
                        gate.wait(kind, pause).await;
                        LONGEST_PAUSE_OLD
                    }
                };
                pause = (pause * 2).min(longest);
                follower.tick();
            }
        }
    }
}

fn report_regained(kind: RecordKind, revision: Revision) {
    let event = Event::new(EventKind::StoreRegained).with("kind", kind);
    event_log::emit(&event.with("revision", revision));
}

/// The first list, without which an instance serves nobody.
///
/// A store that goes silent never answers what it received meanwhile. The call
/// for the configuration is made again while an earlier one is under way, and all
/// others once the store answers it: with calls that were waited for to their end
/// 74 instances, killed during an outage, served nobody for 0.9 s after it.
async fn first_list(
    directory: &dyn Directory,
    gate: &StoreGate,
    kind: RecordKind,
    currency: Currency,
) -> Result<Listing, DirectoryError> {
    let mut calls = FuturesUnordered::new();
    loop {
        calls.push(directory.list(kind, currency));
        let enough = calls.len() >= FIRST_CALLS_AT_ONCE;
        let again = async {
            if enough {
                // A long list over a slow link takes as long as a silent store:
                // called without an end, each call would make the others slower.
                std::future::pending::<()>().await;
            } else if kind == RecordKind::Configuration {
                tokio::time::sleep(CALLED_AGAIN_AFTER).await;
            } else {
                gate.answered_after(ANSWERED_TOGETHER).await;
            }
        };
        tokio::select! {
            Some(result) = calls.next() => return result,
            () = again => {}
        }
    }
}

/// Takes all records over, unless the answer is older than the store's return from
/// a copy.
fn take_listing(
    follower: &mut impl Follower,
    era: &StoreEra,
    listing: Listing,
) -> Result<Revision, DirectoryError> {
    let revision = listing.revision;
    era.note(revision.era, follower.kind());
    if revision.era < era.latest() {
        return Err(DirectoryError::HistoryGone);
    }
    follower.replace(listing);
    Ok(revision)
}

/// Takes changes over that came after a revision, unless they are of another history:
/// what changed since the same number of another one is no change of what this instance
/// knows.
async fn take_changes(
    follower: &mut impl Follower,
    after: Revision,
    changes: Changes,
) -> Result<Revision, DirectoryError> {
    if changes.revision.era != after.era {
        return Err(DirectoryError::HistoryGone);
    }
    if !changes.changes.is_empty() {
        follower.change(changes.revision, changes.changes);
        tokio::time::sleep(follower.pause_after_change()).await;
    }
    follower.tick();
    Ok(changes.revision)
}
