//! Renews the leases under which this instance uses the primaries of its groups, and
//! grants leases to other instances.
//!
//! An instance uses a primary only while it holds a lease on the primary's term. Half of
//! the voters of the group grant a lease in their answers to heartbeats; a read of the
//! platform's store that shows no order to replace the primary grants a shorter one. To
//! retire a term is to promise that it is neither used nor granted any more, which a
//! replacement of the primary requires. [`PrimaryLease`] has the rules.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use chervilwharf_lib::engine_protos::GivenLease;
use chervilwharf_lib::engine_protos::GroupDemand;
use chervilwharf_lib::engine_protos::PrimaryNews;
use chervilwharf_lib::engine_protos::TermEnd;
use chervilwharf_lib::engine_protos::TermEndReply;
use chervilwharf_lib::engine_protos::TermGrant;
use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::id::GroupId;
use chervilwharf_lib::id::InstanceId;
use chervilwharf_lib::id::Term;
use chervilwharf_lib::keeper_lease::ACCOUNT_SHARDS;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::primary_lease::Objection;
use chervilwharf_lib::primary_lease::PrimaryLease;
use chervilwharf_lib::primary_lease::Promise;
use chervilwharf_lib::primary_lease::RESTART_PROMISE_WINDOW;
use chervilwharf_lib::primary_lease::RetireRequest;
use chervilwharf_lib::primary_lease::StoredLease;
use chervilwharf_lib::revision::Era;
use futures::future::try_join_all;

use crate::engine::clock::now;
use crate::engine::directory::Currency;
use crate::engine::directory::Directory;
use crate::engine::directory::DirectoryError;
use crate::engine::directory::Entry;
use crate::engine::directory::Record;
use crate::engine::directory::RecordKind;
use crate::engine::event_log;
use crate::engine::record_watch::ANSWER_TIME_SPREAD;
use crate::engine::records;
use crate::engine::shard::Shard;
use crate::engine::shared::Engine;
use crate::engine::voter_control::decode_voters;
use crate::engine::voter_control::encode_voters;
use crate::engine::voter_control::later_voters;

/// Number of groups up to which their duties are read one by one.
///
/// When half of a large fleet had lost power, leases ended at most instances, and each read the
/// duties of all groups twice a second: 0.25 MB each time at 1,000 groups, four times what the
/// link of the store carries.
const MAX_ORDERS_READ_SINGLY: usize = 4;

/// Pause between two attempts to read the orders after a start. The platform charges for
/// each attempt.
const ORDERS_RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Time that the first attempt has for its answer before an answer of the store to another
/// call aborts it. A slow store answers within 250 ms.
const FIRST_READ_WAIT: Duration = Duration::from_millis(300);

/// A lease that ends within this time is renewed by a read of the store: too few voters
/// answered the last round of heartbeats, which are sent every 500 ms.
const RENEWAL_MARGIN: Duration = Duration::from_millis(700);

/// Time for the answers to a round of heartbeats before the store is read: many times the
/// round-trip time (2 to 4 ms).
const HEARTBEAT_ANSWER_WAIT: Duration = Duration::from_millis(60);

/// How long one request pauses new work at a primary before its planned replacement. The
/// replacement repeats the request every few milliseconds.
const PAUSE: Duration = Duration::from_millis(250);

/// A primary counts as reachable for this long after its last answer.
const REACHED_WITHIN: Duration = Duration::from_millis(400);

/// How long after a restore of the store a duty can be taken without the retired terms of
/// a majority of the voters. By then the orders for which the missing voters promised have
/// been carried out or never will be.
const RESTORE_SETTLED_AFTER: Duration = Duration::from_secs(8);

