//! What callers were told, for the check afterwards.

use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// What a caller may conclude from the end of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// It is kept.
    Kept,
    /// Nothing of it is kept.
    NotKept,
    /// Nobody could say.
    Unknown,
}

impl Heard {
    /// Reads the code of an answer to a write or COMMIT; `None` stands for a
    /// connection that ended.
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
    /// The value, which no other operation writes.
    pub data: String,
    /// Items that it is written to.
    pub items: Vec<String>,
    /// Ids of its statements.
    pub ids: Vec<String>,
    /// What the caller was told.
    pub heard: Heard,
}

/// A read.
#[derive(Clone, Debug)]
pub struct Read {
    /// What it read.
    pub item: String,
    /// What it saw.
    pub saw: String,
    /// A value that it must see, or a later one.
    pub must_see: Option<String>,
    /// Which promise asks for that.
    pub promise: &'static str,
}

/// Whether an instance knew a database that was added.
#[derive(Clone, Debug)]
pub struct Sighting {
    /// The instance.
    pub instance: usize,
    /// Which start of its process.
    pub life: u64,
    /// Number of the database.
    pub added: u64,
    /// Whether a session on it could be begun.
    pub known: bool,
}

/// A server that said that it leaves.
#[derive(Clone, Copy, Debug)]
pub struct Leaving {
    /// Its number.
    pub server: usize,
    /// When it said so.
    pub since: Instant,
    /// When it came back, if it did.
    pub until: Option<Instant>,
}

/// A request whose connection ended without an answer.
#[derive(Clone, Copy, Debug)]
pub struct Cut {
    /// The instance that it was sent to.
    pub instance: usize,
    /// When it was sent.
    pub sent_at: Instant,
    /// When the end of the connection was seen.
    pub ended_at: Instant,
}

/// An instance that was asked to stop.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    /// Its number.
    pub instance: usize,
    /// When.
    pub at: Instant,
}

/// All that was seen in one run.
#[derive(Debug, Default)]
pub struct History {
    /// Writes.
    pub writes: Mutex<Vec<Write>>,
    /// Reads.
    pub reads: Mutex<Vec<Read>>,
    /// Databases that were added.
    pub sightings: Mutex<Vec<Sighting>>,
    /// Servers that left.
    pub leaving: Mutex<Vec<Leaving>>,
    /// Requests without an answer.
    pub cuts: Mutex<Vec<Cut>>,
    /// Planned stops.
    pub stops: Mutex<Vec<Stop>>,
    /// Time from each configuration after a silence until it was in force everywhere.
    pub in_force_after: Mutex<Vec<Duration>>,
}

impl History {
    /// Notes the end of a write.
    pub fn wrote(&self, write: Write) {
        self.writes.lock().expect("never poisoned").push(write);
    }

    /// Notes a read.
    pub fn read(&self, read: Read) {
        self.reads.lock().expect("never poisoned").push(read);
    }
}
