//! Guarantees after the platform's store was restored from a backup.

mod voting;

use std::net::SocketAddr;
use std::time::Duration;

use chervilwharf_lib::duty::first_token;
use chervilwharf_lib::duty::is_token_of_era;
use chervilwharf_lib::fleet::Fleet;
use chervilwharf_lib::fleet::InstanceRecord;
use chervilwharf_lib::id::InstanceId;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::primary_lease::Objection;
use chervilwharf_lib::primary_lease::PrimaryLease;
use chervilwharf_lib::primary_lease::PromiseTally;
use chervilwharf_lib::primary_lease::Readiness;
use chervilwharf_lib::primary_lease::RetireRequest;
use chervilwharf_lib::primary_lease::StoredLease;
use chervilwharf_lib::revision::Era;
use chervilwharf_lib::revision::Revision;
use chervilwharf_lib::voter_set::VoterSet;
use voting::lease_of;

fn at(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

fn ids() -> Vec<InstanceId> {
    ["i0", "i1", "i2", "i3"].map(Into::into).to_vec()
}

fn voters() -> VoterSet {
    VoterSet::first(0, ids())
}

fn read_of_voters() -> StoredLease {
    StoredLease { voters: voters(), ..StoredLease::default() }
}

fn retire_request(written_era: Option<Era>) -> RetireRequest {
    RetireRequest {
        holder: "i1".into(),
        life: 1,
        term: 1,
        token: 5,
        successor: "s1".into(),
        withdrawn: 0,
        written_era,
        voters: voters(),
    }
}

/// Records a read of the restored store at `asked_at`, in era 2.
fn read_restored_store(lease: &mut PrimaryLease, asked_at: Moment) {
    lease.record_store_grant(asked_at, asked_at, 2, &read_of_voters());
}

/// Guards against a promotion while the old primary is in use. The order was lost by the
/// restore of the store: one instance reads the restored store and continues to use the old
/// primary, and the other voters are asked to promise for the lost order.
#[test]
fn test_order_lost_by_a_restore_gets_no_promise_of_a_voter_in_the_new_era() {
    let ids = ids();
    let mut cut_off = lease_of(&ids[0], &voters());
    let mut others: Vec<_> = ids[1..].iter().map(|id| lease_of(id, &voters())).collect();
    // The order is written at 1,000 ms in era 1, and the store is then restored without it.
    // One voter grants the term when both have seen era 2, and a partition begins.
    others[0].note_era(2);
    let version = voters().version;
    let retired = others[0].grant(at(1_100), &ids[0], 1, version).unwrap();
    cut_off.granted(&ids[1], at(1_090), retired, 2, version);
    for read_ms in [1_100, 3_000] {
        read_restored_store(&mut cut_off, at(read_ms));
        assert!(cut_off.holds(at(read_ms + 100), 1), "the store grants the lease");
    }
    assert_eq!(others[0].promise(at(1_200), &retire_request(Some(1))), Err(Objection::LaterEra(2)));
    // Without the objection, as for an order of the new era, the promotion would be ordered while
    // the old primary is in use.
    let mut tally = PromiseTally::new(voters(), ids.clone(), at(1_000), at(0));
    for (voter, id) in others.iter_mut().zip(&ids[1..]) {
        tally.promised(at(1_200), id, voter.promise(at(1_200), &retire_request(Some(2))).unwrap());
    }
    assert!(matches!(tally.readiness(false), Readiness::From(from) if from < at(3_000)));
    assert!(cut_off.holds(at(3_100), 1));
}

/// Guards against a lease by a read of the restored store that lacks an order for which a
/// majority has promised.
#[test]
fn test_read_of_the_store_counts_only_with_grants_of_its_era() {
    let ids = ids();
    let mut lease = lease_of(&ids[0], &voters());
    lease.granted(&ids[1], at(1_000), 0, 1, voters().version);
    lease.record_store_grant(at(3_000), at(3_000), 1, &read_of_voters());
    assert!(lease.holds(at(3_100), 1), "half of the voters granted in era 1");
    read_restored_store(&mut lease, at(4_000));
    assert!(!lease.holds(at(4_100), 1), "no voter has granted since the restore");
    lease.granted(&ids[1], at(4_200), 1, 2, voters().version);
    read_restored_store(&mut lease, at(7_000));
    assert!(!lease.holds(at(7_100), 1), "the voter has retired the term");
    assert!(lease.holds(at(7_100), 2));
}

/// Guards against a store that reports no era and whose reads no longer grant a lease.
#[test]
fn test_read_of_a_store_without_eras_counts_by_itself() {
    let mut lease = lease_of(&ids()[0], &voters());
    lease.record_store_grant(at(3_000), at(3_000), 0, &read_of_voters());
    assert!(lease.holds(at(3_100), 1));
}

/// Guards against tokens that are issued again after the store lost them.
#[test]
fn test_tokens_of_an_era_are_higher_than_all_before() {
    assert_eq!(first_token(0), 1);
    assert!(is_token_of_era(1, 0));
    for era in 0..5 {
        let last_before = first_token(era) + 1_000;
        assert!(first_token(era + 1) > last_before);
        assert!(!is_token_of_era(last_before, era + 1));
    }
}

#[test]
fn test_revisions_of_a_later_era_are_later() {
    assert!(Revision::new(2, 10) > Revision::new(1, 900));
    assert!(Revision::new(2, 10) < Revision::new(2, 11));
}

fn record(number: u64) -> InstanceRecord {
    InstanceRecord {
        id: format!("i{number}").into(),
        life: number,
        peer_address: SocketAddr::from(([127, 0, 0, 1], 1)),
        failure_domain: "a".into(),
        capacity_millicores: 250,
    }
}

fn names(fleet: &Fleet) -> Vec<InstanceId> {
    fleet.others().map(|record| record.id.clone()).collect()
}

/// Guards against running instances that are dropped, together with their votes, because a
/// backup lacks their records.
#[test]
fn test_instance_missing_from_a_backup_counts_until_it_is_known_to_be_gone() {
    let mut fleet = Fleet::new(record(0));
    fleet.replace(at(0), vec![record(1), record(2), record(3)]);
    fleet.replace_after_store_restore(at(1_000), vec![record(1)]);
    assert_eq!(names(&fleet), ["i1", "i2", "i3"].map(InstanceId::from));
    fleet.upsert(at(2_000), record(2));
    // If history is lost again, all instances are listed once more.
    fleet.replace(at(3_000), vec![record(1), record(2)]);
    assert_eq!(names(&fleet), ["i1", "i2", "i3"].map(InstanceId::from));
    fleet.remove_unlisted(at(8_900));
    assert_eq!(names(&fleet), ["i1", "i2", "i3"].map(InstanceId::from));
    fleet.remove_unlisted(at(9_000));
    assert_eq!(names(&fleet), ["i1", "i2"].map(InstanceId::from));
}

/// Guards against an instance that is dropped because it cannot reach the store and no other
/// instance restores its record.
#[test]
fn test_record_of_a_running_instance_missing_from_a_backup_is_restored_by_one_other() {
    let all: Vec<_> = (0..4).map(record).collect();
    let others = |me: &InstanceRecord| -> Vec<_> {
        all.iter().filter(|other| other.id != me.id).cloned().collect()
    };
    let mut writers = Vec::new();
    for me in &all[..3] {
        let mut fleet = Fleet::new(me.clone());
        fleet.replace(at(0), others(me));
        fleet.replace_after_store_restore(at(1_000), all[..3].to_vec());
        fleet.record_message(at(2_000), "i3", false);
        assert_eq!(fleet.restorable(at(2_400)), [], "the instance may still write it");
        writers.extend(fleet.restorable(at(2_500)));
        fleet.upsert(at(2_600), record(3));
        assert_eq!(fleet.restorable(at(2_700)), []);
    }
    assert_eq!(writers, [record(3)]);
}

/// Guards against a restored record of an instance that no longer runs.
#[test]
fn test_record_of_an_unresponsive_instance_is_not_restored() {
    let mut fleet = Fleet::new(record(0));
    fleet.replace(at(0), vec![record(1)]);
    fleet.replace_after_store_restore(at(1_000), Vec::new());
    assert_eq!(fleet.restorable(at(3_500)), []);
}
