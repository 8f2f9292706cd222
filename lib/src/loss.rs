//! Reports all requests that were refused, were late or have an unknown outcome, and
//! their causes, from the logs of a whole run.
//!
//! The log line of a request contains the immediate reason. The underlying cause is in
//! lines about its group and its instance shortly before. An example: an instance
//! refuses a request because the holder of the connections does not answer, and the
//! cause is that the network between them is partitioned.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::explanation::CAUSE_WITHIN_MS;
use crate::explanation::LogLine;
use crate::fair_order::PLACES_TEXT;

/// Length of a time window of the report, in milliseconds.
pub const WINDOW_MS: u64 = 1_000;

/// Number of groups and of instances that a row lists.
const TOP_NAMES: usize = 3;

/// Events of requests that failed or were late, and the name of each ending in the
/// report.
const ENDINGS: [(&str, &str); 4] = [
    ("request_refused", "refused"),
    ("request_unknown", "unknown"),
    ("request_late", "late"),
    ("operation_late", "late"),
];

/// Requests with the same ending, reason and cause.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct LossRow {
    /// "refused", "unknown" or "late".
    pub ending: &'static str,
    /// The immediate reason, from the log line of the request.
    pub reason: String,
    /// The underlying cause, as far as the logs show it.
    pub cause: String,
    /// Number of requests.
    pub count: usize,
    /// When the first of them ended, in milliseconds after the first log line.
    pub first_ms: u64,
    /// When the last of them ended, in milliseconds after the first log line.
    pub last_ms: u64,
    /// Median duration of the requests, in milliseconds.
    pub took_p50_ms: f64,
    /// 90th percentile of the duration of the requests, in milliseconds.
    pub took_p90_ms: f64,
    /// The groups with the most such requests, with their number.
    pub groups: Vec<(String, usize)>,
    /// The instances with the most such requests, with their number.
    pub instances: Vec<(String, usize)>,
}

/// Numbers of requests that ended within one time window.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct LossWindow {
    /// Start of the window, in milliseconds after the first log line.
    pub from_ms: u64,
    /// Number of refused requests.
    pub refused: usize,
    /// Number of requests with an unknown outcome.
    pub unknown: usize,
    /// Number of requests that were served late.
    pub late: usize,
}

/// Report on the requests of a run that failed or were late.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct LossReport {
    /// Requests by ending, reason and cause, the most frequent first.
    pub rows: Vec<LossRow>,
    /// Numbers of requests over time. Windows without failed or late requests are left
    /// out.
    pub windows: Vec<LossWindow>,
    /// Number of log lines that were omitted because of rate limits. As many further
    /// requests may be missing from the report.
    pub lines_left_out: u64,
}

/// Times of log lines by event and by subject: an instance, a group, a server, or an
/// empty text for all lines of the event.
#[derive(Default)]
struct EventTimes<'a> {
    times: BTreeMap<(&'a str, &'a str), Vec<u64>>,
}

impl<'a> EventTimes<'a> {
    /// Builds the index of a log, which must be sorted by time.
    fn new(log: &[&'a LogLine]) -> Self {
        let mut event_times = Self::default();
        for line in log {
            // Subjects: any, the instance, the group, the server.
            let about = [Some(""), Some(&*line.instance), line.text("group"), line.text("server")];
            for subject in about.into_iter().flatten() {
                event_times.times.entry((&line.event, subject)).or_default().push(line.at_ms);
            }
        }
        event_times
    }

    /// Whether an event about a subject was logged within [`CAUSE_WITHIN_MS`] before a
    /// time.
    fn shortly_before(&self, event: &str, subject: &str, at_ms: u64) -> bool {
        let Some(times) = self.times.get(&(event, subject)) else {
            return false;
        };
        let before = times.partition_point(|time| *time <= at_ms);
        before > 0 && times[before - 1] + CAUSE_WITHIN_MS >= at_ms
    }
}

/// Creates the report from the logs of one or more instances, in any order.
#[must_use]
pub fn report(log: &[LogLine]) -> LossReport {
    let mut log: Vec<&LogLine> = log.iter().collect();
    log.sort_by_key(|line| line.at_ms);
    let begin_ms = log.first().map_or(0, |line| line.at_ms);
    let event_times = EventTimes::new(&log);
    let mut rows: BTreeMap<(&'static str, String, String), Vec<&LogLine>> = BTreeMap::new();
    let mut windows: BTreeMap<u64, LossWindow> = BTreeMap::new();
    for line in &log {
        let Some(ending) = ending_of(line) else {
            continue;
        };
        let from_ms = (line.at_ms - begin_ms) / WINDOW_MS * WINDOW_MS;
        let empty = LossWindow { from_ms, ..LossWindow::default() };
        count(windows.entry(from_ms).or_insert(empty), ending);
        let key = (ending, reason_of(line), cause_of(line, &event_times));
        rows.entry(key).or_default().push(line);
    }
    let mut rows: Vec<_> = rows
        .into_iter()
        .map(|((ending, reason, cause), lines)| row(begin_ms, ending, reason, cause, &lines))
        .collect();
    rows.sort_by_key(|row| std::cmp::Reverse(row.count));
    let lines_left_out = log.iter().filter(|line| line.event == "lines_left_out");
    let lines_left_out = lines_left_out.filter_map(|line| line.text("count")?.parse::<u64>().ok());
    LossReport {
        rows,
        windows: windows.into_values().collect(),
        lines_left_out: lines_left_out.sum(),
    }
}

fn ending_of(line: &LogLine) -> Option<&'static str> {
    ENDINGS.iter().find(|(event, _)| *event == line.event).map(|(_, ending)| *ending)
}

/// The immediate reason, from the line itself.
fn reason_of(line: &LogLine) -> String {
    if let Some((part, _)) = line.largest_part() {
        let suffix = if is_in_time_alone(line) { SET_UP_SUFFIX } else { "" };
        return format!("served late, mostly {}{suffix}", part.description());
    }
    line.text("reason").unwrap_or("served late").to_owned()
}

/// Whether a late operation would have been in time without its preparation. Lines of earlier
/// builds tell of none.
fn is_in_time_alone(line: &LogLine) -> bool {
    let preparation_ms = line.number("preparation_ms");
    let alone_ms = line.number("took_ms") - preparation_ms;
    preparation_ms > 0.0 && alone_ms <= line.number("objective_ms")
}

/// Follows the reason of operations that are late only because of their preparation.
const SET_UP_SUFFIX: &str = ", in time without the set-up of its session";

fn count(window: &mut LossWindow, ending: &str) {
    let counted = match ending {
        "refused" => &mut window.refused,
        "unknown" => &mut window.unknown,
        _ => &mut window.late,
    };
    *counted += 1;
}

fn row(
    begin_ms: u64,
    ending: &'static str,
    reason: String,
    cause: String,
    lines: &[&LogLine],
) -> LossRow {
    let mut took_ms: Vec<f64> = lines.iter().map(|line| line.number("took_ms")).collect();
    took_ms.sort_unstable_by(f64::total_cmp);
    let at = |tenths: usize| took_ms.get(took_ms.len() * tenths / 10).copied().unwrap_or(0.0);
    let time = |line: Option<&&LogLine>| line.map_or(0, |line| line.at_ms - begin_ms);
    LossRow {
        ending,
        reason,
        cause,
        count: lines.len(),
        first_ms: time(lines.first()),
        last_ms: time(lines.last()),
        took_p50_ms: at(5),
        took_p90_ms: at(9),
        groups: most_frequent(lines.iter().map(|line| line.text("group").unwrap_or("none"))),
        instances: most_frequent(lines.iter().map(|line| &*line.instance)),
    }
}

/// Returns the most frequent names with their counts.
fn most_frequent<'a>(names: impl Iterator<Item = &'a str>) -> Vec<(String, usize)> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for name in names {
        *counts.entry(name).or_default() += 1;
    }
    let mut counts: Vec<_> = counts.into_iter().map(|(name, n)| (name.to_owned(), n)).collect();
    counts.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    counts.truncate(TOP_NAMES);
    counts
}

