//! Watches the primaries of all groups, and replaces them.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use chervilwharf_lib::duty;
use chervilwharf_lib::duty::DutyOrder;
use chervilwharf_lib::duty::DutyRecord;
use chervilwharf_lib::duty::succession;
use chervilwharf_lib::engine_protos::Contact;
use chervilwharf_lib::engine_protos::LeaderQuery;
use chervilwharf_lib::engine_protos::LeaderReply;
use chervilwharf_lib::engine_protos::engine_frame::Body;
use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::group::ServerStatus;
use chervilwharf_lib::id::GroupId;
use chervilwharf_lib::id::TargetId;
use chervilwharf_lib::leader_watch::LeaderWatch;
use chervilwharf_lib::leader_watch::Opinions;
use chervilwharf_lib::leader_watch::REPLACEMENT_TIME;
use chervilwharf_lib::leader_watch::ReplaceReason;
use chervilwharf_lib::leader_watch::WatchAction;
use chervilwharf_lib::moment::Moment;
use futures::future::join_all;
use rand::seq::IndexedRandom;

use crate::engine::clock::now;
use crate::engine::directory::Directory;
use crate::engine::duty_control;
use crate::engine::event_log;
use crate::engine::probe;
use crate::engine::probe::Probed;
use crate::engine::promoter::Promoted;
use crate::engine::promoter::Promoter;
use crate::engine::shard::Shard;
use crate::engine::shared::Engine;

/// Time between two looks at all groups. Each look is a wake-up that is paid
/// for; a doubt is looked at when it comes up.
const TICK: Duration = Duration::from_millis(100);

/// Pause between two questions to a server that is about to lead.
const LEAD_POLL: Duration = Duration::from_millis(80);

/// How long a server may take to lead after an order that was accepted.
const LEAD_LIMIT: Duration = Duration::from_millis(1_800);

/// How long to look for the effect of an order that got no answer before it
/// is given again under a higher token.
const UNANSWERED_LIMIT: Duration = Duration::from_millis(500);

/// The watches of all groups.
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

    fn is_replacing(&self, group: &GroupId) -> bool {
        self.replacing.lock().expect("never poisoned").contains(group)
    }
}

/// Marks a group as being replaced as long as it lives.
struct ReplacingGuard {
    engine: Arc<Engine>,
    group: GroupId,
}

impl ReplacingGuard {
    /// `None` while a replacement is under way.
    fn new(engine: &Arc<Engine>, group: &GroupId) -> Option<Self> {
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

/// What a replacement needs.
#[derive(Clone)]
pub struct Replacer {
    /// The engine.
    pub engine: Arc<Engine>,
    /// Where the duty is kept.
    pub directory: Arc<dyn Directory>,
    /// Carries the order out.
    pub promoter: Arc<dyn Promoter>,
}

/// Watches all groups for ever.
pub async fn run(replacer: Replacer) {
    let claims_from = now() + CLAIM_AFTER;
    loop {
        // Either wakes the loop.
        let _timeout = tokio::time::timeout(TICK, replacer.engine.doubt().notified()).await;
        // Who holds no connections cannot tell how a primary is, and leaves it
        // to those who do.
        for shard in replacer.engine.held_shards() {
            look_at(&replacer, &shard, claims_from);
        }
    }
}

fn look_at(replacer: &Replacer, shard: &Arc<Shard>, claims_from: Moment) {
    let engine = &replacer.engine;
    let rank = engine.duty_rank(shard.id());
    let (claimants, actions) = shard.with_group(|group| {
        let suspected = group.take_suspicion();
        let actions = engine.watches().with(shard.id(), |watch| {
            let mut actions = watch.tick(now(), group, rank);
            actions.extend(suspected.then(|| watch.suspected(now(), group)).flatten());
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
    if now() >= claims_from {
        claim_vacant(replacer, shard, rank);
    }
}

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
                }
            });
        }
        WatchAction::Sample(id) => {
            tokio::spawn(async move { probe::sample(&shard, &id).await });
        }
        WatchAction::AskPeers(leader) => {
            tokio::spawn(async move { ask_peers(&replacer.engine, &shard, leader).await });
        }
        WatchAction::Replace { from, reason } => {
            let Some(guard) = ReplacingGuard::new(&replacer.engine, shard.id()) else {
                return;
            };
            replacer.engine.watches().with(shard.id(), |watch| watch.replacing(now()));
            tokio::spawn(async move {
                let replaced = replace(&replacer, &shard, from, reason).await;
                if !replaced {
                    let watches = replacer.engine.watches();
                    watches.with(shard.id(), |watch| watch.replacement_failed(now()));
                }
                drop(guard);
            });
        }
    }
}

