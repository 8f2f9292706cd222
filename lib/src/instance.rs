//! State machine of one instance: its membership in the fleet and the ownership
//! of all databases.
//!
//! The daemon and the tests drive the same state machine: they pass events in and
//! perform the actions that it returns. Databases are spread over shards, each
//! with its own lock, so that requests for different databases rarely wait for
//! each other.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use crate::admission::SlotQueue;
use crate::admission::SlotReserve;
use crate::config::Config;
use crate::config::Database;
use crate::floors::Floors;
use crate::id::ConfigVersion;
use crate::id::DatabaseId;
use crate::id::HolderId;
use crate::id::InstanceId;
use crate::id::TargetId;
use crate::id::Term;
use crate::membership::DatabaseView;
use crate::membership::HeartbeatBody;
use crate::membership::Membership;
use crate::membership::MembershipTiming;
use crate::membership::OwnerRecord;
use crate::membership::PeerInfo;
use crate::ownership;
use crate::ownership::Ownership;
use crate::ownership::Phase;
use crate::ownership_types::GroupServer;
use crate::ownership_types::OwnershipAction;
use crate::ownership_types::OwnershipEvent;
use crate::ownership_types::OwnershipTiming;
use crate::ownership_types::TakeCause;
use crate::placement::stable_hash;
use crate::pool::ServerPool;
use crate::position::Position;

/// Number of shards of an instance: a small multiple of its processor cores.
const SHARD_COUNT: usize = 16;

/// Largest index of a group's log up to which the ledger table may be missing: the
/// first owner of the group may have failed before it created the table.
const MAX_LOG_WITHOUT_LEDGER: u64 = 16;

/// Shortest interval between the opening of two connections to one server.
const OPENING_INTERVAL: Duration = Duration::from_millis(5);

/// Input of the state machine.
#[derive(Clone, Debug)]
pub enum InstanceEvent {
    /// Time has passed.
    Tick,
    /// An event for the ownership of one database.
    Ownership {
        /// The database.
        database: DatabaseId,
        /// The event.
        event: OwnershipEvent,
    },
    /// A heartbeat of another instance arrived.
    Heartbeat(HeartbeatBody),
    /// A heartbeat was answered.
    HeartbeatAnswered {
        /// Sequence number of the heartbeat.
        sequence: u64,
        /// Content of the answer.
        body: HeartbeatBody,
    },
    /// A heartbeat could not be delivered.
    HeartbeatFailed {
        /// Receiver of the heartbeat.
        peer: InstanceId,
        /// Sequence number of the heartbeat.
        sequence: u64,
    },
    /// The platform or the settings supplied a list of instances.
    Listed(Vec<PeerInfo>),
    /// The owner of a database was observed, for example in the platform's store.
    OwnerKnown {
        /// The database.
        database: DatabaseId,
        /// Its owner.
        record: OwnerRecord,
    },
    /// Another instance offers to hand over a database to this one.
    HandoverOffered {
        /// The database.
        database: DatabaseId,
        /// Term of the earlier owner.
        term: Term,
    },
    /// A handover by this instance ended.
    HandoverEnded {
        /// The database.
        database: DatabaseId,
        /// Whether the other instance confirmed that it takes the database.
        accepted: bool,
    },
    /// This instance is about to stop and hands over all its databases.
    Leave,
}

/// Action that the driver of the state machine has to perform.
#[derive(Clone, Debug)]
pub enum InstanceAction {
    /// Perform an action for the ownership of one database.
    Ownership {
        /// The database.
        database: DatabaseId,
        /// The action.
        action: OwnershipAction,
    },
    /// Send a heartbeat.
    SendHeartbeat {
        /// Receiver of the heartbeat.
        peer: PeerInfo,
        /// Sequence number of the heartbeat.
        sequence: u64,
        /// Content of the heartbeat.
        body: HeartbeatBody,
    },
    /// Finish the work in progress, then hand over a database.
    HandOver {
        /// The database.
        database: DatabaseId,
        /// Term in which this instance serves it.
        term: Term,
        /// Instance that should take it.
        to: InstanceId,
    },
    /// Stop writes until a replica has caught up, then replace the primary.
    DrainPrimary {
        /// The database.
        database: DatabaseId,
    },
    /// Publish the owner of a database in the platform's store.
    PublishOwner {
        /// The database.
        database: DatabaseId,
        /// Its owner.
        record: OwnerRecord,
    },
    /// Fetch a newer configuration from a peer.
    PullConfiguration {
        /// The peer.
        peer: InstanceId,
        /// Version of the configuration at the peer.
        version: ConfigVersion,
    },
}

