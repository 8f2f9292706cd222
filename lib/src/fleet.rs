//! Which instances there are, and which of them are alive.
//!
//! Each instance has a record in the platform's store. Nothing there expires
//! by itself, so instances watch each other: each sends heartbeats to the next
//! few in a ring of all names, and removes the record of one that stays
//! silent. The cost does not grow with the number of instances.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::id::FailureDomainId;
use crate::id::GroupId;
use crate::id::InstanceId;
use crate::moment::Moment;
use crate::placement::stable_hash;

/// What an instance says of itself in the platform's store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceRecord {
    /// Its name.
    pub id: InstanceId,
    /// Tells this run of the program from earlier ones of the same name.
    pub life: u64,
    /// Where other instances reach it.
    pub peer_address: SocketAddr,
    /// Where it runs.
    pub failure_domain: FailureDomainId,
    /// Its share of a processor, in thousandths of a core.
    pub capacity_millicores: u32,
}

/// Instances that each one sends heartbeats to. Three would bear the loss of
/// two neighbours at the same time; more make the count of live instances
/// true sooner where fleets are small.
const WATCHED: usize = 8;

/// An instance that did not answer for this long does not count as alive.
/// Six heartbeats; longer than servers keep the connections of a dead caller
/// (3 s), so that what they held is free when the others take it over.
pub const UNREACHABLE_AFTER: Duration = Duration::from_millis(3_200);

/// The record of one that was silent for this long is removed. A frozen
/// instance usually wakes up before and finds its record in place.
const REMOVED_AFTER: Duration = Duration::from_secs(8);

/// An instance that reaches the store has written its record again within this time
/// after it came back from a copy: it learns of that with a heartbeat.
const RESTORED_AFTER: Duration = Duration::from_millis(1_500);

/// Relays of a failure domain, so that one can be lost.
const RELAYS_PER_DOMAIN: usize = 2;

/// Smaller fleets read the present state everywhere: a few calls cost little,
/// and nothing is learned a heartbeat later.
const RELAYS_FROM: usize = 15;

/// Time between two heartbeats to the same instance.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Clone, Debug)]
struct Member {
    record: InstanceRecord,
    /// When it last answered; its first sight counts as an answer.
    heard_at: Moment,
    leaving: bool,
    /// Connections that it wants, by group.
    demands: HashMap<GroupId, f64>,
    /// Since when a copy of the store lacks its record.
    unlisted_since: Option<Moment>,
}

/// Those with the highest score are the relays of their failure domain.
fn relay_score(id: &str) -> u64 {
    stable_hash(&["relay", id])
}

/// The instances.
#[derive(Clone, Debug)]
pub struct Fleet {
    me: InstanceId,
    members: BTreeMap<InstanceId, Member>,
}

impl Fleet {
    /// A fleet of which only this instance is known.
    #[must_use]
    pub fn new(me: InstanceId) -> Self {
        Self { me, members: BTreeMap::new() }
    }

    /// A record was listed or changed.
    pub fn present(&mut self, now: Moment, record: InstanceRecord) {
        if record.id == self.me {
            return;
        }
        if let Some(known) = self.members.get_mut(&record.id) {
            known.unlisted_since = None;
            if known.record == record {
                return;
            }
        }
        let id = record.id.clone();
        let member = Member {
            record,
            heard_at: now,
            leaving: false,
            demands: HashMap::new(),
            unlisted_since: None,
        };
        self.members.insert(id, member);
    }

    /// A record is gone.
    pub fn removed(&mut self, id: &str) {
        self.members.remove(id);
    }

    /// These are all records.
    pub fn replace(&mut self, now: Moment, records: Vec<InstanceRecord>) {
        let is_listed = |id: &InstanceId| records.iter().any(|record| record.id == *id);
        self.members.retain(|id, member| member.unlisted_since.is_some() || is_listed(id));
        for record in records {
            self.present(now, record);
        }
    }

