//! The databases of the configuration at this instance: the state machines that
//! decide about them, connections to their servers, and the term in which this
//! instance serves each database.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::RwLock;
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
use chervilwharf_lib::ownership_types::OwnershipEvent;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::connection_store::ConnectionStore;
use crate::postgres::ServerAddress;
use crate::target::PgTarget;
use crate::target::SharedTarget;
use crate::target::address_of;

/// A database server of the configuration, with its connections.
pub struct ConfiguredServer {
    /// Database that the server belongs to.
    pub database: DatabaseId,
    /// Address and login.
    pub address: ServerAddress,
    /// Address from which the other servers of the group replicate its log.
    pub replication_address: Arc<str>,
    /// Control connection: fences, promotes and probes the server.
    pub control: SharedTarget,
    /// Second control connection, for the probes of writes that wait for
    /// confirmation, so that they never delay the periodic probes.
    pub confirm: SharedTarget,
    /// Idle connections for statements, and the requests that wait for a slot.
    pub connections: ConnectionStore,
}

/// Reason why work at a server was abandoned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interruption {
    /// The term ended: the primary is being replaced, or this instance no longer
    /// owns the database.
    TermOver,
    /// The time limit passed.
    Late,
}

/// The servers of the configuration in force.
#[derive(Default)]
struct ConfiguredServers {
    version: ConfigVersion,
    by_id: HashMap<TargetId, Arc<ConfiguredServer>>,
}

/// The databases of the configuration.
pub struct Databases {
    /// State machines of the instance and its databases.
    pub instance: Instance,
    /// Notified when an ownership phase, a gate, a known owner or the
    /// configuration changes, and when a transaction or the last request before a
    /// handover ends.
    pub changed: Notify,
    servers: RwLock<ConfiguredServers>,
    /// Term in which this instance serves each database; 0 while it does not.
    served_terms: Mutex<HashMap<DatabaseId, watch::Sender<Term>>>,
    /// Queue of actions that the control loop performs.
    actions: mpsc::UnboundedSender<InstanceAction>,
}

/// Timeout of one control call. It is well above a round trip between failure
/// domains plus the opening of a connection, and well below the time after which
/// a server is suspected to have failed.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(120);

impl Databases {
    /// Creates an empty set of databases. Actions that the state machines return
    /// are sent to `actions`.
    #[must_use]
    pub fn new(instance: Instance, actions: mpsc::UnboundedSender<InstanceAction>) -> Self {
        Self {
            instance,
            changed: Notify::new(),
            servers: RwLock::default(),
            served_terms: Mutex::default(),
            actions,
        }
    }

    /// Looks up a server of the configuration.
    #[must_use]
    pub fn server(&self, id: &str) -> Option<Arc<ConfiguredServer>> {
        self.servers.read().expect("never poisoned").by_id.get(id).cloned()
    }

    /// Passes an event to the state machine of the instance and queues the
    /// actions that it returns.
    pub fn handle(&self, event: InstanceEvent) {
        let actions = self.instance.handle(Instant::now(), event);
        self.queue(actions);
    }

    /// Passes an event to the ownership state machine of one database and queues
    /// the actions that it returns.
    pub fn handle_ownership(&self, database: &DatabaseId, event: OwnershipEvent) {
        self.handle(InstanceEvent::Ownership { database: database.clone(), event });
    }

    /// Queues actions for the control loop.
    pub fn queue(&self, actions: Vec<InstanceAction>) {
        for action in actions {
            // Fails only while the process shuts down.
            let _ = self.actions.send(action);
        }
    }

    /// Runs `f` on the state of a database under its lock. Returns `None` if the
    /// configuration has no such database.
    pub fn with_database<R>(
        &self,
        database: &str,
        f: impl FnOnce(&mut DatabaseState) -> R,
    ) -> Option<R> {
        self.instance.with_database(database, f)
    }

    /// Subscribes to the term in which this instance serves a database. The value
    /// is 0 while it does not serve the database.
    #[must_use]
    pub fn served_term(&self, database: &DatabaseId) -> watch::Receiver<Term> {
        let mut terms = self.served_terms.lock().expect("never poisoned");
        terms.entry(database.clone()).or_default().subscribe()
    }

    /// Publishes the term in which this instance serves a database from now on, 0
    /// for none.
    pub fn set_served_term(&self, database: &DatabaseId, term: Term) {
        let mut terms = self.served_terms.lock().expect("never poisoned");
        terms.entry(database.clone()).or_default().send_replace(term);
        drop(terms);
        self.changed.notify_waiters();
    }

    /// Runs `work` at a server for as long as this instance serves the database in
    /// `term`, at most until `limit`.
    ///
    /// Packets to a dead server can be lost without an error. If the end of the
    /// term did not interrupt the work, a request with a statement at a dead
    /// primary would wait until its deadline, long after another primary serves.
    ///
    /// # Errors
    ///
    /// The reason of the interruption. The future `work` is dropped.
    pub async fn within_term<T>(
        &self,
        database: &DatabaseId,
        term: Term,
        limit: Instant,
        work: impl Future<Output = T>,
    ) -> Result<T, Interruption> {
        let mut served = self.served_term(database);
        tokio::select! {
            biased;
            done = work => Ok(done),
            _ = served.wait_for(|served| *served != term) => Err(Interruption::TermOver),
            () = tokio::time::sleep_until(limit.into()) => Err(Interruption::Late),
        }
    }

    /// Applies a configuration if its version is above the current one, and calls
    /// `put_in_force` to publish it. Returns whether it was applied.
    ///
    /// The versions are compared under the lock of the servers, since two tasks
    /// may apply two versions at the same time and the older one must not replace
    /// the newer.
    pub fn configure(
        &self,
        config: &Config,
        version: ConfigVersion,
        put_in_force: impl FnOnce(),
    ) -> bool {
        let mut servers = self.servers.write().expect("never poisoned");
        if version <= servers.version {
            return false;
        }
        servers.by_id = configured_servers(config, &servers.by_id);
        servers.version = version;
        self.instance.configure(config, version);
        put_in_force();
        drop(servers);
        self.changed.notify_waiters();
        true
    }
}

/// Returns the servers of a configuration. Servers whose addresses and login did
/// not change keep their connections.
fn configured_servers(
    config: &Config,
    before: &HashMap<TargetId, Arc<ConfiguredServer>>,
) -> HashMap<TargetId, Arc<ConfiguredServer>> {
    let mut servers_of_config = HashMap::new();
    for (database_id, database) in &config.databases {
        for server in &database.servers {
            let Some(address) = address_of(database_id, database, server) else {
                continue;
            };
            let replication_address =
                server.replication_address.clone().unwrap_or_else(|| server.address.clone());
            let same = before.get(&server.id).filter(|old| {
                old.address == address && old.replication_address == replication_address
            });
            let entry = same.cloned().unwrap_or_else(|| {
                Arc::new(ConfiguredServer {
                    database: database_id.clone(),
                    control: control(&address),
                    confirm: control(&address),
                    address,
                    replication_address,
                    connections: ConnectionStore::default(),
                })
            });
            servers_of_config.insert(server.id.clone(), entry);
        }
    }
    servers_of_config
}

fn control(address: &ServerAddress) -> SharedTarget {
    Arc::new(PgTarget::new(address.clone(), CONTROL_TIMEOUT))
}
