//! Liveness of the other instances: checks whether they can be reached, and picks a
//! reachable holder of a group.
//!
//! The holders of a group are the instances that keep connections to its servers. A
//! liveness check is a request on a new link that the other instance answers at once. An
//! instance that leaves a request unanswered counts as unreachable until it answers one.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use chervilwharf_lib::engine_protos::SignOfLife;
use chervilwharf_lib::engine_protos::SignOfLifeReply;
use chervilwharf_lib::engine_protos::engine_frame::Body;
use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::fleet::InstanceRecord;
use chervilwharf_lib::holder_choice::Candidate;
use chervilwharf_lib::id::InstanceId;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::peer_contact::LIVENESS_TIMEOUT;
use chervilwharf_lib::peer_contact::PeerContacts;
use chervilwharf_lib::peer_contact::Reachability;
use chervilwharf_lib::peer_contact::STARTING_RECHECK_INTERVAL;
use chervilwharf_lib::received_statements::DeliveryState;
use chervilwharf_lib::received_statements::StatementTicket;
use futures::StreamExt;
use futures::stream::FuturesUnordered;

use crate::engine::clock::now;
use crate::engine::event_log;
use crate::engine::load_choice::HolderQuery;
use crate::engine::peers::PeerError;
use crate::engine::records;
use crate::engine::shared::Engine;

/// The liveness of the other instances, as far as their answers show it.
#[derive(Default)]
pub struct Contacts(Mutex<PeerContacts>);

impl Contacts {
    fn lock(&self) -> MutexGuard<'_, PeerContacts> {
        self.0.lock().expect("never poisoned")
    }

    /// The liveness of an instance at present.
    #[must_use]
    pub fn of(&self, id: &InstanceId) -> Reachability {
        self.lock().reachability(now(), id)
    }

    /// Records that an instance answered a request that was sent at `asked_at`, and logs
    /// if it was unreachable before.
    pub fn record_answer(&self, asked_at: Moment, id: &InstanceId) {
        let has_changed = self.lock().record_answer(asked_at, id);
        if has_changed {
            event_log::emit(&Event::new(EventKind::PeerHeard).with("peer", id));
        }
    }

    /// Records that an instance left a request of `asked_at` unanswered, and logs if it
    /// becomes unreachable by that.
    pub fn record_no_answer(&self, asked_at: Moment, id: &InstanceId) {
        let at = now();
        let has_changed = self.lock().record_no_answer(at, asked_at, id);
        Self::log_unreachable(has_changed, at.saturating_sub(asked_at), id);
    }

    /// Records that an exchange of `asked_at` with an instance failed, and logs if the instance
    /// becomes unreachable by that.
    pub fn record_failure(&self, asked_at: Moment, id: &InstanceId, error: Option<&PeerError>) {
        if !matches!(error, Some(PeerError::Refused)) {
            return self.record_no_answer(asked_at, id);
        }
        let at = now();
        let has_changed = self.lock().record_refused_connection(at, id);
        Self::log_unreachable(has_changed, at.saturating_sub(asked_at), id);
    }

    fn log_unreachable(has_changed: bool, after: Duration, id: &InstanceId) {
        if has_changed {
            let event = Event::new(EventKind::PeerSilent).with("peer", id);
            event_log::emit(&event.with_ms("for_ms", after));
        }
    }

    /// Discards all records of liveness. For an instance that was suspended itself, so
    /// that unanswered requests prove nothing about the others.
    pub fn clear(&self) {
        *self.lock() = PeerContacts::default();
    }

    /// Discards the records of instances that do not exist any more.
    pub fn keep_only(&self, exists: impl Fn(&InstanceId) -> bool) {
        self.lock().keep_only(exists);
    }

    fn is_starting(&self, at: Moment, id: &InstanceId) -> bool {
        self.lock().is_starting(at, id)
    }

    /// Whether a liveness check of an instance is due; if so, it counts as sent.
    fn take_due_liveness_check(&self, id: &InstanceId) -> bool {
        self.lock().take_due_liveness_check(now(), id)
    }
}

impl Engine {
    /// Checks whether another instance responds.
    pub async fn check_liveness(&self, peer: &InstanceRecord) -> bool {
        self.send_check(peer, SignOfLife::default()).await.is_some()
    }

