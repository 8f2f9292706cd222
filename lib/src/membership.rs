//! Which instances live, who owns what, and who has to take over.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::detector::Detector;
use crate::id::ConfigVersion;
use crate::id::DatabaseId;
use crate::id::FailureDomainId;
use crate::id::InstanceId;
use crate::id::Term;
use crate::placement;
use crate::placement::Candidate;

/// Times of the exchange between instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipTiming {
    /// Pace of heartbeats to each watched instance.
    pub heartbeat_interval: Duration,
    /// A heartbeat without an answer for this long is missed.
    pub heartbeat_timeout: Duration,
    /// Heartbeats missed in a row that make an instance silent.
    pub misses_to_silent: u32,
    /// Wait after start before any database is considered vacant.
    pub settle: Duration,
    /// Each later successor waits this much longer than the one before.
    pub stagger: Duration,
    /// How long an owner may omit a database before it counts as given up.
    pub omitted_grace: Duration,
    /// Quiet time before a database moves to a better placed instance.
    pub rebalance_after: Duration,
}

impl Default for MembershipTiming {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(150),
            heartbeat_timeout: Duration::from_millis(350),
            misses_to_silent: 3,
            settle: Duration::from_millis(700),
            stagger: Duration::from_millis(500),
            omitted_grace: Duration::from_millis(300),
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
    owners: HashMap<DatabaseId, OwnerRecord>,
    rumors: BTreeMap<DatabaseId, Rumor>,
    vacant_since: HashMap<DatabaseId, Instant>,
    started_at: Option<Instant>,
    changed_at: Option<Instant>,
    last_tick_at: Option<Instant>,
    rotation: usize,
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
        Self {
            me,
            timing,
            peers: BTreeMap::new(),
            owners: HashMap::new(),
            rumors: BTreeMap::new(),
            vacant_since: HashMap::new(),
            started_at: None,
            changed_at: None,
            last_tick_at: None,
            rotation: 0,
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
            return;
        }
        self.changed_at = Some(now);
        self.peers.insert(
            info.id.clone(),
            Peer {
                info,
                detector: Detector::new(timeout),
                owned: BTreeMap::new(),
                has_spoken: false,
            },
        );
    }

    /// Forgets instances that the platform no longer lists and that are
    /// silent as well.
    pub fn retain_listed(&mut self, listed: &BTreeSet<InstanceId>) {
        let limit = self.timing.misses_to_silent;
        self.peers.retain(|id, peer| listed.contains(id) || peer.detector.misses() < limit);
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
        peer.detector.misses() < self.timing.misses_to_silent
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

    /// The owner gave the database up: whoever is first may take it.
    pub fn forget_owner(&mut self, database: &str) {
        self.owners.remove(database);
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
        let limit = self.timing.misses_to_silent;
        let Some(peer) = self.peers.get_mut(peer) else {
            return;
        };
        if peer.detector.misses() >= limit {
            self.changed_at = Some(now);
        }
        peer.detector.succeeded(sequence);
    }

    /// A heartbeat failed for certain.
    pub fn failed(&mut self, peer: &str, sequence: u64) {
        if let Some(peer) = self.peers.get_mut(peer) {
            peer.detector.failed(sequence);
        }
    }

    /// Counts missed heartbeats and returns whom to send one now.
    pub fn tick(&mut self, now: Instant, databases: &[DatabaseView]) -> Vec<(PeerInfo, u64)> {
        self.started_at.get_or_insert(now);
        let paused =
            self.last_tick_at.is_some_and(|last| now.saturating_duration_since(last) > PAUSE_GAP);
        self.last_tick_at = Some(now);
        for peer in self.peers.values_mut() {
            if paused {
                peer.detector.forgive();
            }
            peer.detector.tick(now);
        }
        if paused {
            self.vacant_since.clear();
        }
        let watched = self.watched(databases);
        let interval = self.timing.heartbeat_interval;
        let mut due = Vec::new();
        for id in watched {
            let Some(peer) = self.peers.get_mut(&id) else {
                continue;
            };
            if peer.detector.is_due(now, interval) {
                let sequence = peer.detector.sent(now);
                due.push((peer.info.clone(), sequence));
            }
        }
        due
    }

    fn watched(&mut self, databases: &[DatabaseView]) -> BTreeSet<InstanceId> {
        if self.peers.len() <= WATCH_ALL_LIMIT {
            return self.peers.keys().cloned().collect();
        }
        let mut watched = BTreeSet::new();
        for view in databases {
            let Some(record) = self.owners.get(&view.id) else {
                continue;
            };
            let rank = self.rank_of_me(view, Some(&record.owner));
            if rank.is_some_and(|rank| rank < SUCCESSORS) {
                watched.insert(record.owner.clone());
            }
        }
        let count = self.peers.len();
        for offset in 0..ROTATING_PEERS {
            let index = (self.rotation + offset * 7919) % count;
            watched.extend(self.peers.keys().nth(index).cloned());
        }
        self.rotation = (self.rotation + ROTATING_PEERS) % count;
        watched
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

    /// Live instances that may own databases, this one included.
    fn candidates(&self, without: Option<&InstanceId>) -> Vec<Candidate> {
        let me = std::iter::once(&self.me);
        let alive = self.peers.values().filter(|peer| self.is_alive(peer));
        me.chain(alive.map(|peer| &peer.info))
            .filter(|info| !info.leaving && Some(&info.id) != without)
            .map(|info| Candidate {
                id: info.id.clone(),
                failure_domain: info.failure_domain.clone(),
            })
            .collect()
    }

    fn rank_of_me(&self, view: &DatabaseView, without: Option<&InstanceId>) -> Option<usize> {
        let candidates = self.candidates(without);
        let ranked = placement::rank(&view.id, &candidates, view.near.as_ref());
        ranked.iter().position(|id| *id == self.me.id)
    }

    /// Whether this instance has to take the database now, and because the
    /// known owner is silent (`true`) or because there is none (`false`).
    pub fn should_take(&mut self, now: Instant, view: &DatabaseView) -> Option<bool> {
        let started_at = self.started_at?;
        if self.me.leaving || now.saturating_duration_since(started_at) < self.timing.settle {
            return None;
        }
        let record = self.owners.get(&view.id).cloned();
        let fault = match &record {
            None => Some(OwnerFault::Vacant),
            Some(record) => self.owner_fault(record, &view.id),
        };
        let Some(fault) = fault else {
            self.vacant_since.remove(&view.id);
            return None;
        };
        let since = *self.vacant_since.entry(view.id.clone()).or_insert(now);
        let owner = record.as_ref().map(|record| &record.owner);
        let without = owner.filter(|owner| **owner != self.me.id);
        let rank = self.rank_of_me(view, without)?;
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
    pub fn attempted(&mut self, database: &str) {
        self.vacant_since.remove(database);
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
        let candidates = self.candidates(None);
        let best = placement::rank(&view.id, &candidates, view.near.as_ref()).into_iter().next()?;
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
