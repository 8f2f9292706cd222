//! One whole instance as a value: membership and all its databases.
//!
//! The daemon and the tests drive the same value. Databases are spread over
//! shards, each under its own lock, so that requests for different databases
//! do not wait for each other.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use crate::admission::SlotQueue;
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

/// Shards of an instance. A small multiple of the cores of an entry instance.
const SHARD_COUNT: usize = 16;

/// A group whose log is shorter may not have its ledger yet: its first owner
/// can have died before it was made.
const YOUNG_LOG: u64 = 16;

/// Opening of connections to one server is spaced by this.
const OPENING_INTERVAL: Duration = Duration::from_millis(5);

/// Something the instance has to know.
#[derive(Clone, Debug)]
pub enum InstanceEvent {
    /// Time passed.
    Tick,
    /// Something happened to one database.
    Ownership {
        /// The database.
        database: DatabaseId,
        /// What happened.
        event: OwnershipEvent,
    },
    /// A heartbeat of another instance arrived.
    Heartbeat(HeartbeatBody),
    /// A heartbeat was answered.
    HeartbeatAnswered {
        /// Number of the heartbeat.
        sequence: u64,
        /// The answer.
        body: HeartbeatBody,
    },
    /// A heartbeat could not be delivered.
    HeartbeatFailed {
        /// To whom.
        peer: InstanceId,
        /// Number of the heartbeat.
        sequence: u64,
    },
    /// The platform or the settings list instances.
    Listed(Vec<PeerInfo>),
    /// Someone knows who owns a database.
    OwnerKnown {
        /// The database.
        database: DatabaseId,
        /// Its owner.
        record: OwnerRecord,
    },
    /// Another instance passes a database to us.
    HandoverOffered {
        /// The database.
        database: DatabaseId,
        /// Term of the earlier owner.
        term: Term,
    },
    /// A handover by us ended.
    HandoverEnded {
        /// The database.
        database: DatabaseId,
        /// Whether the other instance took it.
        accepted: bool,
    },
    /// This instance has to stop: pass on all databases.
    Leave,
}

/// Something the driver has to do.
#[derive(Clone, Debug)]
pub enum InstanceAction {
    /// For one database.
    Ownership {
        /// The database.
        database: DatabaseId,
        /// What to do.
        action: OwnershipAction,
    },
    /// Send a heartbeat.
    SendHeartbeat {
        /// To whom.
        peer: PeerInfo,
        /// Its number.
        sequence: u64,
        /// Its content.
        body: HeartbeatBody,
    },
    /// Finish what is in progress, then pass a database on.
    HandOver {
        /// The database.
        database: DatabaseId,
        /// Our term.
        term: Term,
        /// To whom.
        to: InstanceId,
    },
    /// Stop writes until a replica has caught up, then replace the primary.
    DrainPrimary {
        /// The database.
        database: DatabaseId,
    },
    /// Tell the platform's store who owns a database.
    PublishOwner {
        /// The database.
        database: DatabaseId,
        /// Its owner.
        record: OwnerRecord,
    },
    /// A peer has a newer configuration.
    PullConfiguration {
        /// The peer.
        peer: InstanceId,
        /// Its version.
        version: ConfigVersion,
    },
}

/// Everything an instance knows of one database.
#[derive(Debug)]
pub struct DatabaseState {
    /// Ownership and the state of the servers.
    pub ownership: Ownership,
    /// How current reads must be, while we own the database.
    pub floors: Floors,
    /// Slots of each server.
    pub slots: BTreeMap<TargetId, SlotQueue>,
    /// Connections to each server.
    pub pools: BTreeMap<TargetId, ServerPool>,
    /// Whether the ledger is known to exist. Without it no write may start:
    /// it could not be recorded.
    pub ledger_ready: bool,
    /// Whether new work may start.
    pub gate: Gate,
    /// Requests in progress.
    pub in_progress: usize,
    /// Interactive transactions that are open.
    pub open_transactions: usize,
}

/// Whether new work may start on a database.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Gate {
    /// It may.
    #[default]
    Open,
    /// A handover is near: open transactions go on, new ones wait.
    NoNewTransactions,
    /// Nothing new starts; what is in progress ends.
    Closed,
}

impl DatabaseState {
    /// Whether nothing has to happen here as time passes.
    fn is_at_rest(&self) -> bool {
        *self.ownership.phase() == Phase::Idle && self.gate == Gate::Open
    }

    fn view(&self) -> DatabaseView {
        let primary = self.ownership.serving().map(|(_, primary)| primary);
        let near = self
            .ownership
            .servers()
            .find(|server| Some(&server.id) == primary.as_ref())
            .or_else(|| self.ownership.servers().next())
            .map(|server| server.failure_domain.clone());
        DatabaseView { id: self.ownership.database().clone(), near }
    }
}

/// Databases under one lock.
#[derive(Debug, Default)]
pub struct Shard {
    databases: BTreeMap<DatabaseId, DatabaseState>,
    /// Databases that need ticks: those we own, or lately tried to own.
    active: BTreeSet<DatabaseId>,
}