/// Reads the promotion orders in the store after a start, until this instance may vote on
/// all groups. It votes on a group earlier if most voters report what they grant.
pub async fn load_orders(engine: Arc<Engine>, directory: Arc<dyn Directory>) {
    let mut failed = false;
    loop {
        let result = tokio::select! {
            result = read_orders(&engine, &*directory) => result,
            // The store never answers a call that it received during an outage. When all
            // instances were killed during an outage and waited for such calls, no
            // instance could use a primary for a second after its end.
            () = wait_for_another_store_answer(&engine, failed) => continue,
        };
        let Err(error) = result else {
            if engine.start_voting_where_orders_are_known() {
                break;
            }
            tokio::time::sleep(ORDERS_RETRY_PAUSE).await;
            continue;
        };
        if !failed {
            event_log::emit(&Event::new(EventKind::OrdersUnknown).with("reason", error));
        }
        failed = true;
        tokio::select! {
            () = tokio::time::sleep(ORDERS_RETRY_PAUSE) => {}
            () = engine.store_answered().notified() => {}
        }
    }
    engine.start_voting();
}

/// Waits until the store answers another call, and `ANSWER_TIME_SPREAD` longer.
async fn wait_for_another_store_answer(engine: &Engine, failed: bool) {
    if !failed {
        tokio::time::sleep(FIRST_READ_WAIT).await;
    }
    engine.store_answered().notified().await;
    tokio::time::sleep(ANSWER_TIME_SPREAD).await;
}

/// Reads the present duties, which grants a lease on each primary that no order is to
/// replace.
async fn read_orders(engine: &Engine, directory: &dyn Directory) -> Result<(), DirectoryError> {
    let asked_at = now();
    let listing = directory.list(RecordKind::Duties, Currency::Fresh).await?;
    let read_at = listing.revision;
    let era = read_at.era;
    engine.note_store_era(era, RecordKind::Duties);
    let mut read: HashMap<GroupId, StoredLease> = HashMap::new();
    let mut keeper_voters = HashMap::new();
    for Entry { revision, record, .. } in listing.entries {
        let record = match record {
            Record::Duty(record) => record,
            Record::KeeperVoters(shard, voters) => {
                keeper_voters.insert(shard, (revision, voters));
                continue;
            }
            _ => continue,
        };
        read.insert(record.group.clone(), record.stored_lease());
        // Creates the group, in case the configuration arrives later.
        let _shard = engine.shard(&record.group);
        engine.with_duties(|duties| duties.apply_record(revision, record));
    }
    engine.note_duties_read(read_at);
    for shard in 0..ACCOUNT_SHARDS {
        engine.keeper_voters_read(shard, asked_at, era, keeper_voters.remove(&shard));
    }
    let latest = engine.store_era().latest();
    for shard in engine.shards() {
        let stored = read.remove(shard.id()).unwrap_or_default();
        apply_store_grant(&shard, latest, asked_at, era, &stored);
    }
    Ok(())
}

/// Renews leases by a read of the store if too few voters answered the last heartbeats. So
/// an instance that reaches the store, and not the other instances, continues to serve.
pub async fn renew_leases_from_store(engine: Arc<Engine>, directory: Arc<dyn Directory>) {
    tokio::time::sleep(HEARTBEAT_ANSWER_WAIT).await;
    let at = now();
    // Whether the lease ends soon, and a read of the store can renew it.
    let needs_read = |shard: &Arc<Shard>| {
        let takes_store_grants = shard.with_group(|group| {
            let term = group.confirmed_leader()?.term;
            let lease = group.primary_lease();
            let ends_soon = lease.lease_end(term).is_none_or(|end| end < at + RENEWAL_MARGIN);
            (ends_soon && lease.retired() < term).then(|| lease.takes_store_grants())
        });
        takes_store_grants.is_some_and(|takes| takes || engine.admits_readers(shard.id()))
    };
    let used = engine.used_shards();
    let ending: Vec<_> = used.iter().filter(|shard| needs_read(shard)).collect();
    if ending.is_empty() {
        return;
    }
    let is_many = ending.len() > MAX_ORDERS_READ_SINGLY;
    // Voters grant the leases soon to instances that have just restarted, and the store sends all
    // of them their records meanwhile.
    if is_many && !engine.has_run_for(RESTART_PROMISE_WINDOW) {
        return;
    }
    let result = if is_many {
        read_orders(&engine, &*directory).await
    } else {
        read_orders_singly(&engine, &*directory, &ending).await
    };
    let event = Event::new(EventKind::RightFromStore).with_count("groups", ending.len());
    event_log::emit(&event.with_some("failed", result.err()));
}

