//! What an instance knows of the servers of one group, and where it sends
//! reads and writes.

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
use crate::primary_lease::Ending;
use crate::primary_lease::Objection;
use crate::primary_lease::PrimaryLease;
use crate::primary_lease::Promise;
use crate::samples::Samples;

/// A server as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerInfo {
    /// Its id, which no other server of the group has.
    pub id: TargetId,
    /// Where it listens. Addresses are used again by other servers.
    pub address: SocketAddr,
    /// Where it runs.
    pub failure_domain: FailureDomainId,
    /// Statements it runs at the same time.
    pub slots: usize,
    /// Whether it is about to leave.
    pub draining: bool,
    /// Whether it sees itself as the primary.
    pub leads: bool,
    /// Tells this start of the server from earlier ones under the same id, as
    /// far as the platform does; else empty.
    pub start: Arc<str>,
}

/// A server's answer to a question for its state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerStatus {
    /// Whether it is the primary.
    pub leads: bool,
    /// Term it knows.
    pub term: Term,
    /// Last position it received.
    pub received: Position,
    /// Last position it applied.
    pub applied: Position,
    /// How long it lets changes wait before it applies them, as it says.
    pub lag: Duration,
}

/// A server as the instance sees it.
#[derive(Clone, Debug)]
pub struct ServerView {
    /// What the platform lists.
    pub info: ServerInfo,
    /// Last position known to be applied.
    pub applied: Position,
    /// How far the server was behind the primary when it last answered.
    behind: Duration,
    /// Exchanges that failed since the last one that succeeded.
    pub failures: u32,
    /// When it last answered.
    pub answered_at: Moment,
    /// No reads are sent there before this time, if others can serve them.
    avoided_until: Moment,
    /// Statements of this instance that are at the server now.
    pub running: usize,
    /// Smoothed time of a read.
    read_time: Duration,
}

/// The server that an instance believes to be the primary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leader {
    /// Its id.
    pub id: TargetId,
    /// Its term; 0 while only the platform's list names it.
    pub term: Term,
    /// When this was learned.
    pub since: Moment,
}

/// A server that answered a statement within this time is alive, whatever
/// other statements take: as long as a statement may take undoubted.
const PROOF_OF_LIFE: Duration = Duration::from_millis(100);

/// One group of servers.
#[derive(Clone, Debug, Default)]
pub struct Group {
    /// Where this instance runs.
    home: FailureDomainId,
    servers: BTreeMap<TargetId, ServerView>,
    leader: Option<Leader>,
    /// Highest term that there must be: seen, or concluded from a lost lead.
    highest_term: Term,
    /// Highest term that any server was seen in.
    seen_term: Term,
    /// The right to use the primary.
    primary_lease: PrimaryLease,
    samples: Samples,
    /// Last position before each term, where it is known: what lies beyond it
    /// in earlier terms was rolled back.
    term_bases: BTreeMap<Term, Position>,
    /// Servers that began to call themselves primary in the platform's list.
    claimants: Vec<TargetId>,
    /// Whether the primary takes long to answer a statement.
    leader_suspected: bool,
    /// The primary, while it can neither be reached nor replaced from here.
    out_of_reach: Option<TargetId>,
}

impl Group {
    /// A group of which nothing is known yet, at an instance in a failure
    /// domain.
    #[must_use]
    pub fn with_home(home: FailureDomainId) -> Self {
        Self { home, ..Self::default() }
    }

