//! State that all tasks of an instance share.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;

use chervilwharf_lib::config::Config;
use chervilwharf_lib::fair_order::Flow;
use chervilwharf_lib::id::AccountId;
use chervilwharf_lib::id::ConfigVersion;
use chervilwharf_lib::limits::AccountLimits;
use chervilwharf_lib::retry::RetryBudget;
use chervilwharf_lib::settings::Settings;
use tokio::sync::watch;

use crate::confirm::Confirmations;
use crate::databases::Databases;
use crate::in_flight::InFlight;
use crate::link::Links;
use crate::metrics::Metrics;
use crate::platform::Platform;
use crate::transactions::Transactions;

/// The configuration in force at this instance.
#[derive(Debug, Default)]
pub struct ActiveConfig {
    /// Version in the store; 0 before the first configuration.
    pub version: ConfigVersion,
    /// Text as stored.
    pub text: Arc<str>,
    /// Parsed content.
    pub config: Config,
    /// Whether slots go to accounts by their weights ([`Config::has_weights`]).
    has_weights: bool,
}

impl ActiveConfig {
    /// A configuration that was read as a text of this version.
    #[must_use]
    pub fn new(version: ConfigVersion, text: Arc<str>, config: Config) -> Self {
        let has_weights = config.has_weights();
        Self { version, text, config, has_weights }
    }

    /// The flow of the requests of an account in the order of service at the servers. Without
    /// weights there is a single one, whose order is by deadline.
    #[must_use]
    pub fn flow(&self, account: &AccountId) -> Flow {
        match self.config.accounts.get(account) {
            Some(own) if self.has_weights => Flow::with_weight(account.clone(), own.weight.into()),
            _ => Flow::default(),
        }
    }
}

/// State that all tasks of an instance share.
pub struct Context {
    /// Settings of the instance, from its settings file.
    pub settings: Settings,
    /// The databases, the connections to their servers, and the state machines
    /// that decide about them.
    pub databases: Arc<Databases>,
    /// The configuration in force; sends each new one to the subscribers.
    pub active: watch::Sender<Arc<ActiveConfig>>,
    /// Links to other instances.
    pub links: Links,
    /// The platform's store.
    pub platform: Arc<dyn Platform>,
    /// Metrics of the instance.
    pub metrics: Metrics,
    /// Write requests in progress at this instance as owner.
    pub in_flight: Arc<InFlight>,
    /// Interactive transactions that this instance holds as owner.
    pub transactions: Transactions,
    /// Requests that wait until a replica has received the log up to a position,
    /// by database.
    pub confirmations: Confirmations,
    /// Connection count and request rate of each client account.
    pub account_limits: Mutex<HashMap<Arc<str>, AccountLimits>>,
    /// Becomes true when the instance begins to stop.
    pub stopping: watch::Sender<bool>,
    /// Limits retries to a fraction of the requests.
    pub retry_budget: Mutex<RetryBudget>,
    /// Whether the instance, while it stops, refuses new requests, so that clients
    /// use another instance.
    pub refuses_requests: AtomicBool,
    /// Number of requests in progress from clients connected to this instance.
    pub active_requests: AtomicUsize,
}

impl Context {
    /// Returns the configuration in force.
    #[must_use]
    pub fn config(&self) -> Arc<ActiveConfig> {
        self.active.borrow().clone()
    }

    /// Puts a configuration in force if its version is above the current one.
    ///
    /// Returns whether it did.
    pub fn activate(&self, next: ActiveConfig) -> bool {
        let next = Arc::new(next);
        let announced = next.clone();
        let put_in_force = || {
            self.active.send_replace(announced);
        };
        self.databases.configure(&next.config, next.version, put_in_force)
    }
}

/// Reference to the context that each task holds.
pub type Shared = Arc<Context>;
