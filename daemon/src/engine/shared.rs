//! What all sessions of an instance share.

mod accounts;
mod known_fleet;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chervilwharf_lib::catalog::Catalog;
use chervilwharf_lib::catalog::Route;
use chervilwharf_lib::connection_budget::account_connection_budget;
use chervilwharf_lib::connection_budget::budget;
use chervilwharf_lib::engine_protos::DirectoryTaken;
use chervilwharf_lib::engine_protos::PrimaryNewsTaken;
use chervilwharf_lib::engine_protos::Tunnel;
use chervilwharf_lib::engine_protos::engine_frame::Body;
use chervilwharf_lib::fleet::Fleet;
use chervilwharf_lib::fleet::InstanceRecord;
use chervilwharf_lib::group::ServerInfo;
use chervilwharf_lib::id::GroupId;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::primary_lease::PrimaryLease;
use chervilwharf_lib::quota::QuotaTolerance;
use chervilwharf_lib::received_statements::ReceivedStatements;
use chervilwharf_lib::server_list::ServerList;
use chervilwharf_lib::silence::StoreTimeouts;
use chervilwharf_lib::stop_plan::StopPlan;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::engine::clock::now;
use crate::engine::directory::Revision;
use crate::engine::duty_control::DutyTable;
use crate::engine::forwarded_session::ForwardedSession;
use crate::engine::holders::Holders;
use crate::engine::leader_control::LeaderWatches;
use crate::engine::metrics::EngineMetrics;
use crate::engine::peer_contacts::Contacts;
use crate::engine::peers::ForwardedStatementHandler;
use crate::engine::peers::PeerHandler;
use crate::engine::peers::Peers;
use crate::engine::primary_lease_control::VoterLists;
use crate::engine::quota_control::QuotaControl;
use crate::engine::remote::StatementLinks;
use crate::engine::server_connection::Connector;
use crate::engine::shard::Shard;
use crate::engine::store_era::StoreEra;
use crate::engine::workload::LastConfigurationPull;

/// How long servers keep the connections of a caller that lost power. Until then those of
/// earlier lives may fill them: who opens more than half of its share is refused, and
/// waits before it tries again.
const DEAD_FOR: Duration = Duration::from_secs(3);

/// How long a starting instance waits for the store before it asks others:
/// many times the store's usual answer of 4 ms.
pub const PEER_FALLBACK_DELAY: Duration = Duration::from_millis(250);

/// Time in which a configuration is in force where the platform sets none.
const CONFIGURATION_BOUND: Duration = Duration::from_secs(3);

/// What all sessions of an instance share.
pub struct Engine {
    connector: Arc<dyn Connector>,
    catalog: watch::Sender<Arc<Catalog>>,
    shards: RwLock<HashMap<GroupId, Arc<Shard>>>,
    servers: Mutex<ServerList>,
    /// Whether the store fails for the list of servers.
    servers_outage: AtomicBool,
    /// Whether records are being pulled from another instance.
    pulling: AtomicBool,
    me: InstanceRecord,
    started_at: Moment,
    fleet: Mutex<Fleet>,
    peers: Arc<Peers>,
    duties: Mutex<DutyTable>,
    metrics: EngineMetrics,
    holders: Holders,
    peer_contacts: Contacts,
    statement_links: Arc<StatementLinks>,
    watches: LeaderWatches,
    /// Woken when there is something to find out about a primary.
    doubt: Arc<Notify>,
    /// Woken when the right to use a primary is wanted and missing.
    lease_renewal: Arc<Notify>,
    voter_lists: VoterLists,
    /// Whether this instance has a record, by which the others count it among
    /// those that vote.
    registered: AtomicBool,
    /// Woken when the store listed something.
    store_answered: Notify,
    /// When it last told the configuration.
    store_answered_at: Mutex<Option<Moment>>,
    /// Whether this instance knows which orders there were when it started.
    orders_known: AtomicBool,
    /// Woken when the record of this instance has to be written.
    record_write_needed: Notify,
    /// Revision of the record of an earlier life, if one was listed.
    earlier_record: Mutex<Option<Revision>>,
    /// Whether it is known which other instances there are.
    fleet_known: watch::Sender<bool>,
    /// Whether the store, or an instance that had it from there, told of all
    /// instances.
    fleet_listed: AtomicBool,
    /// When another instance was last asked to tell the records.
    records_requested_at: Mutex<Option<Moment>>,
    /// Set once a planned stop has begun.
    stopping: watch::Sender<Option<StopPlan>>,
    sessions: watch::Sender<usize>,
    quota: QuotaControl,
    quota_tolerance: Option<QuotaTolerance>,
    last_configuration_pull: LastConfigurationPull,
    store_era: Arc<StoreEra>,
    store_timeouts: StoreTimeouts,
    received_statements: Mutex<ReceivedStatements>,
}

