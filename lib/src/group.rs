//! An instance's view of the servers of one group: their state, which of them is the
//! primary, and whether the instance may use it.
//!
//! A group is one replicated database. Its servers are a primary and replicas, and
//! each promotion of a server begins a new term. The submodule `reading` selects the
//! servers for reads.

mod reading;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::id::FailureDomainId;
use crate::id::TargetId;
use crate::id::Term;
use crate::moment::Moment;
use crate::position::Position;
use crate::primary_lease::Objection;
use crate::primary_lease::PrimaryLease;
use crate::primary_lease::Promise;
use crate::primary_lease::RetireRequest;
use crate::samples::Samples;

/// A server as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerInfo {
    /// The id of the server, unique within the group.
    pub id: TargetId,
    /// The address that the server listens on. The platform reuses addresses for other
    /// servers.
    pub address: SocketAddr,
    /// The failure domain that the server runs in.
    pub failure_domain: FailureDomainId,
    /// How many statements the server runs at the same time.
    pub slots: usize,
    /// Whether the server is about to leave the group.
    pub draining: bool,
    /// Whether the server reports itself as the primary.
    pub leads: bool,
    /// Distinguishes this start of the server from earlier ones under the same id.
    /// Empty if the platform does not report it.
    pub start: Arc<str>,
}

/// A server's answer to a query for its state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerStatus {
    /// Whether the server reports itself as the primary.
    pub leads: bool,
    /// The latest term that the server has received.
    pub term: Term,
    /// Last position that the server received.
    pub received: Position,
    /// Last position that the server applied.
    pub applied: Position,
    /// How long the server delays changes before it applies them, as it reports.
    pub lag: Duration,
}

/// The state of a server, as this instance last observed it.
#[derive(Clone, Debug)]
pub struct ServerView {
    /// The platform's entry for the server.
    pub info: ServerInfo,
    /// Last position that the server is known to have applied.
    pub applied: Position,
    /// How far the server was behind the primary when it last answered.
    behind: Duration,
    /// Number of failed exchanges since the last successful one.
    pub failures: u32,
    /// When the server last answered.
    pub answered_at: Moment,
    /// Until then the server gets no reads that other servers can serve.
    avoided_until: Moment,
    /// Number of statements of this instance that run at the server now.
    pub running: usize,
    /// Smoothed duration of a read.
    read_time: Duration,
}

/// The server that an instance takes for the primary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leader {
    /// The id of the server.
    pub id: TargetId,
    /// The term in which the server leads; 0 while only the platform's list names it.
    pub term: Term,
    /// When the instance began to take the server for the primary.
    pub since: Moment,
}

/// A server that answered any statement within this time is not suspected, however
/// long other statements take. It equals the time that a statement may take before
/// it raises a suspicion.
const RECENT_ANSWER: Duration = Duration::from_millis(100);

/// The servers of one group, as observed by this instance.
#[derive(Clone, Debug, Default)]
pub struct Group {
    /// The failure domain that this instance runs in.
    home: FailureDomainId,
    servers: BTreeMap<TargetId, ServerView>,
    leader: Option<Leader>,
    /// Highest term that must exist: one that was observed, or one that follows from a
    /// primary's loss of the lead.
    highest_term: Term,
    /// Highest term in which a server was observed, by this or another instance.
    highest_observed_term: Term,
    /// The lease on the primary's term.
    primary_lease: PrimaryLease,
    /// Samples of the primary's position.
    samples: Samples,
    /// Last position before the beginning of each term, where it is known. Entries of
    /// earlier terms beyond it were rolled back.
    term_bases: BTreeMap<Term, Position>,
    /// Servers that newly appear as primary in the platform's list.
    claimants: Vec<TargetId>,
    /// Whether the primary takes long to answer a statement.
    leader_suspected: bool,
    /// The primary, while it can neither be reached nor replaced from this side of a
    /// partition.
    out_of_reach: Option<TargetId>,
}

impl Group {
    /// An empty group, for an instance in the failure domain `home`.
    #[must_use]
    pub fn with_home(home: FailureDomainId) -> Self {
        Self { home, ..Self::default() }
    }

