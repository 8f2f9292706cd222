//! The own commits that the reads of a session have to see.

use std::net::SocketAddr;
use std::time::Duration;

use chervilwharf_lib::catalog::Consistency;
use chervilwharf_lib::group::Group;
use chervilwharf_lib::group::ServerInfo;
use chervilwharf_lib::group::ServerStatus;
use chervilwharf_lib::id::GroupId;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::position::Position;
use chervilwharf_lib::session_floors::MAX_FLOORS_BYTES;
use chervilwharf_lib::session_floors::OwnCommits;
use chervilwharf_lib::session_floors::OwnPosition;
use chervilwharf_lib::session_floors::SessionFloors;

fn at(ms: u64) -> Moment {
    Moment::ZERO + Duration::from_millis(ms)
}

fn group(number: usize) -> GroupId {
    format!("g{number}").into()
}

/// Guards against a session that misses its own commit after its route was moved to another
/// group and back.
#[test]
fn test_position_is_kept_while_the_session_uses_another_group() {
    let mut floors = SessionFloors::default();
    floors.raise(&group(1), at(1), Position::new(1, 50));
    floors.raise(&group(2), at(2), Position::new(3, 7));
    floors.raise(&group(1), at(3), Position::new(1, 40));
    assert_eq!(floors.get(&group(1)).position(), Some(Position::new(1, 50)));
    assert_eq!(floors.get(&group(2)).position(), Some(Position::new(3, 7)));
    assert_eq!(floors.get(&group(3)), OwnCommits::None);
    // A commit that was rolled back in one log says nothing about the other one.
    floors.clear(&group(1));
    assert_eq!(floors.get(&group(1)), OwnCommits::None);
    assert_eq!(floors.get(&group(2)).position(), Some(Position::new(3, 7)));
}

/// Guards against memory that grows with the number of groups that a session has used, and
/// against reads that miss a commit whose position was discarded.
#[test]
fn test_reads_need_the_primary_where_a_position_was_discarded() {
    let mut floors = SessionFloors::default();
    for number in 0..100 {
        floors.raise(&group(number), at(1), Position::new(1, 50));
    }
    assert_eq!(floors.get(&group(99)).position(), Some(Position::new(1, 50)));
    assert_eq!(floors.get(&group(0)), OwnCommits::Unknown);
    const { assert!(MAX_FLOORS_BYTES < 1_024) };
    let read_your_writes = Consistency::ReadYourWrites(Duration::from_secs(2));
    let group = sampled_group(1, 60);
    assert_eq!(group.floor(at(900), read_your_writes, OwnCommits::Unknown), None);
    let bounded = Consistency::Bounded(Duration::from_secs(2));
    assert!(group.floor(at(900), bounded, OwnCommits::Unknown).is_some());
}

/// Guards against a floor of this instance that is weakened by a reply.
#[test]
fn test_reported_position_is_adopted_with_its_time() {
    let mut floors = SessionFloors::default();
    let own =
        |index, ms| OwnPosition { position: Position::new(1, index), acknowledged_at: at(ms) };
    floors.raise(&group(1), at(1), Position::new(1, 50));
    floors.adopt(&group(1), OwnCommits::UpTo(own(50, 9)));
    assert_eq!(floors.get(&group(1)), OwnCommits::UpTo(own(50, 1)));
    floors.adopt(&group(1), OwnCommits::UpTo(own(60, 9)));
    assert_eq!(floors.get(&group(1)), OwnCommits::UpTo(own(60, 9)));
    floors.adopt(&group(1), OwnCommits::Unknown);
    assert_eq!(floors.get(&group(1)), OwnCommits::Unknown);
}

/// A group whose primary was at `index` of `term` 500 ms after the start.
fn sampled_group(term: u64, index: u64) -> Group {
    let mut group = Group::default();
    let primary = ServerInfo {
        id: "p".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        failure_domain: "a".into(),
        slots: 3,
        draining: false,
        leads: true,
        start: "".into(),
    };
    group.set_servers(at(0), vec![primary]);
    let received = Position::new(term, index);
    let lag = Duration::ZERO;
    let status = ServerStatus { leads: true, term, received, applied: received, lag };
    group.observe_status(at(500), at(501), &"p".into(), status);
    group
}

/// Guards against reads that wait for a position of a log that does not exist any more: the
/// group was removed and created again under its name.
#[test]
fn test_position_of_an_earlier_group_of_the_same_name_is_not_waited_for() {
    let consistency = Consistency::ReadYourWrites(Duration::from_secs(2));
    let own = |term, index, ms| {
        OwnCommits::UpTo(OwnPosition {
            position: Position::new(term, index),
            acknowledged_at: at(ms),
        })
    };
    let group = sampled_group(1, 60);
    assert_eq!(group.floor(at(900), consistency, own(5, 9, 100)), None);
    assert_eq!(group.floor(at(900), consistency, own(1, 90, 100)), None);
    // The commit is newer than what is known of the primary.
    let floor = group.floor(at(900), consistency, own(1, 90, 600));
    assert_eq!(floor, Some(Position::new(1, 90)));
    let floor = group.floor(at(900), consistency, own(1, 50, 100));
    assert_eq!(floor, Some(Position::new(1, 60)));
}
