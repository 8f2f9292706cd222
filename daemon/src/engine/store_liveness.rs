//! Detects within a bound that the platform's store does not respond, by liveness checks.
//!
//! A check is always in progress, so a store that stops responding, or the loss of all
//! connections to it, leaves a check without an answer. The store may answer a check with
//! stale data, which costs a tenth of another call.
//!
//! Only instances that read current data from the store check it; the others get urgent
//! changes from them.

use std::sync::Arc;
use std::time::Duration;

use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::store_timeouts::CURRENCY_CHECK_INTERVAL;
use chervilwharf_lib::store_timeouts::STORE_RETRY_INTERVAL;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::time::Instant;

use crate::engine::clock::now;
use crate::engine::directory::Currency;
use crate::engine::directory::Directory;
use crate::engine::directory::DirectoryError;
use crate::engine::directory::LivenessReply;
use crate::engine::directory::RecordKind;
use crate::engine::directory::Revision;
use crate::engine::event_log;
use crate::engine::record_watch::StoreState;
use crate::engine::shared::Engine;
use crate::engine::store_availability::unanswered_event;

/// The kind of records whose newest change a check returns. Changes of the configuration
/// are the most urgent ones.
const KIND: RecordKind = RecordKind::Configuration;

/// Time in which a watch reports a change after a liveness reply did, although the data
/// of the reply may be seconds old.
const WATCH_DELAY_LIMIT: Duration = Duration::from_millis(250);

/// Pause after a reply that contains long changes. The store answers every check with them
/// at once until the watch has received them.
const UNREAD_CHANGES_PAUSE: Duration = Duration::from_millis(500);

/// Limit of concurrent checks of an unresponsive store.
const CONCURRENT_CHECKS: usize = 3;

/// Pause between two checks of a store that refuses them.
const REFUSED_PAUSE: Duration = Duration::from_millis(600);

/// Checks the store and updates `state`. Never returns.
pub async fn monitor_store(engine: Arc<Engine>, directory: Arc<dyn Directory>, state: StoreState) {
    let mut monitor = StoreMonitor {
        directory,
        state,
        engine: engine.clone(),
        newest_change: None,
        has_checked: false,
    };
    loop {
        if monitor.state.availability.is_unavailable() {
            monitor.state.availability.set_needs_current(false);
            monitor.wait_until_available().await;
            continue;
        }
        let needs_current = engine.store_read_currency() == Currency::Fresh;
        if monitor.state.availability.set_needs_current(needs_current) {
            let event = Event::new(EventKind::StoreCurrency).with("current", needs_current);
            event_log::emit(&event.with_ms("read_ms_ago", engine.store_reading_age()));
        }
        let watched = monitor.state.availability.watched_revision(KIND);
        match watched {
            Some(watched) if needs_current => {
                if !std::mem::replace(&mut monitor.has_checked, true) {
                    // The first watch follows the first listing, which was a reading. Others
                    // would hear of the first check too late.
                    engine.note_store_reading(now());
                }
                // The store may answer checks and refuse the reads of current data.
                if monitor.check(watched).await && !engine.has_servers_outage() {
                    engine.note_store_reading(now());
                }
            }
            _ => tokio::time::sleep(CURRENCY_CHECK_INTERVAL).await,
        }
    }
}

struct StoreMonitor {
    directory: Arc<dyn Directory>,
    state: StoreState,
    engine: Arc<Engine>,
    /// The newest change that a liveness reply contained.
    newest_change: Option<Revision>,
    /// Whether a check has begun.
    has_checked: bool,
}

impl StoreMonitor {
    /// Checks the store once, and marks it as unavailable if it gives no usable answer.
    /// Returns whether it answered.
    async fn check(&mut self, watched: Revision) -> bool {
        let checked_at = Instant::now();
        let after = self.newest_change.map_or(watched, |newest| newest.max(watched));
        let timeouts = self.engine.store_timeouts();
        let check = self.directory.check_liveness(KIND, after, timeouts.liveness_wait);
        let answer = tokio::time::timeout(timeouts.detected_after(), check).await;
        match answer.unwrap_or(Err(DirectoryError::TimedOut)) {
            Ok(reply) if reply.has_unread_changes => {
                self.state.era.note(reply.era, "a liveness reply");
                tokio::time::sleep(UNREAD_CHANGES_PAUSE).await;
            }
            Ok(reply) => self.apply(reply),
            // Data that is seconds old does not contain the revision yet.
            Err(DirectoryError::HistoryGone) => {
                tokio::time::sleep_until(checked_at + timeouts.liveness_wait).await;
            }
            Err(error) => {
                event_log::emit(&unanswered_event(KIND, "sign", checked_at.elapsed(), error));
                self.state.availability.mark_unavailable();
                return false;
            }
        }
        true
    }

    /// Applies a reply. If the watch does not report in time the change that the reply
    /// names, its connection may be broken: all calls are aborted and repeated.
    fn apply(&mut self, reply: LivenessReply) {
        self.state.era.note(reply.era, "a liveness reply");
        let Some(changed_at) = reply.newest_change else {
            return;
        };
        self.newest_change = Some(changed_at);
        let availability = self.state.availability.clone();
        tokio::spawn(async move {
            tokio::time::sleep(WATCH_DELAY_LIMIT).await;
            if availability.watched_revision(KIND).is_some_and(|watched| watched < changed_at) {
                availability.abort_calls();
            }
        });
    }

    /// Checks an unresponsive store until it answers. The store may never answer the
    /// checks that it received while it was unresponsive, so further ones are sent while
    /// these are in progress.
    async fn wait_until_available(&self) {
        let after = self.state.availability.watched_revision(KIND).unwrap_or_default();
        let mut checks = FuturesUnordered::new();
        let mut next_check_at = Instant::now();
        loop {
            tokio::select! {
                Some(answer) = checks.next() => match answer {
                    Ok(_) | Err(DirectoryError::HistoryGone) => break,
                    Err(DirectoryError::Refused(_)) => {
                        next_check_at = Instant::now() + REFUSED_PAUSE;
                    }
                    Err(_) => {}
                },
                () = tokio::time::sleep_until(next_check_at),
                    if checks.len() < CONCURRENT_CHECKS =>
                {
                    checks.push(self.directory.check_liveness(KIND, after, Duration::ZERO));
                    next_check_at += STORE_RETRY_INTERVAL;
                }
            }
        }
        self.state.availability.mark_available();
    }
}
