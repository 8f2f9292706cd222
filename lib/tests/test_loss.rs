//! Tests of the report on failed and late requests of a run.

use std::time::Duration;

use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::explanation;
use chervilwharf_lib::explanation::LogLine;
use chervilwharf_lib::fair_order::PLACES_TEXT;
use chervilwharf_lib::loss;
use quickcheck::quickcheck;

fn line(at_ms: u64, instance: &str, event: &Event) -> LogLine {
    explanation::parse_line(&event.line(at_ms.into(), instance)).expect("a valid log line")
}

fn ended(kind: EventKind, group: &str, reason: &str, took_ms: u64) -> Event {
    Event::new(kind)
        .with("id", "r")
        .with("group", group)
        .with("reason", reason)
        .with_ms("took_ms", Duration::from_millis(took_ms))
}

#[test]
fn test_refusals_are_grouped_by_their_cause() {
    let out_of_reach = Event::new(EventKind::PrimaryOutOfReach).with("group", "hot");
    let silent = Event::new(EventKind::PeerSilent).with("peer", "h1");
    let cut_off = |group| ended(EventKind::RequestRefused, group, "cut_off", 2);
    let log = vec![
        line(10_000, "a", &out_of_reach),
        line(10_100, "b", &cut_off("hot")),
        line(10_200, "c", &cut_off("hot")),
        line(10_300, "b", &cut_off("calm")),
        line(10_350, "b", &silent),
        line(10_400, "b", &ended(EventKind::RequestRefused, "calm", "holder_silent", 101)),
        // Long after the primary was reported to be out of reach.
        line(19_000, "b", &cut_off("hot")),
    ];
    let report = loss::report(&log);
    let rows: Vec<_> =
        report.rows.iter().map(|row| (row.count, &*row.reason, &*row.cause)).collect();
    let beyond_partition = (2, "cut_off", "the primary is beyond a partition");
    assert!(rows.contains(&beyond_partition), "{rows:?}");
    let unresponsive = (1, "holder_silent", "other instances were unresponsive");
    assert!(rows.contains(&unresponsive), "{rows:?}");
    // The event 9 s before this refusal is too old to be its cause.
    assert!(rows.contains(&(2, "cut_off", "not found in the logs")), "{rows:?}");
    let row =
        report.rows.iter().find(|row| row.cause == beyond_partition.2).expect("checked above");
    assert_eq!(row.instances, [("b".to_owned(), 1), ("c".to_owned(), 1)]);
    assert_eq!((row.first_ms, row.last_ms), (100, 200));
}

#[test]
fn test_event_of_another_group_is_not_a_cause() {
    let replaced = Event::new(EventKind::ReplacementBegun).with("group", "other");
    let refused = ended(EventKind::RequestRefused, "db", "no_primary", 800);
    let log = [line(1_000, "a", &replaced), line(1_500, "a", &refused)];
    assert_eq!(loss::report(&log).rows[0].cause, "not found in the logs");
}

#[test]
fn test_windows_and_lines_left_out_are_counted() {
    let left_out = Event::new(EventKind::LinesLeftOut).with("of", "request_late").with("count", 7);
    let log = vec![
        line(5_000, "a", &Event::new(EventKind::Started)),
        line(5_100, "a", &ended(EventKind::RequestLate, "db", "", 500)),
        line(5_900, "a", &ended(EventKind::RequestUnknown, "db", "outcome_unknown", 800)),
        line(7_200, "a", &ended(EventKind::RequestRefused, "db", "overloaded", 1)),
        line(7_300, "a", &left_out),
    ];
    let report = loss::report(&log);
    let counts: Vec<_> = report
        .windows
        .iter()
        .map(|window| (window.from_ms, window.refused, window.unknown, window.late))
        .collect();
    assert_eq!(counts, [(0, 0, 1, 1), (2_000, 1, 0, 0)]);
    assert_eq!(report.lines_left_out, 7);
}

quickcheck! {
    /// Each request counts once, whatever the order of the log lines.
    fn prop_each_request_counts_once(times: Vec<u16>) -> bool {
        let refused = ended(EventKind::RequestRefused, "db", "overloaded", 3);
        let log: Vec<_> = times.iter().map(|at| line(u64::from(*at), "a", &refused)).collect();
        let report = loss::report(&log);
        let in_rows: usize = report.rows.iter().map(|row| row.count).sum();
        let in_windows: usize = report.windows.iter().map(|window| window.refused).sum();
        in_rows == times.len() && in_windows == times.len()
    }
}

