//! Which instances live, who owns what, and who has to take over.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::ops::Bound;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::detector::Detector;
use crate::id::ConfigVersion;
use crate::id::DatabaseId;
use crate::id::FailureDomainId;
use crate::id::InstanceId;
use crate::id::Term;
use crate::succession::Succession;

/// Times of the exchange between instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipTiming {
    /// Pace of heartbeats to each watched instance.
    pub heartbeat_interval: Duration,
    /// The same where not every instance watches every other one.
    pub heartbeat_interval_large_fleet: Duration,
    /// A heartbeat without an answer for this long is missed.
    pub heartbeat_timeout: Duration,
    /// Heartbeats missed in a row that make an instance silent.
    pub misses_to_unresponsive: u32,
    /// Wait after start before any database is considered vacant.
    pub settle: Duration,
    /// Each later successor waits this much longer than the one before.
    pub stagger: Duration,
    /// How long an owner may omit a database before it counts as given up.
    pub omitted_grace: Duration,
    /// Pace of looking for better owners.
    pub balance_interval: Duration,
    /// Quiet time before a database moves to a better placed instance.
    pub rebalance_after: Duration,
}

impl Default for MembershipTiming {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(150),
            heartbeat_interval_large_fleet: Duration::from_millis(400),
            heartbeat_timeout: Duration::from_millis(350),
            misses_to_unresponsive: 3,
            settle: Duration::from_millis(700),
            stagger: Duration::from_millis(500),
            omitted_grace: Duration::from_millis(300),
            balance_interval: Duration::from_secs(1),
            rebalance_after: Duration::from_secs(5),
        }
    }
}

/// What instances tell each other about themselves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerInfo {
    /// The instance.
    pub id: InstanceId,
    /// Where other instances reach it.
    pub address: Arc<str>,
    /// Where operators reach it.
    pub admin_address: Arc<str>,
    /// Where it runs.
    pub failure_domain: FailureDomainId,
    /// It is about to stop.
    pub leaving: bool,
    /// Version of the configuration in force at it.
    pub configuration_version: ConfigVersion,
}

/// Who owns a database, as far as is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerRecord {
    /// The owner.
    pub owner: InstanceId,
    /// Its term. Of two records the one with the higher term is newer.
    pub term: Term,
}

/// Content of a heartbeat and of its answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeartbeatBody {
    /// The sender.
    pub sender: PeerInfo,
    /// Databases the sender owns or is taking.
    pub owned: Vec<(DatabaseId, Term)>,
    /// Recent changes of ownership.
    pub heard: Vec<(DatabaseId, OwnerRecord)>,
}

#[derive(Clone, Debug)]
struct Peer {
    info: PeerInfo,
    detector: Detector,
    owned: BTreeMap<DatabaseId, Term>,
    /// Whether `owned` has been told by the peer itself.
    has_spoken: bool,
}

#[derive(Clone, Debug)]
struct Rumor {
    record: OwnerRecord,
    transmissions_left: u32,
}

/// State of one instance's view of all others.
#[derive(Clone, Debug)]
pub struct Membership {
    me: PeerInfo,
    timing: MembershipTiming,
    peers: BTreeMap<InstanceId, Peer>,
    /// Instances with a heartbeat on its way, or silent.
    probing: BTreeSet<InstanceId>,
    succession: Succession,
    owners: HashMap<DatabaseId, OwnerRecord>,
    rumors: BTreeMap<DatabaseId, Rumor>,
    vacant_since: HashMap<DatabaseId, Instant>,
    started_at: Option<Instant>,
    changed_at: Option<Instant>,
    last_tick_at: Option<Instant>,
    /// Last instance greeted in rotation.
    rotation: Option<InstanceId>,
    rotated_at: Option<Instant>,
    balanced_at: Option<Instant>,
}

/// Up to this many instances each watches every other one. Beyond it, an
/// instance watches the owners it would succeed and a few more in rotation.
const WATCH_ALL_LIMIT: usize = 8;

/// Instances greeted in rotation, to spread what is new.
const ROTATING_PEERS: usize = 3;

/// A rumor is sent this often. With three rotating peers a heartbeat it
/// reaches all of 6,100 instances with high probability; configuration and
/// the store's hint cover the rest.
const RUMOR_TRANSMISSIONS: u32 = 30;

/// Rumors in one heartbeat, to bound its size.
const RUMORS_PER_HEARTBEAT: usize = 32;

/// Successors that watch each owner.
const SUCCESSORS: usize = 2;

