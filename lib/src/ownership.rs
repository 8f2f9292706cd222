//! Ownership of one database group: fencing, promotion and failover.
//!
//! Exactly one instance serves a database at a time. What makes this safe is
//! not a lease but the group's own term: an instance that wants to serve
//! fences a majority of the servers with a higher term, and a fenced server
//! refuses everything of a lower one. Taking over from another owner and
//! replacing a failed primary are the same procedure.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::detector::Detector;
use crate::id::DatabaseId;
use crate::id::FailureDomainId;
use crate::id::HolderId;
use crate::id::InstanceId;
use crate::id::TargetId;
use crate::id::Term;
use crate::ownership_types::FenceFailure;
use crate::ownership_types::GroupServer;
use crate::ownership_types::LossReason;
use crate::ownership_types::OwnershipAction;
use crate::ownership_types::OwnershipEvent;
use crate::ownership_types::OwnershipTiming;
use crate::ownership_types::ServerState;
use crate::ownership_types::TakeCause;
use crate::position::Position;

/// Where an owner stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Another instance owns the database, or nobody.
    Idle,
    /// Collecting a majority for a new term.
    Fencing {
        /// The new term.
        term: Term,
        /// When it began.
        since: Instant,
        /// When a majority had granted it.
        majority_at: Option<Instant>,
        /// Servers that granted it.
        granted: BTreeMap<TargetId, ServerState>,
        /// Servers that failed or refused.
        failed: BTreeSet<TargetId>,
        /// What started it.
        cause: TakeCause,
    },
    /// Waiting for the chosen server to become primary.
    Promoting {
        /// The new term.
        term: Term,
        /// The chosen server.
        candidate: TargetId,
        /// When it was asked.
        since: Instant,
        /// When a majority had granted the term.
        majority_at: Instant,
        /// What started it.
        cause: TakeCause,
    },
    /// Serving.
    Serving {
        /// Our term.
        term: Term,
        /// The primary.
        primary: TargetId,
        /// First entry of the term.
        first: Position,
        /// Acknowledge nothing before this time.
        answers_from: Instant,
    },
    /// Waiting after a failed attempt.
    BackingOff {
        /// Until when.
        until: Instant,
    },
}

#[derive(Clone, Debug)]
struct ServerView {
    server: GroupServer,
    detector: Detector,
    state: Option<ServerState>,
    /// Send time of the newest probe, fence or statement that confirmed our
    /// term.
    confirmed_sent_at: Option<Instant>,
    /// When the last probe was sent.
    probed_at: Option<Instant>,
}

/// State machine of one database at one instance.
#[derive(Clone, Debug)]
pub struct Ownership {
    me: InstanceId,
    holder: HolderId,
    near: FailureDomainId,
    database: DatabaseId,
    timing: OwnershipTiming,
    servers: BTreeMap<TargetId, ServerView>,
    phase: Phase,
    highest_term: Term,
    /// Servers not to promote if there is another way.
    avoid: BTreeSet<TargetId>,
    primary: Option<TargetId>,
    last_tick_at: Option<Instant>,
    last_request_at: Option<Instant>,
    majority_seen_at: Option<Instant>,
    retried_at_once: bool,
    jitter_state: u64,
}

/// Separates the name of an instance from its life in a holder.
const HOLDER_SEPARATOR: char = '@';

/// Names one life of an instance.
///
/// A server takes a repeated fence of a term from the same holder. An
/// instance that was restarted has forgotten its term; if it had the same
/// name to the servers as before, it would be granted its old term again and
/// promote a second primary in it.
#[must_use]
pub fn holder(instance: &str, life: &str) -> HolderId {
    format!("{instance}{HOLDER_SEPARATOR}{life}").into()
}

fn instance_of(holder: &str) -> &str {
    holder.rsplit_once(HOLDER_SEPARATOR).map_or(holder, |(instance, _)| instance)
}

/// A gap between two ticks from which we conclude that we were paused.
const PAUSE_GAP: Duration = Duration::from_millis(300);