/// Takes a duty that nobody holds, ahead of need: while the store is down,
/// only who holds a token already can replace a primary.
fn claim_vacant(replacer: &Replacer, shard: &Arc<Shard>, rank: Option<usize>) {
    let engine = &replacer.engine;
    if rank != Some(0) || !engine.is_duty_vacant(shard.id()) || engine.has_servers_outage() {
        return;
    }
    let Some(guard) = ReplacingGuard::new(engine, shard.id()) else {
        return;
    };
    let (replacer, shard) = (replacer.clone(), shard.clone());
    tokio::spawn(async move {
        let claimed =
            duty_control::claim(&replacer.engine, &*replacer.directory, shard.id(), None).await;
        if claimed.is_none() {
            tokio::time::sleep(CLAIM_PAUSE).await;
        }
        drop(guard);
    });
}

/// An instance that has just started does not claim vacant duties yet. It
/// knows few others at first and takes itself for the one who should: with 74
/// starting together, 140 of 170 claims were refused and all had to be read.
const CLAIM_AFTER: Duration = Duration::from_secs(3);

/// Pause after a duty could not be taken.
const CLAIM_PAUSE: Duration = Duration::from_millis(500);

async fn ask_peers(engine: &Arc<Engine>, shard: &Arc<Shard>, leader: Option<TargetId>) {
    let others = engine.co_holders(shard.id());
    let question = LeaderQuery {
        group: shard.id().to_string(),
        server: leader.as_ref().map(ToString::to_string).unwrap_or_default(),
    };
    let asking = others.iter().map(|peer| {
        let question = Body::LeaderQuery(question.clone());
        engine.peers().ask(peer.peer_address, question)
    });
    let mut opinions = Opinions::default();
    let mut helpers = Vec::new();
    let answers = join_all(asking).await;
    for (peer, answer) in others.iter().zip(answers) {
        let Ok(Body::LeaderReply(reply)) = answer else {
            opinions.silent += 1;
            continue;
        };
        opinions.replacing |= reply.replacing;
        hear_of_leader(shard, &reply);
        match (reply.contact(), &leader) {
            (Contact::Answered, Some(_)) => helpers.push(peer.peer_address),
            (Contact::Failed, _) => opinions.failed += 1,
            (Contact::Unknown, _) | (Contact::Answered, None) => opinions.unknown += 1,
        }
    }
    opinions.reached = helpers.len();
    // Any of them: all instances that are cut off look for help at once.
    if let (Some(leader), Some(helper)) = (&leader, helpers.choose(&mut rand::rng())) {
        shard.set_detour(leader, *helper);
    }
    let event = Event::new(EventKind::LeaderOpinions)
        .with("group", shard.id())
        .with_some("server", leader.as_ref())
        .with_count("reached", opinions.reached)
        .with_count("failed", opinions.failed)
        .with_count("unknown", opinions.unknown)
        .with_count("silent", opinions.silent)
        .with("replacing", opinions.replacing);
    event_log::emit(&event);
    engine.watches().with(shard.id(), |watch| watch.heard(now(), leader.as_ref(), opinions));
}