/// A gap between two ticks from which we conclude that we were paused.
const PAUSE_GAP: Duration = Duration::from_millis(400);

impl Membership {
    /// The view of an instance that knows only itself.
    #[must_use]
    pub fn new(me: PeerInfo, timing: MembershipTiming) -> Self {
        let mut succession = Succession::new(me.id.clone());
        succession.add(&me.id, &me.failure_domain);
        Self {
            me,
            timing,
            peers: BTreeMap::new(),
            probing: BTreeSet::new(),
            succession,
            owners: HashMap::new(),
            rumors: BTreeMap::new(),
            vacant_since: HashMap::new(),
            started_at: None,
            changed_at: None,
            last_tick_at: None,
            rotation: None,
            rotated_at: None,
            balanced_at: None,
        }
    }

    /// This instance.
    #[must_use]
    pub fn me(&self) -> &PeerInfo {
        &self.me
    }

    /// Marks this instance as leaving.
    pub fn leave(&mut self) {
        self.me.leaving = true;
        self.succession.remove(&self.me.id.clone());
    }

    /// Takes the databases of a configuration.
    pub fn set_databases(&mut self, views: &[DatabaseView]) {
        self.succession.set_databases(views);
    }

    /// Keeps the succession in line with what is known of an instance.
    fn sync_candidate(&mut self, id: &str) {
        let limit = self.timing.misses_to_unresponsive;
        match self.peers.get(id) {
            Some(peer) if peer.detector.misses() < limit && !peer.info.leaving => {
                let info = peer.info.clone();
                self.succession.add(&info.id, &info.failure_domain);
            }
            _ => self.succession.remove(id),
        }
    }

    /// Sets the configuration version announced to others.
    pub fn set_configuration_version(&mut self, version: ConfigVersion) {
        self.me.configuration_version = version;
    }

    /// Learns of instances from the platform's list or from the settings.
    pub fn learn(&mut self, now: Instant, peers: impl IntoIterator<Item = PeerInfo>) {
        for info in peers {
            self.learn_one(now, info);
        }
    }

    fn learn_one(&mut self, now: Instant, info: PeerInfo) {
        if info.id == self.me.id {
            return;
        }
        let timeout = self.timing.heartbeat_timeout;
        if let Some(peer) = self.peers.get_mut(&info.id) {
            // The platform's list lags: it may only add that a peer leaves.
            peer.info.leaving |= info.leaving;
            if !peer.has_spoken {
                peer.info.address = info.address;
                peer.info.admin_address = info.admin_address;
            }
            self.sync_candidate(&info.id);
            return;
        }
        self.changed_at = Some(now);
        let id = info.id.clone();
        self.peers.insert(
            id.clone(),
            Peer {
                info,
                detector: Detector::new(timeout),
                owned: BTreeMap::new(),
                has_spoken: false,
            },
        );
        self.sync_candidate(&id);
    }

    /// Forgets instances that the platform no longer lists and that are
    /// silent as well.
    pub fn retain_listed(&mut self, listed: &BTreeSet<InstanceId>) {
        let limit = self.timing.misses_to_unresponsive;
        let gone: Vec<_> = self
            .peers
            .iter()
            .filter(|(id, peer)| !listed.contains(*id) && peer.detector.misses() >= limit)
            .map(|(id, _)| id.clone())
            .collect();
        for id in gone {
            self.peers.remove(&id);
            self.probing.remove(&id);
            self.sync_candidate(&id);
        }
    }

    /// What is known of an instance.
    #[must_use]
    pub fn peer(&self, id: &str) -> Option<&PeerInfo> {
        self.peers.get(id).map(|peer| &peer.info)
    }

    /// All other instances that are known.
    pub fn peers(&self) -> impl Iterator<Item = (&PeerInfo, bool)> {
        self.peers.values().map(|peer| (&peer.info, self.is_alive(peer)))
    }

    fn is_alive(&self, peer: &Peer) -> bool {
        peer.detector.misses() < self.timing.misses_to_unresponsive
    }

    /// Who owns a database, as far as is known.
    #[must_use]
    pub fn owner(&self, database: &str) -> Option<&OwnerRecord> {
        self.owners.get(database)
    }

    /// Learns who owns a database. Returns whether this was new.
    pub fn observe_owner(&mut self, database: &DatabaseId, record: OwnerRecord) -> bool {
        let known = self.owners.get(database).map_or(0, |known| known.term);
        if record.term <= known {
            return false;
        }
        self.owners.insert(database.clone(), record.clone());
        self.vacant_since.remove(database);
        let rumor = Rumor { record, transmissions_left: RUMOR_TRANSMISSIONS };
        self.rumors.insert(database.clone(), rumor);
        true
    }