    /// Adopts the platform's list of servers. Returns whether the instance now takes
    /// another server, or none, for the primary.
    pub fn set_servers(&mut self, now: Moment, listed: Vec<ServerInfo>) -> bool {
        let before = self.leader.clone();
        let mut servers = BTreeMap::new();
        for info in listed {
            // A server that restarted under its old id counts as a new server, because
            // it may have lost its data.
            let known = self.servers.remove(&info.id);
            let known = known.filter(|view| view.info.start == info.start);
            if known.is_none() {
                self.leader.take_if(|leader| leader.id == info.id);
            }
            let claims = info.leads && known.as_ref().is_none_or(|view| !view.info.leads);
            if claims && !self.leads(&info.id) {
                self.claimants.push(info.id.clone());
            }
            let view = match known {
                Some(mut view) => {
                    view.info = info;
                    view
                }
                None => ServerView::new(info),
            };
            servers.insert(view.info.id.clone(), view);
        }
        self.servers = servers;
        let gone =
            self.leader.as_ref().is_some_and(|leader| !self.servers.contains_key(&leader.id));
        if gone {
            self.leader = None;
        }
        self.adopt_listed_leader(now);
        self.leader != before
    }

    /// Takes the servers that newly appear as primary in the platform's list. They have
    /// to be queried for their term.
    pub fn take_claimants(&mut self) -> Vec<TargetId> {
        std::mem::take(&mut self.claimants)
    }

    /// Records that a server takes long to answer a statement. Returns whether this
    /// raises a new suspicion of the primary.
    ///
    /// There is no suspicion while the server answers other statements. It has a queue
    /// then, and each probe would occupy a slot for as long as one or two of the
    /// waiting statements.
    pub fn suspect(&mut self, now: Moment, id: &TargetId) -> bool {
        if self.has_answered_since(id, now.checked_sub(RECENT_ANSWER).unwrap_or_default()) {
            return false;
        }
        let news = self.leads(id) && !self.leader_suspected;
        self.leader_suspected |= news;
        news
    }

    /// Whether a server answered anything after `since`.
    #[must_use]
    pub fn has_answered_since(&self, id: &str, since: Moment) -> bool {
        self.servers.get(id).is_some_and(|view| view.answered_at > since)
    }

    /// Whether the primary took long to answer since the last call.
    pub fn take_suspicion(&mut self) -> bool {
        std::mem::take(&mut self.leader_suspected)
    }

    /// Whether there is a primary that may be used, and its last exchange did
    /// not fail.
    #[must_use]
    pub fn leader_answers(&self, now: Moment) -> bool {
        let leader = self.usable_leader(now).and_then(|leader| self.servers.get(&leader.id));
        leader.is_some_and(|view| view.failures == 0)
    }

    /// Adopts the primary that the platform's list names, if no primary is known yet.
    fn adopt_listed_leader(&mut self, now: Moment) {
        let mut leading = self.servers.values().filter(|view| view.info.leads);
        let (first, second) = (leading.next(), leading.next());
        let (Some(view), None) = (first, second) else {
            return;
        };
        if self.leader.as_ref().is_some_and(|leader| leader.id == view.info.id) {
            return;
        }
        // The entry has no term, so it cannot be compared with what servers reported,
        // and a primary that was replaced may still be listed as one. The list is used
        // only by an instance that has just started and has observed no term yet.
        if self.leader.is_none()
            && self.highest_observed_term == 0
            && self.primary_lease.retired() == 0
        {
            self.leader = Some(Leader { id: view.info.id.clone(), term: 0, since: now });
        }
    }

    /// Records a server's answer to a query for its state that was sent at `asked_at`.
    /// Returns whether the instance now takes another server, or none, for the primary.
    pub fn observe_status(
        &mut self,
        asked_at: Moment,
        now: Moment,
        id: &TargetId,
        status: ServerStatus,
    ) -> bool {
        self.observe_answer(now, id, Some(status.applied));
        self.highest_term = self.highest_term.max(status.term);
        let outdated = self.observe_term(status.term);
        if !status.leads {
            return self.observe_not_leading(id, status.term) || outdated;
        }
        // A primary that was replaced may still report that it leads.
        if status.term < self.highest_observed_term || status.term <= self.primary_lease.retired() {
            return false;
        }
        // A primary that restarted without its log lacks commits that it acknowledged.
        // It is dropped, so that a replica with a longer log can replace it.
        let lacks_sample = |(sampled_at, position): (Moment, Position)| {
            sampled_at < asked_at && position.term == status.term && status.received < position
        };
        if self.samples.newest().is_some_and(lacks_sample) {
            self.leader.take_if(|leader| leader.id == *id);
            return false;
        }
        if status.received.term < status.term {
            self.term_bases.insert(status.term, status.received);
        }
        let changed = self.set_leader(now, id, status.term);
        self.record_sample(asked_at, status.term, status.received);
        changed
    }

