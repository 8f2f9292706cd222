//! Replaces the primary of a group.
//!
//! In this order: the order is written into the store; for a planned change the
//! old primary gets no new work for a moment; the instances promise to use its
//! term no more, and those that are silent are waited for until their right has
//! ended; the replica that received most is promoted; the others are told, and
//! the old primary is demoted.

use std::sync::Arc;
use std::time::Duration;

use chervilwharf_lib::duty;
use chervilwharf_lib::duty::DutyOrder;
use chervilwharf_lib::duty::DutyRecord;
use chervilwharf_lib::duty::DutyToken;
use chervilwharf_lib::engine_protos::PrimaryNews;
use chervilwharf_lib::engine_protos::TermEnd;
use chervilwharf_lib::engine_protos::TermEndReply;
use chervilwharf_lib::engine_protos::engine_frame::Body;
use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::fleet::InstanceRecord;
use chervilwharf_lib::id::GroupId;
use chervilwharf_lib::id::InstanceId;
use chervilwharf_lib::id::TargetId;
use chervilwharf_lib::id::Term;
use chervilwharf_lib::leader_watch::REPLACEMENT_TIME;
use chervilwharf_lib::leader_watch::ReplaceReason;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::primary_lease::PromiseTally;
use chervilwharf_lib::primary_lease::Readiness;
use chervilwharf_lib::primary_lease::STORE_LEASE;
use chervilwharf_lib::revision::Era;
use futures::future::join_all;

use crate::engine::clock::now;
use crate::engine::directory::Directory;
use crate::engine::duty_control;
use crate::engine::duty_control::Claim;
use crate::engine::duty_control::OrderChange;
use crate::engine::event_log;
use crate::engine::primary_lease_control::decode_given;
use crate::engine::probe;
use crate::engine::probe::Probed;
use crate::engine::promoter::Promoted;
use crate::engine::promoter::Promoter;
use crate::engine::shard::Shard;
use crate::engine::shared::Engine;
use crate::engine::survey::Candidate;
use crate::engine::survey::survey;

/// Pause between two questions to a server that is about to lead.
const LEAD_POLL: Duration = Duration::from_millis(60);

/// How long a server may take to lead after an order that was accepted, as long
/// as it answers. The platform says some hundred ms; a second order meanwhile
/// could undo the first, so it is given several times the second that
/// platforms are known to take.
const LEAD_LIMIT: Duration = Duration::from_secs(6);

/// Questions in a row that a server about to lead may leave unanswered before
/// it is taken for dead.
const LEAD_FAILURES: u32 = 3;

/// How long to look for the effect of an order that got no answer before it
/// is given again under a higher token.
const UNANSWERED_LIMIT: Duration = Duration::from_millis(500);

/// How long what runs at a primary may take to end before a planned change.
/// Half of the statements take under 14 ms; writes wait meanwhile.
const PAUSE_LIMIT: Duration = Duration::from_millis(100);

/// Pause between two questions whether it has ended.
const PAUSE_POLL: Duration = Duration::from_millis(15);

/// How long promises are asked for. Those that answer do so within
/// milliseconds; the rest is for silent ones that come back.
const PROMISE_LIMIT: Duration = Duration::from_secs(2);

/// Pause between two rounds of asking for promises.
const PROMISE_PAUSE: Duration = Duration::from_millis(100);

/// How long the successor in a planned change may take to receive what the old
/// primary has.
const RECEIVE_LIMIT: Duration = Duration::from_millis(500);

/// Pause between two questions whether it has.
const RECEIVE_POLL: Duration = Duration::from_millis(10);

/// Time for an answer to DEMOTE.
const DEMOTE_TIMEOUT: Duration = Duration::from_millis(500);

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

