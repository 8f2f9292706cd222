//! What holds when the platform's store came back from an older copy.

use std::net::SocketAddr;
use std::time::Duration;

use chervilwharf_lib::duty::first_token;
use chervilwharf_lib::duty::is_token_of_era;
use chervilwharf_lib::fleet::Fleet;
use chervilwharf_lib::fleet::InstanceRecord;
use chervilwharf_lib::id::InstanceId;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::primary_lease::Ending;
use chervilwharf_lib::primary_lease::Objection;
use chervilwharf_lib::primary_lease::PrimaryLease;
use chervilwharf_lib::primary_lease::PromiseTally;
use chervilwharf_lib::primary_lease::Readiness;
use chervilwharf_lib::revision::Era;
use chervilwharf_lib::revision::Revision;

fn at(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

fn ids() -> Vec<InstanceId> {
    ["i0", "i1", "i2", "i3"].map(Into::into).to_vec()
}

/// The right of an instance that votes, as three others do.
fn primary_lease(me: &InstanceId) -> PrimaryLease {
    let mut primary_lease = PrimaryLease::default();
    primary_lease.set_voters(me, &ids());
    primary_lease
}

fn ending(written_era: Option<Era>) -> Ending {
    Ending { term: 1, token: 5, successor: "s1".into(), withdrawn: 0, written_era }
}

/// What the store's copy, read at `asked_at` in era 2, grants.
fn read_copy(primary_lease: &mut PrimaryLease, asked_at: Moment) {
    primary_lease.record_store_grant(asked_at, 0, 2);
}

/// Guards against an order that only the lost history of the store held: one instance
/// reads the copy and uses the old primary, the others promise for that order.
#[test]
fn test_order_of_the_lost_history_gets_no_promise_of_one_that_knows_of_the_copy() {
    let ids = ids();
    let mut cut_off = primary_lease(&ids[0]);
    let mut voters: Vec<_> = ids[1..].iter().map(primary_lease).collect();
    // The order is written at 1,000 ms in era 1; then the store comes back without it.
    // One voter grants the term when both know of that, and a partition begins.
    voters[0].note_era(2);
    let retired = voters[0].grant(at(1_100), &ids[0], 1).unwrap();
    cut_off.granted(&ids[1], at(1_090), retired, 2);
    for read_ms in [1_100, 3_000] {
        read_copy(&mut cut_off, at(read_ms));
        assert!(cut_off.holds(at(read_ms + 100), 1), "it goes on by the store");
    }
    assert_eq!(voters[0].promise(at(1_200), &ending(Some(1))), Err(Objection::LaterEra(2)));
    // Without the objection the order would go out while the old primary is in use.
    let mut agreement = PromiseTally::new(ids.clone(), ids.clone(), Some(at(1_000)));
    for (voter, id) in voters.iter_mut().zip(&ids[1..]) {
        agreement.promised(at(1_200), id, voter.promise(at(1_200), &ending(None)).unwrap());
    }
    assert!(matches!(agreement.readiness(false), Readiness::From(from) if from < at(3_000)));
    assert!(cut_off.holds(at(3_100), 1));
}

/// Guards against a reading of a copy that lacks an order which most have promised.
#[test]
fn test_reading_of_the_store_counts_only_with_grants_that_know_of_its_era() {
    let ids = ids();
    let mut mine = primary_lease(&ids[0]);
    mine.granted(&ids[1], at(1_000), 0, 1);
    mine.record_store_grant(at(3_000), 0, 1);
    assert!(mine.holds(at(3_100), 1), "half of the voters granted in era 1");
    read_copy(&mut mine, at(4_000));
    assert!(!mine.holds(at(4_100), 1), "nobody has granted since the copy");
    mine.granted(&ids[1], at(4_200), 1, 2);
    read_copy(&mut mine, at(7_000));
    assert!(!mine.holds(at(7_100), 1), "it promised to use the term no more");
    assert!(mine.holds(at(7_100), 2));
}

/// Guards against a store without eras that grants less than before.
#[test]
fn test_reading_of_a_store_that_tells_no_era_counts_by_itself() {
    let mut mine = primary_lease(&ids()[0]);
    mine.record_store_grant(at(3_000), 0, 0);
    assert!(mine.holds(at(3_100), 1));
}

/// Guards against tokens that are given out again after the store lost them.
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

/// Guards against living instances that are forgotten, with their votes, since the copy
/// does not have their records yet.
#[test]
fn test_instance_that_a_copy_lacks_counts_until_it_is_known_to_be_gone() {
    let mut fleet = Fleet::new("i0".into());
    fleet.replace(at(0), vec![record(1), record(2), record(3)]);
    fleet.replace_after_store_restore(at(1_000), vec![record(1)]);
    assert_eq!(names(&fleet), ["i1", "i2", "i3"].map(InstanceId::from));
    fleet.present(at(2_000), record(2));
    // History may be lost besides, so that all are listed once more.
    fleet.replace(at(3_000), vec![record(1), record(2)]);
    assert_eq!(names(&fleet), ["i1", "i2", "i3"].map(InstanceId::from));
    fleet.forget_unlisted(at(8_900));
    assert_eq!(names(&fleet), ["i1", "i2", "i3"].map(InstanceId::from));
    fleet.forget_unlisted(at(9_000));
    assert_eq!(names(&fleet), ["i1", "i2"].map(InstanceId::from));
}

/// Guards against an instance that does not reach the store, and is forgotten since
/// nobody writes its record again.
#[test]
fn test_record_of_a_living_instance_that_a_copy_lacks_is_written_by_one_other() {
    let all: Vec<_> = (0..4).map(record).collect();
    let others = |me: &InstanceRecord| -> Vec<_> {
        all.iter().filter(|other| other.id != me.id).cloned().collect()
    };
    let mut writers = Vec::new();
    for me in &all[..3] {
        let mut fleet = Fleet::new(me.id.clone());
        fleet.replace(at(0), others(me));
        fleet.replace_after_store_restore(at(1_000), all[..3].to_vec());
        fleet.heard(at(2_000), "i3", false);
        assert_eq!(fleet.restorable(at(2_400)), [], "it can do so itself");
        writers.extend(fleet.restorable(at(2_500)));
        fleet.present(at(2_600), record(3));
        assert_eq!(fleet.restorable(at(2_700)), []);
    }
    assert_eq!(writers, [record(3)]);
}

/// Guards against the record of a dead instance that is written again.
#[test]
fn test_record_of_a_silent_instance_is_not_written_again() {
    let mut fleet = Fleet::new("i0".into());
    fleet.replace(at(0), vec![record(1)]);
    fleet.replace_after_store_restore(at(1_000), Vec::new());
    assert_eq!(fleet.restorable(at(3_500)), []);
}
