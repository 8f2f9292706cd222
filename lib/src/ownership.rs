//! Ownership of one database group: fencing, promotion and failover.
//!
//! The owner of a database is the one instance that serves it. Ownership is
//! not a lease; it rests on the term of the group. An instance that wants to
//! serve the database fences a majority of its servers: it asks them to accept
//! a higher term, after which they refuse all work of lower terms. It then
//! promotes one of the fenced servers to primary. An instance follows the same
//! procedure to take a database from another owner and to replace a failed
//! primary.

mod fencing;
mod watching;

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
use crate::ownership_types::GroupServer;
use crate::ownership_types::LossReason;
use crate::ownership_types::OwnershipAction;
use crate::ownership_types::OwnershipEvent;
use crate::ownership_types::OwnershipTiming;
use crate::ownership_types::ServerState;
use crate::ownership_types::TakeCause;
use crate::position::Position;

/// Phase of the ownership procedure at one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    /// This instance neither owns the database nor is taking it.
    Idle,
    /// Collecting grants for a new term from a majority of the servers.
    Fencing {
        /// The new term.
        term: Term,
        /// When the fence requests were sent.
        since: Instant,
        /// When a majority had granted the term, if it has.
        majority_at: Option<Instant>,
        /// Servers that granted the term, with the state that they reported.
        granted: BTreeMap<TargetId, ServerState>,
        /// Servers that could not be reached or returned an error.
        failed: BTreeSet<TargetId>,
        /// Why the database is being taken.
        cause: TakeCause,
    },
    /// Waiting for the chosen server to become primary.
    Promoting {
        /// The new term.
        term: Term,
        /// The chosen server.
        candidate: TargetId,
        /// When the promotion request was sent.
        since: Instant,
        /// When a majority had granted the term.
        majority_at: Instant,
        /// Why the database is being taken.
        cause: TakeCause,
    },
    /// This instance owns the database and serves it.
    Serving {
        /// Term in which it serves.
        term: Term,
        /// The primary.
        primary: TargetId,
        /// Position of the first log entry of the term.
        first: Position,
        /// Nothing is acknowledged and no read answered before this time: until
        /// then an earlier owner may still answer reads.
        acknowledge_from: Instant,
    },
    /// Waiting before another attempt, after a failed one or after a loss of
    /// ownership.
    BackingOff {
        /// End of the wait.
        until: Instant,
    },
}

/// State of one server as observed by this instance.
#[derive(Clone, Debug)]
struct ServerView {
    server: GroupServer,
    detector: Detector,
    state: Option<ServerState>,
    /// Send time of the newest probe, fence or statement whose answer confirmed
    /// the term of this instance.
    confirmed_sent_at: Option<Instant>,
    /// Send time of the last probe.
    probed_at: Option<Instant>,
}

/// State machine for the ownership of one database at one instance.
#[derive(Clone, Debug)]
pub struct Ownership {
    me: InstanceId,
    holder: HolderId,
    failure_domain: FailureDomainId,
    database: DatabaseId,
    timing: OwnershipTiming,
    servers: BTreeMap<TargetId, ServerView>,
    phase: Phase,
    highest_term: Term,
    /// Servers that are promoted only if no other choice is safe: the primary
    /// being replaced, and servers whose promotion failed.
    avoid: BTreeSet<TargetId>,
    primary: Option<TargetId>,
    last_tick_at: Option<Instant>,
    last_request_at: Option<Instant>,
    majority_reached_at: Option<Instant>,
    retried_after_refusal: bool,
    jitter_state: u64,
}

/// Separates the name of an instance from its incarnation in a holder id.
const HOLDER_SEPARATOR: char = '@';

/// Returns the holder id of one incarnation of an instance, that is, of one run
/// between start and exit. `incarnation` is its number.
///
/// A server grants a term again when the same holder repeats its fence request.
/// A restarted instance has lost its term. If it had the same holder id as
/// before, servers would grant it the old term again and it would promote a
/// second primary in that term.
#[must_use]
pub fn holder_id(instance: &str, incarnation: &str) -> HolderId {
    format!("{instance}{HOLDER_SEPARATOR}{incarnation}").into()
}

fn instance_of(holder: &str) -> &str {
    holder.rsplit_once(HOLDER_SEPARATOR).map_or(holder, |(instance, _)| instance)
}

/// A longer gap between two ticks means that this process was paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(300);

impl Ownership {
    /// Creates the state machine of a database without a known owner.
    ///
    /// `me` is this instance, `holder` its incarnation as reported to servers, and
    /// `failure_domain` the domain in which it runs.
    #[must_use]
    pub fn new(
        me: InstanceId,
        holder: HolderId,
        failure_domain: FailureDomainId,
        database: DatabaseId,
        servers: Vec<GroupServer>,
        timing: OwnershipTiming,
    ) -> Self {
        let jitter_state = crate::placement::stable_hash(&[&me, &database]) | 1;
        let mut ownership = Self {
            me,
            holder,
            failure_domain,
            database,
            timing,
            servers: BTreeMap::new(),
            phase: Phase::Idle,
            highest_term: 0,
            avoid: BTreeSet::new(),
            primary: None,
            last_tick_at: None,
            last_request_at: None,
            majority_reached_at: None,
            retried_after_refusal: false,
            jitter_state,
        };
        ownership.set_servers(servers);
        ownership
    }

    /// Returns the current phase.
    #[must_use]
    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Returns the database whose ownership this is.
    #[must_use]
    pub fn database(&self) -> &DatabaseId {
        &self.database
    }

    /// Returns the highest term observed so far.
    #[must_use]
    pub fn highest_term(&self) -> Term {
        self.highest_term
    }

