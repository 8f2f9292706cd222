//! What all tasks of an instance share.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;

use chervilwharf_lib::config::Config;
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

/// A configuration that is in force.
#[derive(Debug, Default)]
pub struct ActiveConfig {
    /// Its version in the store; 0 before the first one.
    pub version: ConfigVersion,
    /// Its text.
    pub text: Arc<str>,
    /// Its content.
    pub config: Config,
}

/// What all tasks of an instance share.
pub struct Context {
    /// Settings of the instance.
    pub settings: Settings,
    /// The databases, their servers and the decisions about them.
    pub databases: Arc<Databases>,
    /// The configuration in force.
    pub active: watch::Sender<Arc<ActiveConfig>>,
    /// Links to other instances.
    pub links: Links,
    /// The platform.
    pub platform: Arc<dyn Platform>,
    /// Counters.
    pub metrics: Metrics,
    /// Requests that write and are in progress here.
    pub in_flight: Arc<InFlight>,
    /// Interactive transactions held here.
    pub transactions: Transactions,
    /// Waits for confirmation, by database.
    pub confirmations: Confirmations,
    /// Limits of accounts.
    pub account_limits: Mutex<HashMap<Arc<str>, AccountLimits>>,
    /// Set when the instance has to stop.
    pub stopping: watch::Sender<bool>,
    /// Limits how much of the load may be requests sent again.
    pub retry_budget: Mutex<RetryBudget>,
    /// Set when callers have to go elsewhere: new requests are refused.
    pub refuses_requests: AtomicBool,
    /// Requests of callers in progress at this entry.
    pub active_requests: AtomicUsize,
}

impl Context {
    /// The configuration in force.
    #[must_use]
    pub fn config(&self) -> Arc<ActiveConfig> {
        self.active.borrow().clone()
    }

    /// Puts a configuration in force, unless it is older than the present one.
    ///
    /// Returns whether it is in force now.
    pub fn activate(&self, next: ActiveConfig) -> bool {
        let next = Arc::new(next);
        let announced = next.clone();
        let put_in_force = || {
            self.active.send_replace(announced);
        };
        self.databases.configure(&next.config, next.version, put_in_force)
    }
}

/// The context as the tasks hold it.
pub type Shared = Arc<Context>;
