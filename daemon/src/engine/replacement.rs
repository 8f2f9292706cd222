//! Replaces the primary of a group by one of its replicas.
//!
//! The steps of a replacement are:
//!
//! 1. This instance takes the duty of the group and writes a promotion order, which
//!    names the successor and its term, into the store.
//! 2. Before a planned change, it pauses new work at the old primary.
//! 3. The instances promise not to use the term of the old primary any more. For an
//!    instance that does not answer it waits until the lease on that term has expired.
//! 4. It has the platform promote the replica that received the most.
//! 5. It announces the new primary to the other instances and demotes the old one.
//!
//! The duty is the responsibility for replacing the primary, held under a fencing
//! token. The voters of a group are the instances that grant each other the leases
//! without which no instance uses a primary.

mod promises;

use std::sync::Arc;
use std::time::Duration;

use chervilwharf_lib::duty;
use chervilwharf_lib::duty::DutyOrder;
use chervilwharf_lib::duty::DutyRecord;
use chervilwharf_lib::duty::DutyToken;
use chervilwharf_lib::engine_protos::PrimaryNews;
use chervilwharf_lib::engine_protos::engine_frame::Body;
use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::id::GroupId;
use chervilwharf_lib::id::InstanceId;
use chervilwharf_lib::id::TargetId;
use chervilwharf_lib::id::Term;
use chervilwharf_lib::leader_watch::REPLACEMENT_TIME;
use chervilwharf_lib::leader_watch::ReplaceReason;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::position::Position;
use chervilwharf_lib::primary_lease::ORDER_SEND_LIMIT;
use chervilwharf_lib::primary_lease::STORE_LEASE;
use chervilwharf_lib::revision::Era;
use chervilwharf_lib::voter_set::VoterSet;
use futures::future::join_all;

use crate::engine::clock::now;
use crate::engine::directory::Directory;
use crate::engine::duty_control;
use crate::engine::duty_control::Claim;
use crate::engine::duty_control::ClaimFailure;
use crate::engine::duty_control::OrderChange;
use crate::engine::event_log;
use crate::engine::probe;
use crate::engine::probe::Probed;
use crate::engine::promoter::Promoted;
use crate::engine::promoter::Promoter;
use crate::engine::shard::Shard;
use crate::engine::shared::Engine;
use crate::engine::survey::Candidate;
use crate::engine::survey::survey;

/// Pause between two probes of a server that was ordered to lead.
const LEAD_POLL: Duration = Duration::from_millis(60);

/// How long a server may take to lead after the platform accepted the order, as long
/// as it answers probes. A platform states some hundred ms and may take one second. A
/// second order meanwhile could undo the first, so the limit is several times that.
const LEAD_LIMIT: Duration = Duration::from_secs(6);

/// Consecutive failed probes after which a server that was ordered to lead counts as
/// failed.
const LEAD_FAILURE_LIMIT: u32 = 3;

/// How long to wait for the effect of an order that the platform did not answer,
/// before it is repeated under a higher token.
const UNANSWERED_ORDER_LIMIT: Duration = Duration::from_millis(500);

/// How long statements that run at the primary may take to end before a planned
/// change. Half of all statements take less than 14 ms; writes wait meanwhile.
const PAUSE_LIMIT: Duration = Duration::from_millis(100);

/// Pause between two checks whether these statements have ended.
const PAUSE_POLL: Duration = Duration::from_millis(15);

/// How long the successor in a planned change may take to receive all that the old
/// primary has.
const RECEIVE_LIMIT: Duration = Duration::from_millis(500);

/// Pause between two checks whether the successor has received it.
const RECEIVE_POLL: Duration = Duration::from_millis(10);

/// Time limit of a DEMOTE, including the connection.
const DEMOTE_TIMEOUT: Duration = Duration::from_millis(500);

/// The interfaces that a replacement uses.
#[derive(Clone)]
pub struct Replacer {
    /// The engine.
    pub engine: Arc<Engine>,
    /// The platform's store, which keeps the duties.
    pub directory: Arc<dyn Directory>,
    /// The platform's interface for promotions.
    pub promoter: Arc<dyn Promoter>,
}