/// State of one database at an instance.
#[derive(Debug)]
pub struct DatabaseState {
    /// Ownership of the database and the observed state of its servers.
    pub ownership: Ownership,
    /// Lowest positions that reads must have, while this instance owns the
    /// database.
    pub floors: Floors,
    /// Queue for the statement slots of each server.
    pub slots: BTreeMap<TargetId, SlotQueue>,
    /// Connections to each server.
    pub pools: BTreeMap<TargetId, ServerPool>,
    /// Whether the ledger table is known to exist. No write may start without it,
    /// because the write could not be recorded.
    pub ledger_ready: bool,
    /// Whether new work may start.
    pub gate: Gate,
    /// Number of requests in progress.
    pub in_progress: usize,
    /// Number of open interactive transactions.
    pub open_transactions: usize,
}

/// Whether new work may start on a database.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Gate {
    /// New work may start.
    #[default]
    Open,
    /// A handover or the replacement of a leaving primary is being prepared: open
    /// transactions continue, new ones wait.
    NoNewTransactions,
    /// No new work starts; work in progress finishes.
    Closed,
}

impl DatabaseState {
    /// Whether this database needs no ticks: this instance neither owns nor takes
    /// it, no wait is running, and the gate is open.
    fn needs_no_ticks(&self) -> bool {
        *self.ownership.phase() == Phase::Idle && self.gate == Gate::Open
    }

    fn view(&self) -> DatabaseView {
        let primary = self.ownership.serving().map(|(_, primary)| primary);
        let preferred_domain = self
            .ownership
            .servers()
            .find(|server| Some(&server.id) == primary.as_ref())
            .or_else(|| self.ownership.servers().next())
            .map(|server| server.failure_domain.clone());
        DatabaseView { id: self.ownership.database().clone(), preferred_domain }
    }
}

/// Databases that share one lock.
#[derive(Debug, Default)]
pub struct Shard {
    databases: BTreeMap<DatabaseId, DatabaseState>,
    /// Databases that need ticks: those that this instance owns or recently owned
    /// or tried to take.
    active: BTreeSet<DatabaseId>,
}

/// State machine of one instance. All methods can be called from several threads.
#[derive(Debug)]
pub struct Instance {
    membership: Mutex<Membership>,
    shards: Vec<Mutex<Shard>>,
    ownership_timing: OwnershipTiming,
    holder: HolderId,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no code panics while it holds this lock")
}

impl Instance {
    /// Creates an instance without databases. `incarnation` is the number of this
    /// incarnation, which distinguishes it from those before a restart.
    #[must_use]
    pub fn new(
        me: PeerInfo,
        incarnation: &str,
        membership: MembershipTiming,
        ownership: OwnershipTiming,
    ) -> Self {
        let holder = ownership::holder_id(&me.id, incarnation);
        let shards = (0..SHARD_COUNT).map(|_| Mutex::default()).collect();
        Self {
            membership: Mutex::new(Membership::new(me, membership)),
            shards,
            ownership_timing: ownership,
            holder,
        }
    }

    /// Returns the holder id of this incarnation of the instance, as reported to
    /// servers.
    #[must_use]
    pub fn holder(&self) -> &HolderId {
        &self.holder
    }

