//! Keeps the right of this instance to use the primaries of its groups, and
//! answers others that ask for theirs.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use chervilwharf_lib::engine_protos::GivenLease;
use chervilwharf_lib::engine_protos::GroupDemand;
use chervilwharf_lib::engine_protos::PrimaryNews;
use chervilwharf_lib::engine_protos::TermEnd;
use chervilwharf_lib::engine_protos::TermEndReply;
use chervilwharf_lib::engine_protos::TermGrant;
use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::fleet::InstanceRecord;
use chervilwharf_lib::holders::voters;
use chervilwharf_lib::id::GroupId;
use chervilwharf_lib::id::InstanceId;
use chervilwharf_lib::id::Term;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::primary_lease::Ending;
use chervilwharf_lib::primary_lease::Objection;
use chervilwharf_lib::primary_lease::PrimaryLease;
use chervilwharf_lib::primary_lease::Promise;
use chervilwharf_lib::primary_lease::RESTART_PROMISE_WINDOW;
use chervilwharf_lib::revision::Era;

use crate::engine::clock::now;
use crate::engine::directory::Currency;
use crate::engine::directory::Directory;
use crate::engine::directory::DirectoryError;
use crate::engine::directory::Entry;
use crate::engine::directory::Record;
use crate::engine::directory::RecordKind;
use crate::engine::event_log;
use crate::engine::follow::ANSWERED_TOGETHER;
use crate::engine::shard::Shard;
use crate::engine::shared::Engine;

/// Pause between two tries to read the orders after a start; each is paid for.
const ORDERS_PAUSE: Duration = Duration::from_millis(300);

/// How long the first reading goes on whatever else the store answers: a slow
/// store answers in 250 ms.
const FIRST_ORDERS_LIMIT: Duration = Duration::from_millis(300);

/// A lease that ends within this time is renewed by the store as well: the last
/// round of heartbeats, every 500 ms, was not answered by enough voters.
const RENEWED_BY_STORE_WITHIN: Duration = Duration::from_millis(700);

/// How long the answers to a round of heartbeats are waited for before the
/// store is read: many times the way there and back (2 to 4 ms).
const ANSWERS_WAIT: Duration = Duration::from_millis(60);

/// Time that a primary to be replaced gets no new work without a promise, while
/// what runs there ends. The replacement asks anew every few milliseconds.
const PAUSE: Duration = Duration::from_millis(250);

/// An answer of a primary proves contact for this long.
const REACHED_WITHIN: Duration = Duration::from_millis(400);

/// How long after the store came back from a copy a duty is taken without the word of
/// most voters: they are gone, and what they promised was carried out or never will be.
const ERA_SETTLED: Duration = Duration::from_secs(8);

/// Who votes, by group.
#[derive(Default)]
pub struct VoterLists(Mutex<VoterListsInner>);

#[derive(Default)]
struct VoterListsInner {
    /// The instances that the lists were computed from.
    recorded: Vec<InstanceRecord>,
    kept: HashMap<GroupId, Arc<Vec<InstanceId>>>,
}

/// Reads which orders there are when an instance starts. Only then it votes,
/// unless others tell it what they grant.
pub async fn load_orders(engine: Arc<Engine>, directory: Arc<dyn Directory>) {
    let mut failed = false;
    loop {
        let result = tokio::select! {
            result = read_orders(&engine, &*directory) => result,
            // A call that the store took while it was down is never answered.
            // All instances had been killed during an outage: for a second after
            // it nobody could use a primary.
            () = answered_elsewhere(&engine, failed) => continue,
        };
        let Err(error) = result else {
            if engine.vote_where_orders_are_known() {
                break;
            }
            tokio::time::sleep(ORDERS_PAUSE).await;
            continue;
        };
        if !failed {
            event_log::emit(&Event::new(EventKind::OrdersUnknown).with("reason", error));
        }
        failed = true;
        tokio::select! {
            () = tokio::time::sleep(ORDERS_PAUSE) => {}
            () = engine.store_answered().notified() => {}
        }
    }
    engine.vote();
}

/// Waits until the store answers another question, and a little longer.
async fn answered_elsewhere(engine: &Engine, failed: bool) {
    if !failed {
        tokio::time::sleep(FIRST_ORDERS_LIMIT).await;
    }
    engine.store_answered().notified().await;
    tokio::time::sleep(ANSWERED_TOGETHER).await;
}

