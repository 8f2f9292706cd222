//! Watches the primaries of the groups that this instance holds, and replaces them.
//!
//! [`LeaderWatch`] decides for each group what to do; this module does it. It probes
//! servers, asks the other holders of the group whether they reach the primary, and starts
//! a replacement. It also takes the duty of groups for which no instance holds it.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use chervilwharf_lib::duty::succession;
use chervilwharf_lib::engine_protos::Contact;
use chervilwharf_lib::engine_protos::LeaderQuery;
use chervilwharf_lib::engine_protos::LeaderReply;
use chervilwharf_lib::engine_protos::engine_frame::Body;
use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::id::GroupId;
use chervilwharf_lib::id::TargetId;
use chervilwharf_lib::leader_watch::LeaderWatch;
use chervilwharf_lib::leader_watch::PeerReports;
use chervilwharf_lib::leader_watch::WatchAction;
use chervilwharf_lib::moment::Moment;
use futures::future::join_all;
use rand::seq::IndexedRandom;

use crate::engine::clock::now;
use crate::engine::duty_control;
use crate::engine::duty_control::OrderChange;
use crate::engine::event_log;
use crate::engine::probe;
use crate::engine::probe::Probed;
use crate::engine::reader_control;
use crate::engine::replacement::Outcome;
use crate::engine::replacement::Replacer;
use crate::engine::replacement::replace;
use crate::engine::replica_control;
use crate::engine::shard::Shard;
use crate::engine::shared::Engine;
use crate::engine::voter_control;

/// Time between two checks of all groups. Each check costs a wake-up of the processor; a
/// suspicion about a primary starts one at once.
const GROUP_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The watches of the primaries of all groups.
#[derive(Default)]
pub struct LeaderWatches {
    watches: Mutex<HashMap<GroupId, LeaderWatch>>,
    /// Groups whose primary this instance is replacing.
    replacing: Mutex<HashSet<GroupId>>,
}

impl LeaderWatches {
    fn with<R>(&self, group: &GroupId, f: impl FnOnce(&mut LeaderWatch) -> R) -> R {
        let mut watches = self.watches.lock().expect("never poisoned");
        f(watches.entry(group.clone()).or_default())
    }

    /// Records that an instance replaces the primary of a group, or is about to, so that
    /// this one does not begin a replacement for some time.
    pub fn expect_replacement(&self, group: &GroupId, at: Moment) {
        self.with(group, |watch| watch.replacing(at));
    }

    /// Leaves the replacement of a primary to other instances for some time.
    pub fn defer_replacement(&self, group: &GroupId) {
        self.with(group, |watch| watch.defer_replacement(now()));
    }

    /// Lets this instance replace primaries again that it left to others, now that the store
    /// answers it.
    pub fn end_deferrals(&self) {
        let mut watches = self.watches.lock().expect("never poisoned");
        watches.values_mut().for_each(LeaderWatch::end_deferral);
    }

    fn is_replacing(&self, group: &GroupId) -> bool {
        self.replacing.lock().expect("never poisoned").contains(group)
    }
}

/// Marks the primary of a group as being replaced by this instance until it is dropped.
pub struct ReplacingGuard {
    engine: Arc<Engine>,
    group: GroupId,
}

impl ReplacingGuard {
    /// Marks a group; `None` if it is marked already.
    #[must_use]
    pub fn new(engine: &Arc<Engine>, group: &GroupId) -> Option<Self> {
        let mut replacing = engine.watches().replacing.lock().expect("never poisoned");
        if !replacing.insert(group.clone()) {
            return None;
        }
        Some(Self { engine: engine.clone(), group: group.clone() })
    }
}

impl Drop for ReplacingGuard {
    fn drop(&mut self) {
        let mut replacing = self.engine.watches().replacing.lock().expect("never poisoned");
        replacing.remove(&self.group);
    }
}