    /// Records the primary and the term that another instance reported. Returns whether
    /// this instance adopted the primary, which it does if the term is later than that
    /// of its present primary.
    pub fn observe_reported_leader(&mut self, now: Moment, id: &TargetId, term: Term) -> bool {
        let outdated = term < self.highest_term || term <= self.primary_lease.retired();
        if !self.servers.contains_key(id) || outdated {
            return false;
        }
        let known_term = self.leader.as_ref().map(|leader| leader.term);
        if known_term.is_some_and(|known| known >= term) {
            return false;
        }
        self.highest_term = term;
        self.observe_term(term);
        self.set_leader(now, id, term)
    }

    /// Records that a server is in `term`. Returns whether the term is later than that
    /// of the present primary, which is then dropped: it has a successor, and a
    /// replacement must not start from it.
    fn observe_term(&mut self, term: Term) -> bool {
        self.highest_observed_term = self.highest_observed_term.max(term);
        let highest_observed_term = self.highest_observed_term;
        self.leader
            .take_if(|leader| leader.term > 0 && leader.term < highest_observed_term)
            .is_some()
    }

    /// The lease on the primary's term.
    #[must_use]
    pub fn primary_lease(&self) -> &PrimaryLease {
        &self.primary_lease
    }

    /// The lease on the primary's term, to change it.
    pub fn primary_lease_mut(&mut self) -> &mut PrimaryLease {
        &mut self.primary_lease
    }

    /// Promises to neither use nor grant the term of `request` any more, and drops a
    /// primary of that term or an earlier one.
    ///
    /// # Errors
    ///
    /// Returns an [`Objection`] if a server was observed in a later term, or for the reasons
    /// given at [`PrimaryLease::promise`].
    pub fn retire(&mut self, now: Moment, request: &RetireRequest) -> Result<Promise, Objection> {
        if self.highest_observed_term > request.term {
            return Err(Objection::LaterTerm(self.highest_observed_term));
        }
        let promise = self.primary_lease.promise(now, request)?;
        self.leader.take_if(|leader| leader.term <= request.term);
        Ok(promise)
    }

    /// The primary, if its term is known. A primary that only the platform's list names
    /// may have a successor already.
    #[must_use]
    pub fn confirmed_leader(&self) -> Option<&Leader> {
        self.leader.as_ref().filter(|leader| leader.term > 0)
    }

    /// The primary and its term, if new work may begin there now.
    #[must_use]
    pub fn usable_leader(&self, now: Moment) -> Option<&Leader> {
        self.leader.as_ref().filter(|leader| self.primary_lease.may_begin(now, leader.term))
    }

    /// The term in which a server may be used as the primary now.
    #[must_use]
    pub fn usable_term(&self, now: Moment, id: &str) -> Option<Term> {
        let leader = self.leader.as_ref().filter(|leader| *leader.id == *id)?;
        self.primary_lease.holds(now, leader.term).then_some(leader.term)
    }

    /// Records that the instance needs the primary. Returns false if the primary's term
    /// is known and the lease on it is missing.
    pub fn note_leader_needed(&mut self, now: Moment) -> bool {
        let term = self.confirmed_leader().map(|leader| leader.term);
        term.is_none_or(|term| self.primary_lease.note_needed(now, term))
    }

    /// Whether the primary's term is known but the lease on it is missing.
    #[must_use]
    pub fn lacks_primary_lease(&self, now: Moment) -> bool {
        self.confirmed_leader().is_some_and(|leader| !self.primary_lease.holds(now, leader.term))
    }

    /// Whether another instance should serve requests that need the primary: the lease
    /// has been missing for too long, or the primary can neither be reached nor
    /// replaced from this side of a partition.
    #[must_use]
    pub fn is_cut_off(&self, now: Moment) -> bool {
        let lacks_primary_lease = self
            .confirmed_leader()
            .is_some_and(|leader| self.primary_lease.is_cut_off(now, leader.term));
        lacks_primary_lease || self.is_out_of_reach()
    }

    fn is_out_of_reach(&self) -> bool {
        let leader = self.leader.as_ref().map(|leader| &leader.id);
        leader.is_some() && leader == self.out_of_reach.as_ref()
    }

    /// Sets the primary that can neither be reached nor replaced from this side of a
    /// partition. The mark is removed when the server answers. Returns whether the
    /// primary became out of reach by this call.
    pub fn set_out_of_reach(&mut self, id: Option<&TargetId>) -> bool {
        let before = self.is_out_of_reach();
        self.out_of_reach = id.cloned();
        !before && self.is_out_of_reach()
    }

