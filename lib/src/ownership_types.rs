//! Events, actions and timing of the ownership state machine in
//! [`crate::ownership`].

use std::time::Duration;
use std::time::Instant;

use crate::id::FailureDomainId;
use crate::id::HolderId;
use crate::id::TargetId;
use crate::id::Term;
use crate::position::Position;

/// Time limits of failure detection and failover. `docs/DESIGN.md` gives the
/// reason for each value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnershipTiming {
    /// Interval between probes to a server that receives no statements.
    pub probe_interval: Duration,
    /// Interval between probes to a server that answers statements.
    pub state_interval: Duration,
    /// Interval between probes to the servers of an idle database.
    pub idle_interval: Duration,
    /// Time without a request after which a database is idle.
    pub idle_after: Duration,
    /// Time without an answer after which a probe counts as missed.
    pub probe_timeout: Duration,
    /// Number of probes missed in a row after which a server counts as failed.
    pub misses_to_suspect: u32,
    /// Longest time since the sending of a message with which a majority
    /// confirmed the term. Beyond it, the owner answers no reads.
    pub confirmation_max_age: Duration,
    /// Longest wait for a majority to grant a fence request.
    pub fence_timeout: Duration,
    /// Wait for the remaining servers once a majority has granted the term.
    pub straggler_wait: Duration,
    /// Longest wait for the answer to a promotion request.
    pub promote_timeout: Duration,
    /// Time after which the owner replaces a primary from which the reachable
    /// replicas, if they form a majority, have received nothing.
    pub replication_timeout: Duration,
    /// Time without a reachable majority after which the owner stops serving
    /// the database.
    pub isolation_limit: Duration,
    /// Shortest wait before another attempt after a lost race.
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
            confirmation_max_age: Duration::from_millis(500),
            fence_timeout: Duration::from_millis(400),
            straggler_wait: Duration::from_millis(20),
            promote_timeout: Duration::from_millis(400),
            replication_timeout: Duration::from_millis(500),
            isolation_limit: Duration::from_millis(1500),
            backoff: Duration::from_millis(150),
        }
    }
}

/// Why an instance takes a database, or fences it again in a new term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TakeCause {
    /// The database has no known owner.
    Vacant,
    /// The owner is unresponsive.
    OwnerSilent,
    /// The owner hands the database over and has stopped serving it.
    Handover,
    /// This instance owns the database and its primary is unresponsive.
    PrimarySilent,
    /// This instance owns the database and the replicas receive nothing from its
    /// primary.
    PrimaryUnheard,
    /// This instance owns the database and its primary is marked as leaving.
    PrimaryLeaving,
    /// The promotion of the chosen server failed.
    PromotionFailed,
}

impl TakeCause {
    /// Whether an earlier owner may still serve the database. It can answer reads
    /// until its last confirmation is older than
    /// [`OwnershipTiming::confirmation_max_age`].
    pub(crate) fn earlier_owner_may_serve(self) -> bool {
        matches!(self, Self::Vacant | Self::OwnerSilent)
    }
}

/// State of a server as it reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerState {
    /// Highest term that it has accepted.
    pub term: Term,
    /// Holder that it granted this term to.
    pub owner: HolderId,
    /// Whether it was promoted in this term.
    pub is_primary: bool,
    /// Primary that it replicates from, if any.
    pub follows: Option<TargetId>,
    /// Position of the last log entry that it received.
    pub received: Position,
    /// Position of the last log entry that it applied.
    pub applied: Position,
    /// Time since it last received anything from the primary that it follows.
    pub since_primary_contact: Option<Duration>,
}

/// A server of the group, from the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupServer {
    /// Name of the server.
    pub id: TargetId,
    /// Failure domain in which it runs.
    pub failure_domain: FailureDomainId,
    /// Whether it is about to be removed and gets no new work.
    pub leaving: bool,
}

/// Input of the state machine.
#[derive(Clone, Debug)]
pub enum OwnershipEvent {
    /// Time has passed.
    Tick,
    /// Take the database, unless this instance owns it or is taking it already.
    Take(TakeCause),
    /// A server answered a fence request.
    Fenced {
        /// The server.
        server: TargetId,
        /// Term of the request.
        term: Term,
        /// State of the server, or why it did not grant the term.
        result: Result<ServerState, FenceFailure>,
    },
    /// A server answered a promotion request.
    Promoted {
        /// The server.
        server: TargetId,
        /// Term of the request.
        term: Term,
        /// Position of the first log entry of the term, or why the promotion
        /// failed.
        result: Result<Position, FenceFailure>,
    },
    /// A probe was answered or failed.
    Probed {
        /// The server.
        server: TargetId,
        /// Sequence number of the probe.
        sequence: u64,
        /// State of the server, or `None` if it could not be reached.
        state: Option<ServerState>,
    },
    /// A server refused work because of a higher term.
    HigherTerm(Term),
    /// Give the database up: another instance has taken it over, or must.
    Release,
    /// The servers of the group changed.
    Servers(Vec<GroupServer>),
}

/// Why a server did not carry out a fence or promotion request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FenceFailure {
    /// The server has granted another term, or the same term to another holder.
    HigherTerm {
        /// Term that the server holds.
        term: Term,
        /// Holder that the server granted the term to.
        owner: HolderId,
    },
    /// The server could not be reached or returned an error.
    Unreachable,
}

/// Action that the driver of the state machine has to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnershipAction {
    /// Ask a server to accept the term and refuse all lower ones.
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
        /// Sequence number, returned in [`OwnershipEvent::Probed`].
        sequence: u64,
    },
    /// Start to serve the database.
    Serve {
        /// Term in which this instance serves.
        term: Term,
        /// The primary.
        primary: TargetId,
        /// Position of the first log entry of the term.
        first: Position,
        /// Acknowledge no write and answer no read before this time.
        acknowledge_from: Instant,
        /// Why the database was taken.
        cause: TakeCause,
    },
    /// Stop serving the database while its primary is being replaced.
    Pause {
        /// Why the primary is being replaced.
        cause: TakeCause,
    },
    /// Stop serving the database, which this instance no longer owns or failed
    /// to take.
    Lost {
        /// Highest term observed.
        term: Term,
        /// Why ownership ended.
        reason: LossReason,
    },
}

/// Why an instance no longer owns a database or failed to take it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LossReason {
    /// A server has granted a higher term.
    Fenced,
    /// No majority of the servers could be reached.
    Isolated,
    /// The database was handed over.
    Released,
    /// An attempt to take the database failed.
    AttemptFailed,
}