/// Another instance knows a primary. In a later term than ours it is taken
/// for true without a question: this instance may be cut off from it, and
/// would replace it by a server that lacks what it has acknowledged.
fn hear_of_leader(shard: &Arc<Shard>, reply: &LeaderReply) {
    if reply.leader.is_empty() {
        return;
    }
    let id: TargetId = reply.leader.as_str().into();
    let changed = shard.with_group(|group| group.hear_of_leader(now(), &id, reply.term));
    if changed {
        let event = Event::new(EventKind::LeaderFound).with("group", shard.id());
        event_log::emit(&event.with("server", &id).with("term", reply.term).with("source", "peer"));
        shard.pump();
    }
}

/// Replaces a primary. Returns whether another server leads now.
async fn replace(
    replacer: &Replacer,
    shard: &Arc<Shard>,
    from: Option<TargetId>,
    reason: ReplaceReason,
) -> bool {
    let last_resort = reason == ReplaceReason::LastResort;
    let Some((target, status)) = best_replica(shard, from.as_ref(), last_resort).await else {
        let event = Event::new(EventKind::ReplacementDropped).with("group", shard.id());
        event_log::emit(&event.with_some("from", from).with("reason", "no replica can take over"));
        return false;
    };
    if status.leads {
        return true;
    }
    let directory = &*replacer.directory;
    let highest_term = shard.with_group(|group| group.highest_term()).max(status.term);
    let last = replacer.engine.with_duties(|duties| duties.record(shard.id()).cloned());
    let last_order = last.and_then(|record| record.order);
    if !last_resort && !duty::order_permits(last_order.as_ref(), &target, highest_term) {
        let event = Event::new(EventKind::ReplacementDropped).with("group", shard.id());
        let event = event.with_some("ordered", last_order.map(|order| order.server));
        event_log::emit(&event.with("server", target).with("reason", "an order is unsettled"));
        return false;
    }
    let order = DutyOrder { server: target.clone(), term: highest_term + 1 };
    let metrics = replacer.engine.metrics();
    let began_at = now();
    let claimed = duty_control::claim(&replacer.engine, directory, shard.id(), Some(order)).await;
    let Some(duty) = claimed else {
        return false;
    };
    metrics.replacement_step("claim", now().saturating_sub(began_at));
    if is_outdated(shard, from.as_ref(), reason) {
        let event = Event::new(EventKind::ReplacementDropped).with("group", shard.id());
        event_log::emit(&event.with_some("from", from).with("reason", "outdated"));
        return false;
    }
    let event = Event::new(EventKind::ReplacementBegun)
        .with("group", shard.id())
        .with_some("from", from)
        .with("server", &target)
        .with("received", status.received)
        .with("reason", format_args!("{reason:?}"))
        .with("token", duty.token);
    event_log::emit(&event);
    let began_at = now();
    let promoted = replacer.promoter.promote(&duty, &target).await;
    metrics.replacement_step("promote", now().saturating_sub(began_at));
    let event = Event::new(EventKind::PromotionAnswered).with("group", shard.id());
    let event = event.with("server", &target).with("token", duty.token);
    event_log::emit(&event.with("outcome", format_args!("{promoted:?}")));
    finish(replacer, shard, &duty, &target, promoted).await
}

async fn finish(
    replacer: &Replacer,
    shard: &Arc<Shard>,
    duty: &DutyRecord,
    target: &TargetId,
    promoted: Promoted,
) -> bool {
    let limit = match promoted {
        Promoted::Accepted => LEAD_LIMIT,
        Promoted::Unanswered => {
            replacer.engine.with_duties(|duties| duties.spend(duty));
            UNANSWERED_LIMIT
        }
        Promoted::Refused => {
            replacer.engine.with_duties(|duties| duties.spend(duty));
            return false;
        }
        Promoted::NotDone => return false,
    };
    let began_at = now();
    while now() < began_at + limit {
        if let Probed::Status(status) = probe::probe(shard, target).await {
            if status.leads {
                let took = now().saturating_sub(began_at);
                replacer.engine.metrics().replacement_step("lead", took);
                return true;
            }
        }
        tokio::time::sleep(LEAD_POLL).await;
    }
    false
}

