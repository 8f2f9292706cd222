//! Types of the configuration text: services, databases, accounts and limits.
//!
//! The configuration text is one JSON document in the platform's store, from
//! which all instances read their shared configuration. [`crate::config_check`]
//! parses and validates it. What differs between instances is in
//! [`crate::settings`].

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::admission::Priority;
use crate::floors::Freshness;
use crate::id::AccountId;
use crate::id::DatabaseId;
use crate::id::FailureDomainId;
use crate::id::ServiceId;
use crate::id::TargetId;

/// Weight of an account whose configuration names none.
pub const DEFAULT_WEIGHT: u32 = 1;

/// The whole configuration text.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Names of the failure domains.
    pub failure_domains: Vec<FailureDomainId>,
    /// Database groups by database name.
    pub databases: BTreeMap<DatabaseId, Database>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Client accounts by login name.
    pub accounts: BTreeMap<AccountId, Account>,
}

/// A database group: the primary and the replicas of one database.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Database {
    /// Servers of the group. Their number should be odd: an even number
    /// tolerates no more failures than one server fewer.
    pub servers: Vec<Server>,
    /// Slots of each server that only the services with the most urgent priority of the
    /// configuration may use.
    #[serde(default)]
    pub urgent_reserve: usize,
    /// User name with which instances log in to the servers.
    #[serde(default = "default_login")]
    pub login: Arc<str>,
    /// Password with which instances log in to the servers.
    #[serde(default = "default_login")]
    pub password: Arc<str>,
}

fn default_login() -> Arc<str> {
    "chervilwharf".into()
}

/// One server of a group.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Name of the server, unique in the configuration text.
    pub id: TargetId,
    /// IP address and port on which the server accepts connections.
    pub address: Arc<str>,
    /// Address from which the other servers of the group replicate, if it differs
    /// from `address`.
    #[serde(default)]
    pub replication_address: Option<Arc<str>>,
    /// Failure domain in which the server runs.
    pub failure_domain: FailureDomainId,
    /// Statements that the server runs concurrently.
    #[serde(default = "default_slots")]
    pub slots: usize,
    /// Connections that the server accepts at once.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// Whether the server is about to stop. Such a server gets no new work and
    /// is not made primary.
    #[serde(default)]
    pub leaving: bool,
}

fn default_slots() -> usize {
    3
}

fn default_connections() -> usize {
    20
}

/// Requirements of a service: its priority, objective and consistency.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Scheduling priority; a lower number is served first.
    #[serde(default = "default_priority")]
    pub priority: Priority,
    /// Service-level objective: the fraction of requests that must succeed
    /// before their deadline. The error-budget report uses it.
    #[serde(default = "default_objective")]
    pub objective: f64,
    /// Freshness of reads whose statement requests none.
    #[serde(default)]
    pub freshness: DefaultFreshness,
    /// Replication that a write needs before it is acknowledged.
    #[serde(default)]
    pub acknowledge: Acknowledge,
    /// Time limit of requests whose statement requests none, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Databases and services that it uses.
    #[serde(default)]
    pub depends_on: Dependencies,
}

fn default_priority() -> Priority {
    5
}

fn default_objective() -> f64 {
    0.999
}

fn default_deadline_ms() -> u64 {
    5000
}

impl Service {
    /// Time limit of requests whose statement requests none.
    #[must_use]
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}

/// Databases and services that a service uses.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Dependencies {
    /// Databases that the service uses. An account that acts for the service can
    /// access only these.
    #[serde(default)]
    pub databases: Vec<DatabaseId>,
    /// Services that it calls. This gives no access to their databases.
    #[serde(default)]
    pub services: Vec<ServiceId>,
}

/// Default freshness of the reads of a service; see [`Freshness`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DefaultFreshness {
    /// A read returns all earlier writes of the same account.
    #[default]
    OwnWrites,
    /// A read returns all writes that were acknowledged to any account before it.
    Fresh,
    /// As `OwnWrites`, and the data is at most this many milliseconds old.
    MaxAgeMs(u64),
}

impl From<DefaultFreshness> for Freshness {
    fn from(value: DefaultFreshness) -> Self {
        match value {
            DefaultFreshness::OwnWrites => Self::OwnWrites,
            DefaultFreshness::Fresh => Self::Fresh,
            DefaultFreshness::MaxAgeMs(age_ms) => Self::MaxAge(Duration::from_millis(age_ms)),
        }
    }
}

/// Replication that a write needs before it is acknowledged to the client.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Acknowledge {
    /// At least one replica has received the write, so that it survives the
    /// loss of any one server.
    #[default]
    Replica,
    /// The primary has committed the write. This is faster, but the latest
    /// writes are lost if the primary fails.
    Primary,
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// SCRAM verifier of its password, in PostgreSQL's format:
    /// `SCRAM-SHA-256$iterations:salt$stored_key:server_key`.
    pub verifier: Arc<str>,
    /// Services that the account may act for. The first is the default if a
    /// client names none.
    pub services: Vec<ServiceId>,
    /// Connections that the account may have open at one instance.
    #[serde(default = "default_max_connections")]
    pub max_connections: u32,
    /// Requests per second that the account may send to one instance.
    #[serde(default = "default_requests_per_s")]
    pub requests_per_s: u32,
    /// Weight among the accounts whose requests of one priority wait for a slot: one with
    /// twice the weight gets twice as many slots.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

fn default_max_connections() -> u32 {
    1000
}

fn default_weight() -> u32 {
    DEFAULT_WEIGHT
}

fn default_requests_per_s() -> u32 {
    100_000
}

impl Config {
    /// Whether an account has another weight than the default. Only then do slots go to accounts
    /// in fair order, so that a configuration without weights keeps the order by deadline.
    #[must_use]
    pub fn has_weights(&self) -> bool {
        self.accounts.values().any(|account| account.weight != DEFAULT_WEIGHT)
    }

    /// The most urgent priority of the services: the lowest number. `None` without services.
    #[must_use]
    pub fn most_urgent_priority(&self) -> Option<Priority> {
        self.services.values().map(|service| service.priority).min()
    }

    /// Whether `account` may use `database` on behalf of `service`.
    #[must_use]
    pub fn allows(&self, account: &str, service: &str, database: &str) -> bool {
        let Some(account) = self.accounts.get(account) else {
            return false;
        };
        let Some(entry) = self.services.get(service) else {
            return false;
        };
        let has_service = account.services.iter().any(|id| &**id == service);
        let has_database = entry.depends_on.databases.iter().any(|id| &**id == database);
        has_service && has_database
    }
}
