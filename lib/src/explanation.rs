//! Explains why a request failed or was late, from the log lines of all instances.
//!
//! An explanation consists of the lines that name the request, the lines about its
//! group, servers and instances shortly before, and a probable cause.

use std::collections::BTreeSet;

use serde_json::Map;
use serde_json::Value;

use crate::fair_order::PLACES_TEXT;
use crate::operation_clock::OperationPart;

/// A parsed log line.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// Milliseconds since the Unix epoch, by the clock of its instance.
    pub at_ms: u64,
    /// Name of the instance that wrote the line.
    pub instance: String,
    /// Name of the event.
    pub event: String,
    /// The other fields of the line.
    pub fields: Map<String, Value>,
}

/// How long before the arrival of a request, or before its end, an event may be its
/// cause, in milliseconds. This is longer than the detection of a failed primary and
/// its replacement take together.
pub const CAUSE_WITHIN_MS: u64 = 4_000;

/// Events about a group, a server or an instance that can explain why requests
/// failed.
const CONTEXT_EVENTS: [&str; 26] = [
    "started",
    "stopping",
    "stood_still",
    "configuration_in_force",
    "store_lost",
    "store_unanswered",
    "store_regained",
    "leader_found",
    "leader_lost",
    "leader_opinions",
    "primary_out_of_reach",
    "peer_silent",
    "peer_heard",
    "replacement_begun",
    "replicas_awaited",
    "replacement_dropped",
    "replacement_agreed",
    "term_ended",
    "right_from_store",
    "promotion_answered",
    "detour_opened",
    "detour_closed",
    "connection_failed",
    "connection_dropped",
    "wrong_reply",
    "probe_failed",
];

/// Parses a log line; `None` if it is no event. Text before the first brace, such as
/// the time and the name that a log collector adds, is ignored.
#[must_use]
pub fn parse_line(line: &str) -> Option<LogLine> {
    let begin = line.find('{')?;
    let Value::Object(mut fields) = serde_json::from_str(&line[begin..]).ok()? else {
        return None;
    };
    let at_ms = fields.remove("at_ms")?.as_u64()?;
    let instance = fields.remove("instance")?.as_str()?.to_owned();
    let event = fields.remove("event")?.as_str()?.to_owned();
    Some(LogLine { at_ms, instance, event, fields })
}

impl LogLine {
    /// Value of a text field.
    #[must_use]
    pub fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    /// Value of a number field; 0 if the line has no such field.
    #[must_use]
    pub fn number(&self, field: &str) -> f64 {
        self.fields.get(field).and_then(Value::as_f64).unwrap_or(0.0)
    }

    /// The part that a late operation spent most time on, with its milliseconds; `None` if the
    /// line is not about a late operation.
    #[must_use]
    pub fn largest_part(&self) -> Option<(OperationPart, f64)> {
        if self.event != "operation_late" {
            return None;
        }
        let parts = OperationPart::ALL.into_iter().map(|part| (part, self.number(part.field())));
        parts.max_by(|(_, a), (_, b)| a.total_cmp(b))
    }
}

/// A line of an explanation: a log line, and the number of similar ones.
#[derive(Clone, Debug, PartialEq)]
pub struct ExplanationLine {
    /// The first of the similar lines.
    pub line: LogLine,
    /// Number of similar lines.
    pub count: usize,
    /// Whether the line names the request itself.
    pub own: bool,
}

/// The explanation of one request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Explanation {
    /// Log lines of the request and of its context, in the order of time.
    pub lines: Vec<ExplanationLine>,
    /// The probable cause; `None` if the logs show none.
    pub cause: Option<String>,
    /// Descriptions of information that is missing from the logs.
    pub missing: Vec<String>,
}

