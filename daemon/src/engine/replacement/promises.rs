//! Collects the promises of the voters that no instance uses the term of the old primary any
//! more.

use std::time::Duration;

use chervilwharf_lib::engine_protos::TermEnd;
use chervilwharf_lib::engine_protos::TermEndReply;
use chervilwharf_lib::engine_protos::engine_frame::Body;
use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::fleet::InstanceRecord;
use chervilwharf_lib::id::InstanceId;
use chervilwharf_lib::leader_watch::ReplaceReason;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::primary_lease::PromiseTally;
use chervilwharf_lib::primary_lease::Readiness;
use futures::StreamExt;
use futures::future::join_all;
use futures::stream::FuturesUnordered;

use crate::engine::clock::now;
use crate::engine::event_log;
use crate::engine::primary_lease_control::decode_grants;
use crate::engine::replacement::Abandoned;
use crate::engine::replacement::Replacement;
use crate::engine::voter_control::decode_voters;
use crate::engine::voter_control::encode_voters;

/// How long promises are collected. Responsive instances answer within milliseconds;
/// the rest of the time is for instances that become responsive again.
const PROMISE_LIMIT: Duration = Duration::from_secs(2);

/// Pause between two rounds of requests for promises.
const PROMISE_PAUSE: Duration = Duration::from_millis(100);

impl Replacement<'_> {
    /// All instances that may use the primary or vote, including this one.
    pub(super) fn participants(&self) -> Vec<InstanceRecord> {
        let engine = &self.replacer.engine;
        let mut records = engine.voters_and_co_holders(self.shard.id());
        records.push(engine.me().clone());
        records
    }

    /// Sends a [`TermEnd`] to all participants and returns the replies. `only_pause`
    /// requests a pause of new work and no promise.
    pub(super) async fn send_term_end_to_all(
        &self,
        only_pause: bool,
    ) -> Vec<(InstanceId, TermEndReply)> {
        self.send_term_end(&self.participants(), only_pause).await
    }

    async fn send_term_end(
        &self,
        participants: &[InstanceRecord],
        only_pause: bool,
    ) -> Vec<(InstanceId, TermEndReply)> {
        let request = self.term_end(only_pause);
        let requests = participants.iter().map(|record| self.ask_participant(&request, record));
        join_all(requests).await.into_iter().flatten().collect()
    }

    fn term_end(&self, only_pause: bool) -> TermEnd {
        let me = self.replacer.engine.me();
        TermEnd {
            group: self.shard.id().to_string(),
            term: self.term,
            only_pause,
            planned: self.is_planned(),
            server: self.from.as_ref().map(ToString::to_string).unwrap_or_default(),
            token: self.duty.token,
            successor: self.successor.to_string(),
            withdrawn_token: self.withdrawn_token,
            written_era: Some(self.written_era),
            voters: Some(encode_voters(&self.voters)),
            holder: me.id.to_string(),
            life: me.life,
        }
    }

    async fn ask_participant(
        &self,
        request: &TermEnd,
        record: &InstanceRecord,
    ) -> Option<(InstanceId, TermEndReply)> {
        let engine = &self.replacer.engine;
        if record.id == engine.me().id {
            return Some((record.id.clone(), engine.end_term(request)));
        }
        let request = Body::TermEnd(request.clone());
        match engine.peers().ask(record.peer_address, request).await {
            Ok(Body::TermEndReply(reply)) => Some((record.id.clone(), reply)),
            _ => None,
        }
    }

    /// A tally without promises of these instances.
    fn new_tally(&self, participants: &[InstanceRecord]) -> PromiseTally {
        let ids = participants.iter().map(|record| record.id.clone()).collect();
        PromiseTally::new(self.voters.clone(), ids, self.written_at, self.readers_end)
    }

    /// Collects promises until no instance can use the old term any more.
    pub(super) async fn collect_promises(&mut self) -> Result<(), Abandoned> {
        let engine = &self.replacer.engine;
        self.voters = engine.voters(self.shard.id());
        let participants = self.participants();
        let mut tally = self.new_tally(&participants);
        let last_resort = self.reason == ReplaceReason::LastResort;
        let until = now() + PROMISE_LIMIT;
        loop {
            let missing: Vec<_> = tally.missing().cloned().collect();
            let left = participants.iter().filter(|record| missing.contains(&record.id));
            let left: Vec<_> = left.cloned().collect();
            for (id, reply) in self.send_term_end(&left, false).await {
                self.apply_reply(&mut tally, &id, &reply)?;
            }
            self.check_order_stored()?;
            let at = now();
            let why = match tally.readiness(last_resort) {
                Readiness::From(from) if from <= at => {
                    self.report_promises(&tally);
                    return Ok(());
                }
                Readiness::From(_) => "unreachable instances may still use the old primary",
                Readiness::TooFewVotes => "too few voters have promised",
            };
            if at >= until {
                return Err(Abandoned::BeforeOrder(why));
            }
            tokio::time::sleep(PROMISE_PAUSE).await;
        }
    }

    /// Requests the promises again, right before the order is sent. Returns when they were
    /// requested.
    ///
    /// Another instance may have taken the duty since the promises were collected. Its order
    /// has a higher token and may have been sent already; the majority that promised for it
    /// shares a voter with any that confirms this one.
    pub(super) async fn confirm_promises(&self) -> Result<Moment, Abandoned> {
        let asked_at = now();
        let participants = self.participants();
        let mut tally = self.new_tally(&participants);
        let request = self.term_end(false);
        let requests = participants.iter().map(|record| self.ask_participant(&request, record));
        let mut replies: FuturesUnordered<_> = requests.collect();
        while let Some(replied) = replies.next().await {
            if let Some((id, reply)) = replied {
                self.apply_reply(&mut tally, &id, &reply)?;
            }
            if tally.has_majority() {
                return Ok(asked_at);
            }
        }
        if self.reason == ReplaceReason::LastResort {
            return Ok(asked_at);
        }
        Err(Abandoned::BeforeOrder("too few voters have confirmed their promises"))
    }

    fn apply_reply(
        &self,
        tally: &mut PromiseTally,
        id: &InstanceId,
        reply: &TermEndReply,
    ) -> Result<(), Abandoned> {
        if let Some(later) = &reply.later_voters {
            self.replacer.engine.adopt_voters(self.shard, &decode_voters(later.clone()));
            return Err(Abandoned::BeforeOrder("the voters have changed"));
        }
        if reply.later_term > self.term {
            return Err(Abandoned::BeforeOrder("a later term is in use"));
        }
        if reply.higher_token > self.duty.token {
            return Err(Abandoned::BeforeOrder("another instance has a higher token"));
        }
        if reply.later_era > 0 {
            self.replacer.engine.note_store_era(reply.later_era, id);
            return self.check_order_stored();
        }
        if !reply.other_successor.is_empty() {
            return Err(Abandoned::BeforeOrder("an order for another server is outstanding"));
        }
        if reply.unsent_token > 0 || reply.just_started {
            return Ok(());
        }
        if !reply.promised {
            return match self.reason {
                ReplaceReason::Unreachable => {
                    Err(Abandoned::BeforeOrder("another instance reaches the primary"))
                }
                _ => Ok(()),
            };
        }
        tally.promised(now(), id, decode_grants(&reply.given));
        Ok(())
    }

    fn report_promises(&self, tally: &PromiseTally) {
        let missing_promises = tally.missing().count();
        let event = Event::new(EventKind::ReplacementAgreed).with("group", self.shard.id());
        let event = event.with("term", self.term).with("token", self.duty.token);
        event_log::emit(&event.with_count("silent", missing_promises));
    }
}
