//! Conclusions that an instance draws from the answers of a group's servers: the primary,
//! the floors of reads, and the servers for reads.

use std::net::SocketAddr;
use std::time::Duration;

use chervilwharf_lib::catalog::Consistency;
use chervilwharf_lib::group::Group;
use chervilwharf_lib::group::ServerInfo;
use chervilwharf_lib::group::ServerStatus;
use chervilwharf_lib::id::TargetId;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::position::Position;
use chervilwharf_lib::session_floors::OwnCommits;
use chervilwharf_lib::session_floors::OwnPosition;
use quickcheck::quickcheck;

const STALENESS: Duration = Duration::from_millis(1_500);

fn at(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

fn id(name: &str) -> TargetId {
    name.into()
}

fn listed(name: &str, leads: bool) -> ServerInfo {
    ServerInfo {
        id: id(name),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        failure_domain: "a".into(),
        slots: 3,
        draining: false,
        leads,
        start: "".into(),
    }
}

fn status(leads: bool, term: u64, received: Position) -> ServerStatus {
    ServerStatus { leads, term, received, applied: received, lag: Duration::ZERO }
}

/// A primary `p` in term 1 and two replicas, all at position 1/100.
fn group() -> Group {
    let mut group = Group::default();
    let servers = vec![listed("p", true), listed("r1", false), listed("r2", false)];
    group.set_servers(at(0), servers);
    let position = Position::new(1, 100);
    group.observe_status(at(0), at(1), &id("p"), status(true, 1, position));
    group.observe_status(at(0), at(1), &id("r1"), status(false, 1, position));
    group.observe_status(at(0), at(1), &id("r2"), status(false, 1, position));
    group
}

#[test]
fn test_floor_is_the_oldest_sample_that_is_young_enough() {
    let mut group = group();
    for step in 1..=20 {
        let (asked_at, position) = (at(step * 100), Position::new(1, 100 + step));
        group.observe_leading(asked_at, asked_at, &id("p"), position);
    }
    let floor = group.floor(at(2_000), Consistency::Bounded(STALENESS), OwnCommits::None);
    assert_eq!(floor, Some(Position::new(1, 105)));
}

#[test]
fn test_own_commit_raises_the_floor() {
    let group = group();
    let position = Position::new(1, 120);
    let own = OwnCommits::UpTo(OwnPosition { position, acknowledged_at: at(10) });
    let consistency = Consistency::ReadYourWrites(STALENESS);
    assert_eq!(group.floor(at(10), consistency, own), Some(position));
    assert_eq!(
        group.floor(at(10), Consistency::Bounded(STALENESS), own),
        Some(Position::new(1, 100))
    );
}

#[test]
fn test_without_a_recent_sample_no_replica_may_answer() {
    let group = group();
    assert_eq!(group.floor(at(1_501), Consistency::Bounded(STALENESS), OwnCommits::None), None);
    assert_eq!(group.floor(at(1), Consistency::Latest, OwnCommits::None), None);
}

#[test]
fn test_position_of_a_replica_is_not_a_sample() {
    // Guards against a bounded read that misses a commit older than its staleness. A server
    // that lost the lead answers a write with its position, which must not count as a
    // position of the primary.
    let mut group = group();
    group.observe_leading(at(1_000), at(1_001), &id("r1"), Position::new(1, 50));
    assert_eq!(group.floor(at(1_600), Consistency::Bounded(STALENESS), OwnCommits::None), None);
}

#[test]
fn test_old_primary_is_not_promoted_again_after_a_partition() {
    // Guards against the loss of acknowledged commits. Primary p and this instance are
    // partitioned from the others, which promote r1 in term 2 and write to it; p refuses a
    // write. When the partition ends, p still has its own log up to 1/270. The instance
    // promoted p, the only server that it had reached, and the commits of term 2 were rolled
    // back.
    let mut group = group();
    assert!(group.observe_not_leading(&id("p"), 0));
    assert!(!group.may_lead(&status(false, 1, Position::new(1, 270))));
    // The same holds if p has seen term 2 but still has its old log.
    group.observe_status(at(5), at(6), &id("r1"), status(true, 2, Position::new(1, 232)));
    assert!(!group.may_lead(&status(false, 2, Position::new(1, 270))));
    assert!(group.may_lead(&status(false, 2, Position::new(1, 232))));
    assert!(group.may_lead(&status(false, 2, Position::new(2, 240))));
}

#[test]
fn test_floor_beyond_a_promotion_is_lowered_to_the_last_surviving_entry() {
    // Guards against a session whose reads are answered LAGGING for ever after a failover.
    // The session committed 1/120, and a replica that had received 1/110 was promoted in
    // term 2, so that no server has 1/120 any more.
    let mut group = group();
    group.observe_status(at(5), at(6), &id("r1"), status(true, 2, Position::new(1, 110)));
    assert_eq!(group.surviving(Position::new(1, 120)), Position::new(1, 110));
    assert_eq!(group.surviving(Position::new(1, 105)), Position::new(1, 105));
    assert_eq!(group.surviving(Position::new(2, 115)), Position::new(2, 115));
}

#[test]
fn test_only_a_later_term_proves_that_a_floor_was_rolled_back() {
    let mut group = group();
    let floor = Position::new(1, 120);
    let applied = |term| Some(Position::new(term, 110));
    assert!(!group.observe_lagging(at(5), &id("r1"), floor, applied(1)));
    assert!(group.observe_lagging(at(6), &id("r2"), floor, applied(2)));
}

#[test]
fn test_lagging_replica_gets_reads_again_when_its_delay_has_passed() {
    // Guards against reads that are sent to a delayed replica too early. When replicas applied
    // changes five seconds late and each read tried them again after a fixed short time, a
    // third of all statements was answered LAGGING.
    let mut group = group();
    for step in 1..=50 {
        let asked_at = at(step * 100);
        group.observe_leading(asked_at, asked_at, &id("p"), Position::new(1, 100 + step));
    }
    // r1 has applied the log up to 1/110. The primary first reported a later position at
    // 1,100 ms, so at 5,000 ms r1 is 3.9 s behind.
    group.observe_answer(at(5_000), &id("r1"), Some(Position::new(1, 110)));
    assert!(group.can_read(at(5_000), &id("r1"), Position::new(1, 110)));
    assert!(!group.can_read(at(5_000), &id("r1"), Position::new(1, 130)));
    assert!(group.can_read(at(6_900), &id("r1"), Position::new(1, 130)));
    // Half a second after its last answer, r1 is due for a query.
    let lagging_replicas: Vec<_> =
        group.lagging_replicas(at(5_600)).map(|view| view.info.id.clone()).collect();
    assert_eq!(lagging_replicas, [id("r1")]);
}

#[test]
fn test_reads_go_to_replicas_first_and_never_to_draining_ones() {
    let mut group = group();
    let floor = Position::new(1, 100);
    assert_eq!(group.readers(at(10), floor), [id("r1"), id("r2"), id("p")]);
    let leaving = ServerInfo { draining: true, ..listed("r1", false) };
    group.set_servers(at(10), vec![listed("p", true), leaving, listed("r2", false)]);
    assert_eq!(group.readers(at(10), floor), [id("r2"), id("p")]);
    group.observe_failure(at(11), &id("r2"));
    assert_eq!(group.readers(at(12), floor), [id("p"), id("r2")]);
}

#[test]
fn test_server_that_is_newly_listed_as_primary_is_queried_for_its_term() {
    // Guards against instances that use a failed server for a second after a failover. While
    // the list names both the failed and the new primary, only a query of the servers shows
    // which is the later one, because entries of the list have no term.
    let mut group = group();
    group.take_claimants();
    group.set_servers(at(9), vec![listed("p", true), listed("r1", true), listed("r2", false)]);
    assert_eq!(group.take_claimants(), [id("r1")]);
    assert!(group.leads(&id("p")));
    assert!(group.observe_status(at(9), at(10), &id("r1"), status(true, 2, Position::new(1, 100))));
    assert!(group.leads(&id("r1")));
    // A late answer of the old primary does not revert the change.
    assert!(!group.observe_status(at(8), at(11), &id("p"), status(true, 1, Position::new(1, 100))));
    assert!(group.leads(&id("r1")));
}

#[test]
fn test_leader_that_others_report_in_a_later_term_is_adopted() {
    let mut group = group();
    assert!(!group.observe_reported_leader(at(5), &id("r1"), 1));
    assert!(!group.observe_reported_leader(at(5), &id("unlisted"), 2));
    assert!(group.observe_reported_leader(at(5), &id("r1"), 2));
    assert!(group.leads(&id("r1")));
}

#[test]
fn test_sample_reported_by_others_serves_as_a_floor() {
    // Guards against a busy primary that gets all reads of an instance. The primary refuses
    // the instance's queries for its position, and without a sample no replica may answer.
    let mut group = group();
    group.observe_reported_position(at(2_000), Position::new(1, 140));
    let floor = group.floor(at(2_500), Consistency::Bounded(STALENESS), OwnCommits::None);
    assert_eq!(floor, Some(Position::new(1, 140)));
}

quickcheck! {
    /// For any sequence of samples, a floor covers every commit that was acknowledged longer
    /// ago than the staleness.
    fn prop_floor_covers_commits_older_than_the_staleness(
        steps: Vec<(u8, u8)>,
        read_after: u16,
        staleness: u16
    ) -> bool {
        let mut group = group();
        let (mut time, mut index) = (0_u64, 100_u64);
        let mut acknowledged = Vec::new();
        for (pause, commits) in steps {
            time += u64::from(pause);
            index += u64::from(commits % 4);
            acknowledged.push((time, index));
            group.observe_leading(at(time), at(time), &id("p"), Position::new(1, index));
        }
        let read_at = time + u64::from(read_after);
        let staleness = u64::from(staleness);
        let consistency = Consistency::Bounded(at(staleness));
        let Some(floor) = group.floor(at(read_at), consistency, OwnCommits::None) else {
            return true;
        };
        acknowledged
            .iter()
            .filter(|(acknowledged_at, _)| acknowledged_at + staleness < read_at)
            .all(|(_, index)| *index <= floor.index)
    }
}

#[test]
fn test_slow_statement_raises_no_suspicion_while_the_primary_answers_others() {
    // Guards against probes of a loaded primary that take the slots statements wait for. A
    // statement waits in the primary's queue while others are answered, and each slow
    // statement caused a probe on a new connection.
    let mut group = group();
    group.observe_answer(at(950), &id("p"), None);
    assert!(!group.suspect(at(1_000), &id("p")));
    assert!(!group.take_suspicion());
    assert!(group.suspect(at(1_100), &id("p")));
    assert!(group.take_suspicion());
}

#[test]
fn test_read_goes_to_the_replica_of_its_own_failure_domain() {
    let mut group = Group::with_home("b".into());
    let mut near = listed("r2", false);
    near.failure_domain = "b".into();
    group.set_servers(at(0), vec![listed("p", true), listed("r1", false), near]);
    let position = Position::new(1, 100);
    for name in ["r1", "r2"] {
        group.observe_status(at(0), at(1), &id(name), status(false, 1, position));
    }
    assert_eq!(group.readers(at(2), position)[0], id("r2"));
    // The other replica is preferred if it has fewer running statements.
    group.begin_running("r2");
    assert_eq!(group.readers(at(2), position)[0], id("r1"));
}

fn leading(term: u64, index: u64) -> ServerStatus {
    let received = Position::new(term, index);
    ServerStatus { leads: true, term, received, applied: received, lag: Duration::ZERO }
}

#[test]
fn test_replaced_primary_that_still_reports_to_lead_is_not_followed() {
    // Guards against acknowledged writes that are lost. After another server was promoted and
    // its term seen, the old primary still reports that it leads, and was followed again.
    let mut group = Group::default();
    group.set_servers(at(0), vec![listed("p", true), listed("r1", false)]);
    group.observe_status(at(0), at(1), &"p".into(), leading(1, 5));
    group.observe_status(at(10), at(11), &"r1".into(), leading(2, 6));
    assert!(group.leads(&"r1".into()));
    group.observe_status(at(20), at(21), &"p".into(), leading(1, 9));
    assert!(group.leads(&"r1".into()));
}

#[test]
fn test_primary_whose_successor_was_seen_is_dropped() {
    // Guards against a planned change that promotes a server without acknowledged commits. A
    // replica reports a later term. The term was ignored, so the change replaced the current
    // primary while it meant to replace the old one.
    let mut group = Group::default();
    group.set_servers(at(0), vec![listed("p", true), listed("r1", false)]);
    group.observe_status(at(0), at(1), &"p".into(), leading(1, 5));
    let replica = ServerStatus { leads: false, ..leading(2, 5) };
    group.observe_status(at(10), at(11), &"r1".into(), replica);
    assert_eq!(group.leader(), None);
}

#[test]
fn test_primary_that_was_started_again_without_its_log_is_not_followed() {
    // Guards against sessions that do not see their own writes. A primary restarted under its
    // old id with an empty log, and was taken for the server that it had been.
    let mut group = Group::default();
    group.set_servers(at(0), vec![listed("p", true), listed("r1", false)]);
    group.observe_status(at(0), at(1), &"p".into(), leading(1, 5));
    let again = ServerInfo { start: "2".into(), ..listed("p", true) };
    group.set_servers(at(10), vec![again, listed("r1", false)]);
    assert_eq!(group.leader(), None, "its state is not known yet");
    assert_eq!(group.server("p").map(|view| view.applied), Some(Position::ZERO));
    group.observe_status(at(20), at(21), &"p".into(), leading(1, 0));
    assert_eq!(group.leader(), None, "it lacks what it acknowledged");
}

/// Guards against reads that are refused dozens of times in a row by replicas which lag more
/// than an instance that has just started can know: each refusal raised the assumed delay
/// by a constant, so all waiting reads tried the replica again every few milliseconds.
#[test]
fn test_reads_of_a_started_instance_seldom_try_a_replica_that_lags() {
    const LAG_MS: u64 = 700;
    let started_ms = 10_000;
    let position_at = |ms: u64| Position::new(1, ms / 10);
    let mut group = Group::default();
    group.set_servers(at(started_ms), vec![listed("p", true), listed("r1", false)]);
    let leading = status(true, 1, position_at(started_ms));
    group.observe_status(at(started_ms), at(started_ms), &id("p"), leading);
    let mut refused = 0;
    for ms in (started_ms..started_ms + 1_000).step_by(5) {
        group.observe_leading(at(ms), at(ms), &id("p"), position_at(ms));
        let floor = group.floor(at(ms), Consistency::Bounded(STALENESS), OwnCommits::None).unwrap();
        if !group.can_read(at(ms), &id("r1"), floor) {
            continue;
        }
        let applied = position_at(ms - LAG_MS);
        if applied < floor {
            refused += 1;
            group.observe_lagging(at(ms), &id("r1"), floor, Some(applied));
        } else {
            group.observe_answer(at(ms), &id("r1"), Some(applied));
        }
    }
    // The assumed delay doubles from 20 ms.
    assert!(refused <= 7, "{refused} refusals");
    let floor =
        group.floor(at(started_ms + 1_500), Consistency::Bounded(STALENESS), OwnCommits::None);
    assert!(group.can_read(at(started_ms + 1_500), &id("r1"), floor.unwrap()));
}