/// Reads the present duties of a few groups, which grants a lease on the primary of each that
/// no order is to replace. Reads all duties if one of the groups has none that can be decoded.
async fn read_orders_singly(
    engine: &Engine,
    directory: &dyn Directory,
    shards: &[&Arc<Shard>],
) -> Result<(), DirectoryError> {
    let asked_at = now();
    let read = shards.iter().map(|shard| directory.get(RecordKind::Duties, shard.id()));
    let entries = match try_join_all(read).await {
        Ok(entries) => entries.into_iter().collect::<Option<Vec<_>>>(),
        Err(DirectoryError::RecordUnreadable(_)) => None,
        Err(error) => return Err(error),
    };
    let Some(entries) = entries else {
        return read_orders(engine, directory).await;
    };
    for (shard, Entry { revision, record, .. }) in shards.iter().zip(entries) {
        let Record::Duty(record) = record else {
            continue;
        };
        engine.note_store_era(revision.era, RecordKind::Duties);
        let stored = record.stored_lease();
        engine.with_duties(|duties| duties.apply_record(revision, record));
        let latest = engine.store_era().latest();
        apply_store_grant(shard, latest, asked_at, revision.era, &stored);
    }
    Ok(())
}

/// Applies a read of a group's duty, requested at `asked_at` and answered in `era`; `latest` is the
/// latest known era.
fn apply_store_grant(
    shard: &Arc<Shard>,
    latest: Era,
    asked_at: Moment,
    era: Era,
    stored: &StoredLease,
) {
    shard.change_lease(|primary_lease| {
        primary_lease.note_era(latest);
        primary_lease.adopt_ended_term(stored.retired);
        primary_lease.record_store_grant(now(), asked_at, era, stored);
    });
}

impl Engine {
    /// Lets this instance vote on all groups from now on.
    fn start_voting(&self) {
        self.set_orders_known();
        for shard in self.shards() {
            shard.change_lease(PrimaryLease::orders_known);
        }
        self.lease_renewal().notify_one();
    }

    /// Lets this instance vote on the groups whose orders are known. Returns whether these
    /// are all groups.
    ///
    /// A store that was restored from a backup can lack an order for which an earlier
    /// incarnation of this instance promised. It reflects that order once an instance has
    /// taken the duty with the retired terms of a majority of the voters. The order does not
    /// matter any more when this instance has run for [`RESTART_PROMISE_WINDOW`].
    fn start_voting_where_orders_are_known(&self) -> bool {
        let era = self.store_era().latest();
        if era == 0 || self.has_run_for(RESTART_PROMISE_WINDOW) {
            return true;
        }
        let shards = self.shards();
        let is_known = |shard: &&Arc<Shard>| {
            !self.with_duties(|duties| duties.may_lack_order(shard.id(), era))
        };
        let known: Vec<_> = shards.iter().filter(is_known).collect();
        for shard in &known {
            shard.change_lease(PrimaryLease::orders_known);
        }
        known.len() == shards.len() && self.catalog().version > 0
    }

    /// The highest retired term of a group, as a majority of the voters reported it since
    /// they know the latest era of the store. Once `RESTORE_SETTLED_AFTER` has passed since
    /// this instance learned that era, its own value suffices. `None` before that.
    #[must_use]
    pub fn retired_by_majority(&self, group: &GroupId) -> Option<Term> {
        let shard = self.shard(group);
        let settled = self.store_era().is_known_for(now(), RESTORE_SETTLED_AFTER);
        let latest = self.store_era().latest();
        shard.with_group(|group| {
            let primary_lease = group.primary_lease_mut();
            primary_lease.note_era(latest);
            primary_lease.retired_by_majority().or_else(|| settled.then(|| primary_lease.retired()))
        })
    }