impl Engine {
    /// An engine without a configuration.
    #[must_use]
    pub fn new(me: InstanceRecord, connector: Arc<dyn Connector>) -> Self {
        Self {
            connector,
            catalog: watch::Sender::new(Arc::default()),
            shards: RwLock::default(),
            servers: Mutex::default(),
            servers_outage: AtomicBool::new(false),
            pulling: AtomicBool::new(false),
            fleet: Mutex::new(Fleet::new(me.id.clone())),
            fleet_known: watch::Sender::new(false),
            fleet_listed: AtomicBool::new(false),
            records_requested_at: Mutex::default(),
            started_at: now(),
            me,
            peers: Arc::default(),
            duties: Mutex::default(),
            metrics: EngineMetrics::default(),
            holders: Holders::default(),
            peer_contacts: Contacts::default(),
            statement_links: Arc::default(),
            watches: LeaderWatches::default(),
            doubt: Arc::default(),
            lease_renewal: Arc::default(),
            voter_lists: VoterLists::default(),
            registered: AtomicBool::new(false),
            store_answered: Notify::new(),
            store_answered_at: Mutex::default(),
            orders_known: AtomicBool::new(false),
            record_write_needed: Notify::new(),
            earlier_record: Mutex::default(),
            stopping: watch::Sender::new(None),
            sessions: watch::Sender::new(0),
            quota: QuotaControl::new(now()),
            quota_tolerance: None,
            last_configuration_pull: LastConfigurationPull::default(),
            store_era: Arc::default(),
            store_timeouts: StoreTimeouts::within(CONFIGURATION_BOUND),
            received_statements: Mutex::new(ReceivedStatements::new(now())),
        }
    }

    /// With the time in which a configuration has to be in force, if there is one.
    #[must_use]
    pub fn with_configuration_bound(mut self, bound: Option<Duration>) -> Self {
        self.store_timeouts = StoreTimeouts::within(bound.unwrap_or(CONFIGURATION_BOUND));
        self
    }

    /// Reads or updates which statements of other instances have arrived.
    pub fn with_received_statements<R>(&self, f: impl FnOnce(&mut ReceivedStatements) -> R) -> R {
        f(&mut self.received_statements.lock().expect("never poisoned"))
    }

    /// How soon silence of the store is noticed.
    #[must_use]
    pub fn store_timeouts(&self) -> StoreTimeouts {
        self.store_timeouts
    }

    /// This instance.
    #[must_use]
    pub fn me(&self) -> &InstanceRecord {
        &self.me
    }

    /// Links to other instances.
    #[must_use]
    pub fn peers(&self) -> &Peers {
        &self.peers
    }

    /// Links to other instances, for tasks that outlive a borrow.
    #[must_use]
    pub fn shared_peers(&self) -> Arc<Peers> {
        self.peers.clone()
    }

    /// Woken when the record of this instance has to be written.
    #[must_use]
    pub fn record_write_needed(&self) -> &Notify {
        &self.record_write_needed
    }

    /// The list of instances shows a record of an earlier life of this one.
    pub fn set_earlier_record(&self, revision: Option<Revision>) {
        *self.earlier_record.lock().expect("never poisoned") = revision;
    }

    /// Revision of the record to replace; it counts for one try.
    #[must_use]
    pub fn take_earlier_record(&self) -> Option<Revision> {
        self.earlier_record.lock().expect("never poisoned").take()
    }

    /// Reads or updates what is known of the duties.
    pub fn with_duties<R>(&self, f: impl FnOnce(&mut DutyTable) -> R) -> R {
        f(&mut self.duties.lock().expect("never poisoned"))
    }

    /// The latest era of the platform's store.
    #[must_use]
    pub fn store_era(&self) -> &Arc<StoreEra> {
        &self.store_era
    }

    /// Lists of holders, by group.
    #[must_use]
    pub fn holder_lists(&self) -> &Holders {
        &self.holders
    }

    /// Which other instances are heard.
    #[must_use]
    pub fn peer_contacts(&self) -> &Contacts {
        &self.peer_contacts
    }

