//! Changes of the voters of a group, while some voters cannot learn of them.

mod voting;

use std::collections::BTreeMap;
use std::time::Duration;

use chervilwharf_lib::id::InstanceId;
use chervilwharf_lib::id::Term;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::primary_lease::Objection;
use chervilwharf_lib::primary_lease::PrimaryLease;
use chervilwharf_lib::primary_lease::PromiseTally;
use chervilwharf_lib::primary_lease::Readiness;
use chervilwharf_lib::primary_lease::RetireRequest;
use chervilwharf_lib::primary_lease::StoredLease;
use chervilwharf_lib::primary_lease::VOTER_LEASE;
use chervilwharf_lib::primary_lease::VOTERS_LEASE;
use chervilwharf_lib::voter_change::PreferredVoters;
use chervilwharf_lib::voter_change::Presence;
use chervilwharf_lib::voter_change::VoterAction;
use chervilwharf_lib::voter_change::VoterChange;
use chervilwharf_lib::voter_set::VoterSet;
use voting::lease_of;

/// Term of the primary in use.
const TERM: Term = 1;

fn at(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

fn ids(numbers: impl IntoIterator<Item = usize>) -> Vec<InstanceId> {
    numbers.into_iter().map(|number| format!("i{number}").into()).collect()
}

/// Instances `i0`, `i1`, … that have the same voters.
struct Instances(BTreeMap<InstanceId, PrimaryLease>);

impl Instances {
    fn new(count: usize, voters: &VoterSet) -> Self {
        let with_lease = |id: InstanceId| {
            let lease = lease_of(&id, voters);
            (id, lease)
        };
        Self(ids(0..count).into_iter().map(with_lease).collect())
    }

    fn lease(&mut self, number: usize) -> &mut PrimaryLease {
        self.0.get_mut(&*format!("i{number}")).expect("the instance exists")
    }

    /// Sends a round of heartbeats among the instances `numbers`, with the answers.
    fn exchange_heartbeats(&mut self, now: Moment, numbers: &[usize]) {
        for from in numbers {
            let version = self.lease(*from).voters().version;
            for to in numbers.iter().filter(|to| *to != from) {
                let [to_id, from_id] = [*to, *from].map(|number| ids([number]).remove(0));
                if let Some(retired) = self.lease(*to).grant(now, &from_id, TERM, version) {
                    self.lease(*from).granted(&to_id, now, retired, 0, version);
                }
            }
        }
    }

    fn request(&mut self, by: usize) -> RetireRequest {
        let voters = self.lease(by).voters().clone();
        RetireRequest {
            holder: ids([by]).remove(0),
            life: 1,
            term: TERM,
            token: 5,
            successor: "s1".into(),
            withdrawn: 0,
            written_era: Some(0),
            voters,
        }
    }

    /// Collects the promises of the instances `numbers` for a replacement by the first one
    /// of them, whose order was written to the store at `now`.
    fn collect_promises(&mut self, now: Moment, numbers: &[usize]) -> Readiness {
        let request = self.request(numbers[0]);
        let asked = ids(numbers.iter().copied());
        let mut tally = PromiseTally::new(request.voters.clone(), asked, now, at(0));
        for number in numbers {
            if let Ok(promise) = self.lease(*number).promise(now, &request) {
                tally.promised(now, &ids([*number])[0], promise);
            }
        }
        tally.readiness(false)
    }

    /// Lets the instances `numbers` acknowledge the voters `next`.
    fn acknowledgements(
        &mut self,
        now: Moment,
        numbers: &[usize],
        next: &VoterSet,
    ) -> BTreeMap<InstanceId, Term> {
        let acknowledge = |number: &usize| {
            let retired = self.lease(*number).acknowledge_voters(now, next)?;
            Some((ids([*number]).remove(0), retired))
        };
        numbers.iter().filter_map(acknowledge).collect()
    }
}

fn presence(recorded: &[InstanceId], id: &InstanceId) -> Presence {
    if recorded.contains(id) { Presence::Staying } else { Presence::Absent }
}

/// The action that is due at `now` when the store lists the instances `recorded`, which
/// should all vote.
fn due(
    change: &mut VoterChange,
    now: Moment,
    voters: &VoterSet,
    recorded: &[InstanceId],
) -> Option<VoterAction> {
    let preferred = PreferredVoters { recorded, staying: recorded };
    change.tick(now, 0, voters, preferred, |id| presence(recorded, id))
}

/// Guards against two primaries in use: instances join behind a partition, and become a
/// majority together with the smaller part of the voters.
#[test]
fn test_instances_that_join_behind_a_partition_make_no_majority() {
    let before = VoterSet::first(0, ids(0..7));
    let mut instances = Instances::new(9, &before);
    instances.exchange_heartbeats(at(500), &[0, 1, 2, 3, 4, 5, 6]);
    // Four of seven instances are cut off together with the primary. Two instances join on
    // the other side.
    let (cut_off, others) = ([0, 1, 2, 3], [4, 5, 6, 7, 8]);
    let joint = before.with_next(0, ids(1..9));
    for number in others {
        instances.lease(number).adopt_voters(at(1_000), &joint);
    }
    instances.exchange_heartbeats(at(4_000), &cut_off);
    assert!(instances.lease(0).holds(at(4_100), TERM), "the primary is used");
    assert_eq!(instances.collect_promises(at(4_000), &others), Readiness::TooFewVotes);
    // Nor can the change be completed, after which the new voters alone would decide.
    let mut change = VoterChange::default();
    let recorded = ids(0..9);
    assert_eq!(
        due(&mut change, at(1_000), &joint, &ids(1..9)),
        Some(VoterAction::RequestAcknowledgements)
    );
    for (voter, retired) in instances.acknowledgements(at(4_000), &others, &joint) {
        change.acknowledged(at(4_000), &joint, &voter, retired);
    }
    for ms in (4_000..100_000).step_by(500) {
        let preferred = PreferredVoters { recorded: &joint.current, staying: &joint.current };
        let action = change.tick(at(ms), 0, &joint, preferred, |id| presence(&recorded, id));
        assert_eq!(action, Some(VoterAction::RequestAcknowledgements), "at {ms} ms");
    }
}

/// Guards against a lease by half of fewer voters: a voter that has promised to retire the
/// term loses its record, and the others do not count it any more.
#[test]
fn test_removal_of_a_voter_that_promised_makes_no_lease_on_the_retired_term() {
    let before = VoterSet::first(0, ids(0..6));
    let mut instances = Instances::new(6, &before);
    // Four of six voters promise. Two of them lose their records, and two of the remaining
    // four are half of these.
    let promised = instances.collect_promises(at(1_000), &[2, 3, 4, 5]);
    assert!(matches!(promised, Readiness::From(_)));
    let joint = before.with_next(0, ids(0..4));
    for number in 0..4 {
        instances.lease(number).adopt_voters(at(9_000), &joint);
    }
    instances.exchange_heartbeats(at(9_000), &[0, 1]);
    assert!(!instances.lease(0).holds(at(9_100), TERM));
}

/// Guards against a former primary that the next voters use because none of them has
/// promised to retire its term.
#[test]
fn test_completed_change_carries_the_term_that_former_voters_retired() {
    let before = VoterSet::first(0, ids(0..3));
    let mut instances = Instances::new(6, &before);
    assert!(matches!(instances.collect_promises(at(1_000), &[0, 1]), Readiness::From(_)));
    let joint = before.with_next(0, ids(3..6));
    for number in 0..3 {
        instances.lease(number).record_order_ended(5);
        instances.lease(number).adopt_voters(at(2_000), &joint);
    }
    let acknowledged = instances.acknowledgements(at(4_000), &[1, 2], &joint);
    assert_eq!(acknowledged.len(), 2);
    let settled = joint.settled(0, &acknowledged);
    for number in 3..6 {
        instances.lease(number).adopt_voters(at(4_000), &settled);
    }
    instances.exchange_heartbeats(at(4_100), &[3, 4, 5]);
    assert!(!instances.lease(3).holds(at(4_200), TERM));
    assert!(instances.lease(3).holds(at(4_200), TERM + 1));
}

/// Guards against a primary that has to be replaced after each change of voters: too few
/// voters have promised to retire its term for a replacement.
#[test]
fn test_term_that_only_a_minority_retired_stays_in_use_after_a_change() {
    let before = VoterSet::first(0, ids(0..5));
    let joint = before.with_next(0, ids(1..6));
    let reports = |retired: [Term; 4]| ids(0..4).into_iter().zip(retired).collect();
    assert_eq!(joint.settled(0, &reports([0, 0, 0, TERM])).retired, 0);
    // The voter that did not report may be the third one of a majority.
    assert_eq!(joint.settled(0, &reports([0, 0, TERM, TERM])).retired, TERM);
}

/// Guards against a change that is completed while instances still hold leases that were
/// granted under the former voters.
#[test]
fn test_voter_acknowledges_a_change_only_after_its_earlier_grants_expired() {
    let before = VoterSet::first(0, ids(0..3));
    let mut instances = Instances::new(6, &before);
    instances.exchange_heartbeats(at(1_000), &[0, 1, 2]);
    let joint = before.with_next(0, ids(3..6));
    let mut lease_ends = None;
    for ms in (1_000..4_000).step_by(100) {
        let acknowledged = instances.acknowledgements(at(ms), &[1, 2], &joint);
        if !instances.lease(0).holds(at(ms), TERM) {
            lease_ends.get_or_insert(ms);
        }
        assert!(acknowledged.is_empty() || lease_ends.is_some(), "at {ms} ms");
    }
    assert_eq!(lease_ends.map(at), Some(at(1_000) + VOTER_LEASE));
    assert_eq!(instances.acknowledgements(at(4_000), &[1, 2], &joint).len(), 2);
}

/// Guards against a second order that is given while the first one may still be carried out:
/// the voters that would object to it do not vote any more.
#[test]
fn test_voter_acknowledges_no_change_while_an_order_is_outstanding() {
    let before = VoterSet::first(0, ids(0..3));
    let mut instances = Instances::new(3, &before);
    let _readiness = instances.collect_promises(at(1_000), &[0, 1]);
    let joint = before.with_next(0, ids(1..3));
    assert_eq!(instances.acknowledgements(at(1_000), &[1], &joint).len(), 0);
    assert_eq!(instances.acknowledgements(at(5_000), &[1], &joint).len(), 0);
    instances.lease(1).record_order_ended(5);
    assert_eq!(instances.acknowledgements(at(5_100), &[1], &joint).len(), 1);
}

/// Guards against votes that are counted by voters of which the voter has missed or passed a
/// change.
#[test]
fn test_voter_neither_grants_nor_promises_under_earlier_voters() {
    let before = VoterSet::first(0, ids(0..3));
    let mut instances = Instances::new(3, &before);
    let outdated = instances.request(0);
    let joint = before.with_next(0, ids(0..2));
    instances.lease(1).adopt_voters(at(1_000), &joint);
    let me = ids([0]).remove(0);
    assert_eq!(instances.lease(1).grant(at(1_000), &me, TERM, before.version), None);
    let objection = Objection::LaterVoters(joint.clone());
    assert_eq!(instances.lease(1).promise(at(1_000), &outdated), Err(objection));
    // Requests under later voters are adopted.
    let request = instances.request(1);
    assert!(instances.lease(2).promise(at(1_000), &request).is_ok());
    assert_eq!(*instances.lease(2).voters(), joint);
}

/// Guards against a lease by the store alone for an instance that a replacement under the
/// voters before or after a change does not contact.
#[test]
fn test_read_of_the_store_grants_only_to_voters_before_and_after_a_change() {
    let before = VoterSet::first(0, ids(0..3));
    let joint = before.with_next(0, ids(1..4));
    let mut instances = Instances::new(4, &before);
    let holds = [0, 1, 3].map(|number| {
        let lease = instances.lease(number);
        let read = StoredLease { voters: joint.clone(), ..StoredLease::default() };
        lease.record_store_grant(at(9_000), at(9_000), 0, &read);
        lease.holds(at(9_100), TERM)
    });
    assert_eq!(holds, [false, true, false]);
}

/// Guards against a group that is not served any more because most of its voters are gone
/// for good, and against two primaries in use because they are only cut off.
#[test]
fn test_change_without_most_former_voters_waits_until_they_rely_on_them_no_more() {
    let before = VoterSet::first(0, ids(0..7));
    let mut instances = Instances::new(7, &before);
    instances.exchange_heartbeats(at(1_000), &[0, 1, 2, 3, 4, 5, 6]);
    // Four voters are out of reach, and lose their records.
    let left = [4, 5, 6];
    let joint = before.with_next(0, ids(left));
    let mut change = VoterChange::default();
    let mut completed = None;
    for ms in (1_100..60_000).step_by(100) {
        instances.exchange_heartbeats(at(ms), &[0, 1, 2, 3]);
        for (voter, retired) in instances.acknowledgements(at(ms), &left, &joint) {
            change.acknowledged(at(ms), &joint, &voter, retired);
        }
        if let Some(VoterAction::Write(settled)) = due(&mut change, at(ms), &joint, &ids(left)) {
            completed = Some((ms, settled));
            break;
        }
    }
    let (ms, settled) = completed.expect("completed at last");
    assert!(!instances.lease(0).holds(at(ms), TERM), "cut off since {VOTERS_LEASE:?}");
    assert_eq!((settled.current, settled.former), (ids(left), Vec::new()));
    assert!(at(ms) < VOTERS_LEASE + at(5_000), "at {ms} ms");
}

/// Guards against voters that are cut off from the store and stop although all are there.
#[test]
fn test_voters_that_all_answer_rely_on_each_other_without_the_store() {
    let mut instances = Instances::new(3, &VoterSet::first(0, ids(0..3)));
    for ms in (1_000..100_000).step_by(500) {
        instances.exchange_heartbeats(at(ms), &[0, 1, 2]);
        assert!(instances.lease(0).holds(at(ms + 400), TERM));
    }
}

/// Guards against a change that stays in progress longer than needed: meanwhile a partition
/// that separates most of either list stops the group on both sides.
#[test]
fn test_change_is_completed_as_soon_as_it_is_acknowledged() {
    let before = VoterSet::first(0, ids(0..1));
    let joint = before.with_next(0, ids(0..5));
    let mut change = VoterChange::default();
    let requested = due(&mut change, at(1_000), &joint, &ids(0..5));
    assert_eq!(requested, Some(VoterAction::RequestAcknowledgements));
    for voter in ids(0..3) {
        change.acknowledged(at(1_010), &joint, &voter, 0);
    }
    let action = due(&mut change, at(1_100), &joint, &ids(0..5));
    let Some(VoterAction::Write(settled)) = action else {
        panic!("{action:?}");
    };
    assert!(!settled.is_joint());
    // If the write fails, it is not repeated at once.
    assert_eq!(due(&mut change, at(1_200), &joint, &ids(0..5)), None);
}

/// Guards against writes to the store for each instance that restarts.
#[test]
fn test_voter_that_is_soon_back_causes_no_change() {
    let voters = VoterSet::first(0, ids(0..7));
    let mut change = VoterChange::default();
    for ms in (0..60_000).step_by(100) {
        let is_away = ms % 5_000 < 2_500;
        let recorded = if is_away { ids(1..7) } else { ids(0..7) };
        assert_eq!(due(&mut change, at(ms), &voters, &recorded), None);
    }
    let action =
        (60_000..70_000).step_by(100).find_map(|ms| due(&mut change, at(ms), &voters, &ids(1..7)));
    assert_eq!(action, Some(VoterAction::Write(voters.with_next(0, ids(1..7)))));
}

/// Guards against a group that is not served for long while no log line tells on whom it waits.
#[test]
fn test_voters_that_a_change_waits_for_are_reported_once() {
    let before = VoterSet::first(0, ids(0..4));
    let joint = before.with_next(0, ids(2..6));
    let mut change = VoterChange::default();
    let mut reported = Vec::new();
    for ms in (1_000..20_000).step_by(100) {
        let _action = due(&mut change, at(ms), &joint, &ids(2..6));
        for voter in ids(2..6) {
            change.acknowledged(at(ms), &joint, &voter, 0);
        }
        reported.extend(change.newly_awaited(at(ms), &joint).map(|awaited| (ms, awaited)));
    }
    assert_eq!(reported, [(4_000, ids(0..2))]);
}

/// Guards against a change that never begins, because other instances become preferred before
/// the delay for the last ones has passed.
#[test]
fn test_steady_exchange_of_instances_does_not_defer_a_change() {
    let voters = VoterSet::first(0, ids(0..8));
    let mut change = VoterChange::default();
    let began_ms = (0..30_000).step_by(100).find(|ms| {
        // One voter is gone; of three others, another one is listed every second.
        let other = 8 + usize::try_from(*ms / 1_000 % 3).unwrap();
        let recorded: Vec<_> = ids((1..8).chain([other]));
        due(&mut change, at(*ms), &voters, &recorded).is_some()
    });
    assert_eq!(began_ms, Some(6_000));
}