    /// The leases that this instance grants another one, `to`, on the groups that it
    /// demands at `at`.
    #[must_use]
    pub fn grants(&self, at: Moment, to: &str, demands: &[GroupDemand]) -> Vec<TermGrant> {
        let to: InstanceId = to.into();
        let catalog = self.catalog();
        let known = demands.iter().filter(|demand| catalog.groups.contains_key(&*demand.group));
        let grants = known.map(|demand| {
            let shard = self.shard(&demand.group.as_str().into());
            self.adopt_stored_voters(&shard);
            shard.with_group(|group| {
                let primary_lease = group.primary_lease_mut();
                let version = demand.voters_version;
                let retired = primary_lease.grant(at, &to, demand.term, version);
                let confirmed = primary_lease.voters_confirmed_at();
                TermGrant {
                    group: demand.group.clone(),
                    retired_term: retired.unwrap_or_default(),
                    refused: retired.is_none(),
                    voters_version: primary_lease.voters().version,
                    later_voters: later_voters(primary_lease.voters(), version),
                    voters_confirmed_ms_ago: confirmed.map(|confirmed_at| {
                        records::milliseconds_above(at.saturating_sub(confirmed_at))
                    }),
                }
            })
        });
        grants.collect()
    }

    /// Applies the grants in a voter's answer to a heartbeat that was sent at `asked_at`.
    /// `era` is the latest era of the store that the voter knows. Returns the groups whose
    /// voters the sender does not know yet.
    pub fn take_grants(
        &self,
        asked_at: Moment,
        voter: &InstanceId,
        grants: &[TermGrant],
        era: Era,
    ) -> Vec<Arc<Shard>> {
        let mut outdated = Vec::new();
        for grant in grants {
            let shard = self.shard(&grant.group.as_str().into());
            if let Some(later) = &grant.later_voters {
                self.adopt_voters(&shard, &decode_voters(later.clone()));
            } else if !grant.refused {
                shard.change_lease(|primary_lease| {
                    apply_grant(primary_lease, asked_at, voter, grant, era);
                });
            } else if grant.voters_version < self.voters_version(&shard) {
                outdated.push(shard);
            }
        }
        outdated
    }

    /// Handles the request of an instance that replaces a primary: pauses new work, or
    /// promises not to use the term of the primary any more. There is no promise for an
    /// unplanned replacement of a primary that this instance reaches.
    #[must_use]
    pub fn end_term(&self, end: &TermEnd) -> TermEndReply {
        let group_id: GroupId = end.group.as_str().into();
        let shard = self.shard(&group_id);
        let at = now();
        let token = self.with_duties(|duties| duties.token(&group_id));
        let running = shard.with_group(|group| group.server(&end.server).map_or(0, |v| v.running));
        let reply = TermEndReply {
            running: u64::try_from(running).unwrap_or(u64::MAX),
            ..TermEndReply::default()
        };
        if end.only_pause {
            shard.with_group(|group| group.primary_lease_mut().pause(at + PAUSE));
            return reply;
        }
        if !end.planned && shard.reaches(at, &end.server) {
            return reply;
        }
        let retire_request = RetireRequest {
            holder: end.holder.as_str().into(),
            life: end.life,
            term: end.term,
            token: end.token,
            successor: end.successor.as_str().into(),
            withdrawn: end.withdrawn_token,
            written_era: end.written_era,
            voters: end.voters.clone().map(decode_voters).unwrap_or_default(),
        };
        self.adopt_stored_voters(&shard);
        self.adopt_voters(&shard, &retire_request.voters);
        self.note_store_era(end.written_era.unwrap_or_default(), "a replacement");
        let latest = self.store_era().latest();
        let result = shard.with_group(|group| {
            group.primary_lease_mut().note_era(latest);
            group.primary_lease_mut().observe_token(token);
            group.retire(at, &retire_request)
        });
        self.watches().expect_replacement(&group_id, at);
        let event = Event::new(EventKind::TermEnded).with("group", &group_id);
        let event = event.with("term", end.term).with("token", end.token);
        match result {
            Ok(promise) => {
                self.with_duties(|duties| duties.note_promised(&group_id, &retire_request));
                event_log::emit(&event.with("outcome", "promised"));
                TermEndReply { promised: true, given: encode_grants(promise), ..reply }
            }
            Err(objection) => {
                event_log::emit(&event.with("outcome", format_args!("{objection:?}")));
                encode_objection(objection, reply)
            }
        }
    }

