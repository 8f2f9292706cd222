//! The state of an instance that all its sessions and background tasks share.
//!
//! A *shard* is what this instance keeps of one group of servers: their state as it is
//! known here, and the connections to them. Only some instances, the *holders* of a
//! group, keep connections to its servers; other instances forward statements to them.
//! The *voters* of a group are the instances that, like the store, grant leases on the
//! term of its primary: statements run on a primary only under such a lease.

mod accounts;
mod known_fleet;
mod store_currency;

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chervilwharf_lib::catalog::Catalog;
use chervilwharf_lib::catalog::GroupSettings;
use chervilwharf_lib::catalog::Route;
use chervilwharf_lib::catalog_change::CatalogChange;
use chervilwharf_lib::catalog_change::RecentCatalogs;
use chervilwharf_lib::connection_budget::account_connection_budget;
use chervilwharf_lib::connection_budget::budget;
use chervilwharf_lib::connection_budget::shared_connection_budget;
use chervilwharf_lib::engine_protos::DirectoryTaken;
use chervilwharf_lib::engine_protos::PrimaryNewsTaken;
use chervilwharf_lib::engine_protos::Tunnel;
use chervilwharf_lib::engine_protos::engine_frame::Body;
use chervilwharf_lib::fleet::Fleet;
use chervilwharf_lib::fleet::InstanceRecord;
use chervilwharf_lib::group::ServerInfo;
use chervilwharf_lib::id::GroupId;
use chervilwharf_lib::id::InstanceId;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::primary_lease::PrimaryLease;
use chervilwharf_lib::quota::QuotaTolerance;
use chervilwharf_lib::received_statements::ReceivedStatements;
use chervilwharf_lib::server_list::ServerChanges;
use chervilwharf_lib::server_list::ServerList;
use chervilwharf_lib::stop_plan::StopPlan;
use chervilwharf_lib::store_reading::LaterRecords;
use chervilwharf_lib::store_reading::StoreReading;
use chervilwharf_lib::store_timeouts::StoreTimeouts;
use tokio::sync::Notify;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::watch;

use crate::engine::caller::LastConfigurationPull;
use crate::engine::clock::now;
use crate::engine::directory::Revision;
use crate::engine::duty_control::DutyTable;
use crate::engine::forwarded_session::ForwardedSession;
use crate::engine::holders::Holders;
use crate::engine::leader_control::LeaderWatches;
use crate::engine::load_control::LoadControl;
use crate::engine::metrics::EngineMetrics;
use crate::engine::peer_contacts::Contacts;
use crate::engine::peers::ForwardedStatementHandler;
use crate::engine::peers::PeerHandler;
use crate::engine::peers::Peers;
use crate::engine::quota_control::QuotaControl;
use crate::engine::reader_control::ReaderControl;
use crate::engine::remote::StatementLinks;
use crate::engine::replica_control::ReplicaControl;
use crate::engine::server_connection::Connector;
use crate::engine::shard::Shard;
use crate::engine::store_era::StoreEra;
use crate::engine::supervisor::Supervisor;
use crate::engine::transaction_times::TransactionTimes;
use crate::engine::voter_control::VoterControl;

/// How long servers keep the connections of a client that lost power. For this long after
/// a start, connections of earlier incarnations may still occupy the servers: an instance
/// that opens more than half of its budget is refused, and waits before it tries again.
const STALE_CONNECTION_TIME: Duration = Duration::from_secs(3);

/// How long a starting instance waits for the store before it asks other instances for
/// records: many times the store's usual response time of 4 ms.
pub const PEER_FALLBACK_DELAY: Duration = Duration::from_millis(250);

/// Time within which a new configuration has to be in force on all instances, where the
/// platform sets none.
const DEFAULT_CONFIGURATION_BOUND: Duration = Duration::from_secs(3);

/// Number of answers with all records that are sent to other instances at the same time; others
/// that ask are told to ask elsewhere. The lists of 3,000 servers have 0.3 MB, and a few
/// instances whose addresses stand in the settings of all are asked by all that restart.
pub const MAX_WHOLE_LISTS_SENT: usize = 16;

