//! Tests of log lines, their rate limits, and the explanation of a request from them.

use std::time::Duration;

use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::event::LineBudget;
use chervilwharf_lib::event::LineCounter;
use chervilwharf_lib::explanation;
use chervilwharf_lib::explanation::LogLine;
use chervilwharf_lib::fair_order::PLACES_TEXT;
use quickcheck::quickcheck;

fn line(at_ms: u128, instance: &str, event: &Event) -> LogLine {
    explanation::parse_line(&event.line(at_ms, instance)).expect("a valid log line")
}

fn request(kind: EventKind, id: &str, reason: &str) -> Event {
    Event::new(kind)
        .with("id", id)
        .with("group", "db")
        .with("server", "s1")
        .with("reason", reason)
        .with_ms("waited_ms", Duration::from_millis(10))
        .with_ms("at_server_ms", Duration::from_millis(700))
        .with_ms("took_ms", Duration::from_millis(710))
        .with_count("waiting", 7)
}

#[test]
fn test_names_of_events_differ() {
    let mut names: Vec<_> = EventKind::ALL.iter().map(|kind| kind.name()).collect();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), EventKind::ALL.len());
}

#[test]
fn test_budget_keeps_lines_of_failed_requests_when_others_are_many() {
    let mut exchange = LineCounter::default();
    let written = (0..1_000).filter(|_| exchange.take(5, LineBudget::Exchange).0).count();
    assert_eq!(written, LineBudget::Exchange.lines_per_s() as usize);
    let mut request = LineCounter::default();
    assert!(request.take(5, LineBudget::Request).0);
    // The next second reports the number of omitted lines.
    let (allowed, left_out) = exchange.take(6, LineBudget::Exchange);
    assert!(allowed);
    assert_eq!(left_out, 1_000 - u64::from(LineBudget::Exchange.lines_per_s()));
}

#[test]
fn test_explanation_of_a_commit_lost_with_its_primary() {
    // A client gets an unknown outcome: its primary stops answering at COMMIT, and
    // another instance replaces the primary. Only the lines of both instances
    // together show the cause.
    let replaced = Event::new(EventKind::ReplacementBegun)
        .with("group", "db")
        .with("from", "s1")
        .with("server", "s2")
        .with("reason", "Unreachable");
    let other = Event::new(EventKind::ReplacementBegun).with("group", "elsewhere");
    let log = vec![
        line(10_700, "a", &request(EventKind::RequestUnknown, "r1", "outcome_unknown")),
        line(10_500, "b", &replaced),
        line(10_510, "b", &other),
        line(10_710, "a", &request(EventKind::RequestRefused, "r2", "overloaded")),
        line(2_000, "b", &replaced),
    ];
    let explanation = explanation::explain_request("r1", log);
    let found: Vec<_> =
        explanation.lines.iter().map(|line| (&*line.line.event, line.own)).collect();
    assert_eq!(found, [("replacement_begun", false), ("request_unknown", true)]);
    let cause = explanation.cause.expect("a cause");
    assert!(cause.contains("s1 did not answer") && cause.contains("replaced by s2"), "{cause}");
    assert!(explanation.missing.is_empty());
}

#[test]
fn test_explanation_counts_repeated_lines_and_lists_missing_information() {
    let failed = Event::new(EventKind::ProbeFailed).with("group", "db").with("server", "s1");
    let left_out = Event::new(EventKind::LinesLeftOut).with("of", "probe_failed").with("count", 12);
    let mut log: Vec<_> = (0..5).map(|step| line(10_000 + step, "a", &failed)).collect();
    log.push(line(10_100, "a", &request(EventKind::RequestMoved, "r1", "overloaded")));
    log.push(line(10_200, "a", &left_out));
    let explanation = explanation::explain_request("r1", log.clone());
    assert_eq!(explanation.lines[0].count, 5);
    assert_eq!(explanation.missing.len(), 2, "its end, and 12 lines: {:?}", explanation.missing);
    let absent = explanation::explain_request("other", log);
    assert!(absent.lines.is_empty() && absent.cause.is_none());
    assert!(absent.missing[0].contains("no line names this id"));
}

#[test]
fn test_text_before_the_json_object_is_ignored() {
    let text = Event::new(EventKind::Started).line(5, "a");
    let line = explanation::parse_line(&format!("  12.5 front-1 {text}")).unwrap();
    assert_eq!((line.at_ms, &*line.instance, &*line.event), (5, "a", "started"));
    assert_eq!(explanation::parse_line("plain words"), None);
    assert_eq!(explanation::parse_line("{\"event\":\"x\"}"), None);
}

quickcheck! {
    /// Whatever a client sends, its log line is one line of valid JSON of bounded length.
    fn prop_any_text_makes_one_valid_line(text: String, instance: String) -> bool {
        let line = Event::new(EventKind::RequestRefused).with("text", &text).line(1, &instance);
        let parsed = explanation::parse_line(&line);
        !line.contains('\n') && line.len() < 6_000 && parsed.is_some()
    }
}