    /// Highest term in which a server was observed, by this or another instance.
    #[must_use]
    pub fn highest_observed_term(&self) -> Term {
        self.highest_observed_term
    }

    /// Records a position of the primary, if this instance held the lease when it sent
    /// the query. A primary that was replaced lacks the commits made since, and a floor
    /// computed from its position would let reads miss them.
    fn record_sample(&mut self, asked_at: Moment, term: Term, position: Position) {
        if self.primary_lease.holds(asked_at, term) {
            self.samples.record(asked_at, position);
        }
    }

    fn set_leader(&mut self, now: Moment, id: &TargetId, term: Term) -> bool {
        let same = self.leader.as_ref().is_some_and(|leader| leader.id == *id);
        if same {
            if let Some(leader) = &mut self.leader {
                // The primary was replaced and promoted again, so entries of its
                // earlier term may have been rolled back.
                if leader.term != 0 && term > leader.term {
                    self.samples.clear();
                }
                leader.term = leader.term.max(term);
            }
            return false;
        }
        let changed_term = self.leader.as_ref().is_none_or(|leader| leader.term < term);
        if changed_term {
            self.samples.clear();
        }
        self.leader = Some(Leader { id: id.clone(), term, since: now });
        true
    }

    /// Records that a server is not the primary. Returns whether this instance took it
    /// for the primary.
    pub fn observe_not_leading(&mut self, id: &TargetId, term: Term) -> bool {
        self.highest_term = self.highest_term.max(term);
        let lost = self.leader.take_if(|leader| leader.id == *id);
        if let Some(leader) = &lost {
            // A server loses the lead only through a promotion in a later term. Without
            // this conclusion, an instance that is partitioned from the new primary
            // would promote the old one again and lose the commits made since.
            if leader.term > 0 {
                self.highest_term = self.highest_term.max(leader.term.saturating_add(1));
            }
        }
        lost.is_some()
    }

    /// Whether a server may be promoted without the loss of commits that the last
    /// primary acknowledged and that replicas received.
    #[must_use]
    pub fn may_lead(&self, status: &ServerStatus) -> bool {
        if status.term < self.highest_term {
            return false;
        }
        // A log of an earlier term that extends beyond the beginning of a later term
        // holds commits that were rolled back, and lacks those of the later term.
        self.surviving(status.received) == status.received
    }

    /// Whether a server gets work, so that connections to it are kept. That holds for a
    /// listed server that is not draining, and for the primary until it is replaced.
    #[must_use]
    pub fn takes_work(&self, id: &TargetId) -> bool {
        self.servers.get(id).is_some_and(|view| !view.info.draining || self.leads(id))
    }

    /// Whether this instance takes a server for the primary.
    #[must_use]
    pub fn leads(&self, id: &TargetId) -> bool {
        self.leader.as_ref().is_some_and(|leader| leader.id == *id)
    }

    /// The server that this instance takes for the primary.
    #[must_use]
    pub fn leader(&self) -> Option<&Leader> {
        self.leader.as_ref()
    }

    /// Highest term that must exist: one that was observed, or one that follows from a
    /// primary's loss of the lead.
    #[must_use]
    pub fn highest_term(&self) -> Term {
        self.highest_term
    }

    /// The state of the server `id`; `None` if it is not listed.
    #[must_use]
    pub fn server(&self, id: &str) -> Option<&ServerView> {
        self.servers.get(id)
    }

    /// Counts a statement that is sent to a server.
    pub fn begin_running(&mut self, id: &str) {
        if let Some(view) = self.servers.get_mut(id) {
            view.running += 1;
        }
    }

    /// Counts a statement that ended at a server.
    pub fn end_running(&mut self, id: &str) {
        if let Some(view) = self.servers.get_mut(id) {
            view.running = view.running.saturating_sub(1);
        }
    }

    /// All listed servers.
    pub fn servers(&self) -> impl Iterator<Item = &ServerView> {
        self.servers.values()
    }
}

impl ServerView {
    fn new(info: ServerInfo) -> Self {
        Self {
            info,
            applied: Position::ZERO,
            behind: Duration::ZERO,
            failures: 0,
            answered_at: Moment::ZERO,
            avoided_until: Moment::ZERO,
            running: 0,
            read_time: Duration::ZERO,
        }
    }

    /// Whether reads avoid the server for now.
    #[must_use]
    pub fn is_avoided(&self, now: Moment) -> bool {
        self.avoided_until > now
    }
}