impl Ownership {
    /// A database that nobody is known to own.
    #[must_use]
    pub fn new(
        me: InstanceId,
        holder: HolderId,
        near: FailureDomainId,
        database: DatabaseId,
        servers: Vec<GroupServer>,
        timing: OwnershipTiming,
    ) -> Self {
        let jitter_state = crate::placement::stable_hash(&[&me, &database]) | 1;
        let mut ownership = Self {
            me,
            holder,
            near,
            database,
            timing,
            servers: BTreeMap::new(),
            phase: Phase::Idle,
            highest_term: 0,
            avoid: BTreeSet::new(),
            primary: None,
            last_tick_at: None,
            last_request_at: None,
            majority_seen_at: None,
            retried_at_once: false,
            jitter_state,
        };
        ownership.set_servers(servers);
        ownership
    }

    /// Where we stand.
    #[must_use]
    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// The database.
    #[must_use]
    pub fn database(&self) -> &DatabaseId {
        &self.database
    }

    /// Highest term seen so far.
    #[must_use]
    pub fn highest_term(&self) -> Term {
        self.highest_term
    }

    /// Learns of a term from elsewhere, for example from the platform's store.
    pub fn observe_term(&mut self, term: Term) {
        self.highest_term = self.highest_term.max(term);
    }

    /// Term and primary while serving.
    #[must_use]
    pub fn serving(&self) -> Option<(Term, TargetId)> {
        match &self.phase {
            Phase::Serving { term, primary, .. } => Some((*term, primary.clone())),
            _ => None,
        }
    }

    /// Whether we own the database or are about to.
    #[must_use]
    pub fn is_engaged(&self) -> bool {
        matches!(
            self.phase,
            Phase::Fencing { .. } | Phase::Promoting { .. } | Phase::Serving { .. }
        )
    }

    /// What is known of a server.
    #[must_use]
    pub fn server_state(&self, server: &str) -> Option<&ServerState> {
        self.servers.get(server)?.state.as_ref()
    }

    /// Whether a server answers and is not about to leave.
    #[must_use]
    pub fn is_usable(&self, server: &str) -> bool {
        self.servers
            .get(server)
            .is_some_and(|view| view.detector.misses() == 0 && !view.server.leaving)
    }

    /// The servers of the group.
    pub fn servers(&self) -> impl Iterator<Item = &GroupServer> {
        self.servers.values().map(|view| &view.server)
    }

