//! Which replicas count for acknowledged commits, and when one is promoted.

use std::net::SocketAddr;
use std::time::Duration;

use chervilwharf_lib::group::ServerInfo;
use chervilwharf_lib::id::TargetId;
use chervilwharf_lib::leader_watch::ReplaceReason;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::position::Position;
use chervilwharf_lib::replica_change::ReplicaAction;
use chervilwharf_lib::replica_change::ReplicaChange;
use chervilwharf_lib::replica_set::Member;
use chervilwharf_lib::replica_set::ReceivedPositions;
use chervilwharf_lib::replica_set::ReplicaSet;
use chervilwharf_lib::successor_choice::NoSuccessor;
use chervilwharf_lib::successor_choice::Replica;
use chervilwharf_lib::successor_choice::choose_successor;

/// A server whose address has this port.
fn server(id: &str, port: u16) -> ServerInfo {
    ServerInfo {
        id: id.into(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        failure_domain: "a".into(),
        slots: 3,
        draining: false,
        leads: false,
        start: "".into(),
    }
}

fn draining(id: &str, port: u16) -> ServerInfo {
    ServerInfo { draining: true, ..server(id, port) }
}

fn received(primary: u64, others: &[(&str, u64)]) -> ReceivedPositions {
    let position = |index| Position::new(1, index);
    ReceivedPositions {
        primary: position(primary),
        others: others.iter().map(|(id, index)| ((*id).into(), position(*index))).collect(),
    }
}

/// The replica that takes the place of `primary`, of those that answer with their last index.
fn promoted(
    set: &ReplicaSet,
    listed: &[ServerInfo],
    primary: Option<&str>,
    sync_replicas: usize,
    answers: &[(&'static str, u64)],
) -> Result<&'static str, NoSuccessor> {
    let answered: Vec<_> = answers
        .iter()
        .map(|(id, index)| Replica {
            id: *id,
            received: Position::new(1, *index),
            can_lead: true,
            draining: listed.iter().any(|server| *server.id == **id && server.draining),
        })
        .collect();
    let from = primary.map(TargetId::from);
    let quorum = set.quorum(listed, from.as_ref(), sync_replicas);
    choose_successor(&answered, Some(&quorum), ReplaceReason::Unreachable).map(|chosen| chosen.id)
}

fn members(set: &ReplicaSet) -> Vec<&str> {
    set.members.iter().map(|member| &*member.id).collect()
}

/// A group of a primary and two replicas, one of which is about to leave.
fn leaving_group() -> ReplicaSet {
    ReplicaSet::default().with_servers(&[server("p", 1), draining("leaving", 2), server("deaf", 3)])
}

/// Guards against acknowledged commits that are lost: only a replica that has left as planned
/// received them, and the other one is promoted before the log is back.
#[test]
fn test_replica_that_left_with_acknowledged_commits_is_waited_for() {
    let set = leaving_group();
    let listed = [server("p", 1), server("deaf", 3)];
    let answers = [("deaf", 10)];
    assert_eq!(promoted(&set, &listed, Some("p"), 1, &answers), Err(NoSuccessor::TooFewAnswered));
    // It makes no difference whether the crashed primary is known or still listed.
    assert_eq!(promoted(&set, &listed, None, 1, &answers), Err(NoSuccessor::TooFewAnswered));
    let listed = [server("deaf", 3)];
    assert_eq!(promoted(&set, &listed, None, 1, &answers), Err(NoSuccessor::TooFewAnswered));
    // The new server at its address has its log.
    let listed = [server("deaf", 3), server("next", 2)];
    let answers = [("deaf", 10), ("next", 300)];
    assert_eq!(promoted(&set, &listed, None, 1, &answers), Ok("next"));
    assert_eq!(promoted(&set, &listed, Some("p"), 1, &answers), Ok("next"));
}

/// Guards against a group that can never be promoted again after a replica has left: one that
/// stays has everything.
#[test]
fn test_replica_that_left_is_forgotten_once_another_one_has_all_that_it_can_have() {
    let set = leaving_group();
    let listed = [server("p", 1), server("deaf", 3)];
    let ended: Vec<Member> = set.absent(&listed).cloned().collect();
    let behind = set.settled(&listed, &ended, &received(300, &[("deaf", 299)]), 1);
    assert_eq!(members(&behind), ["deaf", "leaving", "p"]);
    let complete = set.settled(&listed, &ended, &received(300, &[("deaf", 300)]), 1);
    assert_eq!(members(&complete), ["deaf", "p"]);
    assert_eq!(promoted(&complete, &listed, Some("p"), 1, &[("deaf", 300)]), Ok("deaf"));
}

/// Guards against the same loss by a replica that crashed and is not listed any more. Nothing
/// shows that another server at its address has its log.
#[test]
fn test_crashed_replica_is_not_replaced_by_a_server_at_its_address() {
    let set = ReplicaSet::default().with_servers(&[server("p", 1), server("a", 2), server("b", 3)]);
    let listed = [server("p", 1), server("b", 3), server("other", 2)];
    let answers = [("b", 10), ("other", 10)];
    assert_eq!(promoted(&set, &listed, Some("p"), 1, &answers), Err(NoSuccessor::TooFewAnswered));
    let unrelated = set.settled(&listed, &[], &received(300, &[("other", 10)]), 1);
    assert_eq!(members(&unrelated), ["a", "b", "other", "p"]);
    // Another start under its id does not have it either.
    let restarted = ServerInfo { start: "2".into(), ..server("a", 2) };
    let listed = [server("p", 1), server("b", 3), restarted];
    let answers = [("a", 1), ("b", 10)];
    assert_eq!(promoted(&set, &listed, Some("p"), 1, &answers), Err(NoSuccessor::TooFewAnswered));
    // It is back itself.
    let listed = [server("p", 1), server("b", 3), server("a", 2)];
    assert_eq!(promoted(&set, &listed, Some("p"), 1, &[("a", 300), ("b", 10)]), Ok("a"));
}

/// Guards against the loss of commits when two replicas have left one after the other, and
/// against a server that is taken for the successor of both.
#[test]
fn test_each_replica_that_left_is_waited_for() {
    let set = leaving_group();
    let listed = [server("p", 1), draining("deaf", 3), server("third", 4)];
    let set = set.with_servers(&listed);
    let listed = [server("third", 4), server("next", 2)];
    let answers = [("third", 10), ("next", 300)];
    assert_eq!(promoted(&set, &listed, Some("p"), 1, &answers), Err(NoSuccessor::TooFewAnswered));
    let listed = [server("third", 4), server("next", 2), server("again", 3)];
    let answers = [("third", 10), ("next", 300), ("again", 20)];
    assert_eq!(promoted(&set, &listed, Some("p"), 1, &answers), Ok("next"));
    // The successors take the places of those that left, once they have answered.
    let primary = [server("p", 1), server("third", 4), server("next", 2), server("again", 3)];
    let answered = received(300, &[("next", 200)]);
    let next = set.settled(&primary, &[], &answered, 1);
    assert_eq!(members(&next), ["again", "deaf", "next", "p", "third"]);
}

/// Guards against the loss of commits that were acknowledged by fewer replicas than the
/// configuration has had since, and against a wait for replicas that it does not need.
#[test]
fn test_more_synchronous_replicas_count_once_they_have_everything() {
    let listed = [server("p", 1), server("a", 2), server("b", 3)];
    let set = ReplicaSet::default().with_servers(&listed).with_sync_replicas(1);
    let b_alone = [("b", 10)];
    assert_eq!(promoted(&set, &listed, Some("p"), 2, &b_alone), Err(NoSuccessor::TooFewAnswered));
    let one_complete = set.settled(&listed, &[], &received(300, &[("a", 300), ("b", 10)]), 2);
    assert_eq!(one_complete.replicated, 1);
    let both = set.settled(&listed, &[], &received(300, &[("a", 300), ("b", 301)]), 2);
    assert_eq!(promoted(&both, &listed, Some("p"), 2, &[("b", 301)]), Ok("b"));
    // A lower number is in force before the store has it.
    assert_eq!(promoted(&both, &listed, Some("p"), 1, &b_alone), Err(NoSuccessor::TooFewAnswered));
    assert_eq!(both.with_sync_replicas(1).replicated, 1);
}

/// Guards against a primary that crashed and is not listed any more, so that another one is
/// promoted twice and the second time without the commits of the first change.
#[test]
fn test_former_primary_counts_until_another_replica_has_everything() {
    let set = ReplicaSet::default().with_servers(&[server("p", 1), server("a", 2), server("b", 3)]);
    // `a` was promoted, and has crashed before `b` has received anything.
    let listed = [server("a", 2), server("b", 3)];
    assert_eq!(
        promoted(&set, &listed, Some("a"), 1, &[("b", 10)]),
        Err(NoSuccessor::TooFewAnswered)
    );
    let ended: Vec<Member> = set.absent(&listed).cloned().collect();
    let set = set.settled(&listed, &ended, &received(300, &[("b", 300)]), 1);
    assert_eq!(promoted(&set, &listed, Some("a"), 1, &[("b", 300)]), Ok("b"));
}

/// Guards against a store that was restored from a backup and lacks a member.
#[test]
fn test_members_that_a_restored_store_lacks_are_kept() {
    let backup = ReplicaSet::default().with_servers(&[server("p", 1), server("a", 2)]);
    let known = backup.with_servers(&[server("b", 3)]);
    assert_eq!(members(&backup.merged(&known)), ["a", "b", "p"]);
    assert_eq!(backup.merged(&ReplicaSet::default()), backup);
}

/// Guards against a member that is given up before the platform regards it as gone, against
/// calls without end, and against servers that are never recorded.
#[test]
fn test_driver_writes_listed_servers_and_asks_once_a_member_is_gone() {
    let at = |ms| Moment::ZERO + Duration::from_millis(ms);
    let mut change = ReplicaChange::default();
    let all = [server("p", 1), server("a", 2), server("b", 3)];
    let none = ReplicaSet::default();
    assert_eq!(change.tick(at(0), &none, &all, 0), None);
    let Some(ReplicaAction::Write(set)) = change.tick(at(0), &none, &all, 1) else {
        panic!("the servers are recorded");
    };
    assert_eq!(members(&set), ["a", "b", "p"]);
    assert_eq!(change.tick(at(600), &set, &all, 1), None);
    let listed = [server("p", 1), server("b", 3)];
    assert_eq!(change.tick(at(1_000), &set, &listed, 1), None);
    assert_eq!(change.tick(at(2_900), &set, &listed, 1), None);
    let ended: Vec<_> = set.absent(&listed).cloned().collect();
    let asks = Some(ReplicaAction::AskServers(ended));
    assert_eq!(change.tick(at(3_000), &set, &listed, 1), asks);
    assert_eq!(change.tick(at(3_100), &set, &listed, 1), None);
    assert_eq!(change.tick(at(3_500), &set, &listed, 1), asks);
    // It is listed again in between.
    assert_eq!(change.tick(at(3_600), &set, &all, 1), None);
    assert_eq!(change.tick(at(4_100), &set, &listed, 1), None);
    // Nothing was recorded for the group, and nothing is while it needs no replicas.
    assert_eq!(change.tick(at(9_000), &set, &[], 1), None);
}
