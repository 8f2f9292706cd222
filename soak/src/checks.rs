//! The checks after a run: compare what clients observed with the log of the database
//! servers and the statements that they ran.
//!
//! Every function returns violations of a guarantee, each as one line of text.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use chervilwharf_standin::platform::servers::Entry;
use chervilwharf_standin::platform::servers::Run;

use crate::history::AnsweredStatement;
use crate::history::DatabaseCheck;
use crate::history::DrainPeriod;
use crate::history::DroppedRequest;
use crate::history::History;
use crate::history::Read;
use crate::history::ReportedOutcome;
use crate::history::Stop;
use crate::history::Write;

/// Time after which a draining server must receive no new statement. It is far below the
/// 7 s that the platform allows, and far above the duration of a planned change of
/// primary.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);

/// Positions in the log of each written pair of item and value.
type LogPositions<'a> = HashMap<(&'a str, &'a str), Vec<usize>>;

/// Checks the writes, reads, transactions, session values and configurations of a run.
#[must_use]
pub fn check_history(history: &History, log: &[Entry], runs: &[Run]) -> Vec<String> {
    let mut violations = Vec::new();
    let mut log_positions: LogPositions<'_> = HashMap::new();
    for (index, entry) in log.iter().enumerate() {
        log_positions.entry((&entry.item, &entry.data)).or_default().push(index);
    }
    let writes = history.writes.lock().expect("never poisoned");
    for write in writes.iter() {
        check_write(write, &log_positions, &mut violations);
    }
    for read in history.reads.lock().expect("never poisoned").iter() {
        check_read(read, &log_positions, &mut violations);
    }
    check_transactions(&writes, runs, &mut violations);
    check_session_values(runs, &mut violations);
    check_configuration_order(
        &history.database_checks.lock().expect("never poisoned"),
        &mut violations,
    );
    violations
}

fn check_write(write: &Write, log_positions: &LogPositions<'_>, violations: &mut Vec<String>) {
    let count = |item: &String| log_positions.get(&(item, write.data.as_str())).map_or(0, Vec::len);
    let counts: Vec<_> = write.items.iter().map(count).collect();
    let Write { data, reported, .. } = write;
    if counts.iter().any(|count| *count > 1) {
        violations
            .push(format!("executed more than once: {data} {counts:?}, reported as {reported:?}"));
    }
    if counts.iter().any(|count| *count != counts[0]) {
        violations
            .push(format!("part of a transaction: {data} {counts:?}, reported as {reported:?}"));
    }
    match reported {
        ReportedOutcome::Kept if counts[0] == 0 => {
            violations.push(format!("acknowledged but lost: {data}"));
        }
        ReportedOutcome::NotKept if counts[0] > 0 => {
            violations.push(format!("reported as not stored, but stored: {data}"));
        }
        _ => {}
    }
}

fn check_read(read: &Read, log_positions: &LogPositions<'_>, violations: &mut Vec<String>) {
    let position =
        |data: &str| log_positions.get(&(read.item.as_str(), data)).map(|found| found[0]);
    let value = position(&read.value);
    if value.is_none() && read.value != "none" {
        violations.push(format!("read of a value that is not in the log: {read:?}"));
    }
    // A required value that is missing in the log is reported by the check of its write.
    let required_value = read.required_value.as_deref().and_then(position);
    if required_value.is_some() && value < required_value {
        violations.push(format!("stale read, violates the guarantee {}: {read:?}", read.guarantee));
    }
}

/// Checks that all statements of a transaction ran on one connection and inside the
/// transaction.
fn check_transactions(writes: &[Write], runs: &[Run], violations: &mut Vec<String>) {
    let by_id: HashMap<&str, &Run> = runs.iter().map(|run| (run.request.as_str(), run)).collect();
    for write in writes.iter().filter(|write| write.items.len() > 1) {
        let ran: Vec<_> = write.ids.iter().filter_map(|id| by_id.get(id.as_str())).collect();
        let connections: HashSet<_> = ran.iter().map(|run| (run.server, run.connection)).collect();
        if connections.len() > 1 || ran.iter().any(|run| !run.in_transaction) {
            violations.push(format!(
                "a transaction that did not run inside one transaction of one connection: {}",
                write.data
            ));
        }
    }
}