/// Watches the primaries of all held groups. Never returns.
pub async fn run(replacer: Replacer) {
    let claims_from = now() + CLAIM_AFTER;
    loop {
        // Both a suspicion and the timeout start a check.
        let _timeout =
            tokio::time::timeout(GROUP_CHECK_INTERVAL, replacer.engine.primary_check().notified())
                .await;
        // An instance without connections to a group cannot judge its primary, and leaves
        // that to the holders.
        for shard in replacer.engine.held_shards() {
            check_group(&replacer, &shard, claims_from);
        }
    }
}

fn check_group(replacer: &Replacer, shard: &Arc<Shard>, claims_from: Moment) {
    let engine = &replacer.engine;
    // An order has to be written first. While the store fails, an attempt would only keep others,
    // and this instance after the outage, from one that succeeds.
    let lacks_store = engine.has_servers_outage();
    let rank = engine.duty_rank(shard.id()).filter(|_| !lacks_store);
    let (claimants, actions) = shard.with_group(|group| {
        let suspected = group.take_suspicion();
        let actions = engine.watches().with(shard.id(), |watch| {
            watch.set_lacks_store(lacks_store);
            let mut actions = watch.tick(now(), group, rank);
            actions.extend(suspected.then(|| watch.suspect_primary(now(), group)).flatten());
            actions
        });
        (group.take_claimants(), actions)
    });
    for id in claimants {
        perform(replacer, shard, WatchAction::Probe(id));
    }
    for action in actions {
        perform(replacer, shard, action);
    }
    for id in shard.detours_to_check() {
        let shard = shard.clone();
        tokio::spawn(async move { check_detour(&shard, &id).await });
    }
    // Another token, and other voters, would make the replacement begin anew.
    if engine.watches().with(shard.id(), |watch| watch.is_replacement_expected(now())) {
        return;
    }
    if may_claim(engine, shard, rank, claims_from) {
        claim_vacant_duty(replacer, shard);
    }
    voter_control::maintain_voters(replacer, shard, rank);
    replica_control::maintain_replicas(replacer, shard, rank);
    reader_control::maintain_readers(replacer, shard, rank);
}

/// Whether this instance, at `rank` in the succession, takes the duty of a group if it is vacant.
fn may_claim(engine: &Engine, shard: &Shard, rank: Option<usize>, claims_from: Moment) -> bool {
    let (has_voters, lacks_voters) = shard.with_group(|group| {
        let primary_lease = group.primary_lease();
        (primary_lease.voters().is_known(), primary_lease.lacks_voters())
    });
    if lacks_voters {
        // Without voters no instance uses the primary, so that the first request that needs it
        // does not wait for the first in the succession.
        return rank.is_some();
    }
    let waits =
        if has_voters { now() < claims_from } else { !engine.has_run_for(FIRST_VOTERS_AFTER) };
    rank == Some(0) && !waits
}

/// Ends the detour to a server if the server answers this instance directly. A detour sends
/// statements through another instance that reaches the server.
async fn check_detour(shard: &Arc<Shard>, id: &TargetId) {
    if probe::probe(shard, id).await != Probed::Failed {
        shard.end_detour(id);
    }
}

fn perform(replacer: &Replacer, shard: &Arc<Shard>, action: WatchAction) {
    let (replacer, shard) = (replacer.clone(), shard.clone());
    match action {
        WatchAction::Probe(id) => {
            tokio::spawn(async move {
                if probe::probe(&shard, &id).await == Probed::Failed {
                    replacer.engine.watches().with(shard.id(), |watch| watch.probe_failed(&id));
                    replacer.engine.primary_check().notify_one();
                }
            });
        }
        WatchAction::Sample(id) => {
            tokio::spawn(async move { probe::sample(&shard, &id).await });
        }
        WatchAction::AskPeers(leader) => {
            tokio::spawn(async move { ask_holders(&replacer.engine, &shard, leader).await });
        }
        WatchAction::Replace { from, reason } => {
            let Some(guard) = ReplacingGuard::new(&replacer.engine, shard.id()) else {
                return;
            };
            replacer.engine.watches().with(shard.id(), |watch| watch.replacing(now()));
            tokio::spawn(async move {
                let outcome = replace(&replacer, &shard, from, reason).await;
                if outcome == Outcome::Failed {
                    let watches = replacer.engine.watches();
                    watches.with(shard.id(), |watch| watch.replacement_failed(now()));
                }
                drop(guard);
            });
        }
    }
}