    /// Lists of those that vote, by group.
    #[must_use]
    pub fn voter_lists(&self) -> &VoterLists {
        &self.voter_lists
    }

    /// Idle links for statements that go through other instances.
    #[must_use]
    pub fn statement_links(&self) -> &Arc<StatementLinks> {
        &self.statement_links
    }

    /// Counters and histograms.
    #[must_use]
    pub fn metrics(&self) -> &EngineMetrics {
        &self.metrics
    }

    /// The watches of all groups.
    #[must_use]
    pub fn watches(&self) -> &LeaderWatches {
        &self.watches
    }

    /// Woken when there is something to find out about a primary.
    #[must_use]
    pub fn doubt(&self) -> &Notify {
        &self.doubt
    }

    /// Woken when the right to use a primary is wanted and missing.
    #[must_use]
    pub fn lease_renewal(&self) -> &Notify {
        &self.lease_renewal
    }

    /// Woken when the store listed something.
    #[must_use]
    pub fn store_answered(&self) -> &Notify {
        &self.store_answered
    }

    /// From now on this instance votes on groups that it gets to know.
    pub fn set_orders_known(&self) {
        self.orders_known.store(true, Ordering::Relaxed);
    }

    /// Reads or updates what is known of the instances.
    pub fn with_fleet<R>(&self, f: impl FnOnce(&mut Fleet) -> R) -> R {
        f(&mut self.fleet.lock().expect("never poisoned"))
    }

    /// The configuration in force.
    #[must_use]
    pub fn catalog(&self) -> Arc<Catalog> {
        self.catalog.borrow().clone()
    }

    /// The route of a database name.
    #[must_use]
    pub fn route(&self, database: &str) -> Option<Arc<Route>> {
        self.catalog.borrow().routes.get(database).cloned()
    }

    /// Puts a configuration in force, unless it is older than the present
    /// one. Returns whether it is in force now.
    pub fn set_catalog(&self, next: &Arc<Catalog>) -> bool {
        let newer = self.catalog.send_if_modified(|catalog| {
            if next.version <= catalog.version {
                return false;
            }
            *catalog = next.clone();
            true
        });
        if newer {
            self.recompute_assignments();
        }
        newer
    }