    /// These are all records of a copy of the store, which lacks the latest ones.
    /// Instances that it does not list may be alive, and write their records again; until
    /// then they hold connections and vote as before.
    pub fn replace_after_store_restore(&mut self, now: Moment, records: Vec<InstanceRecord>) {
        let is_listed = |id: &InstanceId| records.iter().any(|record| record.id == *id);
        for (id, member) in &mut self.members {
            if !is_listed(id) {
                member.unlisted_since.get_or_insert(now);
            }
        }
        self.replace(now, records);
    }

    /// Another instance told of these records. Those that the store does not list are
    /// taken for lacking in its copy.
    pub fn add_unlisted(&mut self, now: Moment, records: Vec<InstanceRecord>) {
        for record in records {
            let id = record.id.clone();
            if self.members.contains_key(&id) {
                continue;
            }
            self.present(now, record);
            if let Some(member) = self.members.get_mut(&id) {
                member.unlisted_since = Some(now);
            }
        }
    }

    /// Forgets instances that a copy of the store lacked, and whose records nobody has
    /// written again.
    pub fn forget_unlisted(&mut self, now: Moment) {
        let over = |since: Moment| since + REMOVED_AFTER <= now;
        self.members.retain(|_, member| !member.unlisted_since.is_some_and(over));
    }

    /// Instances whose record this one should write again: it watches them, they are
    /// alive and do not do it themselves, since they do not reach the store; and it is
    /// the one chosen for it.
    #[must_use]
    pub fn restorable(&self, now: Moment) -> Vec<InstanceRecord> {
        let unlisted = |record: &InstanceRecord| {
            let member = self.members.get(&record.id);
            let heard = member.filter(|member| member.heard_at + UNREACHABLE_AFTER > now);
            let since = heard.and_then(|member| member.unlisted_since);
            since.is_some_and(|since| since + RESTORED_AFTER <= now)
        };
        let mut records = self.watched();
        records.retain(unlisted);
        let live = if records.is_empty() { Vec::new() } else { self.live(now) };
        records.retain(|record| self.is_chosen_for(record, &live));
        records
    }

    /// Whether this instance is the one of those alive that changes another one's record.
    fn is_chosen_for(&self, record: &InstanceRecord, live: &[InstanceId]) -> bool {
        let others = live.iter().filter(|id| **id != record.id);
        others.max_by_key(|id| stable_hash(&[&record.id, id])) == Some(&self.me)
    }

    /// An instance answered, or asked something.
    pub fn heard(&mut self, now: Moment, id: &str, leaving: bool) {
        if let Some(member) = self.members.get_mut(id) {
            member.heard_at = now;
            member.leaving = leaving;
        }
    }

    /// What an instance wants of the connections to each group.
    pub fn set_demands(&mut self, id: &str, demands: HashMap<GroupId, f64>) {
        if let Some(member) = self.members.get_mut(id) {
            member.demands = demands;
        }
    }

    /// What other instances that hold connections to a group want of them.
    #[must_use]
    pub fn demands(&self, group: &GroupId, holders: &[InstanceId]) -> Vec<f64> {
        let demand = |id: &InstanceId| {
            let member = self.members.get(id)?;
            member.demands.get(group).copied()
        };
        holders.iter().map(|id| demand(id).unwrap_or(0.0)).collect()
    }

    /// Instances to send heartbeats to: the next ones in the ring of names.
    #[must_use]
    pub fn watched(&self) -> Vec<InstanceRecord> {
        let after = self.members.range(self.me.clone()..).map(|(_, member)| member);
        let before = self.members.range(..self.me.clone()).map(|(_, member)| member);
        after.chain(before).take(WATCHED).map(|member| member.record.clone()).collect()
    }

