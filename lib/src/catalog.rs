//! The configuration of the session engine: which database name leads to
//! which group of servers, under which rules.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::account::Accounts;
use crate::admission::Priority;
use crate::id::GroupId;

/// How current the reads of a route must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// Every acknowledged commit is seen.
    Latest,
    /// Commits older than this are seen.
    Bounded(Duration),
    /// Commits older than this are seen, and all commits of the session.
    ReadYourWrites(Duration),
}

/// One database name that clients may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The name.
    pub database: Arc<str>,
    /// The group that holds the data.
    pub group: GroupId,
    /// How current reads must be.
    pub consistency: Consistency,
    /// Longest time for one statement.
    pub timeout: Duration,
    /// Latency objective of a whole operation.
    pub objective: Duration,
    /// Order of service; lower goes first.
    pub priority: Priority,
    /// Whether clients need no key.
    pub is_public: bool,
}

/// What the configuration says of one group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupSettings {
    /// Connections that one server takes from all instances together.
    pub max_connections: usize,
    /// Replicas that must have received a commit before it is acknowledged.
    pub sync_replicas: usize,
}

/// A whole configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// Its version; 0 before the first one.
    pub version: u64,
    /// Routes by database name.
    pub routes: HashMap<Arc<str>, Arc<Route>>,
    /// Groups by name.
    pub groups: HashMap<GroupId, GroupSettings>,
    /// A transaction without a statement for this long may be ended.
    pub transaction_idle: Option<Duration>,
    /// The client accounts; `None` where clients need no key.
    pub accounts: Option<Accounts>,
}