    /// Divides the connections of each server among the live instances.
    pub fn recompute_assignments(&self) {
        self.holders.check_again();
        self.apply_budgets();
        self.update_voters();
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
            let at = now();
            if !self.is_holder(group) {
                shard.set_budget(0);
                continue;
            }
            let holders: Vec<_> =
                self.co_holders(group).into_iter().map(|record| record.id).collect();
            let others = self.with_fleet(|fleet| fleet.demands(group, &holders));
            let own = shard.demand(at);
            let granted = budget(settings.max_connections, own, &others);
            shard.set_budget(match catalog.accounts {
                Some(_) => {
                    let earlier_lives = at < self.started_at + DEAD_FOR;
                    account_connection_budget(granted, if earlier_lives { 0.0 } else { own })
                }
                None => granted,
            });
        }
    }

    /// The shard of a group.
    #[must_use]
    pub fn shard(&self, group: &GroupId) -> Arc<Shard> {
        if let Some(shard) = self.shards.read().expect("never poisoned").get(group) {
            return shard.clone();
        }
        let mut shards = self.shards.write().expect("never poisoned");
        let shard = shards.entry(group.clone()).or_insert_with(|| {
            let home = self.me.failure_domain.clone();
            let (connector, peers) = (self.connector.clone(), self.peers.clone());
            let shard = Shard::new(group.clone(), home, connector, peers, self.doubt.clone());
            let shard = shard.with_renewal(self.lease_renewal.clone());
            shard.with_group(|group| {
                *group.primary_lease_mut() = PrimaryLease::unknown().with_start(self.started_at);
                if self.orders_known.load(Ordering::Relaxed) {
                    group.primary_lease_mut().orders_known();
                }
            });
            Arc::new(shard)
        });
        self.invalidate_held();
        shard.clone()
    }

    /// All shards.
    #[must_use]
    pub fn shards(&self) -> Vec<Arc<Shard>> {
        self.shards.read().expect("never poisoned").values().cloned().collect()
    }

    /// Whether this instance takes new clients: it has a configuration, knows
    /// the other instances and servers, and does not stop.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let prepared = self.catalog().version > 0 && self.is_fleet_known();
        if self.is_stopping() || !prepared {
            return false;
        }
        let shards = self.shards();
        shards.iter().any(|shard| shard.with_group(|group| group.servers().next().is_some()))
    }

    /// Updates the list of servers and tells the shards. Returns whether some
    /// servers are missing in the platform's list and still used.
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

    /// Revision up to which the list of servers is known.
    #[must_use]
    pub fn servers_revision(&self) -> Revision {
        self.servers.lock().expect("never poisoned").revision()
    }

    /// Revision at which the list of servers last changed.
    #[must_use]
    pub fn servers_changed_at(&self) -> Revision {
        self.servers.lock().expect("never poisoned").changed_at()
    }

    /// All listed servers.
    #[must_use]
    pub fn listed_servers(&self) -> Vec<(GroupId, ServerInfo)> {
        let list = self.servers.lock().expect("never poisoned");
        list.all().map(|(group, info)| (group.clone(), info.clone())).collect()
    }

    /// Marks that records are being pulled from another instance; `None` while
    /// that is so already.
    #[must_use]
    pub fn begin_pull(self: &Arc<Self>) -> Option<PullGuard> {
        let idle = !self.pulling.swap(true, Ordering::Relaxed);
        idle.then(|| PullGuard(self.clone()))
    }

    /// The store began or ceased to fail for the list of servers.
    pub fn set_servers_outage(&self, lasting: bool) {
        self.servers_outage.store(lasting, Ordering::Relaxed);
    }

    /// Whether the list of servers may be behind the store, or is not known.
    #[must_use]
    pub fn has_servers_outage(&self) -> bool {
        self.servers_outage.load(Ordering::Relaxed) || self.servers_revision().is_unknown()
    }

    /// Whether a planned stop has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.borrow().is_some()
    }

    /// Announces a planned stop.
    #[must_use]
    pub fn stop_changes(&self) -> watch::Receiver<Option<StopPlan>> {
        self.stopping.subscribe()
    }

    /// Begins a planned stop.
    pub fn stop(&self, plan: StopPlan) {
        self.stopping.send_replace(Some(plan));
    }

    /// Counts a session as long as the guard lives.
    #[must_use]
    pub fn count_session(self: &Arc<Self>) -> SessionGuard {
        self.sessions.send_modify(|count| *count += 1);
        SessionGuard(self.clone())
    }

    /// Open sessions.
    #[must_use]
    pub fn session_count(&self) -> usize {
        *self.sessions.borrow()
    }

    /// Waits until no session is left.
    pub async fn sessions_ended(&self) {
        let mut sessions = self.sessions.subscribe();
        // Fails only when the engine is gone, and with it all sessions.
        let _ended = sessions.wait_for(|count| *count == 0).await;
    }
}

/// Records are being pulled as long as it lives.
pub struct PullGuard(Arc<Engine>);

impl Drop for PullGuard {
    fn drop(&mut self) {
        self.0.pulling.store(false, Ordering::Relaxed);
    }
}

/// Counts one session.
pub struct SessionGuard(Arc<Engine>);

impl Drop for SessionGuard {
    fn drop(&mut self) {
        self.0.sessions.send_modify(|count| *count = count.saturating_sub(1));
    }
}

impl PeerHandler for Engine {
    fn answer(&self, question: Body) -> Option<Body> {
        match question {
            Body::Heartbeat(heartbeat) => {
                self.apply_heartbeat(&heartbeat);
                Some(Body::HeartbeatReply(self.heartbeat_reply(&heartbeat)))
            }
            Body::LeaderQuery(query) => Some(Body::LeaderReply(self.leader_reply(&query))),
            Body::TermEnd(end) => Some(Body::TermEndReply(self.end_term(&end))),
            Body::PrimaryNews(news) => {
                self.take_primary_news(&news);
                Some(Body::PrimaryNewsTaken(PrimaryNewsTaken {}))
            }
            Body::DirectoryState(state) => {
                self.apply_directory_state(state);
                Some(Body::DirectoryTaken(DirectoryTaken {}))
            }
            Body::KeeperVote(vote) => Some(Body::KeeperVoteReply(self.keeper_vote(&vote))),
            Body::QuotaQuestion(question) => Some(Body::QuotaReply(self.quota_reply(&question))),
            Body::SignOfLife(sign) => Some(Body::SignOfLifeReply(self.sign_of_life(sign))),
            Body::DirectoryPull(pull) => Some(Body::DirectoryState(self.directory_state(pull))),
            _ => None,
        }
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