/// Why a replacement went no further.
enum Dropped {
    /// Nothing was ordered.
    BeforeOrder(&'static str),
    /// Nothing was ordered, and another instance may be able to.
    LeftToOthers(&'static str),
    /// The order may have been given.
    AfterOrder,
}

/// One replacement under way.
struct Replacement<'a> {
    replacer: &'a Replacer,
    shard: &'a Arc<Shard>,
    from: Option<TargetId>,
    reason: ReplaceReason,
    /// The term that ends.
    term: Term,
    /// The order that stood before, if its outcome may still matter.
    last_order: Option<DutyOrder>,
    duty: DutyRecord,
    /// The server that the order names.
    successor: TargetId,
    /// Token of an order of this replacement that was not given; 0 for none.
    withdrawn: DutyToken,
    /// When the store took the order; `None` if an old token has to do.
    written_at: Option<Moment>,
    /// Era of the store that took it.
    written_era: Option<Era>,
}

/// Replaces a primary. Returns whether another server leads now.
pub async fn replace(
    replacer: &Replacer,
    shard: &Arc<Shard>,
    from: Option<TargetId>,
    reason: ReplaceReason,
) -> bool {
    match try_replace(replacer, shard, from.clone(), reason).await {
        Ok(()) => true,
        Err(Dropped::AfterOrder) => false,
        Err(Dropped::BeforeOrder(reason) | Dropped::LeftToOthers(reason)) => {
            let event = Event::new(EventKind::ReplacementDropped).with("group", shard.id());
            event_log::emit(&event.with_some("from", from).with("reason", reason));
            false
        }
    }
}

async fn try_replace(
    replacer: &Replacer,
    shard: &Arc<Shard>,
    from: Option<TargetId>,
    reason: ReplaceReason,
) -> Result<(), Dropped> {
    let last_resort = reason == ReplaceReason::LastResort;
    let since = replacer.engine.with_duties(|duties| duties.token(shard.id()));
    let found = survey(&replacer.engine, shard, from.as_ref(), reason).await;
    if found.leading.is_some_and(|leading| from.as_ref() != Some(&leading.id)) {
        return Ok(());
    }
    let target = found.best.ok_or(Dropped::BeforeOrder("no replica can take over"))?;
    let seen_term = shard.with_group(|group| group.seen_term()).max(target.status.term);
    let known = replacer.engine.with_duties(|duties| duties.record(shard.id()).cloned());
    let last_order = known.and_then(|record| record.order);
    if !last_resort && !duty::order_permits(last_order.as_ref(), &target.id, seen_term) {
        return Err(Dropped::BeforeOrder("an order for another server is unsettled"));
    }
    let highest_term = shard.with_group(|group| group.highest_term()).max(seen_term);
    let order = DutyOrder { server: target.id.clone(), term: highest_term + 1 };
    let metrics = replacer.engine.metrics();
    let began_at = now();
    let claim = claim(replacer, shard.id(), OrderChange::Put(Some(order)), since).await;
    let claim = claim.ok_or(Dropped::BeforeOrder("the duty could not be taken"))?;
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
        withdrawn: 0,
        written_at: claim.written_at,
        written_era: claim.written_era,
    };
    let result = replacement.carry_out(target).await;
    match result {
        Err(Dropped::BeforeOrder(_)) => replacement.withdraw().await,
        Err(Dropped::LeftToOthers(_)) => {
            replacement.withdraw().await;
            replacer.engine.watches().step_back(shard.id());
        }
        _ => {}
    }
    result
}

async fn claim(
    replacer: &Replacer,
    group: &GroupId,
    order: OrderChange,
    since: DutyToken,
) -> Option<Claim> {
    duty_control::claim(&replacer.engine, &*replacer.directory, group, order, since).await
}