/// The state of an instance that all its sessions and background tasks share.
pub struct Engine {
    connector: Arc<dyn Connector>,
    catalog: watch::Sender<Arc<Catalog>>,
    recent_catalogs: Mutex<RecentCatalogs>,
    shards: RwLock<HashMap<GroupId, Arc<Shard>>>,
    servers: Mutex<ServerList>,
    /// Whether the store currently fails to serve the list of servers.
    servers_outage: AtomicBool,
    /// Whether records are being pulled from another instance.
    pulling: watch::Sender<bool>,
    me: InstanceRecord,
    started_at: Moment,
    fleet: Mutex<Fleet>,
    peers: Arc<Peers>,
    duties: Mutex<DutyTable>,
    metrics: EngineMetrics,
    holders: Holders,
    loads: LoadControl,
    /// Groups to whose servers this instance may open connections.
    budgeted: Mutex<HashSet<GroupId>>,
    /// [`Fleet::changes`] when links to instances without a record were last closed.
    links_checked_at_change: AtomicU64,
    peer_contacts: Contacts,
    statement_links: Arc<StatementLinks>,
    watches: LeaderWatches,
    /// Notified when the state of a primary has to be checked.
    primary_check: Arc<Notify>,
    /// Notified when the lease on the term of a primary is needed and missing.
    lease_renewal: Arc<Notify>,
    voter_control: VoterControl,
    replica_control: ReplicaControl,
    reader_control: ReaderControl,
    /// Whether this instance has a record in the store, without which it should not vote.
    registered: AtomicBool,
    /// Notified when the store returned a listing of the configuration or the instances.
    store_answered: Notify,
    /// Time of the last such listing.
    store_answered_at: Mutex<Option<Moment>>,
    /// Whether this instance knows the promotion orders that existed when it started.
    orders_known: AtomicBool,
    /// Revision of the store up to which the promotion orders were read at the start.
    duties_read: watch::Sender<Revision>,
    /// Notified when the record of this instance has to be written to the store.
    record_write_needed: Notify,
    instances_read_at: tokio::sync::Mutex<Moment>,
    /// Revision of the record of an earlier incarnation, if one was listed.
    earlier_record: Mutex<Option<Revision>>,
    /// Whether this instance serves with the other instances in `fleet`; see
    /// [`Engine::set_fleet_known`].
    fleet_known: watch::Sender<bool>,
    /// Whether `fleet` comes from a listing of all instances by the store, received
    /// from the store or from another instance.
    fleet_listed: watch::Sender<bool>,
    /// When another instance was last asked to send its records.
    records_requested_at: Mutex<Option<Moment>>,
    /// Set once a planned stop has begun.
    stopping: watch::Sender<Option<StopPlan>>,
    sessions: watch::Sender<usize>,
    transaction_times: TransactionTimes,
    quota: QuotaControl,
    quota_tolerance: Option<QuotaTolerance>,
    last_configuration_pull: LastConfigurationPull,
    store_era: Arc<StoreEra>,
    store_timeouts: StoreTimeouts,
    /// When the current state of the store was last read, by any instance.
    store_reading: Mutex<StoreReading>,
    later_records: Mutex<LaterRecords>,
    whole_list_permits: Arc<Semaphore>,
    /// Revision of the store up to which the configuration in force is the latest.
    configuration_revision: Mutex<Revision>,
    received_statements: Mutex<ReceivedStatements>,
    supervisor: Supervisor,
    /// The last instance whose heartbeat told of later records.
    told_of_records: watch::Sender<Option<InstanceId>>,
}

