//! Membership of the fleet, as one instance observes it: which instances
//! respond, which of them owns each database, and which databases this instance
//! has to take over.
//!
//! Instances send each other heartbeats. A heartbeat lists the databases that
//! its sender owns and spreads recent changes of ownership by gossip.

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

/// Time limits of heartbeats and of changes of ownership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipTiming {
    /// Interval between heartbeats to each watched instance, in a fleet where
    /// every instance watches every other one.
    pub heartbeat_interval: Duration,
    /// Interval between heartbeats to each watched instance, in a larger fleet.
    pub heartbeat_interval_large_fleet: Duration,
    /// Time without an answer after which a heartbeat counts as missed.
    pub heartbeat_timeout: Duration,
    /// Number of heartbeats missed in a row after which an instance counts as
    /// unresponsive.
    pub misses_to_unresponsive: u32,
    /// Time after start during which the instance takes no database that appears
    /// to be without a working owner.
    pub startup_wait: Duration,
    /// Additional wait of each successor compared with the one before it.
    pub stagger: Duration,
    /// Time after which a database that its owner omits from heartbeats counts
    /// as released.
    pub omitted_grace: Duration,
    /// Interval between searches for better placed owners.
    pub balance_interval: Duration,
    /// Time without a change of membership before a database moves to a better
    /// placed instance.
    pub rebalance_after: Duration,
}

impl Default for MembershipTiming {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(150),
            heartbeat_interval_large_fleet: Duration::from_millis(400),
            heartbeat_timeout: Duration::from_millis(350),
            misses_to_unresponsive: 3,
            startup_wait: Duration::from_millis(700),
            stagger: Duration::from_millis(500),
            omitted_grace: Duration::from_millis(300),
            balance_interval: Duration::from_secs(1),
            rebalance_after: Duration::from_secs(5),
        }
    }
}

/// Description of an instance, as it sends it to others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerInfo {
    /// Name of the instance.
    pub id: InstanceId,
    /// Address for other instances.
    pub address: Arc<str>,
    /// Address for operators.
    pub admin_address: Arc<str>,
    /// Failure domain in which it runs.
    pub failure_domain: FailureDomainId,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Version of the configuration that it uses.
    pub configuration_version: ConfigVersion,
}

/// Owner of a database.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerRecord {
    /// The owner.
    pub owner: InstanceId,
    /// Term of the owner. Of two records, the one with the higher term is newer.
    pub term: Term,
}

/// Content of a heartbeat and of the answer to one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeartbeatBody {
    /// The sender.
    pub sender: PeerInfo,
    /// Databases that the sender owns or is taking. The term is 0 for a database
    /// that it does not serve yet.
    pub owned: Vec<(DatabaseId, Term)>,
    /// Recent changes of ownership that the sender passes on by gossip.
    pub rumors: Vec<(DatabaseId, OwnerRecord)>,
}

#[derive(Clone, Debug)]
struct Peer {
    info: PeerInfo,
    detector: Detector,
    owned: BTreeMap<DatabaseId, Term>,
    /// Whether the peer itself has sent its description and `owned`.
    has_reported: bool,
}

/// A rumor: a change of ownership that is spread by gossip.
#[derive(Clone, Debug)]
struct Rumor {
    record: OwnerRecord,
    transmissions_left: u32,
}

/// Membership of the fleet as one instance observes it.
#[derive(Clone, Debug)]
pub struct Membership {
    me: PeerInfo,
    timing: MembershipTiming,
    peers: BTreeMap<InstanceId, Peer>,
    /// Instances with an unanswered heartbeat or with missed ones.
    probing: BTreeSet<InstanceId>,
    succession: Succession,
    owners: HashMap<DatabaseId, OwnerRecord>,
    rumors: BTreeMap<DatabaseId, Rumor>,
    vacant_since: HashMap<DatabaseId, Instant>,
    started_at: Option<Instant>,
    changed_at: Option<Instant>,
    last_tick_at: Option<Instant>,
    /// Last instance that got a heartbeat in rotation.
    rotation: Option<InstanceId>,
    rotated_at: Option<Instant>,
    balanced_at: Option<Instant>,
}

/// Largest number of other instances with which an instance watches all of them.
/// With more, it watches the owners that it would succeed, and sends heartbeats
/// to a few more instances in rotation.
const WATCH_ALL_LIMIT: usize = 8;

/// Instances that get a heartbeat in each round of the rotation, which spreads
/// changes of ownership.
const ROTATING_PEERS: usize = 3;

/// Number of heartbeats that carry a rumor; those sent at the same time to
/// several instances count once. With three rotating peers a heartbeat, a rumor
/// reaches all of 6,100 instances with high probability. The configuration and
/// the owner published in the store cover the rest.
const RUMOR_TRANSMISSIONS: u32 = 30;

/// Largest number of rumors in one heartbeat, which bounds its size.
const RUMORS_PER_HEARTBEAT: usize = 32;

/// Number of successors that watch each owner.
const SUCCESSORS: usize = 2;

/// A longer gap between two ticks means that this process was paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(400);

