//! Changes of the voters on keepers while the instances of a large fleet are restarted in series.

use std::net::SocketAddr;
use std::time::Duration;

use chervilwharf_lib::fleet::InstanceRecord;
use chervilwharf_lib::id::InstanceId;
use chervilwharf_lib::keeper_lease::ACCOUNT_SHARDS;
use chervilwharf_lib::keeper_lease::preferred_keeper_voters;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::voter_change::PreferredVoters;
use chervilwharf_lib::voter_change::Presence;
use chervilwharf_lib::voter_change::VoterAction;
use chervilwharf_lib::voter_change::VoterChange;
use chervilwharf_lib::voter_set::VoterSet;

const INSTANCES: usize = 67;
const STEP_MS: usize = 100;

/// Time from the request to stop to the removal of the record.
const STOP_MS: u64 = 4_000;

/// Time until the restarted instance has a record again.
const RESTART_MS: u64 = 1_000;

/// Time after which voters acknowledge a set that was written.
const ACKNOWLEDGED_AFTER_MS: u64 = 1_700;

fn at(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

fn instance(number: usize) -> InstanceRecord {
    InstanceRecord {
        id: format!("i{number}").into(),
        life: 1,
        peer_address: SocketAddr::from(([127, 0, 0, 1], 1)),
        failure_domain: "a".into(),
        capacity_millicores: 120,
    }
}

/// When each instance is requested to stop: one every 2 s, and beside that 31 others, three every
/// 1.2 s, as an operator does who restarts two parts of a fleet at the same time.
fn stops_ms() -> Vec<u64> {
    let mut stops: Vec<_> = (0..INSTANCES as u64).map(|number| 2_000 * number).collect();
    for (place, number) in (INSTANCES - 31..INSTANCES).enumerate() {
        stops[number] = 5_000 + 1_200 * (place as u64 / 3);
    }
    stops
}

fn presence_at(stop_ms: u64, ms: u64) -> Presence {
    match ms.checked_sub(stop_ms) {
        Some(since) if since < STOP_MS => Presence::Leaving,
        Some(since) if since < STOP_MS + RESTART_MS => Presence::Absent,
        _ => Presence::Staying,
    }
}

/// Whether sets are written for a shard, and whether they have to be: at some time no majority of
/// the first voters stays.
fn changes(shard: u32, all: &[InstanceRecord], stops_ms: &[u64]) -> (bool, bool) {
    let first = preferred_keeper_voters(shard, all).into_iter().map(|record| record.id).collect();
    let mut voters = VoterSet::first(0, first);
    let first_voters = voters.clone();
    let (mut change, mut written_ms) = (VoterChange::default(), 0);
    let (mut is_changed, mut has_to_change) = (false, false);
    for ms in (0..150_000).step_by(STEP_MS) {
        let present = |record: &InstanceRecord| {
            let number = all.iter().position(|other| other.id == record.id).expect("it exists");
            presence_at(stops_ms[number], ms)
        };
        let preferred = |counts: &dyn Fn(Presence) -> bool| {
            let counted = all.iter().filter(|record| counts(present(record)));
            let counted: Vec<_> = counted.cloned().collect();
            let preferred = preferred_keeper_voters(shard, &counted).into_iter();
            let mut ids: Vec<InstanceId> = preferred.map(|record| record.id).collect();
            ids.sort_unstable();
            ids
        };
        let recorded = preferred(&|presence| presence != Presence::Absent);
        let staying = preferred(&|presence| presence == Presence::Staying);
        let presence = |id: &InstanceId| {
            let record = all.iter().find(|record| record.id == *id).expect("it exists");
            present(record)
        };
        has_to_change |= !first_voters.has_majority(|id| presence(id) == Presence::Staying);
        if voters.is_joint() && written_ms + ACKNOWLEDGED_AFTER_MS <= ms {
            let members: Vec<_> = voters.members().cloned().collect();
            for id in members.iter().filter(|id| presence(id) != Presence::Absent) {
                change.acknowledged(at(ms), &voters, id, 0);
            }
        }
        let lists = PreferredVoters { recorded: &recorded, staying: &staying };
        if let Some(VoterAction::Write(next)) = change.tick(at(ms), 0, &voters, lists, presence) {
            (voters, written_ms) = (next, ms);
            is_changed = true;
        }
    }
    (is_changed, has_to_change)
}

/// Guards against changes of voters that are not needed, each of which costs the accounts of a
/// shard a part of their limits: many instances leave at the same time, and restart.
#[test]
fn test_restarts_in_series_change_the_voters_only_where_no_majority_stays() {
    let all: Vec<_> = (0..INSTANCES).map(instance).collect();
    let stops_ms = stops_ms();
    let all_changes = (0..ACCOUNT_SHARDS).map(|shard| changes(shard, &all, &stops_ms));
    let (changed, needed): (Vec<_>, Vec<_>) = all_changes.unzip();
    println!("changed: {changed:?}, needed: {needed:?}");
    assert!(needed.iter().any(|needed| !needed), "the restarts overlap too much");
    for (changed, needed) in changed.into_iter().zip(needed) {
        assert!(needed || !changed);
    }
}
