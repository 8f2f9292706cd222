//! "Why did this request fail, or take so long?", from logs alone.

use std::path::Path;

use chervilwharf_lib::explanation;
use chervilwharf_lib::explanation::ExplanationLine;
use chervilwharf_lib::explanation::LogLine;
use serde_json::json;

use crate::command::Ending;
use crate::command::ExplainCommand;
use crate::command::Output;

/// Runs the command.
///
/// # Errors
///
/// When a file cannot be read, with its name.
pub fn run(output: &Output, command: &ExplainCommand) -> Result<Ending, String> {
    let mut log = Vec::new();
    for file in &command.files {
        log.extend(read_log(file)?);
    }
    let explanation = explanation::explain_request(&command.id, log);
    if output.json {
        let lines: Vec<_> = explanation.lines.iter().map(to_json).collect();
        output.line(json!({
            "request_id": command.id, "lines": lines, "cause": explanation.cause,
            "missing": explanation.missing,
        }));
    } else {
        let begin_ms = explanation.lines.first().map_or(0, |line| line.line.at_ms);
        for line in &explanation.lines {
            output.line(to_text(line, begin_ms));
        }
        if let Some(cause) = &explanation.cause {
            output.line(format_args!("cause: {cause}"));
        }
        for missing in &explanation.missing {
            output.line(format_args!("missing: {missing}"));
        }
    }
    Ok(if explanation.lines.is_empty() { Ending::Failed } else { Ending::Done })
}

/// Reads the lines of a log; others are passed over.
///
/// # Errors
///
/// When the file cannot be read, with its name.
pub fn read_log(file: &Path) -> Result<Vec<LogLine>, String> {
    let text = std::fs::read_to_string(file);
    let text = text.map_err(|error| format!("{} cannot be read: {error}", file.display()))?;
    Ok(text.lines().filter_map(explanation::parse_line).collect())
}

fn to_text(line: &ExplanationLine, begin_ms: u64) -> String {
    let mark = if line.own { "*" } else { " " };
    let LogLine { at_ms, instance, event, fields } = &line.line;
    let after_ms = at_ms - begin_ms;
    let times = if line.count > 1 { format!(" ({} times)", line.count) } else { String::new() };
    let mut text = format!("{mark} {at_ms} +{after_ms:>5} ms {instance} {event}{times}");
    for (name, value) in fields {
        let value = value.as_str().map_or_else(|| value.to_string(), ToOwned::to_owned);
        text.extend([" ", name, "=", &value]);
    }
    text
}

fn to_json(line: &ExplanationLine) -> serde_json::Value {
    json!({
        "at_ms": line.line.at_ms, "instance": line.line.instance, "event": line.line.event,
        "fields": line.line.fields, "count": line.count, "names_the_request": line.own,
    })
}
