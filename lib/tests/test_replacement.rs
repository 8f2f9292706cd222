//! When a primary is suspected and replaced, by which instance, and under which token.

use std::net::SocketAddr;
use std::time::Duration;

use chervilwharf_lib::duty;
use chervilwharf_lib::duty::DutyRecord;
use chervilwharf_lib::fleet::InstanceRecord;
use chervilwharf_lib::group::Group;
use chervilwharf_lib::group::ServerInfo;
use chervilwharf_lib::group::ServerStatus;
use chervilwharf_lib::id::InstanceId;
use chervilwharf_lib::id::TargetId;
use chervilwharf_lib::leader_watch::LeaderWatch;
use chervilwharf_lib::leader_watch::PeerReports;
use chervilwharf_lib::leader_watch::ReplaceReason;
use chervilwharf_lib::leader_watch::WatchAction;
use chervilwharf_lib::leader_watch::should_replace;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::position::Position;
use chervilwharf_lib::replica_set::ReplicaSet;
use chervilwharf_lib::voter_set::VoterSet;

fn at(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

fn id(name: &str) -> TargetId {
    name.into()
}

fn listed(name: &str, leads: bool, draining: bool) -> ServerInfo {
    ServerInfo {
        id: id(name),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        failure_domain: "a".into(),
        slots: 3,
        draining,
        leads,
        start: "".into(),
    }
}

fn group(draining: bool) -> Group {
    let mut group = Group::default();
    group.set_servers(
        at(0),
        vec![listed("p", true, draining), listed("r1", false, false), listed("r2", false, false)],
    );
    group
}

fn replaces(actions: &[WatchAction]) -> Option<ReplaceReason> {
    actions.iter().find_map(|action| match action {
        WatchAction::Replace { reason, .. } => Some(*reason),
        _ => None,
    })
}

fn asks(actions: &[WatchAction]) -> bool {
    actions.iter().any(|action| matches!(action, WatchAction::AskPeers(_)))
}

const NONE_REACHES: PeerReports =
    PeerReports { reached: 0, failed: 5, unknown: 0, unresponsive: 0, replacing: false };

/// Lets every probe of the primary fail until the other instances are asked. Returns the
/// time in milliseconds.
fn until_asked(watch: &mut LeaderWatch, group: &mut Group, from_ms: u64) -> u64 {
    let mut ms = from_ms;
    loop {
        let actions = watch.tick(at(ms), group, Some(0));
        assert_eq!(replaces(&actions), None, "no other instance was asked yet");
        if asks(&actions) {
            return ms;
        }
        for action in actions {
            if action == WatchAction::Probe(id("p")) {
                group.observe_failure(at(ms), &id("p"));
                watch.probe_failed(&id("p"));
            }
        }
        ms += 50;
        assert!(ms < from_ms + 5_000, "others are asked at last");
    }
}

#[test]
fn test_failed_primary_is_replaced_within_a_second_of_the_first_failure() {
    let (mut watch, mut group) = (LeaderWatch::default(), group(false));
    group.observe_failure(at(1_000), &id("p"));
    let asked_ms = until_asked(&mut watch, &mut group, 1_000);
    watch.record_reports(at(asked_ms + 5), Some(&id("p")), NONE_REACHES);
    let actions = watch.tick(at(asked_ms + 10), &group, Some(0));
    assert_eq!(replaces(&actions), Some(ReplaceReason::Unreachable));
    assert!(asked_ms < 2_000, "asked after {asked_ms} ms");
}

#[test]
fn test_peers_are_asked_about_an_unresponsive_primary_after_two_probes() {
    // Guards against a slow detection of an unresponsive primary, in which writes waited
    // 770 ms before its replacement began. A statement takes long, and each probe takes
    // 250 ms to fail; the probe that the statement caused did not count as a failed one.
    let (mut watch, mut group) = (LeaderWatch::default(), group(false));
    group.observe_answer(at(900), &id("p"), None);
    let first = watch.suspect_primary(at(1_000), &group);
    assert_eq!(first, Some(WatchAction::Probe(id("p"))));
    let mut failing_at = vec![1_250];
    for ms in (1_000..1_400).step_by(10) {
        if failing_at.contains(&ms) {
            group.observe_failure(at(ms), &id("p"));
            watch.probe_failed(&id("p"));
        }
        for action in watch.tick(at(ms), &group, Some(0)) {
            match action {
                WatchAction::Probe(server) if server == id("p") => failing_at.push(ms + 250),
                WatchAction::AskPeers(_) => {
                    assert_eq!(ms, 1_350, "as soon as the second probe failed");
                    return;
                }
                _ => {}
            }
        }
    }
    panic!("others were not asked: {failing_at:?}");
}

#[test]
fn test_primary_of_unknown_term_is_queried_although_its_position_is_known() {
    // Guards against an instance that refuses all writes of a group for as long as it runs.
    // After a power loss, its first query to the primary was refused for too many
    // connections, and other instances reported the primary's position. With a recent
    // position it sent no further query, so it never got the term that the lease needs.
    let (mut watch, mut group) = (LeaderWatch::default(), group(false));
    for ms in (0..2_000).step_by(100) {
        group.observe_reported_position(at(ms), Position::new(1, ms + 1));
        let actions = watch.tick(at(ms), &group, Some(0));
        let asks = actions.contains(&WatchAction::Sample(id("p")));
        assert_eq!(asks, ms % 200 == 0, "at {ms} ms: {actions:?}");
    }
}

#[test]
fn test_suspicion_ends_with_an_answer() {
    // Guards against endless probes of a primary that was only slow. A statement took long,
    // and the answer to the following probe did not end the suspicion.
    let (mut watch, mut group) = (LeaderWatch::default(), group(false));
    watch.suspect_primary(at(1_000), &group);
    group.observe_answer(at(1_020), &id("p"), None);
    for ms in (1_030..3_000).step_by(10) {
        let actions = watch.tick(at(ms), &group, Some(0));
        assert!(!actions.contains(&WatchAction::Probe(id("p"))), "at {ms} ms: {actions:?}");
    }
}

#[test]
fn test_primary_that_another_instance_reaches_is_kept() {
    // Guards against a replacement that rolled back 62 acknowledged commits. A partition
    // separated the primary from its replicas and half of the instances; the other half
    // wrote to it, and an instance that could not reach it replaced it.
    let (mut watch, mut group) = (LeaderWatch::default(), group(false));
    group.observe_failure(at(0), &id("p"));
    let asked_ms = until_asked(&mut watch, &mut group, 0);
    let reports = PeerReports { reached: 1, failed: 4, ..PeerReports::default() };
    for round in 0..20 {
        let ms = asked_ms + round * 200;
        watch.record_reports(at(ms), Some(&id("p")), reports);
        assert_eq!(replaces(&watch.tick(at(ms + 1), &group, Some(0))), None);
    }
}

#[test]
fn test_one_failed_statement_does_not_replace_a_primary() {
    // Guards against a second without writes although the primary works. One answer is
    // lost and the next probe succeeds; a single failure must not cause a replacement.
    let (mut watch, mut group) = (LeaderWatch::default(), group(false));
    group.observe_failure(at(0), &id("p"));
    let actions = watch.tick(at(10), &group, Some(0));
    assert!(actions.contains(&WatchAction::Probe(id("p"))));
    group.observe_answer(at(20), &id("p"), None);
    for ms in (30..5_000).step_by(50) {
        let actions = watch.tick(at(ms), &group, Some(0));
        assert!(replaces(&actions).is_none() && !asks(&actions));
    }
}

#[test]
fn test_instances_without_a_report_delay_the_decision_only_for_a_while() {
    let reports = PeerReports { failed: 2, unknown: 3, ..PeerReports::default() };
    assert!(!should_replace(reports, 1, false));
    assert!(should_replace(reports, 3, false));
}

#[test]
fn test_minority_behind_a_partition_does_not_replace_a_primary() {
    // Guards against a replacement that rolled back 45 acknowledged commits and left five of
    // eight instances without a primary for four seconds. A partition separated the primary
    // and five instances from its replicas and the other three, which counted the five
    // unreachable instances as votes for the replacement.
    let minority = PeerReports { failed: 2, unresponsive: 5, ..PeerReports::default() };
    assert!(!should_replace(minority, 9, false));
    let half = PeerReports { failed: 2, unresponsive: 3, ..PeerReports::default() };
    assert!(!should_replace(half, 9, false));
    let majority = PeerReports { failed: 4, unresponsive: 3, ..PeerReports::default() };
    assert!(should_replace(majority, 9, false));
    // In a lasting suspicion, unresponsive instances count as failed.
    assert!(should_replace(minority, 9, true));
}

/// Guards against clients on the smaller side of a partition that waited 760 ms and more
/// before their requests failed for lack of a primary. The primary and most instances were
/// on the other side; the remaining instances continued to wait for it, or for a successor
/// that they are too few to promote.
#[test]
fn test_primary_beyond_a_partition_is_given_up_until_it_answers() {
    let minority =
        PeerReports { reached: 0, failed: 1, unknown: 0, unresponsive: 6, replacing: false };
    let mut watch = LeaderWatch::default();
    let mut group = group(false);
    group.observe_failure(at(0), &id("p"));
    let ms = until_asked(&mut watch, &mut group, 0);
    watch.record_reports(at(ms), Some(&id("p")), minority);
    assert_eq!(watch.out_of_reach(), None, "one round may be lost");
    watch.record_reports(at(ms + 200), Some(&id("p")), minority);
    assert_eq!(watch.out_of_reach(), Some(&id("p")));
    assert!(group.set_out_of_reach(watch.out_of_reach()), "first report");
    assert!(!group.set_out_of_reach(watch.out_of_reach()), "repeated report");
    assert!(group.is_cut_off(at(ms + 200)));
    group.observe_answer(at(ms + 300), &id("p"), None);
    assert!(!group.is_cut_off(at(ms + 300)));
}

/// A primary that can be reached or replaced, or that is being replaced, is waited for.
#[test]
fn test_primary_that_can_be_replaced_or_reached_is_not_given_up() {
    let minority =
        PeerReports { reached: 0, failed: 1, unknown: 0, unresponsive: 6, replacing: false };
    let waited_for = [
        PeerReports { failed: 6, unresponsive: 1, ..minority },
        PeerReports { reached: 1, ..minority },
        PeerReports { unknown: 1, ..minority },
        PeerReports { replacing: true, ..minority },
    ];
    for reports in waited_for {
        let mut watch = LeaderWatch::default();
        let mut group = group(false);
        group.observe_failure(at(0), &id("p"));
        let ms = until_asked(&mut watch, &mut group, 0);
        for round in 0..3 {
            watch.record_reports(at(ms + 200 * round), Some(&id("p")), reports);
        }
        assert_eq!(watch.out_of_reach(), None, "{reports:?}");
    }
}

/// Guards against requests that wait for their whole time for a primary that nobody can replace
/// while the store fails.
#[test]
fn test_failed_primary_is_given_up_while_the_store_fails() {
    let (mut watch, mut group) = (LeaderWatch::default(), group(false));
    group.observe_failure(at(0), &id("p"));
    let asked_ms = until_asked(&mut watch, &mut group, 0);
    watch.set_lacks_store(true);
    let mut report = |replacing| {
        let reports = PeerReports { replacing, ..NONE_REACHES };
        watch.record_reports(at(asked_ms), Some(&id("p")), reports);
        watch.out_of_reach().is_some()
    };
    assert_eq!([report(false), report(false)], [false, true]);
    assert!(!report(true), "another instance, which reaches the store, replaces it");
    assert!(report(false));
    watch.set_lacks_store(false);
    watch.record_reports(at(asked_ms), Some(&id("p")), NONE_REACHES);
    assert_eq!(watch.out_of_reach(), None);
}

#[test]
fn test_later_instances_in_the_succession_wait_for_the_first() {
    let (mut watch, mut group) = (LeaderWatch::default(), group(false));
    group.observe_failure(at(0), &id("p"));
    let asked_ms = until_asked(&mut watch, &mut group, 0);
    watch.record_reports(at(asked_ms), Some(&id("p")), NONE_REACHES);
    assert_eq!(replaces(&watch.tick(at(asked_ms + 1), &group, Some(1))), None);
    assert!(replaces(&watch.tick(at(asked_ms + 800), &group, Some(1))).is_some());
    assert_eq!(replaces(&watch.tick(at(asked_ms + 5_000), &group, None)), None);
}

#[test]
fn test_instance_that_cannot_take_the_duty_leaves_it_to_the_next() {
    // Guards against a group without a primary for twelve seconds. The store refused the
    // instance that is first in the succession. That instance retried as soon as it had
    // failed, and the others waited for it.
    let (mut watch, mut group) = (LeaderWatch::default(), group(false));
    group.observe_failure(at(0), &id("p"));
    let asked_ms = until_asked(&mut watch, &mut group, 0);
    watch.record_reports(at(asked_ms), Some(&id("p")), NONE_REACHES);
    watch.replacing(at(asked_ms));
    watch.defer_replacement(at(asked_ms + 10));
    watch.replacement_failed(at(asked_ms + 10));
    assert_eq!(replaces(&watch.tick(at(asked_ms + 3_000), &group, Some(0))), None);
    let mut next = LeaderWatch::default();
    let next_asked_ms = until_asked(&mut next, &mut group, 0);
    next.record_reports(at(next_asked_ms), Some(&id("p")), NONE_REACHES);
    assert!(replaces(&next.tick(at(next_asked_ms + 700), &group, Some(1))).is_some());
    assert!(replaces(&watch.tick(at(asked_ms + 4_000), &group, Some(0))).is_some());
}

#[test]
fn test_no_second_replacement_while_one_is_under_way() {
    let (mut watch, mut group) = (LeaderWatch::default(), group(false));
    group.observe_failure(at(0), &id("p"));
    let asked_ms = until_asked(&mut watch, &mut group, 0);
    let replacing = PeerReports { replacing: true, ..NONE_REACHES };
    watch.record_reports(at(asked_ms), Some(&id("p")), replacing);
    assert_eq!(replaces(&watch.tick(at(asked_ms + 2_000), &group, Some(0))), None);
    assert!(replaces(&watch.tick(at(asked_ms + 2_600), &group, Some(0))).is_some());
}

#[test]
fn test_leaving_primary_is_replaced_at_once_by_the_first() {
    let (mut watch, mut group) = (LeaderWatch::default(), group(true));
    let status = ServerStatus {
        leads: true,
        term: 3,
        received: Position::new(3, 7),
        applied: Position::new(3, 7),
        lag: Duration::ZERO,
    };
    group.observe_status(at(0), at(5), &id("p"), status);
    assert_eq!(replaces(&watch.tick(at(10), &group, Some(0))), Some(ReplaceReason::Leaving));
    let mut second = LeaderWatch::default();
    assert_eq!(replaces(&second.tick(at(10), &group, Some(1))), None);
}

#[test]
fn test_leaving_server_that_only_the_list_names_as_primary_is_not_replaced() {
    // Guards against a planned change that promotes a server without acknowledged commits.
    // An instance starts just after a change of the primary, when the list still names the
    // old one, which drains, and a replica reports the new term. The instance replaced the
    // successor while it meant to replace the old primary.
    let (mut watch, group) = (LeaderWatch::default(), group(true));
    assert_eq!(replaces(&watch.tick(at(10), &group, Some(0))), None);
}

#[test]
fn test_group_without_a_primary_waits_for_one_before_it_promotes() {
    let (mut watch, mut group) = (LeaderWatch::default(), group(false));
    group.observe_not_leading(&id("p"), 0);
    let unknown = PeerReports { unknown: 5, ..PeerReports::default() };
    let mut replaced_at = None;
    for ms in (0..12_000).step_by(100) {
        let actions = watch.tick(at(ms), &group, Some(0));
        if asks(&actions) {
            watch.record_reports(at(ms), None, unknown);
        }
        if let Some(reason) = replaces(&actions) {
            replaced_at.get_or_insert((ms, reason));
        }
    }
    let (ms, reason) = replaced_at.expect("replaced at last");
    assert_eq!(reason, ReplaceReason::Absent);
    assert!((1_200..2_500).contains(&ms), "after {ms} ms");
}

fn instance(name: &str, life: u64) -> InstanceRecord {
    InstanceRecord {
        id: name.into(),
        life,
        peer_address: SocketAddr::from(([127, 0, 0, 1], 1)),
        failure_domain: "a".into(),
        capacity_millicores: 250,
    }
}

#[test]
fn test_each_claim_of_a_duty_raises_its_token() {
    // Guards against an abandoned promotion order that takes effect seconds later and undoes
    // a newer one. The first order got no answer, and another server was promoted under the
    // same token, so the platform could not reject the first order as outdated.
    let group = "db".into();
    let first = duty::next_record(&group, &instance("a", 1), None, None, 0);
    let second = duty::next_record(&group, &instance("a", 1), Some(&first), None, 0);
    let third = duty::next_record(&group, &instance("b", 7), Some(&second), None, 0);
    assert_eq!([first.token, second.token, third.token], [1, 2, 3]);
    assert_eq!(
        third,
        DutyRecord {
            group,
            holder: "b".into(),
            life: 7,
            token: 3,
            order: None,
            retired: 0,
            voters: VoterSet::default(),
            replicas: ReplicaSet::default(),
            admits_readers: false,
        }
    );
}

#[test]
fn test_holder_comes_first_and_the_order_is_the_same_everywhere() {
    let eligible: Vec<InstanceId> = ["a", "b", "c", "d"].map(Into::into).to_vec();
    let mut reversed = eligible.clone();
    reversed.reverse();
    let holder: InstanceId = "c".into();
    let order = duty::succession(&"db".into(), Some(&holder), &eligible);
    assert_eq!(order, duty::succession(&"db".into(), Some(&holder), &reversed));
    assert_eq!(order[0], holder);
    assert_eq!(order.len(), 4);
}

/// Guards against a working replica that gets no reads, so that the primary serves all of
/// them. The replica fell behind, and an exchange failed during a partition. Reads avoid a
/// replica that is far behind, and lagging replicas were queried only if they had not
/// failed.
#[test]
fn test_replica_that_failed_while_lagging_is_probed_until_it_answers() {
    let (mut watch, mut group) = (LeaderWatch::default(), group(false));
    let status = |leads, received, applied| ServerStatus {
        leads,
        term: 1,
        received: Position::new(1, received),
        applied: Position::new(1, applied),
        lag: Duration::ZERO,
    };
    for step in 0..40 {
        let (ms, index) = (step * 100, step + 10);
        group.observe_status(at(ms), at(ms), &id("p"), status(true, index, index));
    }
    group.observe_status(at(3_900), at(3_900), &id("r1"), status(false, 11, 11));
    group.observe_failure(at(4_000), &id("r1"));
    let floor = Position::new(1, 40);
    assert!(!group.can_read(at(4_600), &id("r1"), floor), "no read goes there by itself");
    let asked = |watch: &mut LeaderWatch, group: &Group, ms| {
        watch.tick(at(ms), group, Some(0)).contains(&WatchAction::Probe(id("r1")))
    };
    assert!(!asked(&mut watch, &group, 4_100), "it failed just now");
    assert!(asked(&mut watch, &group, 4_600));
    assert!(!asked(&mut watch, &group, 4_700), "an answer may be on its way");
    assert!(asked(&mut watch, &group, 5_200));
    group.observe_status(at(5_250), at(5_250), &id("r1"), status(false, 49, 49));
    assert!(group.can_read(at(5_250), &id("r1"), floor));
    assert!(!asked(&mut watch, &group, 5_900));
}