impl Engine {
    /// Creates an engine without a configuration. `me` is the record of this instance.
    #[must_use]
    pub fn new(me: InstanceRecord, connector: Arc<dyn Connector>) -> Self {
        let quota = QuotaControl::new(&me.id, now());
        Self {
            connector,
            catalog: watch::Sender::new(Arc::default()),
            recent_catalogs: Mutex::default(),
            shards: RwLock::default(),
            servers: Mutex::default(),
            servers_outage: AtomicBool::new(false),
            pulling: watch::Sender::new(false),
            fleet: Mutex::new(Fleet::new(me.clone())),
            fleet_known: watch::Sender::new(false),
            fleet_listed: watch::Sender::new(false),
            records_requested_at: Mutex::default(),
            started_at: now(),
            peers: Arc::default(),
            duties: Mutex::default(),
            metrics: EngineMetrics::default(),
            holders: Holders::new(me.id.clone()),
            loads: LoadControl::default(),
            budgeted: Mutex::default(),
            links_checked_at_change: AtomicU64::new(0),
            me,
            peer_contacts: Contacts::default(),
            statement_links: Arc::default(),
            watches: LeaderWatches::default(),
            primary_check: Arc::default(),
            lease_renewal: Arc::default(),
            voter_control: VoterControl::default(),
            replica_control: ReplicaControl::default(),
            reader_control: ReaderControl::default(),
            registered: AtomicBool::new(false),
            store_answered: Notify::new(),
            store_answered_at: Mutex::default(),
            orders_known: AtomicBool::new(false),
            duties_read: watch::Sender::new(Revision::default()),
            record_write_needed: Notify::new(),
            instances_read_at: tokio::sync::Mutex::default(),
            earlier_record: Mutex::default(),
            stopping: watch::Sender::new(None),
            sessions: watch::Sender::new(0),
            transaction_times: TransactionTimes::default(),
            quota,
            quota_tolerance: None,
            last_configuration_pull: LastConfigurationPull::default(),
            store_era: Arc::default(),
            store_timeouts: StoreTimeouts::within(DEFAULT_CONFIGURATION_BOUND),
            store_reading: Mutex::new(StoreReading::new(now())),
            later_records: Mutex::default(),
            whole_list_permits: Arc::new(Semaphore::new(MAX_WHOLE_LISTS_SENT)),
            configuration_revision: Mutex::default(),
            told_of_records: watch::Sender::new(None),
            received_statements: Mutex::new(ReceivedStatements::new(now())),
            supervisor: Supervisor::default(),
        }
    }

    /// Sets the time within which a new configuration has to be in force on all instances;
    /// `None` selects the default.
    #[must_use]
    pub fn with_configuration_bound(mut self, bound: Option<Duration>) -> Self {
        self.store_timeouts = StoreTimeouts::within(bound.unwrap_or(DEFAULT_CONFIGURATION_BOUND));
        self
    }

    /// Calls `f` with the table of statements received from other instances.
    pub fn with_received_statements<R>(&self, f: impl FnOnce(&mut ReceivedStatements) -> R) -> R {
        f(&mut self.received_statements.lock().expect("never poisoned"))
    }

    /// Timeouts by which an unresponsive store is detected.
    #[must_use]
    pub fn store_timeouts(&self) -> StoreTimeouts {
        let heartbeat_rounds = self.with_fleet(Fleet::heartbeat_rounds);
        self.store_timeouts.with_heartbeat_rounds(heartbeat_rounds)
    }

    /// Notices that a long-lived task of this instance has ended.
    #[must_use]
    pub fn supervisor(&self) -> &Supervisor {
        &self.supervisor
    }

    /// Record of this instance.
    #[must_use]
    pub fn me(&self) -> &InstanceRecord {
        &self.me
    }

    /// Connections to other instances.
    #[must_use]
    pub fn peers(&self) -> &Peers {
        &self.peers
    }

    /// Connections to other instances, for tasks that cannot borrow the engine.
    #[must_use]
    pub fn shared_peers(&self) -> Arc<Peers> {
        self.peers.clone()
    }

    /// Notified when the record of this instance has to be written to the store.
    #[must_use]
    pub fn record_write_needed(&self) -> &Notify {
        &self.record_write_needed
    }

    /// Sets the revision of a record that an earlier incarnation of this instance left in
    /// the store.
    pub fn set_earlier_record(&self, revision: Option<Revision>) {
        *self.earlier_record.lock().expect("never poisoned") = revision;
    }

