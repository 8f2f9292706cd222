//! The catalog: the shared configuration of the session engine.
//!
//! It maps each database name that clients can connect to, to a group of
//! servers and to the rules for its statements, such as the consistency of
//! reads.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::account::Accounts;
use crate::admission::Priority;
use crate::id::GroupId;

/// Consistency of the reads of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// A read returns every commit that was acknowledged before it.
    Latest,
    /// A read returns every commit that is older than this.
    Bounded(Duration),
    /// A read returns every commit that is older than this, and all commits of
    /// its own session.
    ReadYourWrites(Duration),
}

/// A database name that clients can connect to, and the rules for its statements.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The database name.
    pub database: Arc<str>,
    /// Group of servers that stores the database.
    pub group: GroupId,
    /// Consistency of reads.
    pub consistency: Consistency,
    /// Time limit of one statement.
    pub timeout: Duration,
    /// Latency objective of a whole operation, from its arrival to its answer.
    pub objective: Duration,
    /// Scheduling priority; a lower number is served first.
    pub priority: Priority,
    /// Whether clients may connect without the key of an account.
    pub is_public: bool,
}

/// Settings of one group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupSettings {
    /// Connections that one server accepts from all instances together.
    pub max_connections: usize,
    /// Number of replicas that must have received a commit before it is acknowledged.
    pub sync_replicas: usize,
}

/// A version of the whole configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// Version as counted by the platform; 0 if no configuration was read yet.
    pub version: u64,
    /// Routes by database name.
    pub routes: HashMap<Arc<str>, Arc<Route>>,
    /// Groups by name.
    pub groups: HashMap<GroupId, GroupSettings>,
    /// A transaction that is idle for this long may be rolled back.
    pub transaction_idle: Option<Duration>,
    /// The client accounts; `None` if clients need no key.
    pub accounts: Option<Accounts>,
}