/// Explains the request with an id, from the log lines of any instances in any order.
#[must_use]
pub fn explain_request(id: &str, mut log: Vec<LogLine>) -> Explanation {
    log.sort_by_key(|line| line.at_ms);
    let own: Vec<&LogLine> = log.iter().filter(|line| line.text("id") == Some(id)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Explanation { missing: missing_without_lines(&log), ..Explanation::default() };
    };
    let took_ms = last.number("took_ms").clamp(0.0, 1.0e9);
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a duration in milliseconds, clamped above"
    )]
    let arrived_ms = last.at_ms.saturating_sub(took_ms as u64).min(first.at_ms);
    let window = arrived_ms.saturating_sub(CAUSE_WITHIN_MS)..=last.at_ms;
    let group = first.text("group").unwrap_or_default().to_owned();
    let servers: BTreeSet<&str> = own.iter().filter_map(|line| line.text("server")).collect();
    let instances: BTreeSet<&str> = own.iter().map(|line| &*line.instance).collect();
    let related = |line: &&LogLine| {
        window.contains(&line.at_ms)
            && CONTEXT_EVENTS.contains(&&*line.event)
            && concerns(line, &group, &servers, &instances)
    };
    let mut lines: Vec<ExplanationLine> = Vec::new();
    for line in log.iter().filter(|line| line.text("id") == Some(id) || related(line)) {
        let own = line.text("id") == Some(id);
        add_or_count(&mut lines, line, own);
    }
    let cause = cause_of(last, &lines);
    let missing = missing_for(last, &log);
    Explanation { lines, cause, missing }
}

fn concerns(
    line: &LogLine,
    group: &str,
    servers: &BTreeSet<&str>,
    instances: &BTreeSet<&str>,
) -> bool {
    let same_instance = instances.contains(&*line.instance);
    match (line.text("group"), line.text("server")) {
        (Some(of), _) => of == group,
        (None, Some(server)) => servers.contains(server),
        (None, None) => same_instance,
    }
}

/// Adds a line, or counts it with a similar one: an equal event of the same instance
/// with the same server and reason. Lines of the request itself are always added.
fn add_or_count(lines: &mut Vec<ExplanationLine>, line: &LogLine, own: bool) {
    let same = |known: &&mut ExplanationLine| {
        !own && !known.own
            && known.line.instance == line.instance
            && known.line.event == line.event
            && known.line.text("server") == line.text("server")
            && known.line.text("reason") == line.text("reason")
    };
    match lines.iter_mut().find(same) {
        Some(known) => known.count += 1,
        None => lines.push(ExplanationLine { line: line.clone(), count: 1, own }),
    }
}

fn missing_without_lines(log: &[LogLine]) -> Vec<String> {
    let mut missing = vec![
        "no line names this id: it was served within its objective, or by an instance whose \
         log is not among these files"
            .to_owned(),
    ];
    missing.extend(left_out(log));
    missing
}

fn left_out(log: &[LogLine]) -> Option<String> {
    let lines: f64 = log
        .iter()
        .filter(|line| line.event == "lines_left_out")
        .filter_map(|line| line.text("count")?.parse::<f64>().ok())
        .sum();
    (lines > 0.0)
        .then(|| format!("{lines} lines of these files were omitted because of rate limits"))
}

fn missing_for(last: &LogLine, log: &[LogLine]) -> Vec<String> {
    let mut missing = Vec::new();
    if last.event == "request_moved" {
        missing.push("its end: it was served after this, or its last line was omitted".into());
    }
    missing.extend(left_out(log));
    missing
}

/// Why a request was refused as overloaded.
fn overload_cause(last: &LogLine, context: &str) -> String {
    let holders = last.number("holders_refusing");
    if holders > 0.0 {
        return format!(
            "refused at once: all {holders} holders of the group were overloaded{context}"
        );
    }
    let waiting = last.number("waiting");
    if last.text("text") == Some(PLACES_TEXT) {
        let account = last.text("account").unwrap_or("none");
        return format!(
            "account {account} had half of the waiting places of its priority while others \
             waited: {waiting} requests were waiting{context}"
        );
    }
    format!("refused under load: {waiting} requests were waiting{context}")
}

/// How a late operation spent its time; `None` if the line is not about one.
fn late_cause(last: &LogLine, context: &str) -> Option<String> {
    let (part, ms) = last.largest_part()?;
    let statements = last.number("statements");
    let took = last.number("took_ms");
    let unavoidable = last.number("unavoidable_ms");
    // Lines of earlier builds have no such field.
    let preparation = last.number("preparation_ms");
    let preparation = if preparation > 0.0 {
        format!("; {preparation} ms passed before its first statement")
    } else {
        String::new()
    };
    Some(format!(
        "of {took} ms for {statements} statements, {ms} ms were spent {}, and {unavoidable} ms were \
         unavoidable{preparation}{context}",
        part.description()
    ))
}

