//! The fleet: all instances with a record in the platform's store, and which of
//! them respond.
//!
//! Records in the store do not expire, so instances watch each other. Each
//! instance sends heartbeats to the next few instances in a ring of all names, and
//! removes the record of one that stays unresponsive. The cost for each instance
//! does not grow with the size of the fleet.
//!
//! After a failure, the store may be restored from a backup that lacks the latest
//! records. Instances without a record in it are kept for a while and written
//! again.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::id::FailureDomainId;
use crate::id::GroupId;
use crate::id::InstanceId;
use crate::moment::Moment;
use crate::placement::stable_hash;

/// Record of an instance in the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct InstanceRecord {
    /// Name of the instance.
    pub id: InstanceId,
    /// Number of the incarnation, that is, of one run of the program between start
    /// and exit. It distinguishes the run from others of the same name.
    pub life: u64,
    /// Address for other instances.
    pub peer_address: SocketAddr,
    /// Failure domain in which it runs.
    pub failure_domain: FailureDomainId,
    /// Its share of processor time, in thousandths of a core.
    pub capacity_millicores: u32,
}

/// Number of instances that each one sends heartbeats to. Three would tolerate the
/// loss of two neighbours in the ring at the same time. In small fleets, more make
/// the list of live instances correct sooner.
const WATCHED_INSTANCES: usize = 8;

/// Numbers of places in a ring of `instances` that this instance is ahead of others to which it
/// sends heartbeats so that news spread: half the ring, a quarter, and so on down to the
/// watched instances. The number grows with the logarithm of the fleet.
fn distant_places(instances: usize) -> impl Iterator<Item = usize> {
    let half = instances / 2;
    std::iter::successors(Some(half), |distance| Some(distance / 2))
        .take_while(|distance| *distance > WATCHED_INSTANCES)
}

/// Rounds of heartbeats in which news of one instance reach all `instances`, when each tells
/// its news to the instances to which it sends heartbeats and learns theirs from the replies.
#[must_use]
pub fn heartbeat_rounds(instances: usize) -> u32 {
    let near = 1..=WATCHED_INSTANCES.min(instances.saturating_sub(1));
    let ahead: Vec<_> = near.chain(distant_places(instances)).collect();
    let mut is_reached = vec![false; instances];
    let mut newest = vec![0];
    let mut rounds = 0;
    while !newest.is_empty() {
        let next = newest.iter().flat_map(|place| {
            ahead.iter().flat_map(move |distance| {
                [(place + distance) % instances, (place + instances - distance) % instances]
            })
        });
        let mut reached = Vec::new();
        for place in next {
            if place != 0 && !std::mem::replace(&mut is_reached[place], true) {
                reached.push(place);
            }
        }
        rounds += u32::from(!reached.is_empty());
        newest = reached;
    }
    rounds
}

/// Time without an answer after which a watched instance no longer counts as live:
/// more than six heartbeats. It is longer than servers keep the connections of a
/// failed client (3 s), so that these are free when other instances take over.
pub const UNREACHABLE_AFTER: Duration = Duration::from_millis(3_200);

/// Time without an answer after which the record of an instance is removed. A
/// paused instance usually continues earlier than that and finds its record in
/// place. It is also the time after which an instance whose record is missing since
/// a restore of the store is removed.
const REMOVE_AFTER: Duration = Duration::from_secs(8);

/// Time after a restore of the store within which an instance that reaches the
/// store has written its own record again. Heartbeats announce the restore.
const RESTORE_AFTER: Duration = Duration::from_millis(1_500);

/// Largest number of relays in each failure domain (see [`Fleet::is_relay`]). With two,
/// one can fail.
const MAX_RELAYS_PER_DOMAIN: usize = 2;

/// Number of relays in all failure domains together from which on each domain needs no second
/// one: instances whose relay fails get the records from other domains.
const MIN_RELAYS: usize = 4;

/// Number of relays in each of `domains` failure domains.
fn relays_per_domain(domains: usize) -> usize {
    MIN_RELAYS.div_ceil(domains.max(1)).min(MAX_RELAYS_PER_DOMAIN)
}

/// Number of other instances from which on only relays read the current state. In
/// a smaller fleet every instance does: a few calls cost little, and no instance
/// gets changes a heartbeat later than others.
pub const MIN_OTHERS_FOR_RELAYS: usize = 15;

/// Interval between two heartbeats to the same instance.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Another instance of the fleet.
#[derive(Clone, Debug)]
struct Member {
    record: InstanceRecord,
    /// When the last message from it arrived, or its record was listed for the
    /// first time or with changes.
    last_contact_at: Moment,
    leaving: bool,
    /// Number of connections that it wants, by group.
    demands: HashMap<GroupId, f64>,
    /// Since when its record is missing in a restored store, if it is.
    unlisted_since: Option<Moment>,
}