/// Whether the reason to replace a primary has gone while the duty was taken,
/// which can last for seconds when the store is slow.
fn is_outdated(shard: &Arc<Shard>, from: Option<&TargetId>, reason: ReplaceReason) -> bool {
    shard.with_group(|group| {
        let leader = group.leader().map(|leader| &leader.id);
        if leader != from {
            return true;
        }
        let answers = |id: &TargetId| group.server(id).is_some_and(|view| view.failures == 0);
        reason == ReplaceReason::Unreachable && leader.is_some_and(answers)
    })
}

/// The reachable replica that received most: it lacks the fewest
/// acknowledged commits.
///
/// As a last resort also one that missed a change of primary: a group whose
/// later primary is lost for good would otherwise have none for ever.
async fn best_replica(
    shard: &Arc<Shard>,
    from: Option<&TargetId>,
    last_resort: bool,
) -> Option<(TargetId, ServerStatus)> {
    let candidates: Vec<TargetId> = shard.with_group(|group| {
        let able = group.servers().filter(|view| !view.info.draining);
        let able = able.filter(|view| Some(&view.info.id) != from);
        able.map(|view| view.info.id.clone()).collect()
    });
    let probes = candidates.iter().map(|id| probe::probe(shard, id));
    let probed = join_all(probes).await;
    let mut best: Option<(TargetId, ServerStatus)> = None;
    for (id, probed) in candidates.into_iter().zip(probed) {
        let Probed::Status(status) = probed else {
            continue;
        };
        let may_lead = shard.with_group(|group| group.may_lead(&status));
        if !may_lead && !last_resort {
            let event = Event::new(EventKind::CandidateRejected).with("group", shard.id());
            let event = event.with("server", &id).with("received", status.received);
            event_log::emit(&event.with("term", status.term).with("reason", "missed a change"));
            continue;
        }
        let rank = |status: &ServerStatus| (status.leads, status.received);
        if best.as_ref().is_none_or(|(_, known)| rank(&status) > rank(known)) {
            best = Some((id, status));
        }
    }
    best
}

impl Engine {
    /// This instance's place among those that may replace the primary of a
    /// group; `None` while it stops.
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

    /// Whether nobody holds the duty of a group who could act on it.
    #[must_use]
    pub fn is_duty_vacant(&self, group: &GroupId) -> bool {
        let record = self.with_duties(|duties| duties.record(group).cloned());
        let Some(record) = record else {
            return true;
        };
        if record.holder == self.me().id {
            return record.life != self.me().life;
        }
        !self.holders(group).iter().any(|holder| holder.id == record.holder)
    }

    /// Somebody took the duty of a group, usually to replace its primary.
    pub fn duty_moved(&self, group: &GroupId, holder: &str) {
        if *holder != *self.me().id {
            self.watches().with(group, |watch| watch.replacing(now()));
        }
    }

    /// What this instance knows of a primary that another one doubts.
    #[must_use]
    pub fn leader_reply(&self, query: &LeaderQuery) -> LeaderReply {
        let group: GroupId = query.group.as_str().into();
        let shard = self.shard(&group);
        let at = now();
        let detoured = shard.has_detour(&query.server);
        let (contact, leader) = shard.with_group(|group| {
            let contact = match group.server(&query.server) {
                Some(view) if view.failures > 0 || detoured => Contact::Failed,
                Some(view) if view.answered_at + REACHED_WITHIN > at => Contact::Answered,
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

/// An answer of a primary proves contact for this long.
const REACHED_WITHIN: Duration = Duration::from_millis(400);

/// Checks at compile time that others wait longer than a whole replacement.
const _: () = assert!(REPLACEMENT_TIME.as_millis() > LEAD_LIMIT.as_millis());