    /// Handles the outcome of a replacement: its order, for which this instance may have
    /// made a promise, was carried out or never will be.
    pub fn apply_primary_news(&self, news: &PrimaryNews) {
        let shard = self.shard(&news.group.as_str().into());
        let id = news.server.as_str().into();
        if news.server.is_empty() {
            self.with_duties(|duties| duties.discard_promised(shard.id(), news.token));
        }
        let changed = shard.with_group(|group| {
            group.primary_lease_mut().record_order_ended(news.token);
            group.observe_reported_leader(now(), &id, news.term)
        });
        if changed {
            let event = Event::new(EventKind::LeaderFound).with("group", shard.id());
            let event = event.with("server", &id).with("term", news.term);
            event_log::emit(&event.with("source", "replacement"));
            shard.request_primary_check();
            shard.assign_connections();
        }
    }
}

/// Applies a grant of a voter that was requested at `asked_at`.
fn apply_grant(
    primary_lease: &mut PrimaryLease,
    asked_at: Moment,
    voter: &InstanceId,
    grant: &TermGrant,
    era: Era,
) {
    let version = grant.voters_version;
    primary_lease.granted(voter, asked_at, grant.retired_term, era, version);
    let confirmed_ago = grant.voters_confirmed_ms_ago.map(Duration::from_millis);
    // The answer was written after the request, so that the time is never too late.
    if let Some(confirmed_at) = confirmed_ago.and_then(|ago| asked_at.checked_sub(ago)) {
        primary_lease.confirm_voters(version, confirmed_at);
    }
}

impl Shard {
    /// Changes the leases on the primary, and resumes waiting requests if the primary
    /// becomes usable by that.
    pub fn change_lease(self: &Arc<Self>, change: impl FnOnce(&mut PrimaryLease)) {
        let becomes_usable = self.with_group(|group| {
            let had = group.usable_leader(now()).is_some();
            change(group.primary_lease_mut());
            !had && group.usable_leader(now()).is_some()
        });
        if becomes_usable {
            self.primary_lease_changed();
        }
    }

    /// Whether a server answered this instance directly within `REACHED_WITHIN`, and no
    /// request to it has failed since.
    #[must_use]
    pub fn reaches(&self, at: Moment, server: &str) -> bool {
        let direct = !self.has_detour(server);
        direct
            && self.with_group(|group| {
                let view = group.server(server);
                view.is_some_and(|view| {
                    view.failures == 0 && view.answered_at + REACHED_WITHIN > at
                })
            })
    }
}

fn encode_objection(objection: Objection, reply: TermEndReply) -> TermEndReply {
    match objection {
        Objection::LaterVoters(voters) => {
            TermEndReply { later_voters: Some(encode_voters(&voters)), ..reply }
        }
        Objection::LaterTerm(later_term) => TermEndReply { later_term, ..reply },
        Objection::JustStarted => TermEndReply { just_started: true, ..reply },
        Objection::UnsentOrder(unsent_token) => TermEndReply { unsent_token, ..reply },
        Objection::HigherToken(higher_token) => TermEndReply { higher_token, ..reply },
        Objection::LaterEra(later_era) => TermEndReply { later_era, ..reply },
        Objection::OtherSuccessor(server) => {
            TermEndReply { other_successor: server.to_string(), ..reply }
        }
        Objection::NotWritten => reply,
    }
}

fn encode_grants(promise: Promise) -> Vec<GivenLease> {
    let grants = promise.unexpired_grants.into_iter().map(|(instance, lasting)| GivenLease {
        instance: instance.to_string(),
        lasting_ms: records::milliseconds_above(lasting),
    });
    grants.collect()
}

/// Decodes the promise of another instance.
#[must_use]
pub fn decode_grants(grants: &[GivenLease]) -> Promise {
    let decode = |lease: &GivenLease| {
        (lease.instance.as_str().into(), Duration::from_millis(lease.lasting_ms))
    };
    Promise { unexpired_grants: grants.iter().map(decode).collect() }
}