/// Returns the probable cause of a request's failure or delay.
fn cause_of(line: &LogLine, event_times: &EventTimes<'_>) -> String {
    if line.number("holders_refusing") > 0.0 {
        return "all holders of the group were overloaded".to_owned();
    }
    match line.text("reason").unwrap_or_default() {
        "rate_limited" => return "the account reached its limit".to_owned(),
        "unknown_key" => return "no account has the key any more".to_owned(),
        "overloaded" if line.text("text") == Some(PLACES_TEXT) => {
            return "the account had half of the waiting places".to_owned();
        }
        "quota_unknown" => {
            return "no keeper counted the account's operations, and no share had one left"
                .to_owned();
        }
        _ => {}
    }
    let at_ms = line.at_ms;
    let (group, instance) = (line.text("group").unwrap_or_default(), &*line.instance);
    // Last destination of the request: a server, or the instance that holds the
    // connections.
    let last = line.text("server").unwrap_or_default();
    let of_group = |event| !group.is_empty() && event_times.shortly_before(event, group, at_ms);
    let of_last = |event| !last.is_empty() && event_times.shortly_before(event, last, at_ms);
    let of_instance = |event| event_times.shortly_before(event, instance, at_ms);
    let anywhere = |event| event_times.shortly_before(event, "", at_ms);
    // The most specific cause comes first, since it can explain the later ones.
    let circumstances = [
        (of_instance("stood_still"), "this instance was paused"),
        (of_group("primary_out_of_reach"), "the primary is beyond a partition"),
        (of_group("replacement_begun"), "the primary was being replaced"),
        (of_group("leader_lost"), "a server was no longer the primary"),
        (of_last("stopping"), "the instance that it was forwarded to was stopping"),
        (of_last("started"), "the instance that it was forwarded to had just started"),
        (of_instance("peer_silent"), PEERS_UNRESPONSIVE),
        (of_group("connection_dropped"), "connections to a server were closed or lost"),
        (of_group("connection_failed"), "no connection to a server could be opened"),
        (anywhere("transaction_rested"), IDLE_TRANSACTIONS),
        (anywhere("store_lost"), STORE_UNAVAILABLE),
    ];
    let found = circumstances.iter().find(|(seen, text)| *seen && concerns(line, text));
    found.map_or("not found in the logs", |(_, text)| text).to_owned()
}

const PEERS_UNRESPONSIVE: &str = "other instances were unresponsive";
const IDLE_TRANSACTIONS: &str = "clients left transactions idle";
const STORE_UNAVAILABLE: &str = "the store was unavailable to some instances";

/// Whether a circumstance can cause the reason of a line. An unavailable store affects
/// only requests whose instance has no lease on the primary.
fn concerns(line: &LogLine, circumstance: &str) -> bool {
    let reason = line.text("reason").unwrap_or_default();
    let needs_primary_lease = matches!(reason, "cut_off" | "no_primary" | "not_configured");
    match circumstance {
        STORE_UNAVAILABLE => needs_primary_lease,
        PEERS_UNRESPONSIVE => reason != "overloaded",
        IDLE_TRANSACTIONS => reason == "overloaded",
        _ => true,
    }
}