    /// Takes the revision of the record to replace. It is used for one attempt to write:
    /// if that fails, the record has changed.
    #[must_use]
    pub fn take_earlier_record(&self) -> Option<Revision> {
        self.earlier_record.lock().expect("never poisoned").take()
    }

    /// Calls `f` with the table of duties.
    pub fn with_duties<R>(&self, f: impl FnOnce(&mut DutyTable) -> R) -> R {
        f(&mut self.duties.lock().expect("never poisoned"))
    }

    /// The latest known era of the platform's store, which counts how often it was
    /// restored from a backup.
    #[must_use]
    pub fn store_era(&self) -> &Arc<StoreEra> {
        &self.store_era
    }

    /// The connection holders of each group.
    #[must_use]
    pub fn holder_lists(&self) -> &Holders {
        &self.holders
    }

    /// Reports of the holders on their load.
    #[must_use]
    pub fn loads(&self) -> &LoadControl {
        &self.loads
    }

    /// Which other instances are reachable.
    #[must_use]
    pub fn peer_contacts(&self) -> &Contacts {
        &self.peer_contacts
    }

    /// State of the changes of voters.
    #[must_use]
    pub fn voter_control(&self) -> &VoterControl {
        &self.voter_control
    }

    /// The admissions of readers that this instance drives.
    #[must_use]
    pub fn reader_control(&self) -> &ReaderControl {
        &self.reader_control
    }

    /// The changes of replicas that this instance drives.
    #[must_use]
    pub fn replica_control(&self) -> &ReplicaControl {
        &self.replica_control
    }

    /// Idle connections on which statements are forwarded to other instances.
    #[must_use]
    pub fn statement_links(&self) -> &Arc<StatementLinks> {
        &self.statement_links
    }

    /// Metrics of this engine.
    #[must_use]
    pub fn metrics(&self) -> &EngineMetrics {
        &self.metrics
    }

    /// Figures of the transactions on each route.
    #[must_use]
    pub fn transaction_times(&self) -> &TransactionTimes {
        &self.transaction_times
    }

    /// State of the monitoring of all primaries.
    #[must_use]
    pub fn watches(&self) -> &LeaderWatches {
        &self.watches
    }

    /// Notified when the state of a primary has to be checked.
    #[must_use]
    pub fn primary_check(&self) -> &Notify {
        &self.primary_check
    }

    /// Notified when the lease on the term of a primary is needed and missing.
    #[must_use]
    pub fn lease_renewal(&self) -> &Notify {
        &self.lease_renewal
    }

    /// Notified when the store returned a listing of the configuration or the instances.
    #[must_use]
    pub fn store_answered(&self) -> &Notify {
        &self.store_answered
    }

    /// Marks the promotion orders as known: this instance votes on all groups for which it
    /// creates a shard from now on.
    pub fn set_orders_known(&self) {
        self.orders_known.store(true, Ordering::Relaxed);
    }

    /// Records that all duties up to a revision of the store were read.
    pub fn note_duties_read(&self, revision: Revision) {
        self.duties_read.send_replace(revision);
    }

    /// Subscribes to the revision of the store up to which the duties were read.
    #[must_use]
    pub fn duties_read(&self) -> watch::Receiver<Revision> {
        self.duties_read.subscribe()
    }

    /// Calls `f` with the table of the other instances.
    pub fn with_fleet<R>(&self, f: impl FnOnce(&mut Fleet) -> R) -> R {
        f(&mut self.fleet.lock().expect("never poisoned"))
    }

    /// Whether records of instances changed since the last call.
    #[must_use]
    pub fn has_new_instance_changes(&self) -> bool {
        let changes = self.with_fleet(|fleet| fleet.changes());
        self.links_checked_at_change.swap(changes, Ordering::Relaxed) != changes
    }

    /// The configuration in force.
    #[must_use]
    pub fn catalog(&self) -> Arc<Catalog> {
        self.catalog.borrow().clone()
    }

