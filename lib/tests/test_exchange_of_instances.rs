//! Groups whose instances are all exchanged for others, as planned.

mod voting;

use std::collections::BTreeMap;
use std::time::Duration;

use chervilwharf_lib::id::InstanceId;
use chervilwharf_lib::id::Term;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::primary_lease::PrimaryLease;
use chervilwharf_lib::primary_lease::StoredLease;
use chervilwharf_lib::voter_change::PreferredVoters;
use chervilwharf_lib::voter_change::Presence;
use chervilwharf_lib::voter_change::VoterAction;
use chervilwharf_lib::voter_change::VoterChange;
use chervilwharf_lib::voter_change::needs_handover;
use chervilwharf_lib::voter_set::VoterSet;
use voting::lease_of;

const TERM: Term = 1;
const STEP_MS: u64 = 50;
const HEARTBEAT_MS: u64 = 500;

/// Time between the request to stop and the removal of the record, without a handover.
const STOP_MS: u64 = 4_000;

/// Latest end of a planned stop: 92 % of the grace of 6 s.
const LATEST_END_MS: u64 = 5_500;

/// An instance that lacks the lease refuses requests after this time; before, they wait.
const REFUSED_AFTER_MS: u64 = 350;

fn at(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

struct Instance {
    lease: PrimaryLease,
    change: VoterChange,
    /// When it is requested to stop.
    stops_at_ms: Option<u64>,
}

impl Instance {
    fn is_leaving(&self, now_ms: u64) -> bool {
        self.stops_at_ms.is_some_and(|stops_at_ms| stops_at_ms <= now_ms)
    }
}

/// Instances that reach each other and the store.
struct World {
    now_ms: u64,
    instances: BTreeMap<InstanceId, Instance>,
    stored: VoterSet,
    /// Whether leaving instances count as others do until they have ended.
    ignores_leaving: bool,
    /// Whether voters were written since the last heartbeats.
    has_new_voters: bool,
    changes: usize,
    /// Longest time for which no instance had a lease.
    longest_gap_ms: u64,
    gap_ms: u64,
}

impl World {
    /// A group with `count` voters that have been running for some time.
    fn new(count: usize) -> Self {
        let ids: Vec<InstanceId> = (0..count).map(|number| format!("old{number}").into()).collect();
        let stored = VoterSet::first(0, ids.clone());
        let mut world = Self {
            now_ms: 1_000,
            instances: BTreeMap::new(),
            stored,
            ignores_leaving: false,
            has_new_voters: false,
            changes: 0,
            longest_gap_ms: 0,
            gap_ms: 0,
        };
        for id in ids {
            world.start(id, None);
        }
        world.exchange_heartbeats();
        world
    }

    /// Starts an instance, which reads the voters in the store.
    fn start(&mut self, id: InstanceId, stops_at_ms: Option<u64>) {
        let lease = lease_of(&id, &self.stored);
        self.instances.insert(id, Instance { lease, change: VoterChange::default(), stops_at_ms });
    }

    fn stop_at(&mut self, number: usize, at_ms: u64) {
        let id = format!("old{number}");
        self.instances.get_mut(&*id).expect("it runs").stops_at_ms = Some(at_ms);
    }

    fn run_until(&mut self, until_ms: u64) {
        while self.now_ms < until_ms {
            self.now_ms += STEP_MS;
            // Later voters make an instance renew its lease at once.
            if self.now_ms % HEARTBEAT_MS == 0 || std::mem::take(&mut self.has_new_voters) {
                self.exchange_heartbeats();
            }
            self.drive_changes();
            self.end_stopped();
            let now = at(self.now_ms);
            let is_used = self.instances.values().any(|one| one.lease.holds(now, TERM));
            self.gap_ms = if is_used { 0 } else { self.gap_ms + STEP_MS };
            self.longest_gap_ms = self.longest_gap_ms.max(self.gap_ms);
        }
    }

    fn exchange_heartbeats(&mut self) {
        let now = at(self.now_ms);
        let ids: Vec<_> = self.instances.keys().cloned().collect();
        for from in &ids {
            let version = self.instances[from].lease.voters().version;
            for to in ids.iter().filter(|to| *to != from) {
                let other = &mut self.instances.get_mut(to).expect("it runs").lease;
                if let Some(retired) = other.grant(now, from, TERM, version) {
                    let lease = &mut self.instances.get_mut(from).expect("it runs").lease;
                    lease.granted(to, now, retired, 0, version);
                }
            }
        }
        // Whose lease ends before the next answers reads the store.
        for one in self.instances.values_mut() {
            let soon = now + Duration::from_millis(HEARTBEAT_MS);
            if !one.lease.holds(soon, TERM) {
                let read = StoredLease { voters: self.stored.clone(), ..StoredLease::default() };
                one.lease.record_store_grant(now, now, 0, &read);
            }
        }
    }

    fn drive_changes(&mut self) {
        let (now, now_ms) = (at(self.now_ms), self.now_ms);
        let ignores_leaving = self.ignores_leaving;
        let leaving = |one: &Instance| one.is_leaving(now_ms);
        let driver = self.instances.iter().find(|(_, one)| !leaving(one));
        let Some(driver) = driver.map(|(id, _)| id.clone()) else {
            return;
        };
        let recorded: Vec<_> = self.instances.keys().cloned().collect();
        let gone: Vec<_> =
            recorded.iter().filter(|id| leaving(&self.instances[*id])).cloned().collect();
        let is_leaving = |id: &InstanceId| !ignores_leaving && gone.contains(id);
        let staying: Vec<_> = recorded.iter().filter(|id| !is_leaving(id)).cloned().collect();
        let lists = PreferredVoters { recorded: &recorded, staying: &staying };
        let presence = |id: &InstanceId| match recorded.contains(id) {
            true if is_leaving(id) => Presence::Leaving,
            true => Presence::Staying,
            false => Presence::Absent,
        };
        let known = self.stored.clone();
        let change = &mut self.instances.get_mut(&driver).expect("it runs").change;
        match change.tick(now, 0, &known, lists, presence) {
            Some(VoterAction::Write(next)) => {
                self.changes += 1;
                self.has_new_voters = true;
                self.stored = next;
                for one in self.instances.values_mut() {
                    one.lease.adopt_voters(now, &self.stored);
                }
            }
            Some(VoterAction::RequestAcknowledgements) => {
                for voter in known.members() {
                    let Some(one) = self.instances.get_mut(voter) else {
                        continue;
                    };
                    if let Some(retired) = one.lease.acknowledge_voters(now, &known) {
                        let driver = self.instances.get_mut(&driver).expect("it runs");
                        driver.change.acknowledged(now, &known, voter, retired);
                    }
                }
            }
            None => {}
        }
    }

    fn end_stopped(&mut self) {
        let (now_ms, stored, ignores) = (self.now_ms, self.stored.clone(), self.ignores_leaving);
        let leaving: Vec<_> =
            self.instances.iter().map(|(id, one)| (id.clone(), one.is_leaving(now_ms))).collect();
        let presence = |id: &InstanceId| match leaving.iter().find(|(known, _)| known == id) {
            Some((_, true)) => Presence::Leaving,
            Some((_, false)) => Presence::Staying,
            None => Presence::Absent,
        };
        let has_staying = leaving.iter().any(|(_, leaves)| !leaves);
        let waits = !ignores && has_staying && needs_handover(&stored, presence);
        self.instances.retain(|id, one| {
            let stopping_ms = one.stops_at_ms.map_or(0, |since| now_ms.saturating_sub(since));
            let waits = waits && stored.contains(id) && stopping_ms < LATEST_END_MS;
            stopping_ms < STOP_MS || waits
        });
    }

    /// Exchanges all `count` instances for three others, one every `gap_ms`.
    fn exchange_all(&mut self, count: usize, gap_ms: u64) {
        self.run_until(4_000);
        let total_ms = gap_ms * (count as u64 - 1);
        for number in 0..count {
            self.stop_at(number, 4_000 + gap_ms * number as u64);
        }
        // The new ones start while the last of the former ones are still there.
        self.run_until(4_000 + total_ms.saturating_sub(2_000) + 1_000);
        for number in 0..3 {
            self.start(format!("new{number}").into(), None);
        }
        self.run_until(4_000 + total_ms + 12_000);
    }

    fn is_served_by_new(&self) -> bool {
        let now = at(self.now_ms);
        let mut new = self.instances.iter().filter(|(id, _)| id.starts_with("new"));
        new.all(|(_, one)| one.lease.holds(now, TERM)) && !self.stored.is_joint()
    }
}

/// Guards against a group that nobody serves any more after all instances were exchanged: each
/// change of the instances defers the change of voters until the former ones are gone.
#[test]
fn test_group_is_served_throughout_a_planned_exchange_of_all_instances_at_any_pace() {
    for count in [2, 3, 4, 6, 7, 8] {
        for gap_ms in [0, 300, 700, 1_000, 1_300, 2_000, 3_000, 5_000, 9_000] {
            let mut world = World::new(count);
            world.exchange_all(count, gap_ms);
            assert!(world.is_served_by_new(), "{count} instances, one every {gap_ms} ms");
            let gap = world.longest_gap_ms;
            let gap = format!("{count} instances, one every {gap_ms} ms: no lease for {gap} ms");
            assert!(world.longest_gap_ms < REFUSED_AFTER_MS, "{gap}");
        }
    }
}

/// Guards against a check that could not notice that.
#[test]
fn test_voters_that_count_until_they_have_ended_are_detected() {
    let mut world = World::new(7);
    world.ignores_leaving = true;
    world.exchange_all(7, 2_000);
    assert!(!world.is_served_by_new());
}

/// Guards against changes of voters for each instance that restarts while enough others stay.
#[test]
fn test_instances_that_restart_one_after_the_other_cause_no_change_of_voters() {
    let mut world = World::new(6);
    for number in 0..6 {
        let at_ms = world.now_ms;
        world.stop_at(number, at_ms);
        world.run_until(at_ms + STOP_MS + 1_000);
        world.start(format!("old{number}").into(), None);
        world.run_until(at_ms + STOP_MS + 2_000);
    }
    assert_eq!(world.changes, 0);
    assert_eq!(world.longest_gap_ms, 0);
}