/// Reads the duties as they are now, which renews the right to use primaries
/// that nobody has an order to replace.
async fn read_orders(engine: &Engine, directory: &dyn Directory) -> Result<(), DirectoryError> {
    let asked_at = now();
    let listing = directory.list(RecordKind::Duties, Currency::Fresh).await?;
    let era = listing.revision.era;
    engine.note_store_era(era, RecordKind::Duties);
    let mut ended: HashMap<GroupId, Term> = HashMap::new();
    for Entry { revision, record, .. } in listing.entries {
        let Record::Duty(record) = record else {
            continue;
        };
        ended.insert(record.group.clone(), record.ended_term());
        // Known from now on, also if the configuration comes later.
        let _shard = engine.shard(&record.group);
        engine.with_duties(|duties| duties.learn(revision, record));
    }
    let latest = engine.store_era().latest();
    for shard in engine.shards() {
        let term = ended.get(shard.id()).copied().unwrap_or_default();
        shard.change_right(|primary_lease| {
            primary_lease.note_era(latest);
            primary_lease.adopt_ended_term(term);
            primary_lease.record_store_grant(asked_at, term, era);
        });
    }
    Ok(())
}

/// Renews the right by the store where too few voters answer: an instance that
/// is cut off from the others and reaches the store goes on.
pub async fn renew_leases_from_store(engine: Arc<Engine>, directory: Arc<dyn Directory>) {
    tokio::time::sleep(ANSWERS_WAIT).await;
    let at = now();
    let ends_soon = |shard: &Arc<Shard>| {
        shard.with_group(|group| {
            let Some(term) = group.confirmed_leader().map(|leader| leader.term) else {
                return false;
            };
            let end = group.primary_lease().lease_end(term);
            group.primary_lease().retired() < term
                && end.is_none_or(|end| end < at + RENEWED_BY_STORE_WITHIN)
        })
    };
    if !engine.used_shards().iter().any(ends_soon) {
        return;
    }
    let result = read_orders(&engine, &*directory).await;
    let event = Event::new(EventKind::RightFromStore);
    event_log::emit(&event.with_some("failed", result.err()));
}

impl Engine {
    /// This instance votes from now on, on all groups.
    fn vote(&self) {
        self.set_orders_known();
        for shard in self.shards() {
            shard.change_right(PrimaryLease::orders_known);
        }
        self.lease_renewal().notify_one();
    }