/// Rank of an instance as a relay; those with the lowest ranks are the relays of their
/// failure domain. Relays send records to many others, so those with the largest capacity
/// come first.
fn relay_rank(record: &InstanceRecord) -> (Reverse<u32>, Reverse<u64>) {
    let score = stable_hash(&["relay", &record.id]);
    (Reverse(record.capacity_millicores), Reverse(score))
}

impl Member {
    /// Whether it has not answered for so long that it does not count as live if it is watched.
    fn is_unresponsive(&self, now: Moment) -> bool {
        self.last_contact_at + UNREACHABLE_AFTER <= now
    }
}

/// Which instances are eligible for new duties, as a value that differs whenever they do.
/// Comparing two is much cheaper than the list in a large fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EligibleStamp {
    changes: u64,
    unresponsive: Vec<InstanceId>,
}

/// The fleet as one instance observes it.
#[derive(Clone, Debug)]
pub struct Fleet {
    me: InstanceRecord,
    members: BTreeMap<InstanceId, Member>,
    /// Number of changes of records and of which instances are leaving.
    changes: u64,
    /// Whether this instance is a relay, and from which instances that was determined.
    relay_role: Option<(EligibleStamp, bool)>,
    /// Rounds in which news reach all instances, and for how many that was determined.
    heartbeat_rounds: (usize, u32),
}

impl Fleet {
    /// Creates a fleet in which only this instance is known.
    #[must_use]
    pub fn new(me: InstanceRecord) -> Self {
        Self {
            me,
            members: BTreeMap::new(),
            changes: 0,
            relay_role: None,
            heartbeat_rounds: (1, 0),
        }
    }

    /// Number of changes of records and of which instances are leaving. As long as it stays
    /// the same, so do [`Fleet::others`].
    #[must_use]
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Adds or updates a record that the store lists.
    pub fn upsert(&mut self, now: Moment, record: InstanceRecord) {
        if record.id == self.me.id {
            return;
        }
        if let Some(known) = self.members.get_mut(&record.id) {
            known.unlisted_since = None;
            if known.record == record {
                return;
            }
        }
        self.changes += 1;
        let id = record.id.clone();
        let member = Member {
            record,
            last_contact_at: now,
            leaving: false,
            demands: HashMap::new(),
            unlisted_since: None,
        };
        self.members.insert(id, member);
    }

    /// Removes an instance whose record was removed from the store.
    pub fn remove(&mut self, id: &str) {
        if self.members.remove(id).is_some() {
            self.changes += 1;
        }
    }

    /// Replaces all records by those that the store lists. Instances that are
    /// missing since a restore of the store are kept.
    pub fn replace(&mut self, now: Moment, records: Vec<InstanceRecord>) {
        let listed: HashSet<_> = records.iter().map(|record| record.id.clone()).collect();
        self.retain(|id, member| member.unlisted_since.is_some() || listed.contains(id));
        for record in records {
            self.upsert(now, record);
        }
    }

    /// Replaces all records by those of a store that was restored from a backup,
    /// which may lack the latest records. Known instances that it does not list are
    /// kept: they may still run and write their records again. Until then they hold
    /// connections and vote as before.
    pub fn replace_after_store_restore(&mut self, now: Moment, records: Vec<InstanceRecord>) {
        let listed: HashSet<_> = records.iter().map(|record| record.id.clone()).collect();
        for (id, member) in &mut self.members {
            if !listed.contains(id) {
                member.unlisted_since.get_or_insert(now);
            }
        }
        self.replace(now, records);
    }

    fn retain(&mut self, is_kept: impl Fn(&InstanceId, &Member) -> bool) {
        let before = self.members.len();
        self.members.retain(|id, member| is_kept(id, member));
        self.changes += u64::from(self.members.len() < before);
    }

    /// Adds records that another instance sent. Those that the store does not list
    /// count as missing since a restore of the store.
    pub fn add_unlisted(&mut self, now: Moment, records: Vec<InstanceRecord>) {
        for record in records {
            let id = record.id.clone();
            if self.members.contains_key(&id) {
                continue;
            }
            self.upsert(now, record);
            if let Some(member) = self.members.get_mut(&id) {
                member.unlisted_since = Some(now);
            }
        }
    }

    /// Removes instances whose records are missing since a restore of the store and
    /// were not written again in time.
    pub fn remove_unlisted(&mut self, now: Moment) {
        let expired = |since: Moment| since + REMOVE_AFTER <= now;
        self.retain(|_, member| !member.unlisted_since.is_some_and(expired));
    }