    /// The number of replicas that have to receive a commit of a group before it is
    /// acknowledged.
    #[must_use]
    pub fn sync_replicas(&self, group: &GroupId) -> usize {
        self.catalog.borrow().groups.get(group).map_or(0, |settings| settings.sync_replicas)
    }

    /// The route for a database name; `None` if the configuration has none.
    #[must_use]
    pub fn route(&self, database: &str) -> Option<Arc<Route>> {
        self.catalog.borrow().routes.get(database).cloned()
    }

    /// Puts a configuration in force if its version is later than the present one. Returns
    /// whether it did.
    pub fn set_catalog(&self, next: &Arc<Catalog>) -> bool {
        let newer = self.catalog.send_if_modified(|catalog| {
            if next.version <= catalog.version {
                return false;
            }
            *catalog = next.clone();
            true
        });
        if newer {
            self.metrics.record_configuration();
            self.recent_catalogs.lock().expect("never poisoned").add(next.clone());
            self.recompute_assignments();
        }
        newer
    }

    /// What changed from a version of the configuration to the latest one; `None` if that
    /// version is not known any more.
    #[must_use]
    pub fn configuration_changes_since(&self, version: u64) -> Option<CatalogChange> {
        self.recent_catalogs.lock().expect("never poisoned").changes_since(version)
    }

    /// Recomputes what depends on the configuration and on the live instances: the
    /// holders of each group, the number of connections that this instance may open to
    /// its servers, and its voters.
    pub fn recompute_assignments(&self) {
        self.holders.mark_stale();
        self.apply_budgets();
        self.update_voters();
    }

    /// Sets the number of connections that this instance may open to the servers of each
    /// group that it holds, and none for those that it held before.
    fn apply_budgets(&self) {
        let catalog = self.catalog();
        let held = self.held_groups();
        let before = {
            let mut budgeted = self.budgeted.lock().expect("never poisoned");
            std::mem::replace(&mut *budgeted, held.iter().cloned().collect())
        };
        for group in before.iter().filter(|group| !held.contains(group)) {
            self.shard(group).set_budget(0);
        }
        for group in held.iter() {
            if let Some(settings) = catalog.groups.get(group) {
                let shard = self.shard(group);
                let waits = catalog.accounts.is_some() && !self.is_held_by_all(group);
                shard.set_reads_wait_for_own(waits);
                shard.set_budget(self.connection_budget(&catalog, settings, &shard));
            }
        }
    }

    fn connection_budget(
        &self,
        catalog: &Catalog,
        settings: &GroupSettings,
        shard: &Shard,
    ) -> usize {
        let at = now();
        let holders: Vec<_> =
            self.co_holders(shard.id()).into_iter().map(|record| record.id).collect();
        let others = self.with_fleet(|fleet| fleet.demands(shard.id(), &holders));
        let own = shard.demand(at);
        let granted = budget(settings.max_connections, own, &others);
        if catalog.accounts.is_none() {
            let forwards = !self.is_held_by_all(shard.id());
            return if forwards { shared_connection_budget(granted, own) } else { granted };
        }
        let may_be_occupied = at < self.started_at + STALE_CONNECTION_TIME;
        account_connection_budget(granted, if may_be_occupied { 0.0 } else { own })
    }

    /// The shard of a group, created if there is none.
    #[must_use]
    pub fn shard(&self, group: &GroupId) -> Arc<Shard> {
        if let Some(shard) = self.shards.read().expect("never poisoned").get(group) {
            return shard.clone();
        }
        let mut shards = self.shards.write().expect("never poisoned");
        let shard = shards.entry(group.clone()).or_insert_with(|| {
            let home = self.me.failure_domain.clone();
            let (connector, peers) = (self.connector.clone(), self.peers.clone());
            let shard =
                Shard::new(group.clone(), home, connector, peers, self.primary_check.clone());
            let shard = shard.with_renewal(self.lease_renewal.clone()).with_budget(0);
            shard.with_group(|group| {
                *group.primary_lease_mut() =
                    PrimaryLease::unknown(self.me.id.clone()).with_start(self.started_at);
                if self.orders_known.load(Ordering::Relaxed) {
                    group.primary_lease_mut().orders_known();
                }
            });
            Arc::new(shard)
        });
        shard.clone()
    }