    /// Processes a heartbeat or an answer to one.
    pub fn heard(&mut self, now: Instant, body: &HeartbeatBody) {
        self.learn_one(now, body.sender.clone());
        let Some(peer) = self.peers.get_mut(&body.sender.id) else {
            return;
        };
        if peer.info.leaving != body.sender.leaving {
            self.changed_at = Some(now);
        }
        peer.info = body.sender.clone();
        peer.owned = body.owned.iter().cloned().collect();
        peer.has_spoken = true;
        self.sync_candidate(&body.sender.id);
        let owned = body.owned.iter().map(|(database, term)| {
            let owner = body.sender.id.clone();
            (database.clone(), OwnerRecord { owner, term: *term })
        });
        let heard = body.heard.iter().cloned();
        for (database, record) in owned.chain(heard) {
            self.observe_owner(&database, record);
        }
    }

    /// A heartbeat was answered.
    pub fn answered(&mut self, now: Instant, peer: &str, sequence: u64) {
        let limit = self.timing.misses_to_unresponsive;
        let Some(entry) = self.peers.get_mut(peer) else {
            return;
        };
        if entry.detector.misses() >= limit {
            self.changed_at = Some(now);
        }
        entry.detector.succeeded(sequence);
        self.sync_candidate(peer);
    }

    /// A heartbeat failed for certain.
    pub fn failed(&mut self, peer: &str, sequence: u64) {
        if let Some(entry) = self.peers.get_mut(peer) {
            entry.detector.failed(sequence);
        }
        self.sync_candidate(peer);
    }

    /// Counts missed heartbeats and returns whom to send one now.
    pub fn tick(&mut self, now: Instant) -> Vec<(PeerInfo, u64)> {
        self.started_at.get_or_insert(now);
        let paused =
            self.last_tick_at.is_some_and(|last| now.saturating_duration_since(last) > PAUSE_GAP);
        self.last_tick_at = Some(now);
        if paused {
            self.vacant_since.clear();
        }
        self.count_missed(now, paused);
        let interval = self.heartbeat_interval();
        let mut due = Vec::new();
        for id in self.watched(now) {
            let Some(peer) = self.peers.get_mut(&id) else {
                continue;
            };
            if peer.detector.is_due(now, interval) {
                let sequence = peer.detector.sent(now);
                due.push((peer.info.clone(), sequence));
                self.probing.insert(id);
            }
        }
        due
    }

    /// Few instances can afford quick heartbeats; in a large fleet the bytes
    /// count, and each owner still has two that watch it.
    fn heartbeat_interval(&self) -> Duration {
        if self.peers.len() <= WATCH_ALL_LIMIT {
            self.timing.heartbeat_interval
        } else {
            self.timing.heartbeat_interval_large_fleet
        }
    }

    /// Looks at the instances with a heartbeat on its way; the others cannot
    /// have missed any.
    fn count_missed(&mut self, now: Instant, paused: bool) {
        for id in self.probing.clone() {
            let Some(peer) = self.peers.get_mut(&id) else {
                continue;
            };
            if paused {
                peer.detector.clear_misses();
            }
            peer.detector.tick(now);
            if peer.detector.is_settled() {
                self.probing.remove(&id);
            }
            self.sync_candidate(&id);
        }
    }

    fn watched(&mut self, now: Instant) -> BTreeSet<InstanceId> {
        if self.peers.len() <= WATCH_ALL_LIMIT {
            return self.peers.keys().cloned().collect();
        }
        let mut watched = BTreeSet::new();
        for database in self.succession.mine() {
            let Some(record) = self.owners.get(database) else {
                continue;
            };
            let rank = self.succession.own_rank(database, Some(&record.owner));
            if rank.is_some_and(|rank| rank < SUCCESSORS) {
                watched.insert(record.owner.clone());
            }
        }
        let due = self
            .rotated_at
            .is_none_or(|at| now.saturating_duration_since(at) >= self.heartbeat_interval());
        if due {
            self.rotated_at = Some(now);
            watched.extend(self.rotate());
        }
        watched
    }