/// Guards against refusals because of load that are attributed to whatever happened shortly before.
#[test]
fn test_refusals_at_once_are_attributed_to_the_load_of_the_holders() {
    let replaced = Event::new(EventKind::ReplacementBegun).with("group", "db");
    let refused = ended(EventKind::RequestRefused, "db", "overloaded", 0);
    let refused = refused.with_count("holders_refusing", 8);
    let log = [line(1_000, "a", &replaced), line(1_500, "a", &refused)];
    assert_eq!(loss::report(&log).rows[0].cause, "all holders of the group were overloaded");
}

#[test]
fn test_refusals_of_accounts_are_not_attributed_to_concurrent_events() {
    let process_paused = Event::new(EventKind::StoodStill);
    let mut log = vec![line(10_000, "a", &process_paused)];
    for reason in ["rate_limited", "unknown_key", "quota_unknown"] {
        log.push(line(10_100, "a", &ended(EventKind::RequestRefused, "db", reason, 1)));
    }
    let beyond_places = ended(EventKind::RequestRefused, "db", "overloaded", 1);
    log.push(line(10_100, "a", &beyond_places.with("text", PLACES_TEXT)));
    let report = loss::report(&log);
    let cause = |reason: &str| {
        let row = report.rows.iter().find(|row| &*row.reason == reason).expect("a row");
        row.cause.clone()
    };
    assert_eq!(cause("rate_limited"), "the account reached its limit");
    assert_eq!(cause("overloaded"), "the account had half of the waiting places");
    assert_eq!(cause("unknown_key"), "no account has the key any more");
    assert_eq!(
        cause("quota_unknown"),
        "no keeper counted the account's operations, and no share had one left"
    );
}

/// Guards against late operations that the report leaves out, or whose largest part it does not
/// tell; lines of earlier builds still count.
#[test]
fn test_late_operations_are_reported_by_their_largest_part() {
    let late = |waited_ms, way_ms| {
        Event::new(EventKind::OperationLate)
            .with("id", "r")
            .with("group", "db")
            .with_ms("took_ms", Duration::from_millis(300))
            .with_ms("waited_ms", Duration::from_millis(waited_ms))
            .with_ms("way_ms", Duration::from_millis(way_ms))
    };
    let log = [
        line(1_000, "a", &late(200, 20)),
        line(1_100, "a", &late(20, 200)),
        line(1_200, "a", &late(250, 10)),
        line(1_300, "a", &ended(EventKind::RequestLate, "db", "", 500)),
    ];
    let report = loss::report(&log);
    assert_eq!(report.windows[0].late, 4);
    let counted: Vec<_> = report.rows.iter().map(|row| (&*row.reason, row.count)).collect();
    assert!(counted.contains(&("served late, mostly waiting for a connection", 2)), "{counted:?}");
    assert!(counted.contains(&("served late, mostly between instances", 1)), "{counted:?}");
}

/// Guards against a report in which operations that are late only because their clients open a
/// session for each look like those that the deployment served too slowly.
#[test]
fn test_operations_that_are_late_by_their_set_up_have_their_own_row() {
    let late = |took_ms, preparation_ms| {
        Event::new(EventKind::OperationLate)
            .with("id", "r")
            .with("group", "db")
            .with_ms("took_ms", Duration::from_millis(took_ms))
            .with_ms("objective_ms", Duration::from_millis(100))
            .with_ms("client_ms", Duration::from_millis(took_ms))
            .with_ms("preparation_ms", Duration::from_millis(preparation_ms))
    };
    let log = [
        line(1_000, "a", &late(116, 30)),
        line(1_100, "a", &late(140, 30)),
        line(1_200, "a", &late(116, 0)),
    ];
    let report = loss::report(&log);
    let counted: Vec<_> = report.rows.iter().map(|row| (&*row.reason, row.count)).collect();
    let reason = "served late, mostly on round trips to the client";
    let alone = format!("{reason}, in time without the set-up of its session");
    assert!(counted.contains(&(&*alone, 1)), "{counted:?}");
    assert!(counted.contains(&(reason, 2)), "{counted:?}");
}