/// Checks that each statement ran with the session values (`SET`) of the client that sent
/// it.
fn check_session_values(runs: &[Run], violations: &mut Vec<String>) {
    for run in runs {
        let Some(number) = run.request.strip_prefix('c').and_then(|id| id.split('-').next()) else {
            continue;
        };
        let expected = format!("z{number}");
        if run.values.get("zone") != Some(&expected) {
            violations.push(format!("executed with the session values of another client: {run:?}"));
        }
    }
}

/// Checks that each success has the signature of its own statement, and the rows that the server
/// of this signature returned for it.
#[must_use]
pub fn check_answers(
    answers: &[AnsweredStatement],
    runs: &[Run],
    server_ids: &[String],
) -> Vec<String> {
    let mut own_runs: HashMap<String, Vec<&Run>> = HashMap::new();
    for run in runs {
        let signature = format!("sig.{}.{}", server_ids[run.server], run.request);
        own_runs.entry(signature).or_default().push(run);
    }
    let mut violations = Vec::new();
    for AnsweredStatement { id, text, answer } in answers {
        let signature = answer.signature.as_deref().unwrap_or_default();
        let of_signature = own_runs.get(signature).map_or(&[][..], Vec::as_slice);
        let mut own = of_signature.iter().filter(|run| run.request == *id).peekable();
        if own.peek().is_none() {
            violations.push(format!("answer of another statement: {id} {text} got {answer:?}"));
        } else if !own.any(|run| run.rows == answer.rows) {
            let sent = of_signature.iter().map(|run| &run.rows).collect::<Vec<_>>();
            violations.push(format!(
                "other rows than the server sent: {id} {text} got {answer:?}, sent {sent:?}"
            ));
        }
    }
    violations
}

/// Checks that no incarnation of an instance falls back to an older configuration.
fn check_configuration_order(checks: &[DatabaseCheck], violations: &mut Vec<String>) {
    let mut newest: BTreeMap<(usize, u64), u64> = BTreeMap::new();
    for check in checks {
        let newest = newest.entry((check.instance, check.incarnation)).or_default();
        if check.is_served {
            *newest = check.database.max(*newest);
        } else if check.database <= *newest {
            violations.push(format!(
                "fell back to an older configuration: {check:?}, served {newest} before"
            ));
        }
    }
}

/// Time within which a configuration has to be in force at all instances.
const CONFIGURATION_LIMIT: Duration = Duration::from_secs(3);

/// Checks that configurations written after an outage of the store were in force in time.
#[must_use]
pub fn check_configuration_times(in_force_after: &[Duration]) -> Vec<String> {
    let late = in_force_after.iter().filter(|after| **after >= CONFIGURATION_LIMIT);
    late.map(|after| format!("a configuration came into force only after {after:.2?}")).collect()
}

/// Checks that no fencing token of a group was used in accepted promotions of two
/// servers. Each promotion is given as group, server and token.
#[must_use]
pub fn check_promotions(promotions: &[(String, String, u64)]) -> Vec<String> {
    let mut ordered: HashMap<(&str, u64), &str> = HashMap::new();
    let mut violations = Vec::new();
    for (group, server, token) in promotions {
        let before = ordered.insert((group, *token), server);
        if before.is_some_and(|before| before != server) {
            violations.push(format!(
                "promotions of two servers of {group} were accepted under token {token}"
            ));
        }
    }
    violations
}

/// Checks that a draining server receives no new work. Valid only for schedules that
/// neither delay platform updates to an instance nor make other servers unavailable.
#[must_use]
pub fn check_draining(periods: &[DrainPeriod], runs: &[Run]) -> Vec<String> {
    let late = |period: &DrainPeriod, run: &Run| {
        let over = period.until.is_some_and(|until| run.at >= until);
        run.server == period.server && run.at > period.since + DRAIN_LIMIT && !over
    };
    let single = runs.iter().filter(|run| !run.in_transaction);
    let found = single.filter(|run| periods.iter().any(|period| late(period, run)));
    found.map(|run| format!("executed at a draining server: {run:?}")).collect()
}

/// Checks that requests in progress at a planned stop of their instance are answered.
/// Valid only for schedules without a fault that can close the connection.
#[must_use]
pub fn check_stops(dropped: &[DroppedRequest], stops: &[Stop]) -> Vec<String> {
    let in_progress = |request: &DroppedRequest, stop: &Stop| {
        request.instance == stop.instance && request.sent_at < stop.at && request.ended_at > stop.at
    };
    let found =
        dropped.iter().filter(|request| stops.iter().any(|stop| in_progress(request, stop)));
    found.map(|request| format!("dropped by a planned stop: {request:?}")).collect()
}