    /// The shards of all groups.
    #[must_use]
    pub fn shards(&self) -> Vec<Arc<Shard>> {
        self.shards.read().expect("never poisoned").values().cloned().collect()
    }

    /// Whether this instance accepts new clients: it has a configuration, knows the other
    /// instances and at least one server, and is not stopping.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        if self.is_stopping() || !self.is_prepared() || self.supervisor.has_failed() {
            return false;
        }
        let shards = self.shards();
        shards.iter().any(|shard| shard.with_group(|group| group.servers().next().is_some()))
    }

    /// Updates the list of servers and applies the changes to the shards. Returns whether
    /// some servers are still used although the platform's list lacks them.
    pub fn update_servers(&self, update: impl FnOnce(&mut ServerList)) -> bool {
        let (missing, groups) = {
            let mut list = self.servers.lock().expect("never poisoned");
            update(&mut list);
            (list.drop_missing(now()), list.take_changed())
        };
        for (group, servers) in groups {
            self.shard(&group).set_servers(servers);
        }
        missing
    }

    /// Revision of the store up to which the list of servers is known.
    #[must_use]
    pub fn servers_revision(&self) -> Revision {
        self.servers.lock().expect("never poisoned").revision()
    }

    /// Revision of the store at which the list of servers last changed.
    #[must_use]
    pub fn servers_changed_at(&self) -> Revision {
        self.servers.lock().expect("never poisoned").changed_at()
    }

    /// All listed servers with their groups, and the revision up to which the list is known.
    #[must_use]
    pub fn listed_servers(&self) -> (Revision, Vec<(GroupId, ServerInfo)>) {
        let list = self.servers.lock().expect("never poisoned");
        let all = list.all().map(|(group, info)| (group.clone(), info.clone()));
        (list.revision(), all.collect())
    }

    /// What changed in the list of servers since a revision; `None` if that is not known.
    #[must_use]
    pub fn server_changes_since(&self, known: Revision) -> Option<ServerChanges> {
        self.servers.lock().expect("never poisoned").changes_since(known)
    }

    /// Reserves the only pull of records from another instance until the guard is dropped;
    /// `None` while another pull is in progress.
    #[must_use]
    pub fn begin_pull(self: &Arc<Self>) -> Option<PullGuard> {
        let was_idle = self.pulling.send_if_modified(|pulling| !std::mem::replace(pulling, true));
        was_idle.then(|| PullGuard(self.clone()))
    }

    /// Waits until no pull of records from another instance is in progress.
    pub async fn pull_ended(&self) {
        let mut pulling = self.pulling.subscribe();
        // Fails only if the sender is dropped, which this borrow of the engine excludes.
        let _ended = pulling.wait_for(|pulling| !pulling).await;
    }

    /// Subscribes to the instances whose heartbeats tell of later records.
    #[must_use]
    pub fn told_of_records(&self) -> watch::Receiver<Option<InstanceId>> {
        self.told_of_records.subscribe()
    }

    /// Sets whether the store currently fails to serve the list of servers.
    pub fn set_servers_outage(&self, lasting: bool) {
        self.servers_outage.store(lasting, Ordering::Relaxed);
    }

    /// Whether the list of servers may be outdated because the store fails to serve it, or
    /// is not known at all.
    #[must_use]
    pub fn has_servers_outage(&self) -> bool {
        self.servers_outage.load(Ordering::Relaxed) || self.servers_revision().is_unknown()
    }

    /// When the list of instances was last read to choose first voters. The lock is held while
    /// it is read.
    #[must_use]
    pub fn instances_read_at(&self) -> &tokio::sync::Mutex<Moment> {
        &self.instances_read_at
    }

    /// Whether a planned stop is in progress.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.borrow().is_some()
    }

    /// Subscribes to the plan of a planned stop; `None` until one begins.
    #[must_use]
    pub fn stop_changes(&self) -> watch::Receiver<Option<StopPlan>> {
        self.stopping.subscribe()
    }

    /// Begins a planned stop.
    pub fn stop(&self, plan: StopPlan) {
        self.stopping.send_replace(Some(plan));
    }

    /// Counts a session until the guard is dropped.
    #[must_use]
    pub fn count_session(self: &Arc<Self>) -> SessionGuard {
        self.sessions.send_modify(|count| *count += 1);
        SessionGuard(self.clone())
    }

    /// Number of open sessions.
    #[must_use]
    pub fn session_count(&self) -> usize {
        *self.sessions.borrow()
    }

    /// Waits until no session is open.
    pub async fn sessions_ended(&self) {
        let mut sessions = self.sessions.subscribe();
        // Fails only if the sender is dropped, which this borrow of the engine excludes.
        let _ended = sessions.wait_for(|count| *count == 0).await;
    }
}