    /// Locks and returns the membership. The lock is held until the guard is
    /// dropped.
    pub fn membership(&self) -> MutexGuard<'_, Membership> {
        lock(&self.membership)
    }

    fn shard(&self, database: &str) -> MutexGuard<'_, Shard> {
        let count = self.shards.len() as u64;
        let index = usize::try_from(stable_hash(&[database]) % count).unwrap_or(0);
        lock(&self.shards[index])
    }

    /// Runs `f` on a database while its shard is locked. Returns `None` if the
    /// instance does not have the database.
    pub fn with_database<R>(
        &self,
        database: &str,
        f: impl FnOnce(&mut DatabaseState) -> R,
    ) -> Option<R> {
        self.shard(database).databases.get_mut(database).map(f)
    }

    /// Returns the names of all databases.
    #[must_use]
    pub fn database_ids(&self) -> Vec<DatabaseId> {
        let shards = self.shards.iter();
        let ids =
            shards.flat_map(|shard| lock(shard).databases.keys().cloned().collect::<Vec<_>>());
        ids.collect()
    }

    /// Applies a configuration: adds, updates and removes databases, and announces
    /// the version in heartbeats.
    pub fn configure(&self, config: &Config, version: ConfigVersion) {
        let me = self.membership().me().clone();
        let most_urgent = config.most_urgent_priority().unwrap_or_default();
        for (id, database) in &config.databases {
            let reserve = SlotReserve { slots: database.urgent_reserve, most_urgent };
            let servers: Vec<_> = database
                .servers
                .iter()
                .map(|server| GroupServer {
                    id: server.id.clone(),
                    failure_domain: server.failure_domain.clone(),
                    leaving: server.leaving,
                })
                .collect();
            let mut shard = self.shard(id);
            let state = shard.databases.entry(id.clone()).or_insert_with(|| DatabaseState {
                ownership: Ownership::new(
                    me.id.clone(),
                    self.holder.clone(),
                    me.failure_domain.clone(),
                    id.clone(),
                    servers.clone(),
                    self.ownership_timing,
                ),
                floors: Floors::new(Position::ZERO),
                slots: BTreeMap::new(),
                pools: BTreeMap::new(),
                ledger_ready: false,
                gate: Gate::Open,
                in_progress: 0,
                open_transactions: 0,
            });
            // A change of servers alone yields no actions.
            state.ownership.handle(Instant::now(), OwnershipEvent::Servers(servers));
            for server in &database.servers {
                let slots = state.slots.entry(server.id.clone());
                slots.or_insert_with(|| SlotQueue::new(server.slots)).set_reserve(reserve);
                state
                    .pools
                    .entry(server.id.clone())
                    .or_insert_with(|| ServerPool::new(server.connections, OPENING_INTERVAL))
                    .set_cap(server.connections);
            }
        }
        for shard in &self.shards {
            lock(shard).databases.retain(|id, _| config.databases.contains_key(id));
        }
        let views: Vec<_> = config.databases.iter().map(configured_view).collect();
        let mut membership = self.membership();
        membership.set_databases(&views);
        membership.set_configuration_version(version);
    }

    /// Processes an event and returns the actions that the driver has to perform.
    pub fn handle(&self, now: Instant, event: InstanceEvent) -> Vec<InstanceAction> {
        match event {
            InstanceEvent::Tick => self.tick(now),
            InstanceEvent::Ownership { database, event } => {
                self.ownership_event(now, &database, event)
            }
            InstanceEvent::Heartbeat(body) => self.heartbeat(now, &body),
            InstanceEvent::HeartbeatAnswered { sequence, body } => {
                self.membership().heartbeat_answered(now, &body.sender.id, sequence);
                self.heartbeat(now, &body)
            }
            InstanceEvent::HeartbeatFailed { peer, sequence } => {
                self.membership().heartbeat_failed(&peer, sequence);
                Vec::new()
            }
            InstanceEvent::Listed(peers) => {
                let listed = peers.iter().map(|peer| peer.id.clone()).collect();
                let mut membership = self.membership();
                membership.add_peers(now, peers);
                membership.retain_listed(&listed);
                Vec::new()
            }
            InstanceEvent::OwnerKnown { database, record } => {
                self.owner_known(&database, record);
                Vec::new()
            }
            InstanceEvent::HandoverOffered { database, term } => {
                self.with_database(&database, |state| state.ownership.observe_term(term));
                let event = OwnershipEvent::Take(TakeCause::Handover);
                self.ownership_event(now, &database, event)
            }
            InstanceEvent::HandoverEnded { database, accepted } => {
                self.handover_ended(now, &database, accepted)
            }
            InstanceEvent::Leave => {
                self.membership().mark_leaving();
                Vec::new()
            }
        }
    }

    fn owner_known(&self, database: &DatabaseId, record: OwnerRecord) {
        self.with_database(database, |state| state.ownership.observe_term(record.term));
        self.membership().observe_owner(database, record);
    }

    fn heartbeat(&self, now: Instant, body: &HeartbeatBody) -> Vec<InstanceAction> {
        let own_version = {
            let mut membership = self.membership();
            membership.receive_heartbeat(now, body);
            membership.me().configuration_version
        };
        for (database, term) in &body.owned {
            self.with_database(database, |state| state.ownership.observe_term(*term));
        }
        let version = body.sender.configuration_version;
        if version <= own_version {
            return Vec::new();
        }
        vec![InstanceAction::PullConfiguration { peer: body.sender.id.clone(), version }]
    }

    /// Returns the content of the next heartbeat, or of an answer to one. Each
    /// call counts as a transmission of the included rumors.
    #[must_use]
    pub fn heartbeat_body(&self) -> HeartbeatBody {
        let owned = self.owned();
        let mut membership = self.membership();
        let rumors = membership.take_rumors();
        HeartbeatBody { sender: membership.me().clone(), owned, rumors }
    }

    /// Returns the databases that this instance owns or is taking. The term is 0
    /// for a database that it does not serve yet.
    #[must_use]
    pub fn owned(&self) -> Vec<(DatabaseId, Term)> {
        let mut owned = Vec::new();
        for shard in &self.shards {
            let shard = lock(shard);
            let active = shard.active.iter().filter_map(|id| shard.databases.get_key_value(id));
            let owned_or_being_taken =
                active.filter(|(_, state)| state.ownership.owns_or_is_taking());
            owned.extend(owned_or_being_taken.map(|(id, state)| {
                let term = state.ownership.serving().map_or(0, |(term, _)| term);
                (id.clone(), term)
            }));
        }
        owned
    }

    fn tick(&self, now: Instant) -> Vec<InstanceAction> {
        let mut actions = Vec::new();
        let mut movable = Vec::new();
        for shard in &self.shards {
            let mut shard = lock(shard);
            for id in shard.active.clone() {
                let Some(state) = shard.databases.get_mut(&id) else {
                    shard.active.remove(&id);
                    continue;
                };
                actions.extend(tick_database(now, &id, state));
                if state.gate == Gate::Open {
                    let serving = state.ownership.serving();
                    movable.extend(serving.map(|(term, _)| (state.view(), term)));
                }
                if state.needs_no_ticks() {
                    shard.active.remove(&id);
                }
            }
        }
        actions.extend(self.tick_membership(now, &movable));
        actions
    }

    fn tick_membership(
        &self,
        now: Instant,
        movable: &[(DatabaseView, Term)],
    ) -> Vec<InstanceAction> {
        let mut actions = Vec::new();
        let (due, candidate_databases, balance) = {
            let mut membership = self.membership();
            (membership.tick(now), membership.candidate_databases(), membership.balance_is_due(now))
        };
        if !due.is_empty() {
            let body = self.heartbeat_body();
            actions.extend(due.into_iter().map(|(peer, sequence)| InstanceAction::SendHeartbeat {
                peer,
                sequence,
                body: body.clone(),
            }));
        }
        for database in candidate_databases {
            let idle = self.with_database(&database, |state| !state.ownership.owns_or_is_taking());
            if idle == Some(true) {
                actions.extend(self.take_if_due(now, &database));
            }
        }
        for (view, term) in movable.iter().filter(|_| balance) {
            actions.extend(self.hand_over_if_due(now, view, *term));
        }
        actions
    }

    fn take_if_due(&self, now: Instant, database: &DatabaseId) -> Vec<InstanceAction> {
        let Some(is_unresponsive) = self.membership().should_take(now, database) else {
            return Vec::new();
        };
        let cause = if is_unresponsive { TakeCause::OwnerSilent } else { TakeCause::Vacant };
        self.ownership_event(now, database, OwnershipEvent::Take(cause))
    }

    fn hand_over_if_due(
        &self,
        now: Instant,
        view: &DatabaseView,
        term: Term,
    ) -> Vec<InstanceAction> {
        let Some(to) = self.membership().better_owner(now, view) else {
            return Vec::new();
        };
        self.with_database(&view.id, |state| state.gate = Gate::NoNewTransactions);
        vec![InstanceAction::HandOver { database: view.id.clone(), term, to }]
    }

    fn handover_ended(
        &self,
        now: Instant,
        database: &DatabaseId,
        accepted: bool,
    ) -> Vec<InstanceAction> {
        self.with_database(database, |state| state.gate = Gate::Open);
        if !accepted {
            // The offer may have arrived and only its answer been lost. The other
            // instance does not wait until the confirmations of this instance have
            // expired. They are therefore cleared, so that this instance answers
            // no reads until a majority has confirmed its term again.
            self.with_database(database, |state| state.ownership.clear_term_confirmations());
            return Vec::new();
        }
        self.ownership_event(now, database, OwnershipEvent::Release)
    }

    fn ownership_event(
        &self,
        now: Instant,
        database: &DatabaseId,
        event: OwnershipEvent,
    ) -> Vec<InstanceAction> {
        let actions = self.handle_in_shard(now, database, event);
        let mut published = Vec::new();
        for action in &actions {
            match action {
                OwnershipAction::Serve { term, .. } => {
                    let mut membership = self.membership();
                    let owner = membership.me().id.clone();
                    let record = OwnerRecord { owner, term: *term };
                    membership.observe_owner(database, record.clone());
                    let database = database.clone();
                    published.push(InstanceAction::PublishOwner { database, record });
                }
                OwnershipAction::Lost { .. } => self.membership().clear_vacancy(database),
                _ => {}
            }
        }
        let mut all = on_database(database, actions);
        all.extend(published);
        all
    }

    fn handle_in_shard(
        &self,
        now: Instant,
        database: &DatabaseId,
        event: OwnershipEvent,
    ) -> Vec<OwnershipAction> {
        let mut shard = self.shard(database);
        let Some(state) = shard.databases.get_mut(database) else {
            return Vec::new();
        };
        let actions = state.ownership.handle(now, event);
        for action in &actions {
            prepare_requests(state, action);
        }
        if !state.needs_no_ticks() {
            shard.active.insert(database.clone());
        }
        actions
    }

    /// Replaces a leaving primary after its writes were drained.
    pub fn primary_drained(&self, now: Instant, database: &DatabaseId) -> Vec<InstanceAction> {
        let actions = self.with_database(database, |state| {
            state.gate = Gate::Open;
            state.ownership.replace_leaving_primary(now)
        });
        on_database(database, actions.unwrap_or_default())
    }
}