/// Why a replacement was abandoned.
enum Abandoned {
    /// The platform carries out no order of this replacement.
    BeforeOrder(&'static str),
    /// There is no order in the store, and another instance may be able to write one.
    LeftToOthers(&'static str),
    /// Another instance took the duty first, and replaces the primary.
    Overtaken,
    /// The platform may have carried out the order, or may still do so.
    AfterOrder,
}

/// A replacement in progress.
struct Replacement<'a> {
    replacer: &'a Replacer,
    shard: &'a Arc<Shard>,
    from: Option<TargetId>,
    reason: ReplaceReason,
    /// The term that ends.
    term: Term,
    /// The previous order, whose outcome may be unknown.
    last_order: Option<DutyOrder>,
    duty: DutyRecord,
    /// The server that the order names.
    successor: TargetId,
    /// Token of an order of this replacement that it did not send; 0 for none.
    withdrawn_token: DutyToken,
    /// When the store accepted the order.
    written_at: Moment,
    /// Era in which the store accepted the order.
    written_era: Era,
    /// When the last lease expires that the store granted to a reader before that.
    readers_end: Moment,
    /// The voters by which the promises are counted.
    voters: VoterSet,
}

/// How an attempt to replace a primary ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Another server leads now.
    Replaced,
    /// No other server leads, as far as is known. It may be tried again at once.
    Failed,
    /// Another instance took the duty first, and replaces the primary.
    Overtaken,
}

/// Replaces the primary `from` of a group, or the missing one if `None`.
pub async fn replace(
    replacer: &Replacer,
    shard: &Arc<Shard>,
    from: Option<TargetId>,
    reason: ReplaceReason,
) -> Outcome {
    let (outcome, reason) = match try_replace(replacer, shard, from.clone(), reason).await {
        Ok(()) => return Outcome::Replaced,
        Err(Abandoned::AfterOrder) => return Outcome::Failed,
        Err(Abandoned::BeforeOrder(reason)) => (Outcome::Failed, reason),
        Err(Abandoned::LeftToOthers(reason)) => {
            replacer.engine.watches().defer_replacement(shard.id());
            (Outcome::Failed, reason)
        }
        Err(Abandoned::Overtaken) => (Outcome::Overtaken, "another instance took the duty"),
    };
    let event = Event::new(EventKind::ReplacementDropped).with("group", shard.id());
    event_log::emit(&event.with_some("from", from).with("reason", reason));
    outcome
}

async fn try_replace(
    replacer: &Replacer,
    shard: &Arc<Shard>,
    from: Option<TargetId>,
    reason: ReplaceReason,
) -> Result<(), Abandoned> {
    let last_resort = reason == ReplaceReason::LastResort;
    let since = replacer.engine.with_duties(|duties| duties.token(shard.id()));
    let found = survey(&replacer.engine, shard, from.as_ref(), reason).await;
    if found.leading.is_some_and(|leading| from.as_ref() != Some(&leading.id)) {
        return Ok(());
    }
    let target = found.best.ok_or(Abandoned::BeforeOrder("no replica can take over"))?;
    if let Some(received) = found.old_received
        && !receives_up_to(replacer, shard, &target.id, received).await
    {
        return Err(Abandoned::BeforeOrder("the replica does not receive the primary's commits"));
    }
    let highest_observed_term =
        shard.with_group(|group| group.highest_observed_term()).max(target.status.term);
    let known = replacer.engine.with_duties(|duties| duties.record(shard.id()).cloned());
    let highest_term = shard.with_group(|group| group.highest_term()).max(highest_observed_term);
    let highest_term = duty::term_to_end(highest_term, known.as_ref());
    let last_order = known.and_then(|record| record.order);
    if !last_resort && !duty::order_permits(last_order.as_ref(), &target.id, highest_observed_term)
    {
        return Err(Abandoned::BeforeOrder(
            "the outcome of an order for another server is unknown",
        ));
    }
    let order = DutyOrder { server: target.id.clone(), term: highest_term.saturating_add(1) };
    let metrics = replacer.engine.metrics();
    let began_at = now();
    let claim = claim(replacer, shard.id(), OrderChange::Put(Some(order)), since).await;
    let claim = claim.map_err(|failure| {
        let holds = replacer.engine.with_duties(|duties| duties.token(shard.id())) <= since;
        match failure {
            _ if !holds => Abandoned::Overtaken,
            ClaimFailure::Conflict => Abandoned::BeforeOrder("the duty was changed meanwhile"),
            ClaimFailure::NotWritten => {
                Abandoned::LeftToOthers("the store does not accept the order")
            }
        }
    })?;
    metrics.replacement_step("claim", now().saturating_sub(began_at));
    let mut replacement = Replacement {
        replacer,
        shard,
        from,
        reason,
        term: highest_term,
        last_order,
        duty: claim.duty,
        successor: target.id.clone(),
        withdrawn_token: 0,
        written_at: claim.written_at,
        written_era: claim.written_era,
        readers_end: claim.readers_end,
        voters: replacer.engine.voters(shard.id()),
    };
    let result = replacement.carry_out(target).await;
    if let Err(Abandoned::BeforeOrder(_)) = result {
        replacement.withdraw().await;
    }
    result
}

