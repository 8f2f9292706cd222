//! What goes into the ownership state machine and what comes out of it.

use std::time::Duration;
use std::time::Instant;

use crate::id::FailureDomainId;
use crate::id::HolderId;
use crate::id::TargetId;
use crate::id::Term;
use crate::position::Position;

/// Times of failure detection and failover. See docs/DESIGN.md for why each
/// has its value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnershipTiming {
    /// Pace of the probes to a server that no statement was sent to.
    pub probe_interval: Duration,
    /// Pace of the probes to a server that answers statements.
    pub state_interval: Duration,
    /// Pace of the probes to the servers of a database without requests.
    pub idle_interval: Duration,
    /// A database is idle after this time without a request.
    pub idle_after: Duration,
    /// A probe without an answer for this long is missed.
    pub probe_timeout: Duration,
    /// Probes missed in a row that make a primary suspect.
    pub misses_to_suspect: u32,
    /// A read is answered only if a majority confirmed the term on a probe
    /// sent less than this before.
    pub currency: Duration,
    /// Longest wait for the servers to answer a fence.
    pub fence_timeout: Duration,
    /// Wait for the remaining servers once a majority is fenced.
    pub straggler_wait: Duration,
    /// Longest wait for a promotion.
    pub promote_timeout: Duration,
    /// A primary from which no replica heard for this long is replaced.
    pub replication_timeout: Duration,
    /// Without a majority for this long an owner gives up.
    pub isolation_limit: Duration,
    /// Shortest pause before another attempt after a lost race.
    pub backoff: Duration,
}

impl Default for OwnershipTiming {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(100),
            state_interval: Duration::from_millis(400),
            idle_interval: Duration::from_secs(1),
            idle_after: Duration::from_secs(2),
            probe_timeout: Duration::from_millis(250),
            misses_to_suspect: 3,
            currency: Duration::from_millis(500),
            fence_timeout: Duration::from_millis(400),
            straggler_wait: Duration::from_millis(20),
            promote_timeout: Duration::from_millis(400),
            replication_timeout: Duration::from_millis(500),
            isolation_limit: Duration::from_millis(1500),
            backoff: Duration::from_millis(150),
        }
    }
}

/// Why ownership is taken, or taken again in a new term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TakeCause {
    /// Nobody is known to own the database.
    Vacant,
    /// The owner does not answer.
    OwnerSilent,
    /// The owner passes the database on and has stopped serving it.
    Handover,
    /// We own the database and its primary does not answer.
    PrimarySilent,
    /// We own the database and no replica hears its primary.
    PrimaryUnheard,
    /// We own the database and its primary is to leave.
    PrimaryLeaving,
    /// A promotion failed.
    PromotionFailed,
}

impl TakeCause {
    /// Whether the earlier owner can still believe that it owns the database
    /// and answer reads from it for as long as its currency lasts.
    pub(crate) fn earlier_owner_may_serve(self) -> bool {
        matches!(self, Self::Vacant | Self::OwnerSilent)
    }
}

/// What a server of the group says about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerState {
    /// Highest term it has seen.
    pub term: Term,
    /// Holder that fenced it with this term.
    pub owner: HolderId,
    /// Whether it was promoted in this term.
    pub is_primary: bool,
    /// Server it follows, if it does.
    pub follows: Option<TargetId>,
    /// Last log entry received.
    pub received: Position,
    /// Last log entry applied.
    pub applied: Position,
    /// Time since it last heard from the primary it follows.
    pub since_primary_contact: Option<Duration>,
}

/// A server of the group, from the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupServer {
    /// The server.
    pub id: TargetId,
    /// Where it runs.
    pub failure_domain: FailureDomainId,
    /// It is about to leave and gets no new work.
    pub leaving: bool,
}

/// Something the state machine has to know.
#[derive(Clone, Debug)]
pub enum OwnershipEvent {
    /// Time passed.
    Tick,
    /// Take the database, unless it is held or being taken already.
    Take(TakeCause),
    /// A server answered a fence.
    Fenced {
        /// The server.
        server: TargetId,
        /// Term of the fence.
        term: Term,
        /// Its state, or why it refused.
        result: Result<ServerState, FenceFailure>,
    },
    /// A server answered a promotion.
    Promoted {
        /// The server.
        server: TargetId,
        /// Term of the promotion.
        term: Term,
        /// Position of the first entry of the term.
        result: Result<Position, FenceFailure>,
    },
    /// A server answered a probe.
    Probed {
        /// The server.
        server: TargetId,
        /// Number of the probe.
        sequence: u64,
        /// Its state, or `None` if it could not be reached.
        state: Option<ServerState>,
    },
    /// A server refused work because of a higher term.
    HigherTerm(Term),
    /// Stop owning the database: it was handed over, or must be.
    Release,
    /// The servers of the group changed.
    Servers(Vec<GroupServer>),
}

/// Why a server did not do what it was asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FenceFailure {
    /// It holds this term, for this owner.
    HigherTerm {
        /// Its term.
        term: Term,
        /// Its holder.
        owner: HolderId,
    },
    /// It could not be reached or failed.
    Unreachable,
}

/// Something the driver has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnershipAction {
    /// Ask a server to refuse all lower terms.
    Fence {
        /// The server.
        server: TargetId,
        /// The term.
        term: Term,
    },
    /// Make a server the primary.
    Promote {
        /// The server.
        server: TargetId,
        /// The term.
        term: Term,
    },
    /// Make a server follow the primary.
    Follow {
        /// The server.
        server: TargetId,
        /// The term.
        term: Term,
        /// The primary.
        primary: TargetId,
    },
    /// Ask a server for its state.
    Probe {
        /// The server.
        server: TargetId,
        /// Number to give back with the answer.
        sequence: u64,
    },
    /// The database is served from now on.
    Serve {
        /// Our term.
        term: Term,
        /// The primary.
        primary: TargetId,
        /// First entry of the term.
        first: Position,
        /// Acknowledge nothing before this time.
        acknowledge_from: Instant,
        /// What started it.
        cause: TakeCause,
    },
    /// The database is not served for now: the primary is being replaced.
    Pause {
        /// What started it.
        cause: TakeCause,
    },
    /// The database is not ours any more.
    Lost {
        /// The highest term seen.
        term: Term,
        /// Why.
        reason: LossReason,
    },
}

/// Why an instance stopped owning a database.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LossReason {
    /// A server holds a higher term.
    Fenced,
    /// No majority of the servers could be reached.
    Isolated,
    /// It was handed over.
    Released,
    /// An attempt to take it failed.
    AttemptFailed,
}