#[test]
fn test_explanation_says_why_an_instance_refused_and_why_a_commit_is_unknown() {
    // Guards against an explanation that contains only the name of the error. One
    // instance has no lease on the primary; another one gets a commit acknowledged
    // after its lease has ended.
    let refused = request(EventKind::RequestRefused, "r1", "cut_off");
    let explanation = explanation::explain_request("r1", vec![line(5_000, "a", &refused)]);
    let cause = explanation.cause.expect("a cause");
    assert!(cause.contains("instance a had no lease on the primary"), "{cause}");

    let unconfirmed = Event::new(EventKind::CommitUnconfirmed).with("id", "r2").with("group", "db");
    let unknown = request(EventKind::RequestUnknown, "r2", "outcome_unknown");
    let log = vec![line(5_000, "a", &unconfirmed), line(5_001, "a", &unknown)];
    let cause = explanation::explain_request("r2", log).cause.expect("a cause");
    assert!(cause.contains("may have been replaced as the primary"), "{cause}");
}

/// Guards against an explanation that names a queue at the entry, where nothing waited: the
/// request was refused at once because of the load of all holders.
#[test]
fn test_refusal_at_once_names_the_holders() {
    let refused = request(EventKind::RequestRefused, "r1", "overloaded");
    let log = vec![line(5_000, "a", &refused.with_count("holders_refusing", 8))];
    let cause = explanation::explain_request("r1", log).cause.expect("a cause");
    assert_eq!(cause, "refused at once: all 8 holders of the group were overloaded");
}

#[test]
fn test_refusals_of_accounts_name_the_account_and_its_limit() {
    let refused = |reason: &str, text: &str| {
        request(EventKind::RequestRefused, "r", reason).with("account", "alder").with("text", text)
    };
    let cases = [
        ("rate_limited", "faster than it may: 5 a second", "5 a second"),
        ("unknown_key", "no account has this key", "does not have it any more"),
        ("quota_unknown", "nobody can tell", "counts the operations"),
        ("overloaded", PLACES_TEXT, "half of the waiting places"),
    ];
    for (reason, text, expected) in cases {
        let log = [line(1_000, "a", &refused(reason, text))];
        let cause = explanation::explain_request("r", log.to_vec()).cause.expect("a cause");
        assert!(cause.contains("alder") && cause.contains(expected), "{cause}");
    }
}

/// Guards against a late transaction whose explanation does not tell where its time went. The
/// line of an earlier build is explained as before.
#[test]
fn test_explanation_of_a_late_operation_tells_its_largest_part() {
    let late = Event::new(EventKind::OperationLate)
        .with("id", "r1")
        .with("group", "db")
        .with_count("statements", 12)
        .with_ms("took_ms", Duration::from_millis(180))
        .with_ms("waited_ms", Duration::from_millis(20))
        .with_ms("at_server_ms", Duration::from_millis(40))
        .with_ms("way_ms", Duration::from_millis(70))
        .with_ms("client_ms", Duration::from_millis(50))
        .with_ms("unavoidable_ms", Duration::from_millis(90));
    let cause = |event: &Event| {
        explanation::explain_request("r1", vec![line(5_000, "a", event)]).cause.expect("a cause")
    };
    let text = cause(&late);
    assert!(text.contains("70 ms were spent between instances"), "{text}");
    assert!(text.contains("90 ms were unavoidable"), "{text}");
    let text = cause(&request(EventKind::RequestLate, "r1", ""));
    assert!(text.contains("700 ms at servers"), "{text}");
}

/// Guards against a late operation that seems to have taken long although its client opened a
/// session for it first. Lines without a preparation, and those of earlier builds, name none.
#[test]
fn test_explanation_of_a_late_operation_tells_its_preparation() {
    let late = Event::new(EventKind::OperationLate)
        .with("id", "r1")
        .with("group", "db")
        .with_count("statements", 1)
        .with_ms("took_ms", Duration::from_millis(116))
        .with_ms("at_server_ms", Duration::from_millis(80))
        .with_ms("client_ms", Duration::from_millis(36))
        .with_ms("unavoidable_ms", Duration::from_millis(116));
    let cause = |event: &Event| {
        explanation::explain_request("r1", vec![line(5_000, "a", event)]).cause.expect("a cause")
    };
    let before = "passed before its first statement";
    let text = cause(&late.clone().with_ms("preparation_ms", Duration::from_millis(30)));
    assert!(text.contains(&format!("116 ms were unavoidable; 30 ms {before}")), "{text}");
    for event in [late.clone().with_ms("preparation_ms", Duration::ZERO), late] {
        let text = cause(&event);
        assert!(!text.contains(before), "{text}");
    }
}

/// Guards against refusals for lack of a primary that do not tell on whom the group waits.
#[test]
fn test_explanation_names_the_replicas_that_may_have_acknowledged_commits() {
    let awaited = Event::new(EventKind::ReplicasAwaited).with("group", "db");
    let awaited = awaited.with_count("answered", 1).with("absent", "s2, s3");
    let refused = request(EventKind::RequestRefused, "r1", "no_primary").with("group", "db");
    let log = vec![line(5_000, "a", &awaited), line(5_100, "a", &refused)];
    let cause = explanation::explain_request("r1", log).cause.expect("a cause");
    assert!(cause.contains("s2, s3"), "{cause}");
}