    /// The next few instances in the order of their names, over and over.
    fn rotate(&mut self) -> Vec<InstanceId> {
        let after = self.rotation.take();
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut next: Vec<_> = self
            .peers
            .range((from, Bound::Unbounded))
            .map(|(id, _)| id.clone())
            .take(ROTATING_PEERS)
            .collect();
        let missing = ROTATING_PEERS - next.len();
        next.extend(self.peers.keys().take(missing).cloned());
        self.rotation = next.last().cloned();
        next
    }

    /// Changes of ownership to tell with the next heartbeat.
    pub fn take_rumors(&mut self) -> Vec<(DatabaseId, OwnerRecord)> {
        let mut told = Vec::new();
        for (database, rumor) in self.rumors.iter_mut().take(RUMORS_PER_HEARTBEAT) {
            rumor.transmissions_left = rumor.transmissions_left.saturating_sub(1);
            told.push((database.clone(), rumor.record.clone()));
        }
        self.rumors.retain(|_, rumor| rumor.transmissions_left > 0);
        told
    }

    /// Databases this instance may have to take.
    #[must_use]
    pub fn concerns(&self) -> Vec<DatabaseId> {
        self.succession.mine().cloned().collect()
    }

    /// Whether this instance has to take the database now, and because the
    /// known owner is silent (`true`) or because there is none (`false`).
    pub fn should_take(&mut self, now: Instant, database: &DatabaseId) -> Option<bool> {
        let started_at = self.started_at?;
        if self.me.leaving || now.saturating_duration_since(started_at) < self.timing.settle {
            return None;
        }
        let record = self.owners.get(database).cloned();
        let fault = match &record {
            None => Some(OwnerFault::Vacant),
            Some(record) => self.owner_fault(record, database),
        };
        let Some(fault) = fault else {
            self.vacant_since.remove(database);
            return None;
        };
        let since = *self.vacant_since.entry(database.clone()).or_insert(now);
        let owner = record.as_ref().map(|record| &record.owner);
        let without = owner.filter(|owner| **owner != self.me.id);
        let rank = self.succession.own_rank(database, without.map(|id| &**id))?;
        let grace =
            if fault == OwnerFault::Omitted { self.timing.omitted_grace } else { Duration::ZERO };
        let wait = grace + self.timing.stagger * u32::try_from(rank).unwrap_or(u32::MAX);
        (now.saturating_duration_since(since) >= wait).then_some(fault == OwnerFault::Silent)
    }

    fn owner_fault(&self, record: &OwnerRecord, database: &str) -> Option<OwnerFault> {
        if record.owner == self.me.id {
            // Our own record, but the caller would not ask if we served it:
            // it stems from before a restart.
            return Some(OwnerFault::Omitted);
        }
        let Some(peer) = self.peers.get(&record.owner) else {
            return Some(OwnerFault::Silent);
        };
        if !self.is_alive(peer) {
            return Some(OwnerFault::Silent);
        }
        let omitted = peer.has_spoken && !peer.owned.contains_key(database);
        omitted.then_some(OwnerFault::Omitted)
    }

    /// Forgets that a database looked vacant, after an attempt to take it.
    pub fn clear_vacancy(&mut self, database: &str) {
        self.vacant_since.remove(database);
    }

    /// Whether it is time to look for better owners of our databases. Each
    /// look goes through all instances.
    pub fn balance_is_due(&mut self, now: Instant) -> bool {
        let due = self
            .balanced_at
            .is_none_or(|at| now.saturating_duration_since(at) >= self.timing.balance_interval);
        if due {
            self.balanced_at = Some(now);
        }
        due || self.me.leaving
    }

    /// Instance that should own a database of ours instead of us, if any.
    #[must_use]
    pub fn better_owner(&self, now: Instant, view: &DatabaseView) -> Option<InstanceId> {
        let quiet = self
            .changed_at
            .or(self.started_at)
            .is_some_and(|at| now.saturating_duration_since(at) >= self.timing.rebalance_after);
        if !quiet && !self.me.leaving {
            return None;
        }
        let best = self.succession.best(&view.id, view.near.as_ref())?;
        let spoke = self.peers.get(&best).is_some_and(|peer| peer.has_spoken);
        (best != self.me.id && spoke).then_some(best)
    }
}

/// Why a database needs a new owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OwnerFault {
    /// Nobody is known to own it.
    Vacant,
    /// The owner does not answer.
    Silent,
    /// The owner answers but no longer lists the database.
    Omitted,
}

/// What placement needs to know of a database.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DatabaseView {
    /// The database.
    pub id: DatabaseId,
    /// Failure domain of its primary, or of its first server.
    pub near: Option<FailureDomainId>,
}