impl Membership {
    /// Creates a membership without other instances.
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

    /// Returns the description of this instance.
    #[must_use]
    pub fn me(&self) -> &PeerInfo {
        &self.me
    }

    /// Marks this instance as leaving, so that it is no longer a candidate for
    /// ownership.
    pub fn mark_leaving(&mut self) {
        self.me.leaving = true;
        self.succession.remove(&self.me.id.clone());
    }

    /// Replaces the databases by those of a configuration.
    pub fn set_databases(&mut self, views: &[DatabaseView]) {
        self.succession.set_databases(views);
    }

    /// Adds an instance to the candidates for ownership if it is responsive and
    /// not leaving, and removes it otherwise.
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

    /// Sets the configuration version sent in heartbeats.
    pub fn set_configuration_version(&mut self, version: ConfigVersion) {
        self.me.configuration_version = version;
    }

    /// Adds or updates instances from the platform's list or from the settings.
    pub fn add_peers(&mut self, now: Instant, peers: impl IntoIterator<Item = PeerInfo>) {
        for info in peers {
            self.add_peer(now, info);
        }
    }

    fn add_peer(&mut self, now: Instant, info: PeerInfo) {
        if info.id == self.me.id {
            return;
        }
        let timeout = self.timing.heartbeat_timeout;
        if let Some(peer) = self.peers.get_mut(&info.id) {
            // The platform's list may be out of date. It never clears `leaving`,
            // and sets the addresses only until the peer has sent its own.
            peer.info.leaving |= info.leaving;
            if !peer.has_reported {
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
                has_reported: false,
            },
        );
        self.sync_candidate(&id);
    }

    /// Removes instances that the platform no longer lists and that are
    /// unresponsive as well.
    pub fn retain_listed(&mut self, listed: &BTreeSet<InstanceId>) {
        let limit = self.timing.misses_to_unresponsive;
        let removed: Vec<_> = self
            .peers
            .iter()
            .filter(|(id, peer)| !listed.contains(*id) && peer.detector.misses() >= limit)
            .map(|(id, _)| id.clone())
            .collect();
        for id in removed {
            self.peers.remove(&id);
            self.probing.remove(&id);
            self.sync_candidate(&id);
        }
    }

    /// Returns the description of another instance.
    #[must_use]
    pub fn peer(&self, id: &str) -> Option<&PeerInfo> {
        self.peers.get(id).map(|peer| &peer.info)
    }

    /// Returns all other instances, each with whether it is responsive.
    pub fn peers(&self) -> impl Iterator<Item = (&PeerInfo, bool)> {
        self.peers.values().map(|peer| (&peer.info, self.is_responsive(peer)))
    }

    fn is_responsive(&self, peer: &Peer) -> bool {
        peer.detector.misses() < self.timing.misses_to_unresponsive
    }

    /// Returns the newest known owner of a database.
    #[must_use]
    pub fn owner(&self, database: &str) -> Option<&OwnerRecord> {
        self.owners.get(database)
    }

    /// Records the owner of a database and spreads the record by gossip. Returns
    /// whether the record was newer than the known one.
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
    pub fn receive_heartbeat(&mut self, now: Instant, body: &HeartbeatBody) {
        self.add_peer(now, body.sender.clone());
        let Some(peer) = self.peers.get_mut(&body.sender.id) else {
            return;
        };
        if peer.info.leaving != body.sender.leaving {
            self.changed_at = Some(now);
        }
        peer.info = body.sender.clone();
        peer.owned = body.owned.iter().cloned().collect();
        peer.has_reported = true;
        self.sync_candidate(&body.sender.id);
        let owned = body.owned.iter().map(|(database, term)| {
            let owner = body.sender.id.clone();
            (database.clone(), OwnerRecord { owner, term: *term })
        });
        let rumors = body.rumors.iter().cloned();
        for (database, record) in owned.chain(rumors) {
            self.observe_owner(&database, record);
        }
    }

