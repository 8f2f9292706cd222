//! Which replica is promoted.

use chervilwharf_lib::leader_watch::ReplaceReason;
use chervilwharf_lib::position::Position;
use chervilwharf_lib::replica_set::CommitQuorum;
use chervilwharf_lib::successor_choice::NoSuccessor;
use chervilwharf_lib::successor_choice::Replica;
use chervilwharf_lib::successor_choice::choose_successor;

fn replica(id: &'static str, index: u64) -> Replica<&'static str> {
    Replica { id, received: Position::new(1, index), can_lead: true, draining: false }
}

fn draining(id: &'static str, index: u64) -> Replica<&'static str> {
    Replica { draining: true, ..replica(id, index) }
}

fn chosen(
    answered: &[Replica<&'static str>],
    listed: usize,
    sync_replicas: usize,
    reason: ReplaceReason,
) -> Result<&'static str, NoSuccessor> {
    let quorum =
        CommitQuorum { replicas: listed, replicated: sync_replicas, ..CommitQuorum::default() };
    let quorum = (sync_replicas > 0).then_some(&quorum);
    choose_successor(answered, quorum, reason).map(|replica| replica.id)
}

const REASONS: [ReplaceReason; 4] = [
    ReplaceReason::Leaving,
    ReplaceReason::Unreachable,
    ReplaceReason::Absent,
    ReplaceReason::LastResort,
];

/// Guards against acknowledged commits that are lost: only a replica that drains received
/// them, and the other one is promoted.
#[test]
fn test_draining_replica_that_alone_has_acknowledged_commits_is_promoted() {
    let answered = [draining("leaving", 300), replica("behind", 10)];
    for reason in [ReplaceReason::Unreachable, ReplaceReason::Absent] {
        assert_eq!(chosen(&answered, 2, 1, reason), Ok("leaving"));
    }
    let answered = [draining("leaving", 300), replica("behind", 10), replica("less", 290)];
    assert_eq!(chosen(&answered, 3, 2, ReplaceReason::Unreachable), Ok("leaving"));
}

/// Guards against the same in a planned change, which a second one would have to follow.
#[test]
fn test_leaving_primary_is_not_replaced_by_a_replica_that_lacks_acknowledged_commits() {
    let answered = [draining("leaving", 300), replica("behind", 10)];
    let reason = ReplaceReason::Leaving;
    assert_eq!(chosen(&answered, 2, 1, reason), Err(NoSuccessor::OnlyLeavingIsComplete));
}

/// Guards against a second change of primary without need.
#[test]
fn test_replica_that_stays_is_preferred_if_it_has_every_acknowledged_commit() {
    let answered = [draining("leaving", 300), replica("complete", 300)];
    for (reason, sync_replicas) in REASONS.into_iter().flat_map(|reason| [(reason, 0), (reason, 1)])
    {
        assert_eq!(chosen(&answered, 2, sync_replicas, reason), Ok("complete"));
    }
    let answered = [draining("leaving", 300), replica("behind", 10)];
    assert_eq!(chosen(&answered, 2, 0, ReplaceReason::Unreachable), Ok("behind"));
}

/// Guards against a promotion while a replica that does not answer may be the only one that
/// has a commit.
#[test]
fn test_so_many_replicas_have_to_answer_that_one_has_every_commit() {
    let one = [replica("one", 300)];
    let reason = ReplaceReason::Unreachable;
    assert_eq!(chosen(&one, 2, 0, reason), Ok("one"));
    assert_eq!(chosen(&one, 2, 1, reason), Err(NoSuccessor::TooFewAnswered));
    assert_eq!(chosen(&one, 2, 2, reason), Ok("one"));
    // Neither does any time without a primary make up for a missing answer.
    assert_eq!(chosen(&one, 2, 1, ReplaceReason::LastResort), Err(NoSuccessor::TooFewAnswered));
}

/// Guards against a replica whose log goes on beyond a promotion: it is neither promoted nor
/// waited for.
#[test]
fn test_log_that_missed_a_change_of_primary_is_no_measure() {
    let outdated = Replica { can_lead: false, ..replica("outdated", 900) };
    let answered = [outdated, replica("current", 300)];
    assert_eq!(chosen(&answered, 2, 1, ReplaceReason::Unreachable), Ok("current"));
    assert_eq!(chosen(&answered, 2, 1, ReplaceReason::LastResort), Ok("outdated"));
    assert_eq!(chosen(&[], 0, 0, ReplaceReason::Absent), Err(NoSuccessor::NoneCanLead));
}