/// Takes the duty of a group that no instance holds, before it is needed, so that the group has
/// voters.
fn claim_vacant_duty(replacer: &Replacer, shard: &Arc<Shard>) {
    let engine = &replacer.engine;
    if !engine.is_duty_vacant(shard.id()) || engine.has_servers_outage() {
        return;
    }
    // Its record would have no voters.
    if engine.preferred_voters(shard.id()).is_empty() {
        return;
    }
    let Some(guard) = ReplacingGuard::new(engine, shard.id()) else {
        return;
    };
    let (replacer, shard) = (replacer.clone(), shard.clone());
    tokio::spawn(async move {
        let (engine, directory) = (&replacer.engine, &*replacer.directory);
        let since = engine.with_duties(|duties| duties.token(shard.id()));
        let claimed =
            duty_control::claim(engine, directory, shard.id(), OrderChange::Keep, since).await;
        if claimed.is_err() {
            tokio::time::sleep(CLAIM_PAUSE).await;
        }
        drop(guard);
    });
}

/// Time after the start before an instance takes vacant duties. At first it has the records
/// of few other instances and ranks itself too high: when 74 instances started together, 140 of
/// 170 attempts were refused, and each needed a read.
const CLAIM_AFTER: Duration = Duration::from_secs(3);

/// Time after the start before an instance takes the duty of a group that has no voters yet,
/// and makes the instances that have a record by then its voters.
const FIRST_VOTERS_AFTER: Duration = Duration::from_secs(1);

/// Time after a restore of the store before vacant duties are taken again.
const CLAIM_AFTER_RESTORE: Duration = Duration::from_secs(2);

/// Pause after a failed attempt to take a duty.
const CLAIM_PAUSE: Duration = Duration::from_millis(500);

/// Asks the other holders of a group whether they reach its primary, and applies their
/// answers.
async fn ask_holders(engine: &Arc<Engine>, shard: &Arc<Shard>, leader: Option<TargetId>) {
    let others = engine.co_holders(shard.id());
    let query = LeaderQuery {
        group: shard.id().to_string(),
        server: leader.as_ref().map(ToString::to_string).unwrap_or_default(),
    };
    let requests = others.iter().map(|peer| {
        let query = Body::LeaderQuery(query.clone());
        engine.peers().ask(peer.peer_address, query)
    });
    let mut reports = PeerReports::default();
    let mut helpers = Vec::new();
    let answers = join_all(requests).await;
    for (peer, answer) in others.iter().zip(answers) {
        let Ok(Body::LeaderReply(reply)) = answer else {
            reports.unresponsive += 1;
            continue;
        };
        reports.replacing |= reply.replacing;
        adopt_reported_leader(shard, &reply);
        match (reply.contact(), &leader) {
            (Contact::Answered, Some(_)) => helpers.push(peer.peer_address),
            (Contact::Failed, _) => reports.failed += 1,
            (Contact::Unknown, _) | (Contact::Answered, None) => reports.unknown += 1,
        }
    }
    reports.reached = helpers.len();
    // A random one, since all instances that are cut off choose one at the same time.
    if let (Some(leader), Some(helper)) = (&leader, helpers.choose(&mut rand::rng())) {
        shard.set_detour(leader, *helper);
    }
    let event = Event::new(EventKind::LeaderOpinions)
        .with("group", shard.id())
        .with_some("server", leader.as_ref())
        .with_count("reached", reports.reached)
        .with_count("failed", reports.failed)
        .with_count("unknown", reports.unknown)
        .with_count("silent", reports.unresponsive)
        .with("replacing", reports.replacing);
    event_log::emit(&event);
    let out_of_reach = engine.watches().with(shard.id(), |watch| {
        watch.record_reports(now(), leader.as_ref(), reports);
        watch.out_of_reach().cloned()
    });
    shard.set_out_of_reach(out_of_reach.as_ref());
}