/// Returns the placement properties of a database from its configuration alone.
///
/// All instances must compute the same result, and only the owner has the current
/// primary, so the failure domain is that of the first configured server.
fn configured_view((id, database): (&DatabaseId, &Database)) -> DatabaseView {
    let first = database.servers.first();
    DatabaseView {
        id: id.clone(),
        preferred_domain: first.map(|server| server.failure_domain.clone()),
    }
}

fn tick_database(now: Instant, id: &DatabaseId, state: &mut DatabaseState) -> Vec<InstanceAction> {
    if state.gate == Gate::Closed {
        // During a handover, this instance starts no failover: the other instance
        // fences the servers anyway.
        return Vec::new();
    }
    let tick = state.ownership.handle(now, OwnershipEvent::Tick);
    let mut actions = on_database(id, tick);
    let is_open = state.gate == Gate::Open;
    if is_open && state.ownership.should_replace_leaving_primary() {
        state.gate = Gate::NoNewTransactions;
        actions.push(InstanceAction::DrainPrimary { database: id.clone() });
    }
    actions
}

/// Prepares the request state of a database for serving, under the same lock as
/// the change of the phase, so that no request finds one without the other.
fn prepare_requests(state: &mut DatabaseState, action: &OwnershipAction) {
    if let OwnershipAction::Serve { first, primary, .. } = action {
        state.ledger_ready = first.index > MAX_LOG_WITHOUT_LEDGER;
        state.floors.promoted(*first);
        if let Some(slots) = state.slots.get_mut(primary) {
            slots.begin_slow_start();
        }
    }
}

fn on_database(database: &DatabaseId, actions: Vec<OwnershipAction>) -> Vec<InstanceAction> {
    actions
        .into_iter()
        .map(|action| InstanceAction::Ownership { database: database.clone(), action })
        .collect()
}

/// An [`Instance`] that the tasks of the daemon share.
pub type SharedInstance = Arc<Instance>;