    /// Returns the records that this instance should write again after a restore of
    /// the store: those of watched instances that respond but did not write their
    /// own record, since they do not reach the store. Of all live instances, only
    /// the one chosen for a record writes it.
    #[must_use]
    pub fn restorable(&self, now: Moment) -> Vec<InstanceRecord> {
        let unlisted = |record: &InstanceRecord| {
            let member = self.members.get(&record.id);
            let responsive =
                member.filter(|member| member.last_contact_at + UNREACHABLE_AFTER > now);
            let since = responsive.and_then(|member| member.unlisted_since);
            since.is_some_and(|since| since + RESTORE_AFTER <= now)
        };
        let mut records = self.watched();
        records.retain(unlisted);
        let live = if records.is_empty() { Vec::new() } else { self.live(now) };
        records.retain(|record| self.is_chosen_for(record, &live));
        records
    }

    /// Whether this instance is the one among the live ones that changes the record
    /// of another instance.
    fn is_chosen_for(&self, record: &InstanceRecord, live: &[InstanceId]) -> bool {
        let others = live.iter().filter(|id| **id != record.id);
        others.max_by_key(|id| stable_hash(&[&record.id, id])) == Some(&self.me.id)
    }

    /// Records that a message from an instance arrived, and whether the instance is
    /// leaving.
    pub fn record_message(&mut self, now: Moment, id: &str, leaving: bool) {
        if let Some(member) = self.members.get_mut(id) {
            member.last_contact_at = now;
            self.changes += u64::from(member.leaving != leaving);
            member.leaving = leaving;
        }
    }

    /// Records how many connections to each group an instance wants.
    pub fn set_demands(&mut self, id: &str, demands: HashMap<GroupId, f64>) {
        if let Some(member) = self.members.get_mut(id) {
            member.demands = demands;
        }
    }

    /// Returns how many connections to a group each of `holders` wants; 0 for an
    /// instance without a known demand.
    #[must_use]
    pub fn demands(&self, group: &GroupId, holders: &[InstanceId]) -> Vec<f64> {
        let demand = |id: &InstanceId| {
            let member = self.members.get(id)?;
            member.demands.get(group).copied()
        };
        holders.iter().map(|id| demand(id).unwrap_or(0.0)).collect()
    }

    /// Returns the instances that this one sends heartbeats to: the next ones in
    /// the ring of names.
    #[must_use]
    pub fn watched(&self) -> Vec<InstanceRecord> {
        self.watched_members().map(|member| member.record.clone()).collect()
    }

    fn watched_members(&self) -> impl Iterator<Item = &Member> {
        let after = self.members.range(self.me.id.clone()..).map(|(_, member)| member);
        let before = self.members.range(..self.me.id.clone()).map(|(_, member)| member);
        after.chain(before).take(WATCHED_INSTANCES)
    }

    /// Returns the instances to which this one sends heartbeats so that news spread in few
    /// rounds, in addition to those that it watches.
    ///
    /// In a ring in which each instance tells only the next few, news take a number of rounds
    /// in proportion to the fleet: 60 at 985 instances.
    #[must_use]
    pub fn distant_contacts(&self) -> Vec<InstanceRecord> {
        let after = self.members.range(self.me.id.clone()..);
        let before = self.members.range(..self.me.id.clone());
        let mut places: Vec<_> = distant_places(self.members.len() + 1).collect();
        let mut contacts = Vec::new();
        // The next instance is one place ahead.
        for (index, (_, member)) in after.chain(before).enumerate() {
            if places.last() == Some(&(index + 1)) {
                places.pop();
                contacts.push(member.record.clone());
            }
        }
        contacts
    }

    /// Rounds of heartbeats in which news reach all instances.
    pub fn heartbeat_rounds(&mut self) -> u32 {
        let instances = self.members.len() + 1;
        if self.heartbeat_rounds.0 != instances {
            self.heartbeat_rounds = (instances, heartbeat_rounds(instances));
        }
        self.heartbeat_rounds.1
    }

    /// The watched instances that do not count as live; none if most of them are
    /// unresponsive.
    fn unresponsive(&self, now: Moment) -> Vec<InstanceId> {
        if self.is_cut_off(now) {
            return Vec::new();
        }
        let unresponsive = self.watched_members().filter(|member| member.is_unresponsive(now));
        unresponsive.map(|member| member.record.id.clone()).collect()
    }

    /// Returns all instances that count as live, this one included, in the order of
    /// their names. An instance that this one does not watch counts as live as long
    /// as it has a record.
    ///
    /// If most of the watched instances are unresponsive, it is more likely that
    /// this instance is cut off than that all of them failed. All instances then
    /// count as live and keep their connections.
    #[must_use]
    pub fn live(&self, now: Moment) -> Vec<InstanceId> {
        let unresponsive = self.unresponsive(now);
        let mut live: Vec<_> =
            self.members.keys().filter(|id| !unresponsive.contains(id)).cloned().collect();
        let place = live.partition_point(|id| *id < self.me.id);
        live.insert(place, self.me.id.clone());
        live
    }

