//! What clients observed during a run, as input for the checks that follow it.

use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use chervilwharf_standin::platform::client::Answer;

/// The outcome of a write as it was reported to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedOutcome {
    /// The write was acknowledged and has to be stored.
    Kept,
    /// The write was rejected and must not be stored, not even in part.
    NotKept,
    /// The answer leaves open whether the write is stored, or there was no answer.
    Unknown,
}

impl ReportedOutcome {
    /// Returns the outcome that an answer code to a write or COMMIT stands for. `None`
    /// stands for a connection that ended without an answer.
    #[must_use]
    pub fn from_code(code: Option<&str>) -> Self {
        match code {
            Some("DONE") => Self::Kept,
            Some(
                "BUSY" | "ABORTED" | "LAGGING" | "READONLY" | "MISROUTED" | "TOOMANY" | "NODB"
                | "NOSTMT" | "MALFORMED",
            ) => Self::NotKept,
            _ => Self::Unknown,
        }
    }
}

/// A write, or a transaction that writes the same value to several items.
#[derive(Clone, Debug)]
pub struct Write {
    /// The value, which is unique to this write.
    pub data: String,
    /// Items that the value is written to.
    pub items: Vec<String>,
    /// Request ids of the statements.
    pub ids: Vec<String>,
    /// The outcome that the client received.
    pub reported: ReportedOutcome,
}

/// A read that was answered.
#[derive(Clone, Debug)]
pub struct Read {
    /// The item.
    pub item: String,
    /// The value that was returned.
    pub value: String,
    /// The read has to return this value or a later one.
    pub required_value: Option<String>,
    /// Name of the consistency guarantee that requires `required_value`.
    pub guarantee: &'static str,
}

/// A read, write or commit that was answered with success.
#[derive(Clone, Debug)]
pub struct AnsweredStatement {
    /// Request id of the statement.
    pub id: String,
    /// Text of the statement.
    pub text: String,
    /// The answer.
    pub answer: Answer,
}

/// The result of a check whether an instance serves a database that was added during the
/// run.
#[derive(Clone, Debug)]
pub struct DatabaseCheck {
    /// Index of the instance.
    pub instance: usize,
    /// Incarnation of the instance.
    pub incarnation: u64,
    /// Number of the database.
    pub database: u64,
    /// Whether the instance accepted a session on the database.
    pub is_served: bool,
}

/// The period in which a server was draining.
#[derive(Clone, Copy, Debug)]
pub struct DrainPeriod {
    /// Index of the server.
    pub server: usize,
    /// When the server was marked as draining.
    pub since: Instant,
    /// When the server was ready again; `None` while it is draining.
    pub until: Option<Instant>,
}

/// A request whose connection ended without an answer.
#[derive(Clone, Copy, Debug)]
pub struct DroppedRequest {
    /// Index of the instance that the request was sent to.
    pub instance: usize,
    /// When the request was sent.
    pub sent_at: Instant,
    /// When the client noticed the end of the connection.
    pub ended_at: Instant,
}

/// A planned stop: an instance received SIGTERM.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    /// Index of the instance.
    pub instance: usize,
    /// When the signal was sent.
    pub at: Instant,
}

/// The period of a fault, until what it affected was started again.
#[derive(Clone, Copy, Debug)]
pub struct FaultPeriod {
    /// When the fault began.
    pub since: Instant,
    /// When it had ended.
    pub until: Instant,
}

/// Everything that was recorded in one run.
#[derive(Debug, Default)]
pub struct History {
    /// Writes with their reported outcomes.
    pub writes: Mutex<Vec<Write>>,
    /// Reads that were answered.
    pub reads: Mutex<Vec<Read>>,
    /// Reads, writes and commits that were answered with success.
    pub answers: Mutex<Vec<AnsweredStatement>>,
    /// Checks whether instances serve databases that were added.
    pub database_checks: Mutex<Vec<DatabaseCheck>>,
    /// Periods in which servers were draining.
    pub drain_periods: Mutex<Vec<DrainPeriod>>,
    /// Requests whose connection ended without an answer.
    pub dropped_requests: Mutex<Vec<DroppedRequest>>,
    /// Planned stops of instances.
    pub stops: Mutex<Vec<Stop>>,
    /// For each configuration that was written after an outage of the store: the time
    /// until it was in force at all instances.
    pub in_force_after: Mutex<Vec<Duration>>,
    /// Periods of the faults that have ended.
    pub fault_periods: Mutex<Vec<FaultPeriod>>,
}

impl History {
    /// Records a write.
    pub fn add_write(&self, write: Write) {
        self.writes.lock().expect("never poisoned").push(write);
    }

    /// Records a read.
    pub fn add_read(&self, read: Read) {
        self.reads.lock().expect("never poisoned").push(read);
    }
}