    /// Asks another instance for the delivery state of a statement that was sent to it at
    /// `sent_at`. If the statement has not arrived, the other instance will not run it any
    /// more. `None` without an answer.
    pub async fn ask_for_statement(
        &self,
        peer: &InstanceRecord,
        ticket: StatementTicket,
        sent_at: Moment,
    ) -> Option<DeliveryState> {
        let sent_ms_ago = records::milliseconds_above(now().saturating_sub(sent_at));
        let reply = self.send_check(peer, SignOfLife { ticket, sent_ms_ago }).await?;
        Some(match reply {
            SignOfLifeReply { withdrawn: true, .. } => DeliveryState::Withdrawn,
            SignOfLifeReply { ended: true, .. } => DeliveryState::Ended,
            _ => DeliveryState::Unresolved,
        })
    }

    /// Sends a liveness check on a new link, since an existing one may be broken while the
    /// instance responds on others. `None` without an answer.
    async fn send_check(
        &self,
        peer: &InstanceRecord,
        request: SignOfLife,
    ) -> Option<SignOfLifeReply> {
        let asked_at = now();
        let request = Body::SignOfLife(request);
        let answer =
            self.peers().ask_on_new_link(peer.peer_address, request, LIVENESS_TIMEOUT).await;
        let Ok(Body::SignOfLifeReply(reply)) = answer else {
            self.peer_contacts().record_failure(asked_at, &peer.id, answer.as_ref().err());
            return None;
        };
        self.peer_contacts().record_answer(asked_at, &peer.id);
        Some(reply)
    }

    /// Answers the liveness check of another instance. If it names a statement, and that
    /// has not arrived, the statement is withdrawn.
    #[must_use]
    pub fn sign_of_life(&self, request: SignOfLife) -> SignOfLifeReply {
        if request.ticket == 0 {
            return SignOfLifeReply::default();
        }
        let sent_ago = Duration::from_millis(request.sent_ms_ago);
        let delivery_state = self.with_received_statements(|received_statements| {
            received_statements.withdraw(now(), request.ticket, sent_ago)
        });
        SignOfLifeReply {
            withdrawn: delivery_state == DeliveryState::Withdrawn,
            ended: delivery_state == DeliveryState::Ended,
        }
    }

    /// Picks a reachable holder of a group, other than those in `tried`. `None` if there
    /// is none. Unreachable holders are checked once more, unless that was done just now.
    ///
    /// While all of them are unreachable and some are starting, waits for those until
    /// `start_wait_until`. After a restart of all instances, the first clients arrive at
    /// instances that start some ten milliseconds before the holders do. Waits as well for a
    /// list of the instances that the store is about to return: without it an instance that
    /// already has its configuration would refuse all requests.
    pub async fn find_holder(
        self: &Arc<Self>,
        query: &HolderQuery,
        tried: &[InstanceId],
        start_wait_until: Moment,
    ) -> Option<Candidate> {
        loop {
            if !self.wait_for_candidate_holders(start_wait_until).await {
                return None;
            }
            let candidates = self.candidates(&query.group, tried);
            let chosen = self.choose_holder(&candidates, query)?;
            match chosen.reachability {
                Reachability::Reachable => {
                    self.check_in_background(&candidates);
                    return Some(chosen);
                }
                Reachability::Unverified => {
                    // A statement may need one of the others next.
                    self.check_in_background(&candidates);
                    if self.check_liveness(&chosen.record).await {
                        return Some(chosen);
                    }
                }
                Reachability::Unreachable => {
                    if self.check_unreachable(&candidates).await {
                        continue;
                    }
                    let at = now();
                    let starting =
                        |c: &Candidate| self.peer_contacts().is_starting(at, &c.record.id);
                    let recheck_at = at + STARTING_RECHECK_INTERVAL;
                    if recheck_at > start_wait_until || !candidates.iter().any(starting) {
                        return None;
                    }
                    tokio::time::sleep(STARTING_RECHECK_INTERVAL).await;
                }
            }
        }
    }

    /// Checks the candidates whose check is due, without waiting for their answers.
    fn check_in_background(self: &Arc<Self>, candidates: &[Candidate]) {
        let due = |candidate: &&Candidate| {
            self.peer_contacts().take_due_liveness_check(&candidate.record.id)
        };
        for candidate in candidates.iter().filter(due) {
            let (engine, record) = (self.clone(), candidate.record.clone());
            tokio::spawn(async move { engine.check_liveness(&record).await });
        }
    }

    /// Checks unreachable candidates, except those that were checked just now. Returns
    /// true as soon as one answers, and false if none does.
    async fn check_unreachable(&self, candidates: &[Candidate]) -> bool {
        let due = candidates
            .iter()
            .filter(|c| self.peer_contacts().take_due_liveness_check(&c.record.id));
        let mut checks: FuturesUnordered<_> =
            due.map(|candidate| self.check_liveness(&candidate.record)).collect();
        while let Some(answered) = checks.next().await {
            if answered {
                return true;
            }
        }
        false
    }
}
