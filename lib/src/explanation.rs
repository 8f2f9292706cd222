//! The story of one request, put together from the log lines of instances.

use std::collections::BTreeSet;

use serde_json::Map;
use serde_json::Value;

/// One log line.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// Milliseconds since the epoch, by the clock of its instance.
    pub at_ms: u64,
    /// The instance that wrote it.
    pub instance: String,
    /// Name of the event.
    pub event: String,
    /// Its other fields, in the order of the line.
    pub fields: Map<String, Value>,
}

/// Time before a request's arrival, or its end, in which causes are looked for, in
/// milliseconds. Longer than a primary takes to be missed and replaced.
pub const CAUSE_WITHIN_MS: u64 = 4_000;

/// Events that say something of a group or a server, and so of requests.
const CONTEXT_EVENTS: [&str; 24] = [
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
    "replacement_dropped",
    "replacement_agreed",
    "term_ended",
    "right_from_store",
    "promotion_answered",
    "detour_opened",
    "detour_closed",
    "connection_failed",
    "connection_dropped",
    "probe_failed",
];

/// Reads a line. Text before the first brace, such as the time and name that
/// a collector puts there, is passed over.
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
    /// Text of a field.
    #[must_use]
    pub fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    /// Number of a field; 0 if it has none.
    #[must_use]
    pub fn number(&self, field: &str) -> f64 {
        self.fields.get(field).and_then(Value::as_f64).unwrap_or(0.0)
    }
}

/// A line of a story: a log line, and how often the same was said.
#[derive(Clone, Debug, PartialEq)]
pub struct ExplanationLine {
    /// The first of the lines.
    pub line: LogLine,
    /// How many there were.
    pub count: usize,
    /// Whether it names the request itself.
    pub own: bool,
}

/// The story of one request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Explanation {
    /// What the logs say, in order of time.
    pub lines: Vec<ExplanationLine>,
    /// The cause, as far as the logs tell it.
    pub cause: Option<String>,
    /// What the logs do not tell.
    pub missing: Vec<String>,
}

/// Puts the story of a request together.
#[must_use]
pub fn explain_request(id: &str, mut log: Vec<LogLine>) -> Explanation {
    log.sort_by_key(|line| line.at_ms);
    let own: Vec<&LogLine> = log.iter().filter(|line| line.text("id") == Some(id)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Explanation { missing: absent(&log), ..Explanation::default() };
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
        add(&mut lines, line, own);
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
    let mine = instances.contains(&*line.instance);
    match (line.text("group"), line.text("server")) {
        (Some(of), _) => of == group,
        (None, Some(server)) => servers.contains(server),
        (None, None) => mine,
    }
}

/// Adds a line, or counts it with one that said the same.
fn add(lines: &mut Vec<ExplanationLine>, line: &LogLine, own: bool) {
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

fn absent(log: &[LogLine]) -> Vec<String> {
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
    (lines > 0.0).then(|| format!("{lines} lines of these files were left out by their budgets"))
}

fn missing_for(last: &LogLine, log: &[LogLine]) -> Vec<String> {
    let mut missing = Vec::new();
    if last.event == "request_moved" {
        missing.push("its end: it was served after this, or its last line was left out".into());
    }
    missing.extend(left_out(log));
    missing
}

/// What the lines say of the cause, from the last line of the request and
/// what happened around it.
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
    let around = replaced.or_else(|| {
        let lost = event("leader_lost")?;
        Some(format!("primary {} lost the lead", lost.line.text("server").unwrap_or("none")))
    });
    let around = around.map_or_else(String::new, |text| format!("; {text}"));
    let text = match (&*last.event, last.text("reason").unwrap_or_default()) {
        ("request_refused", "overloaded") => {
            let waiting = last.number("waiting");
            format!("refused under load: {waiting} requests were waiting{around}")
        }
        ("request_refused", "no_primary") => format!("the group had no primary{around}"),
        ("request_refused", "transaction_lost") => {
            format!("its transaction was lost at server {server}{around}")
        }
        ("request_refused", "replicas_behind") => {
            format!("no server had applied position {}", last.text("floor").unwrap_or("none"))
        }
        ("request_refused", "unknown_database") => {
            "no configuration in force has its database name".to_owned()
        }
        ("request_refused", "unknown_key") => {
            let account = last.text("account").unwrap_or("none");
            format!("its key is taken away: account {account} does not hold it any more")
        }
        ("request_refused", "rate_limited") => {
            let account = last.text("account").unwrap_or("none");
            let text = last.text("text").unwrap_or_default();
            format!("account {account} was at its limit: {text}")
        }
        ("request_refused", "quota_unknown") => {
            let account = last.text("account").unwrap_or("none");
            format!("no instance that counts the operations of account {account} answered{around}")
        }
        ("request_refused", "cut_off") if event("primary_out_of_reach").is_some() => {
            "the primary is beyond a partition, and this side has too few votes to replace it"
                .to_owned()
        }
        ("request_refused", "holder_silent") => {
            let silent = lines.iter().filter(|line| line.line.event == "peer_silent");
            let silent: BTreeSet<_> = silent.filter_map(|line| line.line.text("peer")).collect();
            let silent: Vec<_> = silent.into_iter().collect();
            let silent = silent.join(", ");
            format!("no holder of the group gave a sign of life; silent: {silent}{around}")
        }
        ("request_refused", "cut_off") => {
            let instance = &last.instance;
            format!(
                "instance {instance} had not the right to use the primary: too few others \
                 answered it, and neither did the store{around}"
            )
        }
        ("request_unknown", _) if event("commit_unconfirmed").is_some() => {
            format!("server {server} committed it when it may have been succeeded{around}")
        }
        ("request_unknown", _) => {
            format!("server {server} did not answer for {at_server} ms{around}")
        }
        ("request_late", _) if waited > at_server => {
            format!("it waited {waited} ms for a connection{around}")
        }
        ("request_late", _) => format!("it was {at_server} ms at servers, last {server}{around}"),
        ("request_refused", reason) => format!("refused: {reason}{around}"),
        _ => return None,
    };
    Some(text)
}