/// Whether a replica has received the log of the primary up to a position, or does within
/// `RECEIVE_LIMIT`, before the primary is retired in a planned change.
///
/// In a group with synchronous replicas the primary is not replaced before the replica has
/// received all, and nobody could use the primary until then.
async fn receives_up_to(
    replacer: &Replacer,
    shard: &Arc<Shard>,
    id: &TargetId,
    received: Position,
) -> bool {
    if replacer.engine.sync_replicas(shard.id()) == 0 {
        return true;
    }
    let until = now() + RECEIVE_LIMIT;
    while now() < until {
        match probe::probe(shard, id).await {
            Probed::Status(status) if status.received >= received => return true,
            _ => tokio::time::sleep(RECEIVE_POLL).await,
        }
    }
    false
}

async fn claim(
    replacer: &Replacer,
    group: &GroupId,
    order: OrderChange,
    since: DutyToken,
) -> Result<Claim, ClaimFailure> {
    duty_control::claim(&replacer.engine, &*replacer.directory, group, order, since).await
}

impl Replacement<'_> {
    async fn carry_out(&mut self, first: Candidate) -> Result<(), Abandoned> {
        if self.is_outdated() {
            return Err(Abandoned::BeforeOrder("outdated"));
        }
        let event = Event::new(EventKind::ReplacementBegun)
            .with("group", self.shard.id())
            .with_some("from", self.from.as_ref())
            .with("server", &first.id)
            .with("received", first.status.received)
            .with("reason", format_args!("{:?}", self.reason))
            .with("token", self.duty.token);
        event_log::emit(&event);
        let began_at = now();
        if self.is_planned() {
            self.prepare_planned().await;
        }
        self.collect_promises().await?;
        self.record_step("agree", began_at);
        let began_at = now();
        let target = self.choose_successor(first).await?;
        self.check_order_stored()?;
        self.record_step("choose", began_at);
        let confirmed_at = self.confirm_promises().await?;
        let began_at = now();
        if began_at > confirmed_at + ORDER_SEND_LIMIT {
            return Err(Abandoned::BeforeOrder("the promises are too old"));
        }
        // Each token is used for one order only: of two orders under the same token
        // nothing shows which one the platform carried out last.
        self.replacer.engine.with_duties(|duties| duties.mark_token_used(&self.duty));
        let promoted = self.replacer.promoter.promote(&self.duty, &target.id).await;
        self.record_step("promote", began_at);
        let event = Event::new(EventKind::PromotionAnswered).with("group", self.shard.id());
        let event = event.with("server", &target.id).with("token", self.duty.token);
        event_log::emit(&event.with("outcome", format_args!("{promoted:?}")));
        self.finish(&target.id, promoted).await
    }

    /// Checks that the store has not been restored from a backup since it accepted the
    /// order, as far as this instance knows. Instances that do not answer are to read the
    /// order in the store.
    fn check_order_stored(&self) -> Result<(), Abandoned> {
        let latest = self.replacer.engine.store_era().latest();
        if self.written_era < latest {
            return Err(Abandoned::BeforeOrder("the store was restored from a backup"));
        }
        Ok(())
    }

    fn is_planned(&self) -> bool {
        self.reason == ReplaceReason::Leaving
    }

    fn record_step(&self, step: &'static str, began_at: Moment) {
        let took = now().saturating_sub(began_at);
        self.replacer.engine.metrics().replacement_step(step, took);
    }

    /// Whether the reason to replace the primary has disappeared while the duty was
    /// taken, which can take seconds when the store is slow.
    fn is_outdated(&self) -> bool {
        self.shard.with_group(|group| {
            let leader = group.leader().map(|leader| &leader.id);
            if leader != self.from.as_ref() {
                return true;
            }
            let answers = |id: &TargetId| group.server(id).is_some_and(|view| view.failures == 0);
            self.reason == ReplaceReason::Unreachable && leader.is_some_and(answers)
        })
    }

    /// Prepares a planned change in two steps. First it waits until every lease has
    /// expired that the store granted before the order was written; writes continue at
    /// the old primary meanwhile. Then it pauses new work there and waits until running
    /// statements have ended, at most for `PAUSE_LIMIT`.
    async fn prepare_planned(&self) {
        tokio::time::sleep((self.written_at + STORE_LEASE).saturating_sub(now())).await;
        let until = now() + PAUSE_LIMIT;
        loop {
            let replies = self.send_term_end_to_all(true).await;
            let running: u64 = replies.iter().map(|(_, reply)| reply.running).sum();
            if running == 0 || now() >= until {
                return;
            }
            tokio::time::sleep(PAUSE_POLL).await;
        }
    }

    /// Chooses the server to promote, now that no instance acknowledges commits of the
    /// old primary any more. If the old primary answers, this waits for up to
    /// `RECEIVE_LIMIT` until the server has received all that the primary has.
    async fn choose_successor(&mut self, first: Candidate) -> Result<Candidate, Abandoned> {
        let until = now() + RECEIVE_LIMIT;
        let best = loop {
            let found =
                survey(&self.replacer.engine, self.shard, self.from.as_ref(), self.reason).await;
            if found.leading.is_some() {
                return Err(Abandoned::BeforeOrder("a server leads in a later term"));
            }
            let best = found.best.ok_or(Abandoned::BeforeOrder("no replica can take over"))?;
            if found.old_received.is_none_or(|old| best.status.received >= old) {
                break best;
            }
            if now() >= until {
                if self.replacer.engine.sync_replicas(self.shard.id()) > 0 {
                    return Err(Abandoned::BeforeOrder("no replica has every acknowledged commit"));
                }
                break best;
            }
            tokio::time::sleep(RECEIVE_POLL).await;
        };
        if best.id != first.id && !self.replace_order(&best).await {
            return Err(Abandoned::BeforeOrder("another replica received more"));
        }
        Ok(best)
    }

    /// Replaces the order, which was not sent to the platform yet, by one for another
    /// server. Returns whether it did. It needs the store: the voters promised for the
    /// first server, and the store has to show the new one.
    async fn replace_order(&mut self, target: &Candidate) -> bool {
        let permitted =
            duty::order_permits(self.last_order.as_ref(), &target.id, target.status.term);
        if !permitted && self.reason != ReplaceReason::LastResort {
            return false;
        }
        let order = DutyOrder { server: target.id.clone(), term: self.term.saturating_add(1) };
        let (change, since) = (OrderChange::Put(Some(order)), self.duty.token);
        let claim = claim(self.replacer, self.shard.id(), change, since).await;
        let Ok(Claim { duty, written_era, .. }) = claim else {
            return false;
        };
        self.written_era = written_era;
        self.withdrawn_token = std::mem::replace(&mut self.duty, duty).token;
        self.successor = target.id.clone();
        // The new successor has to be sent to the voters: until the order has ended, they
        // object to an order for another server.
        let replies = self.send_term_end_to_all(false).await;
        let has_promised =
            |voter: &InstanceId| replies.iter().any(|(id, reply)| id == voter && reply.promised);
        self.voters.has_majority(has_promised) || self.reason == ReplaceReason::LastResort
    }

    /// Restores the previous order in place of the one that was written and not sent, so
    /// that other instances do not wait for its outcome.
    async fn withdraw(&self) {
        self.announce_outcome(None);
        let restored = OrderChange::Put(self.last_order.clone());
        let since = self.duty.token;
        if claim(self.replacer, self.shard.id(), restored, since).await.is_err() {
            let event = Event::new(EventKind::DutyFailed).with("group", self.shard.id());
            event_log::emit(&event.with("reason", "the order could not be withdrawn"));
        }
    }

    /// Waits until the server leads that the platform was ordered to promote.
    async fn finish(&self, target: &TargetId, promoted: Promoted) -> Result<(), Abandoned> {
        let limit = match promoted {
            Promoted::Accepted => LEAD_LIMIT,
            Promoted::Unanswered => UNANSWERED_ORDER_LIMIT,
            Promoted::Refused => {
                return Err(Abandoned::BeforeOrder("the platform refused the order"));
            }
            Promoted::NotDone => {
                return Err(Abandoned::BeforeOrder("the platform accepts no orders now"));
            }
        };
        let began_at = now();
        let mut failures = 0;
        while now() < began_at + limit && failures < LEAD_FAILURE_LIMIT {
            match probe::probe(self.shard, target).await {
                Probed::Status(status) if status.leads && status.term > self.term => {
                    self.record_step("lead", began_at);
                    self.announce_outcome(Some((target, status.term)));
                    self.demote_old(target, status.term);
                    return Ok(());
                }
                Probed::Failed => failures += 1,
                Probed::Status(_) | Probed::Busy => failures = 0,
            }
            self.defer_own_replacement(began_at);
            tokio::time::sleep(LEAD_POLL).await;
        }
        Err(Abandoned::AfterOrder)
    }

    /// Prevents a second replacement by this instance while the platform carries out the
    /// order. Other instances ask this one before they begin a replacement.
    fn defer_own_replacement(&self, began_at: Moment) {
        if now() > began_at + REPLACEMENT_TIME / 2 {
            self.replacer.engine.watches().expect_replacement(self.shard.id(), now());
        }
    }

    /// Announces to all participants that the order is settled, and which server leads;
    /// `None` if the order was withdrawn.
    fn announce_outcome(&self, leading: Option<(&TargetId, Term)>) {
        let engine = &self.replacer.engine;
        let news = PrimaryNews {
            group: self.shard.id().to_string(),
            server: leading.map(|(server, _)| server.to_string()).unwrap_or_default(),
            term: leading.map_or(0, |(_, term)| term),
            token: self.duty.token,
        };
        engine.apply_primary_news(&news);
        let others = self.participants().into_iter().filter(|record| record.id != engine.me().id);
        let announcing = others.map(|record| {
            let (engine, news) = (engine.clone(), news.clone());
            async move {
                // An instance that misses this finds the primary by its own probes.
                let _answer =
                    engine.peers().ask(record.peer_address, Body::PrimaryNews(news)).await;
            }
        });
        tokio::spawn(join_all(announcing));
    }

    /// Demotes the old primary in the background. By itself it would continue to lead for
    /// a second.
    fn demote_old(&self, target: &TargetId, term: Term) {
        if let Some(from) = self.from.clone().filter(|from| from != target) {
            tokio::spawn(demote(self.shard.clone(), from, term));
        }
    }
}

/// Demotes an old primary, and logs the result.
async fn demote(shard: Arc<Shard>, server: TargetId, term: Term) {
    let Some(info) = shard.with_group(|group| group.server(&server).map(|view| view.info.clone()))
    else {
        return;
    };
    let demoting = async {
        let mut connection =
            shard.connect(&info, None, None).await.map_err(|error| error.to_string())?;
        let reply = connection.demote(term).await.map_err(|error| error.to_string())?;
        reply.map(|_| ()).map_err(|refusal| refusal.text.to_string())
    };
    let result = tokio::time::timeout(DEMOTE_TIMEOUT, demoting).await;
    let failed = result.unwrap_or_else(|_| Err("no answer in time".to_owned())).err();
    let event = Event::new(EventKind::Demoted).with("group", shard.id()).with("server", &server);
    event_log::emit(&event.with("term", term).with_some("failed", failed));
}