/// One instance.
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
    /// An instance without databases. `life` tells this life of the instance
    /// from those before a restart.
    #[must_use]
    pub fn new(
        me: PeerInfo,
        life: &str,
        membership: MembershipTiming,
        ownership: OwnershipTiming,
    ) -> Self {
        let holder = ownership::holder(&me.id, life);
        let shards = (0..SHARD_COUNT).map(|_| Mutex::default()).collect();
        Self {
            membership: Mutex::new(Membership::new(me, membership)),
            shards,
            ownership_timing: ownership,
            holder,
        }
    }

    /// Name of this life of the instance, as told to servers.
    #[must_use]
    pub fn holder(&self) -> &HolderId {
        &self.holder
    }

    /// This instance's view of the others.
    pub fn membership(&self) -> MutexGuard<'_, Membership> {
        lock(&self.membership)
    }

    fn shard(&self, database: &str) -> MutexGuard<'_, Shard> {
        let count = self.shards.len() as u64;
        let index = usize::try_from(stable_hash(&[database]) % count).unwrap_or(0);
        lock(&self.shards[index])
    }

    /// Runs `f` on a database while its shard is locked.
    pub fn with_database<R>(
        &self,
        database: &str,
        f: impl FnOnce(&mut DatabaseState) -> R,
    ) -> Option<R> {
        self.shard(database).databases.get_mut(database).map(f)
    }

    /// Names of all databases.
    #[must_use]
    pub fn database_ids(&self) -> Vec<DatabaseId> {
        let shards = self.shards.iter();
        let ids =
            shards.flat_map(|shard| lock(shard).databases.keys().cloned().collect::<Vec<_>>());
        ids.collect()
    }

    /// Puts a configuration in force.
    pub fn configure(&self, config: &Config, version: ConfigVersion) {
        let me = self.membership().me().clone();
        for (id, database) in &config.databases {
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
            // The state machine has no action for a mere change of servers.
            state.ownership.handle(Instant::now(), OwnershipEvent::Servers(servers));
            for server in &database.servers {
                state
                    .slots
                    .entry(server.id.clone())
                    .or_insert_with(|| SlotQueue::new(server.slots));
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

    /// Takes an event and returns what has to be done.
    pub fn handle(&self, now: Instant, event: InstanceEvent) -> Vec<InstanceAction> {
        match event {
            InstanceEvent::Tick => self.tick(now),
            InstanceEvent::Ownership { database, event } => {
                self.ownership_event(now, &database, event)
            }
            InstanceEvent::Heartbeat(body) => self.heartbeat(now, &body),
            InstanceEvent::HeartbeatAnswered { sequence, body } => {
                self.membership().answered(now, &body.sender.id, sequence);
                self.heartbeat(now, &body)
            }
            InstanceEvent::HeartbeatFailed { peer, sequence } => {
                self.membership().failed(&peer, sequence);
                Vec::new()
            }
            InstanceEvent::Listed(peers) => {
                let listed = peers.iter().map(|peer| peer.id.clone()).collect();
                let mut membership = self.membership();
                membership.learn(now, peers);
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
                self.membership().leave();
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
            membership.heard(now, body);
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

    /// Content of a heartbeat of ours.
    #[must_use]
    pub fn heartbeat_body(&self) -> HeartbeatBody {
        let owned = self.owned();
        let mut membership = self.membership();
        let heard = membership.take_rumors();
        HeartbeatBody { sender: membership.me().clone(), owned, heard }
    }

    /// Databases we own or are taking.
    #[must_use]
    pub fn owned(&self) -> Vec<(DatabaseId, Term)> {
        let mut owned = Vec::new();
        for shard in &self.shards {
            let shard = lock(shard);
            let active = shard.active.iter().filter_map(|id| shard.databases.get_key_value(id));
            let engaged = active.filter(|(_, state)| state.ownership.owns_or_is_taking());
            owned.extend(engaged.map(|(id, state)| {
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
                if state.is_at_rest() {
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
        let (due, concerns, balance) = {
            let mut membership = self.membership();
            (membership.tick(now), membership.concerns(), membership.balance_is_due(now))
        };
        if !due.is_empty() {
            let body = self.heartbeat_body();
            actions.extend(due.into_iter().map(|(peer, sequence)| InstanceAction::SendHeartbeat {
                peer,
                sequence,
                body: body.clone(),
            }));
        }
        for database in concerns {
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
        let Some(silent) = self.membership().should_take(now, database) else {
            return Vec::new();
        };
        let cause = if silent { TakeCause::OwnerSilent } else { TakeCause::Vacant };
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
            // The offer may have arrived and only its answer be lost. The
            // other does not wait out our currency, so there must be none
            // left until a majority has confirmed our term anew.
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
            prepare(state, action);
        }
        if !state.is_at_rest() {
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

/// Where a database lies by its configuration: all instances must see the
/// same, and only its owner knows where its primary is now.
fn configured_view((id, database): (&DatabaseId, &Database)) -> DatabaseView {
    let first = database.servers.first();
    DatabaseView { id: id.clone(), near: first.map(|server| server.failure_domain.clone()) }
}

fn tick_database(now: Instant, id: &DatabaseId, state: &mut DatabaseState) -> Vec<InstanceAction> {
    if state.gate == Gate::Closed {
        // No failover in the middle of a handover: the other side fences the
        // group anyway.
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

/// Brings the request state of a database in line before anyone else sees
/// the new owner phase.
fn prepare(state: &mut DatabaseState, action: &OwnershipAction) {
    if let OwnershipAction::Serve { first, primary, .. } = action {
        state.ledger_ready = first.index > YOUNG_LOG;
        state.floors.promoted(*first);
        if let Some(slots) = state.slots.get_mut(primary) {
            slots.start_slowly();
        }
    }
}

fn on_database(database: &DatabaseId, actions: Vec<OwnershipAction>) -> Vec<InstanceAction> {
    actions
        .into_iter()
        .map(|action| InstanceAction::Ownership { database: database.clone(), action })
        .collect()
}

/// An instance shared by the tasks of the daemon.
pub type SharedInstance = Arc<Instance>;
