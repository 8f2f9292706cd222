//! Reports on the load of holders.

use std::time::Duration;

use chervilwharf_lib::group_load::ExpectedWait;
use chervilwharf_lib::group_load::GroupLoad;
use chervilwharf_lib::group_load::LOAD_VALIDITY;
use chervilwharf_lib::group_load::LoadReporter;
use chervilwharf_lib::group_load::LoadReports;
use chervilwharf_lib::group_load::REPORT_INTERVAL;
use chervilwharf_lib::group_load::RequestKind;
use chervilwharf_lib::group_load::WaitOutlook;
use chervilwharf_lib::id::GroupId;
use chervilwharf_lib::id::InstanceId;
use chervilwharf_lib::load_shedding::WaitForecast;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::wait_estimator::WaitClass;

fn at(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

fn kind(priority: u8) -> RequestKind {
    RequestKind { class: WaitClass::Leader, priority }
}

/// A report that requests of priority 1 wait this long.
fn load(version: u64, wait_ms: u64) -> GroupLoad {
    let expected = ExpectedWait::Served(at(wait_ms));
    GroupLoad { version, waiting: 1, outlooks: vec![WaitOutlook { kind: kind(1), expected }] }
}

struct Received {
    reports: LoadReports,
    group: GroupId,
    holder: InstanceId,
}

impl Received {
    fn new() -> Self {
        Self { reports: LoadReports::default(), group: "db".into(), holder: "h".into() }
    }

    fn record(&mut self, life: u64, asked_ms: u64, load: GroupLoad) {
        self.reports.record(&self.group, &self.holder, life, at(asked_ms), load);
    }

    /// The expected wait in milliseconds.
    fn wait(&self, now: Moment) -> Option<u128> {
        let expected = self.reports.expected_wait(now, &self.group, &self.holder, kind(1));
        expected.map(|expected| expected.duration().as_millis())
    }
}

/// Guards against decisions by an old report after reports stop: a holder that was busy when
/// its link failed would be avoided for as long as the link is down.
#[test]
fn test_reports_are_used_only_while_they_are_valid() {
    let mut received = Received::new();
    assert_eq!(received.wait(at(0)), None);
    received.record(1, 1_000, load(1, 40));
    assert_eq!(received.wait(at(999) + LOAD_VALIDITY), Some(40));
    assert_eq!(received.wait(at(1_000) + LOAD_VALIDITY), None);
    // An unchanged report, asked for later, is valid for longer.
    received.record(1, 1_400, load(1, 40));
    assert_eq!(received.wait(at(1_800)), Some(40));
}

/// Guards against an old report that replaces a newer one. Statements run for different
/// times, so their replies arrive out of order.
#[test]
fn test_older_versions_are_dropped() {
    let mut received = Received::new();
    received.record(1, 1_100, load(5, 40));
    received.record(1, 1_200, load(4, 300));
    assert_eq!(received.wait(at(1_250)), Some(40));
    // A newer report with the reply to an earlier statement does not become older by that.
    received.record(1, 1_050, load(6, 70));
    assert_eq!(received.wait(at(1_099) + LOAD_VALIDITY), Some(70));
}

/// Guards against reports of a restarted holder that are dropped for their low versions, and
/// against a late report of its former incarnation that replaces them.
#[test]
fn test_reports_of_a_new_incarnation_replace_the_former_ones() {
    let mut received = Received::new();
    received.record(1, 1_000, load(900, 300));
    received.record(2, 1_100, load(1, 0));
    assert_eq!(received.wait(at(1_150)), Some(0));
    received.record(1, 1_050, load(901, 400));
    assert_eq!(received.wait(at(1_150)), Some(0));
}

/// Guards against an entry that expects no wait for a cheap request, because the report names
/// only the urgent ones that are served before it.
#[test]
fn test_requests_wait_at_least_as_long_as_more_urgent_ones() {
    let report = load(1, 80);
    assert_eq!(report.expected_wait(kind(3)), ExpectedWait::Served(at(80)));
    assert_eq!(report.expected_wait(kind(0)), ExpectedWait::Served(Duration::ZERO));
    let reader = RequestKind { class: WaitClass::Reader, priority: 3 };
    assert_eq!(report.expected_wait(reader), ExpectedWait::Served(Duration::ZERO));
}

/// Guards against reports that cost processor time on an idle holder, or with each reply of a
/// busy one, and against a report that still names a queue after it has become empty.
#[test]
fn test_reports_are_computed_rarely() {
    let mut reporter: LoadReporter<()> = LoadReporter::default();
    assert!(!reporter.is_due(at(0), 0));
    assert_eq!(reporter.latest(), GroupLoad::default());
    assert!(reporter.is_due(at(10), 3), "the queue was empty");
    reporter.update(at(10), 3, Vec::new());
    assert!(!reporter.is_due(at(9) + REPORT_INTERVAL, 5));
    assert!(reporter.is_due(at(10) + REPORT_INTERVAL, 5));
    assert!(reporter.is_due(at(11), 0), "the queue is empty now");
    reporter.update(at(11), 0, Vec::new());
    assert_eq!(reporter.latest(), GroupLoad { version: 2, ..GroupLoad::default() });
    assert!(!reporter.is_due(at(900), 0));
}

/// Guards against a report that promises service where the holder would refuse, or the
/// reverse: the expectation is that of the holder's own decision.
#[test]
fn test_expectations_follow_the_decision_of_the_queue() {
    let forecast = WaitForecast {
        in_time: Some(at(200)),
        late: Some(at(700)),
        late_waiting: 3,
        max_wait: at(300),
        time_left: at(600),
    };
    assert_eq!(ExpectedWait::of(&forecast), ExpectedWait::Served(at(200)));
    let slow = WaitForecast { in_time: Some(at(310)), ..forecast };
    // It waits 10 ms too long for its objective, so that is when it would be admitted.
    assert_eq!(ExpectedWait::of(&slow), ExpectedWait::Refused(at(10)));
    let late = WaitForecast { late: Some(at(500)), ..slow };
    assert_eq!(ExpectedWait::of(&late), ExpectedWait::Served(at(500)));
}

/// Guards against entries that refuse requests for half a second after a report, although the
/// holder would admit them after a few milliseconds.
#[test]
fn test_refusals_are_expected_only_until_the_holder_admits_requests_again() {
    let (group, holder) = ("db".into(), "h".into());
    let reader = RequestKind { class: WaitClass::Reader, priority: 1 };
    let outlooks = vec![WaitOutlook { kind: reader, expected: ExpectedWait::Refused(at(40)) }];
    let load = GroupLoad { version: 1, waiting: 3, outlooks };
    let mut reports = LoadReports::default();
    reports.record(&group, &holder, 1, at(1_000), load);
    let expected = |ms| reports.expected_wait(at(ms), &group, &holder, reader);
    assert_eq!(expected(1_010), Some(ExpectedWait::Refused(at(30))));
    assert_eq!(expected(1_040), None);
}