    /// Whether another instance is leaving as planned.
    #[must_use]
    pub fn is_leaving(&self, id: &str) -> bool {
        self.members.get(id).is_some_and(|member| member.leaving)
    }

    /// The present state of the instances that are eligible for new duties.
    #[must_use]
    pub fn eligible_stamp(&self, now: Moment) -> EligibleStamp {
        EligibleStamp { changes: self.changes, unresponsive: self.unresponsive(now) }
    }

    /// Returns the instances that are eligible for new duties: the live ones that are
    /// not leaving.
    #[must_use]
    pub fn eligible(&self, now: Moment) -> Vec<InstanceId> {
        self.live(now).into_iter().filter(|id| !self.is_leaving(id)).collect()
    }

    /// Whether this instance is a relay: it reads the current configuration and
    /// servers from the store and passes changes on with heartbeats. Other instances
    /// read a state that may be seconds old, at a tenth of the cost, and get newer
    /// changes from the relays.
    ///
    /// With 74 instances that all read the current state, the calls to the store became
    /// a noticeable part of the running cost (a share of 0.08).
    pub fn is_relay(&mut self, now: Moment) -> bool {
        if self.members.len() < MIN_OTHERS_FOR_RELAYS {
            return true;
        }
        let stamp = self.eligible_stamp(now);
        if let Some((known, is_relay)) = &self.relay_role
            && *known == stamp
        {
            return *is_relay;
        }
        let is_relay = self.determine_relay_role(now);
        self.relay_role = Some((stamp, is_relay));
        is_relay
    }

    fn determine_relay_role(&self, now: Moment) -> bool {
        let own_rank = relay_rank(&self.me);
        let domains: HashSet<_> = self.others().map(|record| &record.failure_domain).collect();
        let domains = domains.len() + usize::from(!domains.contains(&self.me.failure_domain));
        let others = self.eligible(now).into_iter().filter_map(|id| self.members.get(&id));
        let before = others.filter(|member| {
            member.record.failure_domain == self.me.failure_domain
                && relay_rank(&member.record) < own_rank
        });
        before.count() < relays_per_domain(domains)
    }

    /// Returns one relay of each failure domain, out of the other instances.
    #[must_use]
    pub fn relays(&self, now: Moment) -> Vec<InstanceRecord> {
        let mut first: BTreeMap<&FailureDomainId, &InstanceRecord> = BTreeMap::new();
        let eligible = self.eligible(now);
        for record in eligible.iter().filter_map(|id| self.record(id)) {
            let best = first.entry(&record.failure_domain).or_insert(record);
            if relay_rank(record) < relay_rank(best) {
                *best = record;
            }
        }
        first.into_values().cloned().collect()
    }

    /// Returns the record of another instance.
    #[must_use]
    pub fn record(&self, id: &str) -> Option<&InstanceRecord> {
        self.members.get(id).map(|member| &member.record)
    }

    /// Returns the records of all other instances.
    pub fn others(&self) -> impl Iterator<Item = &InstanceRecord> {
        self.members.values().map(|member| &member.record)
    }

    /// Restarts the time without an answer of all instances, after this process was
    /// paused: it could not process answers meanwhile, so their lack is no sign of a failure.
    pub fn process_paused(&mut self, now: Moment) {
        for member in self.members.values_mut() {
            member.last_contact_at = now;
        }
    }

    /// Whether more than half of the watched instances are unresponsive.
    fn is_cut_off(&self, now: Moment) -> bool {
        let watched = self.watched_members().count();
        let unresponsive = self.watched_members().filter(|member| member.is_unresponsive(now));
        unresponsive.count() * 2 > watched
    }

    /// Returns the records that this instance should remove: those of watched
    /// instances that did not answer for `REMOVE_AFTER`. Of all live instances, only
    /// the one chosen for a record removes it.
    #[must_use]
    pub fn removable(&self, now: Moment) -> Vec<InstanceRecord> {
        let long_unresponsive = |member: &&Member| member.last_contact_at + REMOVE_AFTER <= now;
        let lost: Vec<_> = self.watched_members().filter(long_unresponsive).collect();
        if lost.is_empty() || self.is_cut_off(now) {
            return Vec::new();
        }
        let live = self.live(now);
        let lost = lost.into_iter().map(|member| member.record.clone());
        lost.filter(|record| self.is_chosen_for(record, &live)).collect()
    }
}