    /// Takes the platform's list of servers over. Returns whether it changed
    /// which server is taken for the primary.
    pub fn set_servers(&mut self, now: Moment, listed: Vec<ServerInfo>) -> bool {
        let before = self.leader.clone();
        let mut servers = BTreeMap::new();
        for info in listed {
            // Under its old id a server that was started again is another one:
            // it may have nothing of what was known.
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
        self.follow_list(now);
        self.leader != before
    }

    /// Takes the servers that began to call themselves primary: they have to
    /// be asked for their term.
    pub fn take_claimants(&mut self) -> Vec<TargetId> {
        std::mem::take(&mut self.claimants)
    }

    /// A server takes long to answer a statement. Returns whether that is to be
    /// looked into.
    ///
    /// Not while it answers others: it has a queue then, and each question
    /// takes a slot for as long as one or two of the statements that wait.
    pub fn suspect(&mut self, now: Moment, id: &TargetId) -> bool {
        if self.has_answered_since(id, now.checked_sub(PROOF_OF_LIFE).unwrap_or_default()) {
            return false;
        }
        let news = self.leads(id) && !self.leader_suspected;
        self.leader_suspected |= news;
        news
    }

    /// Whether a server answered anything at `since` or later.
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

    /// Without a leader of our own knowledge, the platform's list names it.
    fn follow_list(&mut self, now: Moment) {
        let mut leading = self.servers.values().filter(|view| view.info.leads);
        let (first, second) = (leading.next(), leading.next());
        let (Some(view), None) = (first, second) else {
            return;
        };
        if self.leader.as_ref().is_some_and(|leader| leader.id == view.info.id) {
            return;
        }
        // The entry has no term, so it cannot be compared with what servers
        // said themselves: an old primary that goes on calls itself one. It
        // only fills the gap of an instance that has just started.
        if self.leader.is_none() && self.seen_term == 0 && self.primary_lease.retired() == 0 {
            self.leader = Some(Leader { id: view.info.id.clone(), term: 0, since: now });
        }
    }

    /// A server answered a question for its state that was sent at `asked_at`.
    /// Returns whether another server is the leader now.
    pub fn observe_status(
        &mut self,
        asked_at: Moment,
        now: Moment,
        id: &TargetId,
        status: ServerStatus,
    ) -> bool {
        self.observe_answer(now, id, Some(status.applied));
        self.highest_term = self.highest_term.max(status.term);
        let outdated = self.see_term(status.term);
        if !status.leads {
            return self.observe_not_leading(id, status.term) || outdated;
        }
        // An old primary goes on after another one was promoted.
        if status.term < self.seen_term || status.term <= self.primary_lease.retired() {
            return false;
        }
        // Started again without its log, it lacks what it acknowledged: it is
        // replaced by a replica that has more, not followed.
        let lacking = |(sampled_at, position): (Moment, Position)| {
            sampled_at < asked_at && position.term == status.term && status.received < position
        };
        if self.samples.newest().is_some_and(lacking) {
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

    /// Another instance knows a leader in a term. Returns whether this one
    /// takes it for its own leader now, since it knew none in such a late term.
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
        self.see_term(term);
        self.set_leader(now, id, term)
    }

    /// A server is in a term. Returns whether the primary known so far was
    /// succeeded in it: it goes on, and must not be taken for the one to replace.
    fn see_term(&mut self, term: Term) -> bool {
        self.seen_term = self.seen_term.max(term);
        let seen_term = self.seen_term;
        self.leader.take_if(|leader| leader.term > 0 && leader.term < seen_term).is_some()
    }

    /// The right to use the primary.
    #[must_use]
    pub fn primary_lease(&self) -> &PrimaryLease {
        &self.primary_lease
    }

    /// The right to use the primary, to change it.
    pub fn primary_lease_mut(&mut self) -> &mut PrimaryLease {
        &mut self.primary_lease
    }

    /// Uses and grants a term no more.
    ///
    /// # Errors
    ///
    /// When another change may be under way, or be over.
    pub fn retire(&mut self, now: Moment, ending: &Ending) -> Result<Promise, Objection> {
        if self.seen_term > ending.term {
            return Err(Objection::LaterTerm(self.seen_term));
        }
        let promise = self.primary_lease.promise(now, ending)?;
        self.leader.take_if(|leader| leader.term <= ending.term);
        Ok(promise)
    }

    /// The primary, if it told its term itself: one that only the platform's
    /// list names may have been succeeded already.
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

    /// The primary is wanted. Returns whether it may be used, as far as the
    /// right to do so goes.
    pub fn want_leader(&mut self, now: Moment) -> bool {
        let term = self.confirmed_leader().map(|leader| leader.term);
        term.is_none_or(|term| self.primary_lease.want(now, term))
    }

    /// Whether there is a primary that only the right to use it is missing for.
    #[must_use]
    pub fn lacks_primary_lease(&self, now: Moment) -> bool {
        self.confirmed_leader().is_some_and(|leader| !self.primary_lease.holds(now, leader.term))
    }

    /// Whether another instance should serve what needs the primary: the right
    /// to use it is missing, or nobody on this side of a partition reaches it.
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

    /// A server can neither be reached nor replaced from here, until it answers.
    /// Returns whether that is news.
    pub fn set_out_of_reach(&mut self, id: Option<&TargetId>) -> bool {
        let before = self.is_out_of_reach();
        self.out_of_reach = id.cloned();
        !before && self.is_out_of_reach()
    }

    /// Highest term that any server was seen in.
    #[must_use]
    pub fn seen_term(&self) -> Term {
        self.seen_term
    }

    /// A position of the primary counts only if this instance had the right to
    /// use it when it asked: an old primary that goes on lacks what was
    /// committed since, and floors taken from it would let reads miss that.
    fn record_sample(&mut self, asked_at: Moment, term: Term, position: Position) {
        if self.primary_lease.holds(asked_at, term) {
            self.samples.record(asked_at, position);
        }
    }

    fn set_leader(&mut self, now: Moment, id: &TargetId, term: Term) -> bool {
        let same = self.leader.as_ref().is_some_and(|leader| leader.id == *id);
        if same {
            if let Some(leader) = &mut self.leader {
                // A primary that was replaced and promoted again: positions
                // of its earlier term may have been cut off.
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

    /// A server is not the primary. Returns whether it was taken for it.
    pub fn observe_not_leading(&mut self, id: &TargetId, term: Term) -> bool {
        self.highest_term = self.highest_term.max(term);
        let lost = self.leader.take_if(|leader| leader.id == *id);
        if let Some(leader) = &lost {
            // Only a promotion in a later term takes the lead from a server.
            // Without this an instance that is cut off from the new primary
            // would put the old one back, and lose what was written since.
            if leader.term > 0 {
                self.highest_term = self.highest_term.max(leader.term + 1);
            }
        }
        lost.is_some()
    }

    /// Whether a server may take over the lead without losing commits that
    /// the last primary acknowledged and replicas received.
    #[must_use]
    pub fn may_lead(&self, status: &ServerStatus) -> bool {
        if status.term < self.highest_term {
            return false;
        }
        // A log that goes on beyond the place where a later term began holds
        // commits that were rolled back, and lacks those of the later term.
        self.surviving(status.received) == status.received
    }

    /// Whether connections to a server are kept: it is listed and not leaving,
    /// or it is the primary, which serves until it is replaced.
    #[must_use]
    pub fn takes_work(&self, id: &TargetId) -> bool {
        self.servers.get(id).is_some_and(|view| !view.info.draining || self.leads(id))
    }

    /// Whether a server is taken for the primary.
    #[must_use]
    pub fn leads(&self, id: &TargetId) -> bool {
        self.leader.as_ref().is_some_and(|leader| leader.id == *id)
    }

    /// The server taken for the primary.
    #[must_use]
    pub fn leader(&self) -> Option<&Leader> {
        self.leader.as_ref()
    }

    /// Highest term seen.
    #[must_use]
    pub fn highest_term(&self) -> Term {
        self.highest_term
    }

    /// A server.
    #[must_use]
    pub fn server(&self, id: &str) -> Option<&ServerView> {
        self.servers.get(id)
    }

    /// A statement goes to a server.
    pub fn begin_running(&mut self, id: &str) {
        if let Some(view) = self.servers.get_mut(id) {
            view.running += 1;
        }
    }

    /// A statement at a server is over.
    pub fn end_running(&mut self, id: &str) {
        if let Some(view) = self.servers.get_mut(id) {
            view.running = view.running.saturating_sub(1);
        }
    }

    /// All servers.
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