    /// How many servers make a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.servers.len() / 2 + 1
    }

    /// The newest time at which a majority is known to have held our term.
    ///
    /// Send times count, not receive times: whatever a server did between
    /// our sending and our receiving happened after the sending.
    #[must_use]
    pub fn current_as_of(&self) -> Option<Instant> {
        let mut times: Vec<_> =
            self.servers.values().filter_map(|view| view.confirmed_sent_at).collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(self.majority() - 1).copied()
    }

    /// Forgets which servers have confirmed our term.
    pub fn forget_currency(&mut self) {
        for view in self.servers.values_mut() {
            view.confirmed_sent_at = None;
            view.detector.forgive();
        }
    }

    /// Whether reads may be answered at `now`.
    #[must_use]
    pub fn is_current(&self, now: Instant) -> bool {
        let Phase::Serving { answers_from, .. } = &self.phase else {
            return false;
        };
        let confirmed = self
            .current_as_of()
            .is_some_and(|at| now.saturating_duration_since(at) < self.timing.currency);
        confirmed && now >= *answers_from
    }

    /// The newest position of our term that a replica has received. Whatever
    /// lies at or before it survives the loss of the primary.
    #[must_use]
    pub fn confirmed(&self) -> Position {
        let Some((term, primary)) = self.serving() else {
            return Position::ZERO;
        };
        if self.servers.len() == 1 {
            let state = self.server_state(&primary);
            return state.map_or(Position::ZERO, |state| state.received);
        }
        self.servers
            .values()
            .filter(|view| view.server.id != primary)
            .filter_map(|view| view.state.as_ref())
            .filter(|state| state.term == term && state.received.term == term)
            .map(|state| state.received)
            .max()
            .unwrap_or(Position::ZERO)
    }

    /// The position that every server has applied.
    #[must_use]
    pub fn applied_everywhere(&self) -> Position {
        self.servers
            .values()
            .map(|view| view.state.as_ref().map_or(Position::ZERO, |state| state.applied))
            .min()
            .unwrap_or(Position::ZERO)
    }

    /// Takes an event and returns what has to be done.
    pub fn handle(&mut self, now: Instant, event: OwnershipEvent) -> Vec<OwnershipAction> {
        match event {
            OwnershipEvent::Tick => self.tick(now),
            OwnershipEvent::Take(cause) => self.take(now, cause),
            OwnershipEvent::Fenced { server, term, result } => {
                self.fenced(now, server, term, result)
            }
            OwnershipEvent::Promoted { server, term, result } => {
                self.promoted(now, &server, term, &result)
            }
            OwnershipEvent::Probed { server, sequence, state } => {
                self.probed(now, &server, sequence, state)
            }
            OwnershipEvent::HigherTerm(term) => self.higher_term(now, term),
            OwnershipEvent::Release => self.lose(now, LossReason::Released),
            OwnershipEvent::Servers(servers) => {
                self.set_servers(servers);
                Vec::new()
            }
        }
    }

    fn set_servers(&mut self, servers: Vec<GroupServer>) {
        let mut old = std::mem::take(&mut self.servers);
        for server in servers {
            let id = server.id.clone();
            let view = match old.remove(&id) {
                Some(view) => ServerView { server, ..view },
                None => ServerView {
                    server,
                    detector: Detector::new(self.timing.probe_timeout),
                    state: None,
                    confirmed_sent_at: None,
                    probed_at: None,
                },
            };
            self.servers.insert(id, view);
        }
    }

    fn take(&mut self, now: Instant, cause: TakeCause) -> Vec<OwnershipAction> {
        let backing_off = match self.phase {
            Phase::BackingOff { until } => now < until && cause != TakeCause::Handover,
            _ => false,
        };
        if self.is_engaged() || backing_off {
            return Vec::new();
        }
        self.avoid.clear();
        self.retried_at_once = false;
        self.majority_seen_at = Some(now);
        self.start_fencing(now, cause)
    }

    fn start_fencing(&mut self, now: Instant, cause: TakeCause) -> Vec<OwnershipAction> {
        let term = self.highest_term + 1;
        self.highest_term = term;
        for view in self.servers.values_mut() {
            view.confirmed_sent_at = None;
        }
        self.phase = Phase::Fencing {
            term,
            since: now,
            majority_at: None,
            granted: BTreeMap::new(),
            failed: BTreeSet::new(),
            cause,
        };
        self.servers
            .keys()
            .map(|server| OwnershipAction::Fence { server: server.clone(), term })
            .collect()
    }

    fn fenced(
        &mut self,
        now: Instant,
        server: TargetId,
        term: Term,
        result: Result<ServerState, FenceFailure>,
    ) -> Vec<OwnershipAction> {
        match result {
            Ok(state) => self.fence_granted(now, server, term, state),
            Err(FenceFailure::HigherTerm { term: higher, owner }) => {
                self.fence_refused(now, term, higher, &owner)
            }
            Err(FenceFailure::Unreachable) => self.fence_unreachable(now, server, term),
        }
    }

    fn fence_granted(
        &mut self,
        now: Instant,
        server: TargetId,
        term: Term,
        state: ServerState,
    ) -> Vec<OwnershipAction> {
        // A server that came back while we serve was fenced again; it can
        // follow the primary now.
        if let Phase::Serving { term: own, primary, .. } = &self.phase {
            if *own != term || *primary == server {
                return Vec::new();
            }
            let primary = primary.clone();
            return vec![OwnershipAction::Follow { server, term, primary }];
        }
        let majority = self.majority();
        let Phase::Fencing { term: own, since, majority_at, granted, .. } = &mut self.phase else {
            return Vec::new();
        };
        if *own != term {
            return Vec::new();
        }
        let sent_at = *since;
        granted.insert(server.clone(), state.clone());
        if granted.len() >= majority && majority_at.is_none() {
            *majority_at = Some(now);
        }
        if let Some(view) = self.servers.get_mut(&server) {
            view.state = Some(state);
            view.confirmed_sent_at = Some(sent_at);
        }
        self.choose_if_ready(now)
    }

    fn fence_unreachable(
        &mut self,
        now: Instant,
        server: TargetId,
        term: Term,
    ) -> Vec<OwnershipAction> {
        let Phase::Fencing { term: own, failed, .. } = &mut self.phase else {
            return Vec::new();
        };
        if *own != term {
            return Vec::new();
        }
        failed.insert(server);
        self.choose_if_ready(now)
    }

    fn fence_refused(
        &mut self,
        now: Instant,
        term: Term,
        higher: Term,
        owner: &str,
    ) -> Vec<OwnershipAction> {
        self.highest_term = self.highest_term.max(higher);
        if let Phase::Serving { term: own, .. } = &self.phase {
            return if higher > *own { self.lose(now, LossReason::Fenced) } else { Vec::new() };
        }
        let Phase::Fencing { term: own, cause, .. } = &self.phase else {
            return Vec::new();
        };
        if *own != term {
            return Vec::new();
        }
        // Whoever holds the higher term may be serving reads in it, whatever
        // had started our own attempt.
        let cause = if cause.earlier_owner_may_serve() { *cause } else { TakeCause::OwnerSilent };
        // The first refusal only tells the current term to one who did not
        // know it. A second one is a race with another instance, unless the
        // term is our own from before a restart.
        if !self.retried_at_once || instance_of(owner) == &*self.me {
            self.retried_at_once = true;
            return self.start_fencing(now, cause);
        }
        self.back_off(now)
    }

    fn choose_if_ready(&mut self, now: Instant) -> Vec<OwnershipAction> {
        let majority = self.majority();
        let Phase::Fencing { term, majority_at, granted, failed, cause, .. } = &self.phase else {
            return Vec::new();
        };
        let answered = granted.len() + failed.len();
        let Some(majority_at) = *majority_at else {
            if answered == self.servers.len() {
                return self.back_off(now);
            }
            return Vec::new();
        };
        // The servers that did not answer may be dead. Waiting a little for
        // them avoids promoting a replica when the old primary is alive.
        let waited = now.saturating_duration_since(majority_at) >= self.timing.choose_wait;
        let rest_is_silent =
            self.servers.iter().filter(|(id, _)| !granted.contains_key(*id)).all(|(id, view)| {
                failed.contains(id) || view.detector.misses() >= self.timing.misses_to_suspect
            });
        if answered < self.servers.len() && !waited && !rest_is_silent {
            return Vec::new();
        }
        let (term, cause) = (*term, *cause);
        let candidate = self.choose(granted, majority);
        self.phase =
            Phase::Promoting { term, candidate: candidate.clone(), since: now, majority_at, cause };
        vec![OwnershipAction::Promote { server: candidate, term }]
    }

    /// Picks the server with the highest log among those fenced.
    ///
    /// A server to avoid is passed over only when the others are a majority
    /// by themselves. Otherwise it may be the only one of them that holds an
    /// acknowledged write, and leaving it out would lose that write.
    fn choose(&self, granted: &BTreeMap<TargetId, ServerState>, majority: usize) -> TargetId {
        let wanted = granted.keys().filter(|id| !self.is_unwanted(id)).count();
        let pass_over = wanted >= majority;
        let best = granted
            .iter()
            .filter(|(id, _)| !(pass_over && self.avoid.contains(*id)))
            .max_by_key(|(id, state)| {
                let wanted = !self.is_unwanted(id);
                let is_primary = self.primary.as_ref() == Some(*id) || state.is_primary;
                let near = self.is_near(id);
                (state.received, wanted, is_primary, near)
            });
        best.map(|(id, _)| id.clone()).expect("a majority was fenced, so at least one server was")
    }

    fn is_unwanted(&self, server: &TargetId) -> bool {
        let leaving = self.servers.get(server).is_some_and(|view| view.server.leaving);
        leaving || self.avoid.contains(server)
    }

    fn is_near(&self, server: &TargetId) -> bool {
        self.servers.get(server).is_some_and(|view| view.server.failure_domain == self.near)
    }

    fn promoted(
        &mut self,
        now: Instant,
        server: &TargetId,
        term: Term,
        result: &Result<Position, FenceFailure>,
    ) -> Vec<OwnershipAction> {
        let Phase::Promoting { term: own, candidate, majority_at, cause, .. } = &self.phase else {
            return Vec::new();
        };
        if *own != term || candidate != server {
            return Vec::new();
        }
        let (majority_at, cause) = (*majority_at, *cause);
        let first = match result {
            Ok(first) => *first,
            Err(FenceFailure::HigherTerm { term, .. }) => {
                self.highest_term = self.highest_term.max(*term);
                return self.back_off(now);
            }
            Err(FenceFailure::Unreachable) => {
                return self.promotion_failed(now, server.clone());
            }
        };
        let answers_from = if cause.earlier_owner_may_serve() {
            majority_at + self.timing.currency
        } else {
            majority_at
        };
        self.serve(server, term, first, answers_from, cause)
    }

    fn serve(
        &mut self,
        primary: &TargetId,
        term: Term,
        first: Position,
        answers_from: Instant,
        cause: TakeCause,
    ) -> Vec<OwnershipAction> {
        self.primary = Some(primary.clone());
        self.avoid.clear();
        self.phase = Phase::Serving { term, primary: primary.clone(), first, answers_from };
        if let Some(state) = self.servers.get_mut(primary).and_then(|view| view.state.as_mut()) {
            state.is_primary = true;
            state.received = first;
            state.applied = first;
        }
        let mut actions = vec![OwnershipAction::Serve {
            term,
            primary: primary.clone(),
            first,
            answers_from,
            cause,
        }];
        let others = self.servers.keys().filter(|id| *id != primary);
        actions.extend(others.map(|id| OwnershipAction::Follow {
            server: id.clone(),
            term,
            primary: primary.clone(),
        }));
        actions
    }

    fn promotion_failed(&mut self, now: Instant, server: TargetId) -> Vec<OwnershipAction> {
        self.avoid.insert(server);
        let cause = match &self.phase {
            // Whether an earlier owner may still serve does not change by
            // our own second attempt.
            Phase::Promoting { cause, .. } if cause.earlier_owner_may_serve() => *cause,
            _ => TakeCause::PromotionFailed,
        };
        self.start_fencing(now, cause)
    }

    fn tick(&mut self, now: Instant) -> Vec<OwnershipAction> {
        self.forgive_after_pause(now);
        match &self.phase {
            Phase::Idle => Vec::new(),
            Phase::BackingOff { until } => {
                if now >= *until {
                    self.phase = Phase::Idle;
                }
                Vec::new()
            }
            Phase::Fencing { since, .. } => {
                if now.saturating_duration_since(*since) >= self.timing.fence_timeout {
                    return self.fencing_timed_out(now);
                }
                self.choose_if_ready(now)
            }
            Phase::Promoting { since, candidate, .. } => {
                if now.saturating_duration_since(*since) < self.timing.promote_timeout {
                    return Vec::new();
                }
                let candidate = candidate.clone();
                self.promotion_failed(now, candidate)
            }
            Phase::Serving { term, primary, .. } => {
                let (term, primary) = (*term, primary.clone());
                self.tick_serving(now, term, &primary)
            }
        }
    }

    fn forgive_after_pause(&mut self, now: Instant) {
        let paused =
            self.last_tick_at.is_some_and(|last| now.saturating_duration_since(last) > PAUSE_GAP);
        self.last_tick_at = Some(now);
        if !paused {
            return;
        }
        for view in self.servers.values_mut() {
            view.detector.forgive();
        }
        self.majority_seen_at = Some(now);
    }

    fn fencing_timed_out(&mut self, now: Instant) -> Vec<OwnershipAction> {
        let Phase::Fencing { majority_at, .. } = &self.phase else {
            return Vec::new();
        };
        if majority_at.is_some() {
            return self.choose_if_ready(now);
        }
        self.back_off(now)
    }

    fn tick_serving(
        &mut self,
        now: Instant,
        term: Term,
        primary: &TargetId,
    ) -> Vec<OwnershipAction> {
        for view in self.servers.values_mut() {
            view.detector.tick(now);
        }
        if self.is_isolated(now) {
            return self.lose(now, LossReason::Isolated);
        }
        if let Some(cause) = self.primary_fault(primary) {
            return self.replace_primary(now, primary.clone(), cause);
        }
        let mut actions = Vec::new();
        let (interval, state_interval) = self.probe_pace(now);
        for (id, view) in &mut self.servers {
            // Statements prove that a server lives, but only a probe tells
            // whether a replica hears its primary and whom it follows.
            let state_is_due =
                view.probed_at.is_none_or(|at| now.saturating_duration_since(at) >= state_interval);
            if !state_is_due && !view.detector.is_due(now, interval) {
                continue;
            }
            let sequence = view.detector.sent(now);
            view.probed_at = Some(now);
            actions.push(OwnershipAction::Probe { server: id.clone(), sequence });
        }
        actions.extend(self.repair_followers(term, primary));
        actions
    }

    /// Pace of the probes to a silent server, and to one that answers.
    ///
    /// Nobody waits for an idle database, so its servers are asked seldom;
    /// the first request after that finds the next probe due at once.
    fn probe_pace(&self, now: Instant) -> (Duration, Duration) {
        let timing = &self.timing;
        let quiet = self
            .last_request_at
            .is_none_or(|at| now.saturating_duration_since(at) >= timing.idle_after);
        let suspect = self.servers.values().any(|view| view.detector.misses() > 0);
        if quiet && !suspect {
            return (timing.idle_interval, timing.idle_interval);
        }
        (timing.probe_interval, timing.state_interval)
    }

    /// A request came in for this database.
    pub fn requested(&mut self, now: Instant) {
        self.last_request_at = Some(now);
    }

    fn is_isolated(&mut self, now: Instant) -> bool {
        let reachable = self
            .servers
            .values()
            .filter(|view| view.detector.misses() < self.timing.misses_to_suspect)
            .count();
        if reachable >= self.majority() {
            self.majority_seen_at = Some(now);
            return false;
        }
        self.majority_seen_at
            .is_some_and(|at| now.saturating_duration_since(at) >= self.timing.isolation_limit)
    }

    fn primary_fault(&self, primary: &TargetId) -> Option<TakeCause> {
        let view = self.servers.get(primary)?;
        if view.detector.misses() >= self.timing.misses_to_suspect {
            // Fencing needs a majority; without one the primary stays, since
            // nothing would be won.
            let others = self.reachable_others(primary).count();
            return (others >= self.majority()).then_some(TakeCause::PrimarySilent);
        }
        if self.is_unheard(primary) {
            return Some(TakeCause::PrimaryUnheard);
        }
        None
    }

    fn reachable_others<'a>(
        &'a self,
        primary: &'a TargetId,
    ) -> impl Iterator<Item = &'a ServerView> {
        self.servers
            .values()
            .filter(move |view| view.server.id != *primary && view.detector.misses() == 0)
    }

    /// Whether a majority of servers, all of them replicas we can reach, has
    /// not heard from the primary. It still answers us, but no write on it
    /// can be confirmed.
    fn is_unheard(&self, primary: &TargetId) -> bool {
        let mut unheard = 0;
        for view in self.reachable_others(primary) {
            let Some(state) = &view.state else {
                continue;
            };
            let follows = state.follows.as_ref() == Some(primary);
            let Some(heard) = state.primary_heard else {
                continue;
            };
            if !follows || heard < self.timing.unheard_limit {
                return false;
            }
            unheard += 1;
        }
        unheard >= self.majority()
    }

    fn replace_primary(
        &mut self,
        now: Instant,
        primary: TargetId,
        cause: TakeCause,
    ) -> Vec<OwnershipAction> {
        self.avoid.clear();
        self.avoid.insert(primary);
        self.retried_at_once = true;
        let mut actions = vec![OwnershipAction::Pause { cause }];
        actions.extend(self.start_fencing(now, cause));
        actions
    }

    /// Replaces a primary that is to leave, once a replica has all it has.
    pub fn replace_leaving_primary(&mut self, now: Instant) -> Vec<OwnershipAction> {
        let Some((_, primary)) = self.serving() else {
            return Vec::new();
        };
        self.replace_primary(now, primary, TakeCause::PrimaryLeaving)
    }

    /// Whether the primary is marked as leaving and a replica could replace it.
    #[must_use]
    pub fn should_replace_leaving_primary(&self) -> bool {
        let Some((_, primary)) = self.serving() else {
            return false;
        };
        let leaving = self.servers.get(&primary).is_some_and(|view| view.server.leaving);
        let others = self.reachable_others(&primary).filter(|view| !view.server.leaving).count();
        leaving && others >= self.majority()
    }

    /// Servers that hold our term but follow nobody, and servers that came
    /// back with an older term, are brought into line.
    fn repair_followers(&self, term: Term, primary: &TargetId) -> Vec<OwnershipAction> {
        let mut actions = Vec::new();
        for (id, view) in &self.servers {
            let Some(state) = &view.state else {
                continue;
            };
            if view.detector.misses() > 0 || id == primary {
                continue;
            }
            if state.term < term {
                actions.push(OwnershipAction::Fence { server: id.clone(), term });
            } else if state.follows.as_ref() != Some(primary) {
                let primary = primary.clone();
                actions.push(OwnershipAction::Follow { server: id.clone(), term, primary });
            }
        }
        actions
    }

    fn probed(
        &mut self,
        now: Instant,
        server: &TargetId,
        sequence: u64,
        state: Option<ServerState>,
    ) -> Vec<OwnershipAction> {
        let own_term = self.serving().map(|(term, _)| term);
        let holder = self.holder.clone();
        let Some(view) = self.servers.get_mut(server) else {
            return Vec::new();
        };
        let Some(state) = state else {
            view.detector.failed(sequence);
            return Vec::new();
        };
        let sent_at = view.detector.succeeded(sequence);
        let (term, owner) = (state.term, state.owner.clone());
        self.highest_term = self.highest_term.max(term);
        // Answers can cross: positions never go back within one term.
        let is_newer = view.state.as_ref().is_none_or(|known| {
            state.term > known.term
                || (state.term == known.term
                    && (state.received >= known.received || state.follows != known.follows))
        });
        if is_newer {
            view.state = Some(state);
        }
        let Some(own_term) = own_term else {
            return Vec::new();
        };
        if term > own_term {
            return self.lose(now, LossReason::Fenced);
        }
        if term == own_term && owner == holder {
            if let Some(sent_at) = sent_at {
                view.confirmed_sent_at = view.confirmed_sent_at.max(Some(sent_at));
            }
        }
        Vec::new()
    }

    /// Learns a replica's received position outside the paced probes, from a
    /// write that waits for its confirmation.
    pub fn received(&mut self, server: &str, term: Term, position: Position) {
        let Some(view) = self.servers.get_mut(server) else {
            return;
        };
        let Some(state) = &mut view.state else {
            return;
        };
        if state.term == term && position > state.received {
            state.received = position;
        }
    }

    /// A statement sent at `sent_at` in our `term` was answered by a server,
    /// which had applied `applied` afterwards.
    ///
    /// Statements are only taken by servers that hold our term, so the answer
    /// confirms it like a probe. Under load hardly any probe is left to send.
    pub fn answered(&mut self, server: &str, term: Term, sent_at: Instant, applied: Position) {
        if self.serving().is_none_or(|(own, _)| own != term) {
            return;
        }
        let Some(view) = self.servers.get_mut(server) else {
            return;
        };
        view.detector.answered_otherwise(sent_at);
        view.confirmed_sent_at = view.confirmed_sent_at.max(Some(sent_at));
        if let Some(state) = view.state.as_mut().filter(|state| state.term == term) {
            state.applied = state.applied.max(applied);
            state.received = state.received.max(applied);
        }
    }

    fn higher_term(&mut self, now: Instant, term: Term) -> Vec<OwnershipAction> {
        self.highest_term = self.highest_term.max(term);
        match &self.phase {
            Phase::Serving { term: own, .. } if term > *own => self.lose(now, LossReason::Fenced),
            Phase::Fencing { term: own, .. } | Phase::Promoting { term: own, .. }
                if term > *own =>
            {
                self.back_off(now)
            }
            _ => Vec::new(),
        }
    }

    fn lose(&mut self, now: Instant, reason: LossReason) -> Vec<OwnershipAction> {
        if !self.is_engaged() {
            return Vec::new();
        }
        // One who could not reach a majority leaves the field to instances
        // that can, for longer than one that merely lost a race.
        let pause = match reason {
            LossReason::Isolated => self.timing.isolation_limit * 3,
            LossReason::Fenced | LossReason::Released | LossReason::AttemptFailed => {
                self.backoff_time()
            }
        };
        self.phase = Phase::BackingOff { until: now + pause };
        vec![OwnershipAction::Lost { term: self.highest_term, reason }]
    }

    fn back_off(&mut self, now: Instant) -> Vec<OwnershipAction> {
        let until = now + self.backoff_time();
        self.phase = Phase::BackingOff { until };
        vec![OwnershipAction::Lost { term: self.highest_term, reason: LossReason::AttemptFailed }]
    }

    /// One to four times the shortest pause, so that two instances that
    /// raced do not meet again at once.
    fn backoff_time(&mut self) -> Duration {
        self.jitter_state ^= self.jitter_state << 13;
        self.jitter_state ^= self.jitter_state >> 7;
        self.jitter_state ^= self.jitter_state << 17;
        let quarters = u32::try_from(self.jitter_state % 13).unwrap_or(0);
        self.timing.backoff + self.timing.backoff * quarters / 4
    }
}