    /// Records a term observed elsewhere, for example in the platform's store.
    /// The next attempt of this instance uses a higher one.
    pub fn observe_term(&mut self, term: Term) {
        self.highest_term = self.highest_term.max(term);
    }

    /// Returns the term and the primary while this instance serves the database.
    #[must_use]
    pub fn serving(&self) -> Option<(Term, TargetId)> {
        match &self.phase {
            Phase::Serving { term, primary, .. } => Some((*term, primary.clone())),
            _ => None,
        }
    }

    /// Whether this instance owns the database or is taking it.
    #[must_use]
    pub fn owns_or_is_taking(&self) -> bool {
        matches!(
            self.phase,
            Phase::Fencing { .. } | Phase::Promoting { .. } | Phase::Serving { .. }
        )
    }

    /// Returns the last reported state of a server.
    #[must_use]
    pub fn server_state(&self, server: &str) -> Option<&ServerState> {
        self.servers.get(server)?.state.as_ref()
    }

    /// Whether a server has missed no probe since its last answer and is not
    /// marked as leaving.
    #[must_use]
    pub fn is_usable(&self, server: &str) -> bool {
        self.servers
            .get(server)
            .is_some_and(|view| view.detector.misses() == 0 && !view.server.leaving)
    }

    /// Returns the servers of the group.
    pub fn servers(&self) -> impl Iterator<Item = &GroupServer> {
        self.servers.values().map(|view| &view.server)
    }

    /// Returns the number of servers that form a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.servers.len() / 2 + 1
    }

    /// Returns the latest time at which a majority is known to have held the term
    /// of this instance.
    ///
    /// The result is based on the send times of confirmed messages. A server may
    /// have accepted a higher term between its answer and the receipt of that
    /// answer, but not before the message was sent.
    #[must_use]
    pub fn majority_confirmed_at(&self) -> Option<Instant> {
        let mut times: Vec<_> =
            self.servers.values().filter_map(|view| view.confirmed_sent_at).collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(self.majority() - 1).copied()
    }

    /// Discards all confirmations of the term, and all missed probes.
    ///
    /// No read is answered until a majority has confirmed the term again.
    pub fn clear_term_confirmations(&mut self) {
        for view in self.servers.values_mut() {
            view.confirmed_sent_at = None;
            view.detector.clear_misses();
        }
    }

    /// Whether reads may be answered and writes acknowledged at `now`.
    ///
    /// A majority must have confirmed the term within
    /// [`OwnershipTiming::confirmation_max_age`]. The limit keeps an owner that
    /// another instance has replaced from returning stale data.
    #[must_use]
    pub fn is_current(&self, now: Instant) -> bool {
        let Phase::Serving { acknowledge_from, .. } = &self.phase else {
            return false;
        };
        let confirmed = self
            .majority_confirmed_at()
            .is_some_and(|at| now.saturating_duration_since(at) < self.timing.confirmation_max_age);
        confirmed && now >= *acknowledge_from
    }

    /// Returns the newest position of the current term that a replica has
    /// received. Entries up to this position survive the loss of the primary.
    ///
    /// In a group of one server, this is the position of the primary. Without
    /// ownership it is [`Position::ZERO`].
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

    /// Returns the position up to which every server has applied the log.
    #[must_use]
    pub fn applied_everywhere(&self) -> Position {
        self.servers
            .values()
            .map(|view| view.state.as_ref().map_or(Position::ZERO, |state| state.applied))
            .min()
            .unwrap_or(Position::ZERO)
    }

    /// Processes an event and returns the actions that the driver has to perform.
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
            OwnershipEvent::Release => self.end_ownership(now, LossReason::Released),
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
        if self.owns_or_is_taking() || backing_off {
            return Vec::new();
        }
        self.avoid.clear();
        self.retried_after_refusal = false;
        self.majority_reached_at = Some(now);
        self.start_fencing(now, cause)
    }

    fn tick(&mut self, now: Instant) -> Vec<OwnershipAction> {
        self.reset_after_pause(now);
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

    fn reset_after_pause(&mut self, now: Instant) {
        let paused = self
            .last_tick_at
            .is_some_and(|last| now.saturating_duration_since(last) > PAUSE_THRESHOLD);
        self.last_tick_at = Some(now);
        if !paused {
            return;
        }
        for view in self.servers.values_mut() {
            view.detector.clear_misses();
        }
        self.majority_reached_at = Some(now);
    }

    /// Records that a request for this database arrived.
    pub fn requested(&mut self, now: Instant) {
        self.last_request_at = Some(now);
    }

    fn higher_term(&mut self, now: Instant, term: Term) -> Vec<OwnershipAction> {
        self.highest_term = self.highest_term.max(term);
        match &self.phase {
            Phase::Serving { term: own, .. } if term > *own => {
                self.end_ownership(now, LossReason::Fenced)
            }
            Phase::Fencing { term: own, .. } | Phase::Promoting { term: own, .. }
                if term > *own =>
            {
                self.back_off(now)
            }
            _ => Vec::new(),
        }
    }

    fn end_ownership(&mut self, now: Instant, reason: LossReason) -> Vec<OwnershipAction> {
        if !self.owns_or_is_taking() {
            return Vec::new();
        }
        // An instance that reached no majority waits longer than one that only
        // lost a race, so that an instance that does reach a majority can take
        // the database first.
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

    /// Returns a random wait of one to four times the shortest one, so that two
    /// instances that raced do not retry at the same time.
    fn backoff_time(&mut self) -> Duration {
        self.jitter_state ^= self.jitter_state << 13;
        self.jitter_state ^= self.jitter_state >> 7;
        self.jitter_state ^= self.jitter_state << 17;
        let quarters = u32::try_from(self.jitter_state % 13).unwrap_or(0);
        self.timing.backoff + self.timing.backoff * quarters / 4
    }
}
