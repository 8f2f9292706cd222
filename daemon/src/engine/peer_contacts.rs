//! Asks other instances for signs of life, and remembers who gave them.

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
use chervilwharf_lib::holder_choice::Affinity;
use chervilwharf_lib::holder_choice::Candidate;
use chervilwharf_lib::holder_choice::choose;
use chervilwharf_lib::id::GroupId;
use chervilwharf_lib::id::InstanceId;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::peer_contact::Contact;
use chervilwharf_lib::peer_contact::LIVENESS_TIMEOUT;
use chervilwharf_lib::peer_contact::PeerContacts;
use chervilwharf_lib::received_statements::Fate;
use chervilwharf_lib::received_statements::StatementTicket;
use futures::StreamExt;
use futures::stream::FuturesUnordered;

use crate::engine::clock::now;
use crate::engine::event_log;
use crate::engine::shared::Engine;

/// Which other instances are heard.
#[derive(Default)]
pub struct Contacts(Mutex<PeerContacts>);

impl Contacts {
    fn lock(&self) -> MutexGuard<'_, PeerContacts> {
        self.0.lock().expect("never poisoned")
    }

    /// What is known of an instance.
    #[must_use]
    pub fn of(&self, id: &InstanceId) -> Contact {
        self.lock().contact(now(), id)
    }

    /// An instance answered something that was sent at `asked_at`.
    pub fn heard(&self, asked_at: Moment, id: &InstanceId) {
        let news = self.lock().heard(asked_at, id);
        if news {
            event_log::emit(&Event::new(EventKind::PeerHeard).with("peer", id));
        }
    }

    /// An instance did not answer something that was sent at `asked_at`.
    pub fn missed(&self, asked_at: Moment, id: &InstanceId) {
        let at = now();
        let news = self.lock().missed(at, asked_at, id);
        if news {
            let event = Event::new(EventKind::PeerSilent).with("peer", id);
            event_log::emit(&event.with_ms("for_ms", at.saturating_sub(asked_at)));
        }
    }

    /// This instance stood still itself: that nobody answered says nothing.
    pub fn forget(&self) {
        *self.lock() = PeerContacts::default();
    }

    /// Forgets instances that are gone.
    pub fn keep_only(&self, exists: impl Fn(&InstanceId) -> bool) {
        self.lock().keep_only(exists);
    }

    fn take_due_liveness_check(&self, id: &InstanceId) -> bool {
        self.lock().take_due_liveness_check(now(), id)
    }
}

impl Engine {
    /// Asks another instance for a sign of life. Returns whether it gave one.
    pub async fn check_liveness(&self, peer: &InstanceRecord) -> bool {
        self.ask_sign(peer, SignOfLife::default()).await.is_some()
    }

    /// Asks another instance whether a statement arrived there that was sent at
    /// `sent_at`; one that has not is withdrawn. `None` without a sign of life.
    pub async fn ask_for_statement(
        &self,
        peer: &InstanceRecord,
        ticket: StatementTicket,
        sent_at: Moment,
    ) -> Option<Fate> {
        let sent_ago = now().saturating_sub(sent_at);
        let sent_ms_ago = u64::try_from(sent_ago.as_millis()).unwrap_or(u64::MAX).saturating_add(1);
        let reply = self.ask_sign(peer, SignOfLife { ticket, sent_ms_ago }).await?;
        Some(match reply {
            SignOfLifeReply { withdrawn: true, .. } => Fate::Withdrawn,
            SignOfLifeReply { ended: true, .. } => Fate::Ended,
            _ => Fate::Open,
        })
    }

    /// Asks on a new link: an old one that went silent must not make a living instance
    /// look silent.
    async fn ask_sign(
        &self,
        peer: &InstanceRecord,
        question: SignOfLife,
    ) -> Option<SignOfLifeReply> {
        let asked_at = now();
        let question = Body::SignOfLife(question);
        let answer =
            self.peers().ask_on_new_link(peer.peer_address, question, LIVENESS_TIMEOUT).await;
        let Ok(Body::SignOfLifeReply(reply)) = answer else {
            self.peer_contacts().missed(asked_at, &peer.id);
            return None;
        };
        self.peer_contacts().heard(asked_at, &peer.id);
        Some(reply)
    }

    /// The answer to a question for a sign of life.
    #[must_use]
    pub fn sign_of_life(&self, question: SignOfLife) -> SignOfLifeReply {
        if question.ticket == 0 {
            return SignOfLifeReply::default();
        }
        let sent_ago = Duration::from_millis(question.sent_ms_ago);
        let fate = self.with_received_statements(|received_statements| {
            received_statements.withdraw(now(), question.ticket, sent_ago)
        });
        SignOfLifeReply { withdrawn: fate == Fate::Withdrawn, ended: fate == Fate::Ended }
    }

    /// A holder of a group that can be reached, but for those that were tried;
    /// `None` if none of them can, or what is known of them is not older than
    /// the time in which it is asked again.
    pub async fn find_holder(
        self: &Arc<Self>,
        group: &GroupId,
        affinity: &Affinity,
        tried: &[InstanceId],
    ) -> Option<Candidate> {
        loop {
            let candidates = self.candidates(group, tried);
            let chosen = choose(&candidates, affinity)?.clone();
            match chosen.contact {
                Contact::Heard => {
                    self.ask_in_background(&candidates);
                    return Some(chosen);
                }
                Contact::Unverified => {
                    // The others may be wanted next.
                    self.ask_in_background(&candidates);
                    if self.check_liveness(&chosen.record).await {
                        return Some(chosen);
                    }
                }
                Contact::Silent => {
                    if !self.ask_silent(&candidates).await {
                        return None;
                    }
                }
            }
        }
    }

    /// Asks those that are not heard, without waiting for them.
    fn ask_in_background(self: &Arc<Self>, candidates: &[Candidate]) {
        let wanted = |candidate: &&Candidate| {
            self.peer_contacts().take_due_liveness_check(&candidate.record.id)
        };
        for candidate in candidates.iter().filter(wanted) {
            let (engine, record) = (self.clone(), candidate.record.clone());
            tokio::spawn(async move { engine.check_liveness(&record).await });
        }
    }

    /// Asks the silent ones that were not asked just now. Returns as soon as one
    /// gives a sign of life; false if none does.
    async fn ask_silent(&self, candidates: &[Candidate]) -> bool {
        let due = candidates
            .iter()
            .filter(|c| self.peer_contacts().take_due_liveness_check(&c.record.id));
        let mut asking: FuturesUnordered<_> =
            due.map(|candidate| self.check_liveness(&candidate.record)).collect();
        while let Some(heard) = asking.next().await {
            if heard {
                return true;
            }
        }
        false
    }
}