    /// Records that a peer answered the heartbeat with this sequence number.
    pub fn heartbeat_answered(&mut self, now: Instant, peer: &str, sequence: u64) {
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

    /// Records that a heartbeat failed for certain, for example because the
    /// connection was refused.
    pub fn heartbeat_failed(&mut self, peer: &str, sequence: u64) {
        if let Some(entry) = self.peers.get_mut(peer) {
            entry.detector.failed(sequence);
        }
        self.sync_candidate(peer);
    }

    /// Counts missed heartbeats. Returns the instances that are due for one, each
    /// with its sequence number.
    pub fn tick(&mut self, now: Instant) -> Vec<(PeerInfo, u64)> {
        self.started_at.get_or_insert(now);
        let paused = self
            .last_tick_at
            .is_some_and(|last| now.saturating_duration_since(last) > PAUSE_THRESHOLD);
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

    /// Returns the heartbeat interval for the size of the fleet.
    ///
    /// In a small fleet, frequent heartbeats cause little traffic. In a large one the
    /// longer interval limits the traffic; each owner is still watched by two instances.
    fn heartbeat_interval(&self) -> Duration {
        if self.peers.len() <= WATCH_ALL_LIMIT {
            self.timing.heartbeat_interval
        } else {
            self.timing.heartbeat_interval_large_fleet
        }
    }

    /// Counts the missed heartbeats of the instances in `probing`. The others
    /// have no unanswered heartbeat.
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

    /// Returns the instances that may be due for a heartbeat.
    fn watched(&mut self, now: Instant) -> BTreeSet<InstanceId> {
        if self.peers.len() <= WATCH_ALL_LIMIT {
            return self.peers.keys().cloned().collect();
        }
        let mut watched = BTreeSet::new();
        for database in self.succession.ranked_databases() {
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

    /// Returns the next few instances in the order of their names, and continues
    /// with the first name after the last one.
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

    /// Returns the changes of ownership to send with the next heartbeat, and
    /// counts one transmission of each.
    pub fn take_rumors(&mut self) -> Vec<(DatabaseId, OwnerRecord)> {
        let mut sent = Vec::new();
        for (database, rumor) in self.rumors.iter_mut().take(RUMORS_PER_HEARTBEAT) {
            rumor.transmissions_left = rumor.transmissions_left.saturating_sub(1);
            sent.push((database.clone(), rumor.record.clone()));
        }
        self.rumors.retain(|_, rumor| rumor.transmissions_left > 0);
        sent
    }

    /// Returns the databases that this instance is among the first candidates
    /// for, so that it may have to take them.
    #[must_use]
    pub fn candidate_databases(&self) -> Vec<DatabaseId> {
        self.succession.ranked_databases().cloned().collect()
    }

    /// Whether this instance has to take the database now.
    ///
    /// Returns `Some(true)` if the known owner is unresponsive, `Some(false)` if
    /// there is no owner or the owner has released the database, and `None` if
    /// this instance must not take it now.
    pub fn should_take(&mut self, now: Instant, database: &DatabaseId) -> Option<bool> {
        let started_at = self.started_at?;
        if self.me.leaving || now.saturating_duration_since(started_at) < self.timing.startup_wait {
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
        let excluded = owner.filter(|owner| **owner != self.me.id);
        let rank = self.succession.own_rank(database, excluded.map(|id| &**id))?;
        let grace =
            if fault == OwnerFault::Omitted { self.timing.omitted_grace } else { Duration::ZERO };
        let wait = grace + self.timing.stagger * u32::try_from(rank).unwrap_or(u32::MAX);
        (now.saturating_duration_since(since) >= wait).then_some(fault == OwnerFault::Unresponsive)
    }

    fn owner_fault(&self, record: &OwnerRecord, database: &str) -> Option<OwnerFault> {
        if record.owner == self.me.id {
            // The caller asks only about databases that this instance does not
            // serve, so the record comes from before a restart or a loss of
            // ownership.
            return Some(OwnerFault::Omitted);
        }
        let Some(peer) = self.peers.get(&record.owner) else {
            return Some(OwnerFault::Unresponsive);
        };
        if !self.is_responsive(peer) {
            return Some(OwnerFault::Unresponsive);
        }
        let omitted = peer.has_reported && !peer.owned.contains_key(database);
        omitted.then_some(OwnerFault::Omitted)
    }

    /// Restarts the wait before the next attempt to take a database, after an
    /// attempt failed or ownership was lost.
    pub fn clear_vacancy(&mut self, database: &str) {
        self.vacant_since.remove(database);
    }

    /// Whether the next search for better placed owners of this instance's
    /// databases is due. The interval limits the cost: each search examines all
    /// instances.
    pub fn balance_is_due(&mut self, now: Instant) -> bool {
        let due = self
            .balanced_at
            .is_none_or(|at| now.saturating_duration_since(at) >= self.timing.balance_interval);
        if due {
            self.balanced_at = Some(now);
        }
        due || self.me.leaving
    }

    /// Returns the instance to which this one should hand over a database that it
    /// owns, if another one is placed better.
    #[must_use]
    pub fn better_owner(&self, now: Instant, view: &DatabaseView) -> Option<InstanceId> {
        let is_stable = self
            .changed_at
            .or(self.started_at)
            .is_some_and(|at| now.saturating_duration_since(at) >= self.timing.rebalance_after);
        if !is_stable && !self.me.leaving {
            return None;
        }
        let best = self.succession.best(&view.id, view.preferred_domain.as_ref())?;
        let reported = self.peers.get(&best).is_some_and(|peer| peer.has_reported);
        (best != self.me.id && reported).then_some(best)
    }
}

/// Why a database needs a new owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OwnerFault {
    /// It has no known owner.
    Vacant,
    /// The owner is unresponsive or no longer a member.
    Unresponsive,
    /// The owner responds, but its heartbeats no longer list the database.
    Omitted,
}

/// Properties of a database that decide which instance should own it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DatabaseView {
    /// Name of the database.
    pub id: DatabaseId,
    /// Failure domain of its primary, or of its first server. Instances in this
    /// domain are preferred as owners.
    pub preferred_domain: Option<FailureDomainId>,
}