impl Replacement<'_> {
    async fn carry_out(&mut self, first: Candidate) -> Result<(), Dropped> {
        if self.is_outdated() {
            return Err(Dropped::BeforeOrder("outdated"));
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
        if self.written_at.is_none() && !self.all_voters_answer().await {
            return Err(Dropped::LeftToOthers("the store has not the order, and not all answer"));
        }
        self.collect_promises().await?;
        self.metrics_step("agree", began_at);
        let began_at = now();
        let target = self.choose_successor(first).await?;
        self.check_written()?;
        self.metrics_step("choose", began_at);
        let began_at = now();
        // One order a token: with an old one under the same token nobody could
        // tell which of both was carried out last.
        self.replacer.engine.with_duties(|duties| duties.mark_token_used(&self.duty));
        let promoted = self.replacer.promoter.promote(&self.duty, &target.id).await;
        self.metrics_step("promote", began_at);
        let event = Event::new(EventKind::PromotionAnswered).with("group", self.shard.id());
        let event = event.with("server", &target.id).with("token", self.duty.token);
        event_log::emit(&event.with("outcome", format_args!("{promoted:?}")));
        self.finish(&target.id, promoted).await
    }

    /// Whether the store still holds the order, as far as is known: silent instances are
    /// to read it there.
    fn check_written(&self) -> Result<(), Dropped> {
        let latest = self.replacer.engine.store_era().latest();
        if self.written_era.is_some_and(|era| era < latest) {
            return Err(Dropped::BeforeOrder("the store came back from a copy"));
        }
        Ok(())
    }

    fn is_planned(&self) -> bool {
        self.reason == ReplaceReason::Leaving
    }

    fn metrics_step(&self, step: &'static str, began_at: Moment) {
        let took = now().saturating_sub(began_at);
        self.replacer.engine.metrics().replacement_step(step, took);
    }

    /// Whether the reason to replace a primary has gone while the duty was
    /// taken, which can last for seconds when the store is slow.
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

    /// Before a planned change: nobody who reads the store begins to use the old
    /// term, and what runs at the old primary ends. Writes go on there during
    /// the first, longer part.
    async fn prepare_planned(&self) {
        if let Some(written_at) = self.written_at {
            tokio::time::sleep((written_at + STORE_LEASE).saturating_sub(now())).await;
        }
        let until = now() + PAUSE_LIMIT;
        loop {
            let replies = self.ask_all(true).await;
            let running: u64 = replies.iter().map(|(_, reply)| reply.running).sum();
            if running == 0 || now() >= until {
                return;
            }
            tokio::time::sleep(PAUSE_POLL).await;
        }
    }

    /// Whether all that vote answer, so that they can promise in person. Asked
    /// before the term is ended: an instance that the store turned away ended it
    /// again and again, and a group had no primary for twelve seconds.
    async fn all_voters_answer(&self) -> bool {
        let replies = self.ask_all(true).await;
        let answers = |voter: &InstanceId| replies.iter().any(|(id, _)| id == voter);
        self.replacer.engine.voters(self.shard.id()).iter().all(answers)
    }

    /// All instances that may use the primary or vote, this one included.
    fn participants(&self) -> Vec<InstanceRecord> {
        let engine = &self.replacer.engine;
        let mut records = engine.voters_and_co_holders(self.shard.id());
        records.push(engine.me().clone());
        records
    }

    async fn ask_all(&self, only_pause: bool) -> Vec<(InstanceId, TermEndReply)> {
        self.ask(&self.participants(), only_pause).await
    }

    async fn ask(
        &self,
        participants: &[InstanceRecord],
        only_pause: bool,
    ) -> Vec<(InstanceId, TermEndReply)> {
        let engine = &self.replacer.engine;
        let question = TermEnd {
            group: self.shard.id().to_string(),
            term: self.term,
            only_pause,
            planned: self.is_planned(),
            server: self.from.as_ref().map(ToString::to_string).unwrap_or_default(),
            token: self.duty.token,
            successor: self.successor.to_string(),
            withdrawn_token: self.withdrawn,
            written_era: self.written_era,
        };
        let asking = participants.iter().map(async |record| {
            if record.id == engine.me().id {
                return Some((record.id.clone(), engine.end_term(&question)));
            }
            let question = Body::TermEnd(question.clone());
            match engine.peers().ask(record.peer_address, question).await {
                Ok(Body::TermEndReply(reply)) => Some((record.id.clone(), reply)),
                _ => None,
            }
        });
        join_all(asking).await.into_iter().flatten().collect()
    }

    /// Collects promises until nobody uses the old term any more.
    async fn collect_promises(&self) -> Result<(), Dropped> {
        let engine = &self.replacer.engine;
        let participants = self.participants();
        let ids: Vec<_> = participants.iter().map(|record| record.id.clone()).collect();
        let voters = engine.voters(self.shard.id()).to_vec();
        let mut agreement = PromiseTally::new(voters, ids, self.written_at);
        let last_resort = self.reason == ReplaceReason::LastResort;
        let until = now() + PROMISE_LIMIT;
        loop {
            let missing: Vec<_> = agreement.missing().cloned().collect();
            let left = participants.iter().filter(|record| missing.contains(&record.id));
            let left: Vec<_> = left.cloned().collect();
            for (id, reply) in self.ask(&left, false).await {
                self.take_reply(&mut agreement, &id, &reply)?;
            }
            self.check_written()?;
            let at = now();
            let why = match agreement.readiness(last_resort) {
                Readiness::From(from) if from <= at => {
                    self.report_agreement(&agreement);
                    return Ok(());
                }
                Readiness::From(_) => "silent instances may still use the old primary",
                Readiness::TooFewVotes => "too few instances have promised",
                Readiness::SomeUnreachable => "some are silent and the store has not the order",
            };
            if at >= until {
                return Err(Dropped::BeforeOrder(why));
            }
            tokio::time::sleep(PROMISE_PAUSE).await;
        }
    }

    fn take_reply(
        &self,
        agreement: &mut PromiseTally,
        id: &InstanceId,
        reply: &TermEndReply,
    ) -> Result<(), Dropped> {
        if reply.later_term > self.term {
            return Err(Dropped::BeforeOrder("a later term is in use"));
        }
        if reply.higher_token > self.duty.token {
            return Err(Dropped::BeforeOrder("another instance has a higher token"));
        }
        if reply.later_era > 0 {
            self.replacer.engine.note_store_era(reply.later_era, id);
            return self.check_written();
        }
        if !reply.other_successor.is_empty() {
            return Err(Dropped::BeforeOrder("an order for another server is outstanding"));
        }
        if !reply.promised {
            return match self.reason {
                ReplaceReason::Unreachable => {
                    Err(Dropped::BeforeOrder("another instance reaches the primary"))
                }
                _ => Ok(()),
            };
        }
        agreement.promised(now(), id, decode_given(&reply.given));
        Ok(())
    }

    fn report_agreement(&self, agreement: &PromiseTally) {
        let silent = agreement.missing().count();
        let event = Event::new(EventKind::ReplacementAgreed).with("group", self.shard.id());
        let event = event.with("term", self.term).with("token", self.duty.token);
        event_log::emit(&event.with_count("silent", silent));
    }

    /// The server to promote, now that no commit is acknowledged any more. If
    /// the old primary answers, the server has received all that it has.
    async fn choose_successor(&mut self, first: Candidate) -> Result<Candidate, Dropped> {
        let until = now() + RECEIVE_LIMIT;
        let best = loop {
            let found =
                survey(&self.replacer.engine, self.shard, self.from.as_ref(), self.reason).await;
            if found.leading.is_some() {
                return Err(Dropped::BeforeOrder("a server leads in a later term"));
            }
            let best = found.best.ok_or(Dropped::BeforeOrder("no replica can take over"))?;
            let complete = found.old_received.is_none_or(|old| best.status.received >= old);
            if complete || now() >= until {
                break best;
            }
            tokio::time::sleep(RECEIVE_POLL).await;
        };
        if best.id != first.id && !self.order_instead(&best).await {
            return Err(Dropped::BeforeOrder("another replica received more"));
        }
        Ok(best)
    }

    /// Names another server in the order, which was not given yet. Only where
    /// the store keeps it: those that promised know the first one.
    async fn order_instead(&mut self, target: &Candidate) -> bool {
        if self.written_at.is_none() {
            return false;
        }
        let permitted =
            duty::order_permits(self.last_order.as_ref(), &target.id, target.status.term);
        if !permitted && self.reason != ReplaceReason::LastResort {
            return false;
        }
        let order = DutyOrder { server: target.id.clone(), term: self.term + 1 };
        let (change, since) = (OrderChange::Put(Some(order)), self.duty.token);
        let claim = claim(self.replacer, self.shard.id(), change, since).await;
        let Some(Claim { duty, written_at: Some(_), written_era }) = claim else {
            return false;
        };
        self.written_era = written_era;
        self.withdrawn = std::mem::replace(&mut self.duty, duty).token;
        self.successor = target.id.clone();
        // Those that promised have to know whom they may not promote besides.
        let voters = self.replacer.engine.voters(self.shard.id());
        let replies = self.ask_all(false).await;
        let promised = replies.iter().filter(|(id, reply)| reply.promised && voters.contains(id));
        promised.count() * 2 > voters.len() || self.reason == ReplaceReason::LastResort
    }

    /// Takes the order back that was written and not given: others would wait
    /// for its outcome.
    async fn withdraw(&self) {
        self.tell_others(None);
        let restored = OrderChange::Put(self.last_order.clone());
        if self.written_at.is_none() {
            let engine = &self.replacer.engine;
            engine.with_duties(|duties| duties.note_order(self.shard.id(), restored));
            return;
        }
        let since = self.duty.token;
        if claim(self.replacer, self.shard.id(), restored, since).await.is_none() {
            let event = Event::new(EventKind::DutyFailed).with("group", self.shard.id());
            event_log::emit(&event.with("reason", "the order could not be withdrawn"));
        }
    }

    async fn finish(&self, target: &TargetId, promoted: Promoted) -> Result<(), Dropped> {
        let limit = match promoted {
            Promoted::Accepted => LEAD_LIMIT,
            Promoted::Unanswered => UNANSWERED_LIMIT,
            Promoted::Refused => {
                return Err(Dropped::BeforeOrder("the platform refused the order"));
            }
            Promoted::NotDone => {
                return Err(Dropped::BeforeOrder("the platform takes no orders now"));
            }
        };
        let began_at = now();
        let mut failures = 0;
        while now() < began_at + limit && failures < LEAD_FAILURES {
            match probe::probe(self.shard, target).await {
                Probed::Status(status) if status.leads && status.term > self.term => {
                    self.metrics_step("lead", began_at);
                    self.tell_others(Some((target, status.term)));
                    self.demote_old(target, status.term);
                    return Ok(());
                }
                Probed::Failed => failures += 1,
                Probed::Status(_) | Probed::Busy => failures = 0,
            }
            self.keep_others_waiting(began_at);
            tokio::time::sleep(LEAD_POLL).await;
        }
        Err(Dropped::AfterOrder)
    }

    /// While the platform takes its time this instance itself begins no second
    /// replacement; the others ask before they do.
    fn keep_others_waiting(&self, began_at: Moment) {
        if now() > began_at + REPLACEMENT_TIME / 2 {
            self.replacer.engine.watches().expect_replacement(self.shard.id(), now());
        }
    }

    /// Tells all who voted that the order is settled, and who leads now.
    fn tell_others(&self, leading: Option<(&TargetId, Term)>) {
        let engine = &self.replacer.engine;
        let news = PrimaryNews {
            group: self.shard.id().to_string(),
            server: leading.map(|(server, _)| server.to_string()).unwrap_or_default(),
            term: leading.map_or(0, |(_, term)| term),
            token: self.duty.token,
        };
        engine.take_primary_news(&news);
        let others = self.participants().into_iter().filter(|record| record.id != engine.me().id);
        let telling = others.map(|record| {
            let (engine, news) = (engine.clone(), news.clone());
            async move {
                // Who does not hear it finds out by its own questions.
                let _answer =
                    engine.peers().ask(record.peer_address, Body::PrimaryNews(news)).await;
            }
        });
        tokio::spawn(join_all(telling));
    }

    /// Demotes the old primary, which would go on for a second.
    fn demote_old(&self, target: &TargetId, term: Term) {
        if let Some(from) = self.from.clone().filter(|from| from != target) {
            tokio::spawn(demote(self.shard.clone(), from, term));
        }
    }
}

/// Makes an old primary a replica.
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