    /// All instances that count as alive, this one included, in the order of
    /// their names. Those that nobody here sends heartbeats to are taken for alive
    /// as long as they have a record.
    ///
    /// While most others are silent, it is more likely that this instance is
    /// cut off than that they are all gone. They all count then, and keep their
    /// connections.
    #[must_use]
    pub fn live(&self, now: Moment) -> Vec<InstanceId> {
        let watched = if self.is_cut_off(now) { Vec::new() } else { self.watched() };
        let silent = |member: &Member| {
            member.heard_at + UNREACHABLE_AFTER <= now
                && watched.iter().any(|record| record.id == member.record.id)
        };
        let mut live: Vec<_> = self
            .members
            .values()
            .filter(|member| !silent(member))
            .map(|member| member.record.id.clone())
            .collect();
        live.push(self.me.clone());
        live.sort_unstable();
        live
    }

    /// Live instances that do not leave, for duties.
    #[must_use]
    pub fn staying(&self, now: Moment) -> Vec<InstanceId> {
        let leaving = |id: &InstanceId| self.members.get(id).is_some_and(|member| member.leaving);
        self.live(now).into_iter().filter(|id| !leaving(id)).collect()
    }

    /// Whether this instance reads configuration and servers from the store as
    /// they are now. The others read what may be seconds old, at a tenth of the
    /// price, and learn what is newer from the relays with heartbeats.
    ///
    /// With 74 instances that all read the present state, calls to the store
    /// cost 0.08 of the worth of a day.
    #[must_use]
    pub fn is_relay(&self, now: Moment, failure_domain: &FailureDomainId) -> bool {
        if self.members.len() < RELAYS_FROM {
            return true;
        }
        let mine = relay_score(&self.me);
        let before = self.staying(now).into_iter().filter(|id| {
            let near = self.members.get(id);
            let near = near.is_some_and(|member| member.record.failure_domain == *failure_domain);
            near && relay_score(id) > mine
        });
        before.count() < RELAYS_PER_DOMAIN
    }

    /// Other instances that read configuration and servers from the store as they
    /// are now, one of each failure domain.
    #[must_use]
    pub fn relays(&self, now: Moment) -> Vec<InstanceRecord> {
        let mut first: BTreeMap<&FailureDomainId, &InstanceRecord> = BTreeMap::new();
        let staying = self.staying(now);
        for record in staying.iter().filter_map(|id| self.record(id)) {
            let best = first.entry(&record.failure_domain).or_insert(record);
            if relay_score(&record.id) > relay_score(&best.id) {
                *best = record;
            }
        }
        first.into_values().cloned().collect()
    }

    /// Record of another instance.
    #[must_use]
    pub fn record(&self, id: &str) -> Option<&InstanceRecord> {
        self.members.get(id).map(|member| &member.record)
    }

    /// Records of all other instances.
    pub fn others(&self) -> impl Iterator<Item = &InstanceRecord> {
        self.members.values().map(|member| &member.record)
    }

    /// This instance stood still itself: that nobody answered meanwhile says
    /// nothing of the others.
    pub fn process_paused(&mut self, now: Moment) {
        for member in self.members.values_mut() {
            member.heard_at = now;
        }
    }

    fn is_cut_off(&self, now: Moment) -> bool {
        let watched = self.watched();
        let silent = |record: &&InstanceRecord| {
            let member = self.members.get(&record.id);
            member.is_some_and(|member| member.heard_at + UNREACHABLE_AFTER <= now)
        };
        watched.iter().filter(silent).count() * 2 > watched.len()
    }

    /// Instances whose record this one should remove: it watches them, they
    /// were silent for long, and it is the one chosen for it.
    #[must_use]
    pub fn removable(&self, now: Moment) -> Vec<InstanceRecord> {
        if self.is_cut_off(now) {
            return Vec::new();
        }
        let live = self.live(now);
        let long_silent = |record: &InstanceRecord| {
            let member = self.members.get(&record.id);
            member.is_some_and(|member| member.heard_at + REMOVED_AFTER <= now)
        };
        let watched = self.watched().into_iter();
        watched.filter(|record| long_silent(record) && self.is_chosen_for(record, &live)).collect()
    }
}