/// Returns the probable cause, from the last line of the request and the events of
/// its context.
fn cause_of(last: &LogLine, lines: &[ExplanationLine]) -> Option<String> {
    let event = |name: &str| lines.iter().find(|line| line.line.event == name);
    let server = last.text("server").unwrap_or("none");
    let waited = last.number("waited_ms");
    let at_server = last.number("at_server_ms");
    let replaced = event("replacement_begun").map(|line| {
        let from = line.line.text("from").unwrap_or("none");
        let to = line.line.text("server").unwrap_or("none");
        let reason = line.line.text("reason").unwrap_or("unknown");
        format!("primary {from} was replaced by {to} ({reason})")
    });
    let context = replaced.or_else(|| {
        let lost = event("leader_lost")?;
        Some(format!(
            "server {} was no longer the primary",
            lost.line.text("server").unwrap_or("none")
        ))
    });
    let context = context.map_or_else(String::new, |text| format!("; {text}"));
    let text = match (&*last.event, last.text("reason").unwrap_or_default()) {
        ("request_refused", "overloaded") => overload_cause(last, &context),
        ("request_refused", "no_primary") if event("replicas_awaited").is_some() => {
            let line = event("replicas_awaited");
            let absent = line.and_then(|line| line.line.text("absent")).unwrap_or_default();
            let absent = if absent.is_empty() { "listed ones that do not answer" } else { absent };
            format!(
                "the group had no primary, and no replica could be promoted: replicas that may have \
                 acknowledged commits are missing ({absent})"
            )
        }
        ("request_refused", "no_primary") => format!("the group had no primary{context}"),
        ("request_refused", "transaction_lost") => {
            format!("its transaction was lost at server {server}{context}")
        }
        ("request_refused", "replicas_behind") => {
            format!("no server had applied position {}", last.text("floor").unwrap_or("none"))
        }
        ("request_refused", "unknown_database") => {
            "no configuration in force has its database name".to_owned()
        }
        ("request_refused", "unknown_key") => {
            let account = last.text("account").unwrap_or("none");
            format!("its key was removed: account {account} does not have it any more")
        }
        ("request_refused", "rate_limited") => {
            let account = last.text("account").unwrap_or("none");
            let text = last.text("text").unwrap_or_default();
            format!("account {account} reached its limit: {text}")
        }
        ("request_refused", "quota_unknown") => {
            let account = last.text("account").unwrap_or("none");
            let text = last.text("text").unwrap_or_default();
            format!(
                "no keeper that counts the operations of account {account} answered, and no share \
                 had one left: {text}{context}"
            )
        }
        ("request_refused", "cut_off") if event("primary_out_of_reach").is_some() => {
            "the primary is beyond a partition, and this side has too few votes to replace it"
                .to_owned()
        }
        ("request_refused", "holder_silent") => {
            let unresponsive = lines.iter().filter(|line| line.line.event == "peer_silent");
            let unresponsive: BTreeSet<_> =
                unresponsive.filter_map(|line| line.line.text("peer")).collect();
            let unresponsive: Vec<_> = unresponsive.into_iter().collect();
            let unresponsive = unresponsive.join(", ");
            format!("no holder of the group answered; unresponsive: {unresponsive}{context}")
        }
        ("request_refused", "cut_off") => {
            let instance = &last.instance;
            format!(
                "instance {instance} had no lease on the primary: too few others \
                 answered it, and neither did the store{context}"
            )
        }
        ("request_unknown", _) if event("commit_unconfirmed").is_some() => {
            format!(
                "server {server} committed it when it may have been replaced as the primary{context}"
            )
        }
        ("request_unknown", _) => {
            format!("server {server} did not answer for {at_server} ms{context}")
        }
        ("request_late", _) if waited > at_server => {
            format!("it waited {waited} ms for a connection{context}")
        }
        ("request_late", _) => {
            format!("it spent {at_server} ms at servers, the last one was {server}{context}")
        }
        ("operation_late", _) => late_cause(last, &context)?,
        ("request_refused", reason) => format!("refused: {reason}{context}"),
        _ => return None,
    };
    Some(text)
}
