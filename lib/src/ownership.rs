//! Ownership of one database group: fencing, promotion and failover.
//!
//! Exactly one instance serves a database at a time. What makes this safe is
//! not a lease but the group's own term: an instance that wants to serve
//! fences a majority of the servers with a higher term, and a fenced server
//! refuses everything of a lower one. Taking over from another owner and
//! replacing a failed primary are the same procedure.

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
        acknowledge_from: Instant,
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
    pub fn owns_or_is_taking(&self) -> bool {
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
    pub fn majority_confirmed_at(&self) -> Option<Instant> {
        let mut times: Vec<_> =
            self.servers.values().filter_map(|view| view.confirmed_sent_at).collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(self.majority() - 1).copied()
    }

    /// Forgets which servers have confirmed our term.
    pub fn clear_term_confirmations(&mut self) {
        for view in self.servers.values_mut() {
            view.confirmed_sent_at = None;
            view.detector.clear_misses();
        }
    }

    /// Whether reads may be answered at `now`.
    #[must_use]
    pub fn is_current(&self, now: Instant) -> bool {
        let Phase::Serving { acknowledge_from, .. } = &self.phase else {
            return false;
        };
        let confirmed = self
            .majority_confirmed_at()
            .is_some_and(|at| now.saturating_duration_since(at) < self.timing.currency);
        confirmed && now >= *acknowledge_from
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
        if self.owns_or_is_taking() || backing_off {
            return Vec::new();
        }
        self.avoid.clear();
        self.retried_at_once = false;
        self.majority_seen_at = Some(now);
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
            view.detector.clear_misses();
        }
        self.majority_seen_at = Some(now);
    }

    /// A request came in for this database.
    pub fn requested(&mut self, now: Instant) {
        self.last_request_at = Some(now);
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
        if !self.owns_or_is_taking() {
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
