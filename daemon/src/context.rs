//! What all tasks of an instance share.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;
use std::time::Instant;

use chervilwharf_lib::config::Config;
use chervilwharf_lib::id::ConfigVersion;
use chervilwharf_lib::id::DatabaseId;
use chervilwharf_lib::id::TargetId;
use chervilwharf_lib::id::Term;
use chervilwharf_lib::instance::DatabaseState;
use chervilwharf_lib::instance::Instance;
use chervilwharf_lib::instance::InstanceAction;
use chervilwharf_lib::instance::InstanceEvent;
use chervilwharf_lib::limits::AccountLimits;
use chervilwharf_lib::ownership_types::OwnershipEvent;
use chervilwharf_lib::retry::RetryBudget;
use chervilwharf_lib::settings::Settings;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::checkout::ConnectionStore;
use crate::confirm::ConfirmHub;
use crate::in_flight::InFlight;
use crate::link::Links;
use crate::metrics::Metrics;
use crate::platform::Platform;
use crate::postgres::ServerAddress;
use crate::target::PgTarget;
use crate::target::SharedTarget;
use crate::target::address_of;
use crate::transaction::Transactions;

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

/// A server of the configuration, with what is needed to talk to it.
pub struct KnownServer {
    /// Database it belongs to.
    pub database: DatabaseId,
    /// Where it is.
    pub address: ServerAddress,
    /// Where the others of its group fetch its log.
    pub replication_address: Arc<str>,
    /// Control over it.
    pub control: SharedTarget,
    /// A second control connection, for writes that wait for confirmation,
    /// so that they never delay the probes.
    pub confirm: SharedTarget,
    /// Idle connections for statements.
    pub connections: ConnectionStore,
}

/// What all tasks of an instance share.
pub struct Context {
    /// Settings of the instance.
    pub settings: Settings,
    /// The decisions.
    pub instance: Instance,
    /// The configuration in force.
    pub active: watch::Sender<Arc<ActiveConfig>>,
    /// Servers of the configuration.
    pub servers: RwLock<HashMap<TargetId, Arc<KnownServer>>>,
    /// Links to other instances.
    pub links: Links,
    /// The platform.
    pub platform: Arc<dyn Platform>,
    /// Counters.
    pub metrics: Metrics,
    /// Requests that write and are in progress here.
    pub in_flight: InFlight,
    /// Interactive transactions held here.
    pub transactions: Transactions,
    /// Waits for confirmation, by database.
    pub confirmations: Mutex<HashMap<DatabaseId, Arc<ConfirmHub>>>,
    /// Term in which each database is served here; 0 while it is not.
    pub served_terms: Mutex<HashMap<DatabaseId, watch::Sender<Term>>>,
    /// Limits of accounts.
    pub limits: Mutex<HashMap<Arc<str>, AccountLimits>>,
    /// Woken when an owner phase, a gate or a known owner changed.
    pub changed: Notify,
    /// Actions to perform, for the control loop.
    pub actions: mpsc::UnboundedSender<InstanceAction>,
    /// Set when the instance has to stop.
    pub stopping: watch::Sender<bool>,
    /// Limits how much of the load may be requests sent again.
    pub retries: Mutex<RetryBudget>,
    /// Set when callers have to go elsewhere: new requests are refused.
    pub refusing: AtomicBool,
    /// Requests of callers in progress at this entry.
    pub active_requests: AtomicUsize,
    /// When the instance started.
    pub started_at: Instant,
}

/// Longest wait for one control call. Well above a round trip between failure
/// domains plus a new connection, well below the time to suspect a server.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(120);

impl Context {
    /// The configuration in force.
    #[must_use]
    pub fn config(&self) -> Arc<ActiveConfig> {
        self.active.borrow().clone()
    }

    /// A server of the configuration.
    #[must_use]
    pub fn server(&self, id: &str) -> Option<Arc<KnownServer>> {
        self.servers.read().expect("never poisoned").get(id).cloned()
    }

    /// Gives an event to the decisions and queues what follows from it.
    pub fn handle(&self, event: InstanceEvent) {
        let actions = self.instance.handle(Instant::now(), event);
        self.queue(actions);
    }

    /// Gives an event of one database to the decisions.
    pub fn handle_ownership(&self, database: &DatabaseId, event: OwnershipEvent) {
        self.handle(InstanceEvent::Ownership { database: database.clone(), event });
    }

    /// Queues actions for the control loop.
    pub fn queue(&self, actions: Vec<InstanceAction>) {
        for action in actions {
            // Only fails while the whole instance is going down.
            let _ = self.actions.send(action);
        }
    }

    /// Runs `f` on a database of the configuration.
    pub fn with_database<R>(
        &self,
        database: &str,
        f: impl FnOnce(&mut DatabaseState) -> R,
    ) -> Option<R> {
        self.instance.with_database(database, f)
    }

    /// Term in which a database is served here, to be told when it ends.
    #[must_use]
    pub fn served_term(&self, database: &DatabaseId) -> watch::Receiver<Term> {
        let mut terms = self.served_terms.lock().expect("never poisoned");
        terms.entry(database.clone()).or_default().subscribe()
    }

    /// Announces the term in which a database is served here from now on.
    pub fn set_served_term(&self, database: &DatabaseId, term: Term) {
        let mut terms = self.served_terms.lock().expect("never poisoned");
        terms.entry(database.clone()).or_default().send_replace(term);
        drop(terms);
        self.changed.notify_waiters();
    }

    /// Confirmation waits of a database.
    #[must_use]
    pub fn confirm_hub(&self, database: &DatabaseId) -> Arc<ConfirmHub> {
        let mut hubs = self.confirmations.lock().expect("never poisoned");
        hubs.entry(database.clone()).or_default().clone()
    }

    /// Puts a configuration in force, unless it is older than the present one.
    ///
    /// Returns whether it is in force now.
    pub fn activate(&self, next: ActiveConfig) -> bool {
        let config = &next.config;
        let mut servers = self.servers.write().expect("never poisoned");
        // Compared under the lock of the servers: two tasks may bring two
        // versions at the same time, and the older must not win.
        if next.version <= self.active.borrow().version {
            return false;
        }
        let mut known = HashMap::new();
        for (database_id, database) in &config.databases {
            for server in &database.servers {
                let Some(address) = address_of(database_id, database, server) else {
                    continue;
                };
                let replication_address =
                    server.replication_address.clone().unwrap_or_else(|| server.address.clone());
                let old = servers.get(&server.id).filter(|old| {
                    old.address == address && old.replication_address == replication_address
                });
                let entry = old.cloned().unwrap_or_else(|| {
                    Arc::new(KnownServer {
                        database: database_id.clone(),
                        control: control(&address),
                        confirm: control(&address),
                        address,
                        replication_address,
                        connections: ConnectionStore::default(),
                    })
                });
                known.insert(server.id.clone(), entry);
            }
        }
        *servers = known;
        self.instance.configure(config, next.version);
        self.active.send_replace(Arc::new(next));
        drop(servers);
        self.changed.notify_waiters();
        true
    }
}

fn control(address: &ServerAddress) -> SharedTarget {
    Arc::new(PgTarget::new(address.clone(), CONTROL_TIMEOUT))
}

/// The context as the tasks hold it.
pub type Shared = Arc<Context>;