    /// Votes on the groups whose orders are known. Returns whether that is so of all.
    ///
    /// A copy of the store can lack an order that an earlier life of this instance
    /// promised. It has it where somebody took the duty since, with the word of most
    /// voters; and it matters no more when the instance has run for long enough.
    fn vote_where_orders_are_known(&self) -> bool {
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
            shard.change_right(PrimaryLease::orders_known);
        }
        known.len() == shards.len() && self.catalog().version > 0
    }

    /// The highest term of a group that is retired, as most voters told since they know
    /// the latest era of the store.
    #[must_use]
    pub fn retired_by_majority(&self, group: &GroupId) -> Option<Term> {
        let shard = self.shard(group);
        let settled = self.store_era().is_known_for(now(), ERA_SETTLED);
        let latest = self.store_era().latest();
        shard.with_group(|group| {
            let primary_lease = group.primary_lease_mut();
            primary_lease.note_era(latest);
            primary_lease.retired_by_majority().or_else(|| settled.then(|| primary_lease.retired()))
        })
    }

    /// Instances that vote on a group.
    #[must_use]
    pub fn voters(&self, group: &GroupId) -> Arc<Vec<InstanceId>> {
        let mut lists = self.voter_lists().0.lock().expect("never poisoned");
        if let Some(kept) = lists.kept.get(group) {
            return kept.clone();
        }
        let computed = Arc::new(voters(group, &lists.recorded));
        lists.kept.insert(group.clone(), computed.clone());
        computed
    }

    /// All instances that have a record. This one may have none yet: others do
    /// not count it then, and its own vote must not make a majority.
    #[must_use]
    pub fn recorded(&self) -> Vec<InstanceRecord> {
        let mut recorded: Vec<_> = self.with_fleet(|fleet| fleet.others().cloned().collect());
        if self.is_registered() {
            recorded.push(self.me().clone());
        }
        recorded.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        recorded
    }

    /// Drops the lists of voters if they were computed from something else.
    fn renew_voter_lists(&self) {
        let recorded = self.recorded();
        let mut lists = self.voter_lists().0.lock().expect("never poisoned");
        if lists.recorded != recorded {
            *lists = VoterListsInner { recorded, kept: HashMap::new() };
        }
    }

    /// Tells all groups in use who votes.
    pub fn update_voters(&self) {
        if !self.is_fleet_known() {
            return;
        }
        self.renew_voter_lists();
        for shard in self.used_shards() {
            let voters = self.voters(shard.id());
            if !shard.with_group(|group| group.primary_lease().has_voters(&self.me().id, &voters)) {
                shard
                    .change_right(|primary_lease| primary_lease.set_voters(&self.me().id, &voters));
            }
        }
    }

    /// What this instance grants another one that asks about these groups.
    #[must_use]
    pub fn grants(&self, at: Moment, to: &str, demands: &[GroupDemand]) -> Vec<TermGrant> {
        let to: InstanceId = to.into();
        let catalog = self.catalog();
        let known = demands.iter().filter(|demand| catalog.groups.contains_key(&*demand.group));
        known
            .filter_map(|demand| {
                let shard = self.shard(&demand.group.as_str().into());
                let retired_term = shard
                    .with_group(|group| group.primary_lease_mut().grant(at, &to, demand.term))?;
                Some(TermGrant { group: demand.group.clone(), retired_term })
            })
            .collect()
    }

    /// A voter answered a heartbeat of `asked_at`.
    pub fn take_grants(
        &self,
        asked_at: Moment,
        voter: &InstanceId,
        grants: &[TermGrant],
        era: Era,
    ) {
        for grant in grants {
            let shard = self.shard(&grant.group.as_str().into());
            let retired = grant.retired_term;
            shard
                .change_right(|primary_lease| primary_lease.granted(voter, asked_at, retired, era));
        }
    }

    /// Another instance is about to replace a primary.
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
        let ending = Ending {
            term: end.term,
            token: end.token,
            successor: end.successor.as_str().into(),
            withdrawn: end.withdrawn_token,
            written_era: end.written_era,
        };
        self.note_store_era(end.written_era.unwrap_or_default(), "a replacement");
        let latest = self.store_era().latest();
        let result = shard.with_group(|group| {
            group.primary_lease_mut().note_era(latest);
            group.primary_lease_mut().observe_token(token);
            group.retire(at, &ending)
        });
        self.watches().expect_replacement(&group_id, at);
        let event = Event::new(EventKind::TermEnded).with("group", &group_id);
        let event = event.with("term", end.term).with("token", end.token);
        match result {
            Ok(promise) => {
                self.with_duties(|duties| duties.note_promised(&group_id, &ending));
                event_log::emit(&event.with("outcome", "promised"));
                TermEndReply { promised: true, given: encode_given(promise), ..reply }
            }
            Err(objection) => {
                event_log::emit(&event.with("outcome", format_args!("{objection:?}")));
                encode_objection(objection, reply)
            }
        }
    }

    /// An order that this instance may have voted for is settled.
    pub fn take_primary_news(&self, news: &PrimaryNews) {
        let shard = self.shard(&news.group.as_str().into());
        let id = news.server.as_str().into();
        if news.server.is_empty() {
            self.with_duties(|duties| duties.forget_promised(shard.id(), news.token));
        }
        let changed = shard.with_group(|group| {
            group.primary_lease_mut().settle(news.token);
            group.observe_reported_leader(now(), &id, news.term)
        });
        if changed {
            let event = Event::new(EventKind::LeaderFound).with("group", shard.id());
            let event = event.with("server", &id).with("term", news.term);
            event_log::emit(&event.with("source", "replacement"));
            shard.doubt();
            shard.pump();
        }
    }
}

impl Shard {
    /// Changes the right to use the primary, and serves those who waited for it.
    fn change_right(self: &Arc<Self>, change: impl FnOnce(&mut PrimaryLease)) {
        let regained = self.with_group(|group| {
            let had = group.usable_leader(now()).is_some();
            change(group.primary_lease_mut());
            !had && group.usable_leader(now()).is_some()
        });
        if regained {
            self.primary_lease_changed();
        }
    }

    /// Whether a server answered this instance itself just now.
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
        Objection::LaterTerm(later_term) => TermEndReply { later_term, ..reply },
        Objection::HigherToken(higher_token) => TermEndReply { higher_token, ..reply },
        Objection::LaterEra(later_era) => TermEndReply { later_era, ..reply },
        Objection::OtherSuccessor(server) => {
            TermEndReply { other_successor: server.to_string(), ..reply }
        }
    }
}

fn encode_given(promise: Promise) -> Vec<GivenLease> {
    let given = promise.given.into_iter().map(|(instance, lasting)| GivenLease {
        instance: instance.to_string(),
        lasting_ms: u64::try_from(lasting.as_millis()).unwrap_or(u64::MAX).saturating_add(1),
    });
    given.collect()
}

/// The promise of another instance.
#[must_use]
pub fn decode_given(given: &[GivenLease]) -> Promise {
    let decode = |lease: &GivenLease| {
        (lease.instance.as_str().into(), Duration::from_millis(lease.lasting_ms))
    };
    Promise { given: given.iter().map(decode).collect() }
}