/// Guard of a pull of records from another instance; see [`Engine::begin_pull`].
pub struct PullGuard(Arc<Engine>);

impl Drop for PullGuard {
    fn drop(&mut self) {
        self.0.pulling.send_replace(false);
    }
}

/// Guard that counts one session; see [`Engine::count_session`].
pub struct SessionGuard(Arc<Engine>);

impl Drop for SessionGuard {
    fn drop(&mut self) {
        self.0.sessions.send_modify(|count| *count = count.saturating_sub(1));
    }
}

impl PeerHandler for Engine {
    fn answer(&self, request: Body) -> Option<Body> {
        match request {
            Body::Heartbeat(heartbeat) => {
                self.apply_heartbeat(&heartbeat);
                self.record_loads(now(), &heartbeat);
                if self.should_pull_from(&heartbeat) {
                    self.told_of_records.send_replace(Some(heartbeat.instance.as_str().into()));
                }
                Some(Body::HeartbeatReply(self.heartbeat_reply(&heartbeat)))
            }
            Body::LeaderQuery(query) => Some(Body::LeaderReply(self.leader_reply(&query))),
            Body::TermEnd(end) => Some(Body::TermEndReply(self.end_term(&end))),
            Body::VotersChange(change) => {
                let reply = match change.account_shard {
                    Some(shard) => self.acknowledge_keeper_voters(shard, &change),
                    None => self.acknowledge_voters(&change),
                };
                Some(Body::VotersChangeReply(reply))
            }
            Body::PrimaryNews(news) => {
                self.apply_primary_news(&news);
                Some(Body::PrimaryNewsTaken(PrimaryNewsTaken {}))
            }
            Body::DirectoryState(state) => {
                self.apply_directory_state(state);
                Some(Body::DirectoryTaken(DirectoryTaken {}))
            }
            Body::KeeperVote(vote) => Some(Body::KeeperVoteReply(self.keeper_vote(&vote))),
            Body::QuotaQuestion(request) => Some(Body::QuotaReply(self.quota_reply(&request))),
            Body::ShareQuestion(question) => self.share_reply(&question).map(Body::ShareReply),
            Body::SignOfLife(request) => Some(Body::SignOfLifeReply(self.sign_of_life(request))),
            Body::DirectoryPull(pull) => Some(Body::DirectoryState(self.directory_state(pull))),
            _ => None,
        }
    }

    fn whole_list_permit(&self) -> Option<OwnedSemaphorePermit> {
        self.whole_list_permits.clone().try_acquire_owned().ok()
    }

    fn forwarded_session(self: Arc<Self>) -> Box<dyn ForwardedStatementHandler> {
        Box::new(ForwardedSession::new(self))
    }

    fn tunnel_target(&self, tunnel: &Tunnel) -> Option<SocketAddr> {
        let group: GroupId = tunnel.group.as_str().into();
        let shards = self.shards.read().expect("never poisoned");
        let shard = shards.get(&group)?;
        shard.with_group(|group| group.server(&tunnel.server).map(|view| view.info.address))
    }
}
