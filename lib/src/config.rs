//! The configuration text: services, databases, accounts and limits.
//!
//! One JSON text, kept in the platform's store, describes everything the
//! instances share. The types here are its shape; [`crate::config_check`]
//! reads a text and finds what is wrong with it.

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

/// The whole text.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Names of the failure domains.
    pub failure_domains: Vec<FailureDomainId>,
    /// Database groups by name.
    pub databases: BTreeMap<DatabaseId, Database>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Client accounts by login name.
    pub accounts: BTreeMap<AccountId, Account>,
}

/// A database group.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Database {
    /// Its servers; an odd number, so that a majority can be lost evenly.
    pub servers: Vec<Server>,
    /// Login name at the servers.
    #[serde(default = "default_login")]
    pub login: Arc<str>,
    /// Password at the servers.
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
    /// Its name, unique in the text.
    pub id: TargetId,
    /// IP number and port where it takes connections.
    pub address: Arc<str>,
    /// Where the others of its group fetch its log, if that differs.
    #[serde(default)]
    pub replication_address: Option<Arc<str>>,
    /// Where it runs.
    pub failure_domain: FailureDomainId,
    /// Statements it runs at once.
    #[serde(default = "default_slots")]
    pub slots: usize,
    /// Connections it accepts.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// It is about to be stopped: no new work, and no primary role.
    #[serde(default)]
    pub leaving: bool,
}

fn default_slots() -> usize {
    3
}

fn default_connections() -> usize {
    20
}

/// What a service asks of the databases.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Lower is served first.
    #[serde(default = "default_priority")]
    pub priority: Priority,
    /// Share of requests that have to succeed in time, for the report on
    /// service-level burn.
    #[serde(default = "default_objective")]
    pub objective: f64,
    /// How current its reads are unless a statement says otherwise.
    #[serde(default)]
    pub freshness: DefaultFreshness,
    /// When a write is acknowledged.
    #[serde(default)]
    pub acknowledge: Acknowledge,
    /// Time a request may take unless the caller says otherwise.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// What it needs to work.
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
    /// Time a request may take.
    #[must_use]
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}

/// What a service needs to work.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Dependencies {
    /// Databases it uses. An account reaches only these.
    #[serde(default)]
    pub databases: Vec<DatabaseId>,
    /// Services it calls. Their databases are not reached through it.
    #[serde(default)]
    pub services: Vec<ServiceId>,
}

/// How current the reads of a service are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DefaultFreshness {
    /// The account's own writes are seen.
    #[default]
    OwnWrites,
    /// Everybody's acknowledged writes are seen.
    Fresh,
    /// Own writes are seen, and nothing is older than this many milliseconds.
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

/// When a write is acknowledged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Acknowledge {
    /// Once a replica has received it too. It survives the loss of any one
    /// server.
    #[default]
    Replica,
    /// Once the primary has committed it. Faster, but the last such writes
    /// are lost with the primary.
    Primary,
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Verifier of its password, in the form PostgreSQL uses:
    /// `SCRAM-SHA-256$iterations:salt$stored_key:server_key`.
    pub verifier: Arc<str>,
    /// Services it may act for; the first unless it says otherwise.
    pub services: Vec<ServiceId>,
    /// Connections it may hold at one instance.
    #[serde(default = "default_max_connections")]
    pub max_connections: u32,
    /// Requests a second it may send to one instance.
    #[serde(default = "default_requests_per_s")]
    pub requests_per_s: u32,
}

fn default_max_connections() -> u32 {
    1000
}

fn default_requests_per_s() -> u32 {
    100_000
}

impl Config {
    /// Whether `account` may use `database` for `service`.
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
