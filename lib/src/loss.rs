//! Where requests were refused, late, lost or unknown, and why, from the logs of a
//! whole run.
//!
//! A line of a request names its immediate reason. The cause behind it is in lines
//! of its group and its instance shortly before: an entry refuses since its holder
//! is silent, and the holder is silent since the way to it is cut.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::explanation::CAUSE_WITHIN_MS;
use crate::explanation::LogLine;

/// Length of a window of time, in milliseconds.
pub const WINDOW_MS: u64 = 1_000;

/// Groups and instances named in a row.
const NAMED: usize = 3;

/// Lines of requests that did not end as they should, and how the report calls
/// that.
const ENDINGS: [(&str, &str); 3] =
    [("request_refused", "refused"), ("request_unknown", "unknown"), ("request_late", "late")];

/// Requests that ended alike for the same cause.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct LossRow {
    /// "refused", "unknown" or "late".
    pub ending: &'static str,
    /// The immediate reason.
    pub reason: String,
    /// The cause behind it, as far as the logs tell.
    pub cause: String,
    /// How many there were.
    pub count: usize,
    /// When the first of them ended, in milliseconds after the first line.
    pub first_ms: u64,
    /// When the last of them ended, in milliseconds after the first line.
    pub last_ms: u64,
    /// Median of the time that they took, in milliseconds.
    pub took_p50_ms: f64,
    /// The ninth of ten times that they took, in milliseconds.
    pub took_p90_ms: f64,
    /// Groups with the most of them.
    pub groups: Vec<(String, usize)>,
    /// Instances with the most of them.
    pub instances: Vec<(String, usize)>,
}

/// Requests that ended in one window of time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct LossWindow {
    /// Its begin, in milliseconds after the first line.
    pub from_ms: u64,
    /// Refused requests.
    pub refused: usize,
    /// Requests whose outcome is unknown.
    pub unknown: usize,
    /// Requests that were served late.
    pub late: usize,
}

/// What the logs of a run say of requests that did not end as they should.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct LossReport {
    /// By ending, reason and cause, most first.
    pub rows: Vec<LossRow>,
    /// By time, without windows in which nothing was lost.
    pub windows: Vec<LossWindow>,
    /// Lines that were left out by their budgets: so many more may be missing.
    pub lines_left_out: u64,
}

/// Times of lines that may be causes, by event and by whom they concern.
#[derive(Default)]
struct Causes<'a> {
    times: BTreeMap<(&'a str, &'a str), Vec<u64>>,
}

impl<'a> Causes<'a> {
    /// Index of a log in the order of time.
    fn new(log: &[&'a LogLine]) -> Self {
        let mut causes = Self::default();
        for line in log {
            // Of all, of an instance, of a group, of a server.
            let about = [Some(""), Some(&*line.instance), line.text("group"), line.text("server")];
            for whom in about.into_iter().flatten() {
                causes.times.entry((&line.event, whom)).or_default().push(line.at_ms);
            }
        }
        causes
    }

    /// Whether an event concerned somebody shortly before a time.
    fn shortly_before(&self, event: &str, whom: &str, at_ms: u64) -> bool {
        let Some(times) = self.times.get(&(event, whom)) else {
            return false;
        };
        let before = times.partition_point(|time| *time <= at_ms);
        before > 0 && times[before - 1] + CAUSE_WITHIN_MS >= at_ms
    }
}

/// Reports on the logs of a run, of one or more instances.
#[must_use]
pub fn report(log: &[LogLine]) -> LossReport {
    let mut log: Vec<&LogLine> = log.iter().collect();
    log.sort_by_key(|line| line.at_ms);
    let begin_ms = log.first().map_or(0, |line| line.at_ms);
    let causes = Causes::new(&log);
    let mut rows: BTreeMap<(&'static str, String, String), Vec<&LogLine>> = BTreeMap::new();
    let mut windows: BTreeMap<u64, LossWindow> = BTreeMap::new();
    for line in &log {
        let Some(ending) = ending_of(line) else {
            continue;
        };
        let from_ms = (line.at_ms - begin_ms) / WINDOW_MS * WINDOW_MS;
        let empty = LossWindow { from_ms, ..LossWindow::default() };
        count(windows.entry(from_ms).or_insert(empty), ending);
        let reason = line.text("reason").unwrap_or("served late").to_owned();
        rows.entry((ending, reason, cause_of(line, &causes))).or_default().push(line);
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
        groups: most(lines.iter().map(|line| line.text("group").unwrap_or("none"))),
        instances: most(lines.iter().map(|line| &*line.instance)),
    }
}

/// The names that stand most often.
fn most<'a>(names: impl Iterator<Item = &'a str>) -> Vec<(String, usize)> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for name in names {
        *counts.entry(name).or_default() += 1;
    }
    let mut counts: Vec<_> = counts.into_iter().map(|(name, n)| (name.to_owned(), n)).collect();
    counts.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    counts.truncate(NAMED);
    counts
}

/// The cause behind the reason of a request's end.
fn cause_of(line: &LogLine, causes: &Causes<'_>) -> String {
    match line.text("reason").unwrap_or_default() {
        "rate_limited" => return "the account was at its limit".to_owned(),
        "unknown_key" => return "no account holds the key any more".to_owned(),
        "quota_unknown" => return "nobody counted the account's operations".to_owned(),
        _ => {}
    }
    let at_ms = line.at_ms;
    let (group, instance) = (line.text("group").unwrap_or_default(), &*line.instance);
    // Where it went last: a server, or the instance that holds the connections.
    let last = line.text("server").unwrap_or_default();
    let of_group = |event| !group.is_empty() && causes.shortly_before(event, group, at_ms);
    let of_last = |event| !last.is_empty() && causes.shortly_before(event, last, at_ms);
    let of_instance = |event| causes.shortly_before(event, instance, at_ms);
    let anywhere = |event| causes.shortly_before(event, "", at_ms);
    // The most particular first: it explains the others.
    let circumstances = [
        (of_instance("stood_still"), "this instance stood still"),
        (of_group("primary_out_of_reach"), "the primary is beyond a partition"),
        (of_group("replacement_begun"), "the primary was being replaced"),
        (of_group("leader_lost"), "the primary lost the lead"),
        (of_last("stopping"), "the instance that it went through was stopping"),
        (of_last("started"), "the instance that it went through had just started"),
        (of_instance("peer_silent"), SILENT),
        (of_group("connection_dropped"), "a server ended or lost connections"),
        (of_group("connection_failed"), "no connection to a server could be opened"),
        (anywhere("transaction_rested"), RESTED),
        (anywhere("store_lost"), STORE_LOST),
    ];
    let found = circumstances.iter().find(|(seen, text)| *seen && concerns(line, text));
    found.map_or("none that the logs tell", |(_, text)| text).to_owned()
}

const SILENT: &str = "other instances gave no sign of life";
const RESTED: &str = "clients rested in transactions";
const STORE_LOST: &str = "the store was lost to some instances";

/// Whether a circumstance can be behind the reason of a line: a store that was lost
/// delays nobody who has the right to use a primary.
fn concerns(line: &LogLine, circumstance: &str) -> bool {
    let reason = line.text("reason").unwrap_or_default();
    let about_right = matches!(reason, "cut_off" | "no_primary" | "not_configured");
    match circumstance {
        STORE_LOST => about_right,
        SILENT => reason != "overloaded",
        RESTED => reason == "overloaded",
        _ => true,
    }
}
