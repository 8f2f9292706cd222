//! What all sessions of an instance share.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use chervilwharf_lib::catalog::Catalog;
use chervilwharf_lib::catalog::Route;
use chervilwharf_lib::connection_budget::budget_per_instance;
use chervilwharf_lib::id::GroupId;
use tokio::sync::watch;

use crate::engine::border::Connector;
use crate::engine::shard::Shard;

/// What all sessions of an instance share.
pub struct Engine {
    connector: Arc<dyn Connector>,
    catalog: watch::Sender<Arc<Catalog>>,
    shards: RwLock<HashMap<GroupId, Arc<Shard>>>,
    live_instances: AtomicUsize,
    /// Set once a planned stop has begun.
    stopping: AtomicBool,
}

impl Engine {
    /// An engine without a configuration.
    #[must_use]
    pub fn new(connector: Arc<dyn Connector>) -> Self {
        Self {
            connector,
            catalog: watch::Sender::new(Arc::default()),
            shards: RwLock::default(),
            live_instances: AtomicUsize::new(1),
            stopping: AtomicBool::new(false),
        }
    }

    /// The configuration in force.
    #[must_use]
    pub fn catalog(&self) -> Arc<Catalog> {
        self.catalog.borrow().clone()
    }

    /// Announces each configuration that comes into force.
    #[must_use]
    pub fn catalog_changes(&self) -> watch::Receiver<Arc<Catalog>> {
        self.catalog.subscribe()
    }

    /// The route of a database name.
    #[must_use]
    pub fn route(&self, database: &str) -> Option<Arc<Route>> {
        self.catalog.borrow().routes.get(database).cloned()
    }

    /// Puts a configuration in force, unless it is older than the present
    /// one. Returns whether it is in force now.
    pub fn set_catalog(&self, next: Arc<Catalog>) -> bool {
        let newer = self.catalog.send_if_modified(|catalog| {
            if next.version <= catalog.version {
                return false;
            }
            *catalog = next.clone();
            true
        });
        if newer {
            self.apply_budgets();
        }
        newer
    }

    /// Takes over how many instances share the connections of each server.
    pub fn set_live_instances(&self, count: usize) {
        let before = self.live_instances.swap(count.max(1), Ordering::Relaxed);
        if before != count.max(1) {
            self.apply_budgets();
        }
    }

    /// Instances that share the connections of each server.
    #[must_use]
    pub fn live_instances(&self) -> usize {
        self.live_instances.load(Ordering::Relaxed)
    }

    fn apply_budgets(&self) {
        let catalog = self.catalog();
        for group in catalog.groups.keys() {
            let _created = self.shard(group);
        }
        let shards = self.shards.read().expect("never poisoned");
        for (group, shard) in shards.iter() {
            let Some(settings) = catalog.groups.get(group) else {
                continue;
            };
            shard.set_budget(budget_per_instance(settings.max_connections, self.live_instances()));
        }
    }

    /// The shard of a group.
    #[must_use]
    pub fn shard(&self, group: &GroupId) -> Arc<Shard> {
        if let Some(shard) = self.shards.read().expect("never poisoned").get(group) {
            return shard.clone();
        }
        let mut shards = self.shards.write().expect("never poisoned");
        let shard = shards
            .entry(group.clone())
            .or_insert_with(|| Arc::new(Shard::new(group.clone(), self.connector.clone())));
        shard.clone()
    }

    /// All shards.
    #[must_use]
    pub fn shards(&self) -> Vec<Arc<Shard>> {
        self.shards.read().expect("never poisoned").values().cloned().collect()
    }

    /// Whether this instance takes new clients: it has a configuration, knows
    /// servers and does not stop.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        if self.is_stopping() || self.catalog().version == 0 {
            return false;
        }
        let shards = self.shards();
        shards.iter().any(|shard| shard.with_group(|group| group.servers().next().is_some()))
    }

    /// Whether a planned stop has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Begins a planned stop.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }
}
