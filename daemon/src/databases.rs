//! The databases of the configuration as this instance sees them: the
//! decisions about them, their servers, and the term in which each is served
//! here.

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

/// Why work at a server was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interruption {
    /// The primary is being replaced, or the database is not ours any more.
    TermOver,
    /// The time for it is up.
    Late,
}

/// The servers of the configuration in force.
#[derive(Default)]
struct KnownServers {
    version: ConfigVersion,
    by_id: HashMap<TargetId, Arc<KnownServer>>,
}

/// The databases of the configuration.
pub struct Databases {
    /// The decisions.
    pub instance: Instance,
    /// Woken when an owner phase, a gate or a known owner changed.
    pub changed: Notify,
    servers: RwLock<KnownServers>,
    /// Term in which each database is served here; 0 while it is not.
    served_terms: Mutex<HashMap<DatabaseId, watch::Sender<Term>>>,
    /// Actions to perform, for the control loop.
    actions: mpsc::UnboundedSender<InstanceAction>,
}

/// Longest wait for one control call. Well above a round trip between failure
/// domains plus a new connection, well below the time to suspect a server.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(120);

impl Databases {
    /// No databases yet. What the decisions ask for goes to `actions`.
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

    /// A server of the configuration.
    #[must_use]
    pub fn server(&self, id: &str) -> Option<Arc<KnownServer>> {
        self.servers.read().expect("never poisoned").by_id.get(id).cloned()
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

    /// Does work at a server while the database is served in `term`, at most
    /// until `limit`.
    ///
    /// Packets to a dead server can vanish without an error. Without the end of
    /// the term as a signal, whoever had a statement on its way there would wait
    /// until the deadline, long after another primary serves.
    ///
    /// # Errors
    ///
    /// Why it was given up. The work itself is dropped then.
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

    /// Takes a configuration over, unless it is older than the present one, and
    /// lets `put_in_force` announce it. Returns whether it did.
    ///
    /// Versions are compared under the lock of the servers: two tasks may bring
    /// two of them at the same time, and the older must not win.
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
        servers.by_id = known_servers(config, &servers.by_id);
        servers.version = version;
        self.instance.configure(config, version);
        put_in_force();
        drop(servers);
        self.changed.notify_waiters();
        true
    }
}

/// The servers of a configuration. Those that did not change keep their
/// connections.
fn known_servers(
    config: &Config,
    before: &HashMap<TargetId, Arc<KnownServer>>,
) -> HashMap<TargetId, Arc<KnownServer>> {
    let mut known = HashMap::new();
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
    known
}

fn control(address: &ServerAddress) -> SharedTarget {
    Arc::new(PgTarget::new(address.clone(), CONTROL_TIMEOUT))
}