/// Takes over the primary that another instance reports, if its term is later than the
/// known one. It is not probed first: this instance may be cut off from it, and would
/// replace it by a server that lacks commits that it acknowledged.
fn adopt_reported_leader(shard: &Arc<Shard>, reply: &LeaderReply) {
    if reply.leader.is_empty() {
        return;
    }
    let id: TargetId = reply.leader.as_str().into();
    let changed = shard.with_group(|group| group.observe_reported_leader(now(), &id, reply.term));
    if changed {
        let event = Event::new(EventKind::LeaderFound).with("group", shard.id());
        event_log::emit(&event.with("server", &id).with("term", reply.term).with("source", "peer"));
        shard.assign_connections();
    }
}

impl Engine {
    /// The rank of this instance among those that may replace the primary of a group, from
    /// 0 for the first; `None` while it stops, or if it is not one of them.
    #[must_use]
    pub fn duty_rank(&self, group: &GroupId) -> Option<usize> {
        if self.is_stopping() {
            return None;
        }
        let holder = self.with_duties(|duties| duties.holder(group));
        let staying: Vec<_> = self.holders(group).iter().map(|record| record.id.clone()).collect();
        let order = succession(group, holder.as_ref(), &staying);
        order.iter().position(|id| *id == self.me().id)
    }

    /// Whether no instance can act on the duty of a group: none holds it, its holder does
    /// not hold connections to the group any more, or this instance holds it under a token
    /// that was used or is from an earlier incarnation.
    ///
    /// A duty that was not taken since a restore of the store counts as vacant too, from the
    /// time when it can be taken.
    #[must_use]
    pub fn is_duty_vacant(&self, group: &GroupId) -> bool {
        let era = self.store_era().latest();
        if self.with_duties(|duties| duties.may_lack_order(group, era)) {
            // The duty cannot be taken until a majority of the voters has reported its
            // retired terms. And a duty taken in this era shows other instances that all
            // running instances are listed in the store again.
            let settled = self.store_era().is_known_for(now(), CLAIM_AFTER_RESTORE);
            return settled && self.retired_by_majority(group).is_some();
        }
        let record = self.with_duties(|duties| duties.record(group).cloned());
        let Some(record) = record else {
            return true;
        };
        if !record.voters.is_known() {
            return true;
        }
        if record.holder == self.me().id {
            let is_used = self.with_duties(|duties| duties.is_token_used(group));
            return is_used || record.life != self.me().life;
        }
        !self.holders(group).iter().any(|holder| holder.id == record.holder)
    }

    /// Records that an instance took the duty of a group, usually to replace its primary.
    pub fn note_duty_holder(&self, group: &GroupId, holder: &str) {
        if *holder != *self.me().id {
            self.watches().expect_replacement(group, now());
        }
    }

    /// Answers another instance that suspects a primary: whether this one reaches it, and
    /// which primary this one has observed. Probes the primary if it has no recent answer.
    #[must_use]
    pub fn leader_reply(&self, query: &LeaderQuery) -> LeaderReply {
        let group: GroupId = query.group.as_str().into();
        let shard = self.shard(&group);
        let at = now();
        let detoured = shard.has_detour(&query.server);
        let reached = shard.reaches(at, &query.server);
        let (contact, leader) = shard.with_group(|group| {
            let contact = match group.server(&query.server) {
                Some(view) if view.failures > 0 || detoured => Contact::Failed,
                Some(_) if reached => Contact::Answered,
                _ => Contact::Unknown,
            };
            (contact, group.leader().cloned())
        });
        if contact == Contact::Unknown && !query.server.is_empty() {
            let (shard, id) = (shard.clone(), TargetId::from(query.server.as_str()));
            tokio::spawn(async move { probe::probe(&shard, &id).await });
        }
        LeaderReply {
            contact: contact.into(),
            leader: leader.as_ref().map(|leader| leader.id.to_string()).unwrap_or_default(),
            term: leader.map_or(0, |leader| leader.term),
            replacing: self.watches().is_replacing(&group),
        }
    }
}
