//! The commands `check`, `show`, `diff` and `history`, which read configurations.

use std::path::Path;

use chervilwharf_lib::config_check;
use chervilwharf_lib::config_check::Severity;
use serde_json::json;
use similar::TextDiff;

use crate::client::Client;
use crate::command::ExitStatus;
use crate::command::Output;

/// Reads a text file.
///
/// # Errors
///
/// Returns an error that names the file if it cannot be read.
pub fn read(file: &Path) -> Result<String, String> {
    std::fs::read_to_string(file)
        .map_err(|error| format!("{} cannot be read: {error}", file.display()))
}

/// Checks a configuration file and prints its errors and warnings.
///
/// # Errors
///
/// Returns an error if the file cannot be read.
pub fn check(output: &Output, file: &Path) -> Result<ExitStatus, String> {
    let text = read(file)?;
    let checked = config_check::check(&text);
    if output.json {
        let findings: Vec<_> = checked
            .findings
            .iter()
            .map(|finding| {
                json!({
                    "severity": if finding.severity == Severity::Error { "error" } else { "warning" },
                    "line": finding.line,
                    "column": finding.column,
                    "message": finding.message,
                })
            })
            .collect();
        output.line(json!({ "good": checked.config.is_some(), "findings": findings }));
    } else {
        for finding in &checked.findings {
            output.line(format_args!("{}:{finding}", file.display()));
        }
    }
    if checked.config.is_none() {
        return Ok(ExitStatus::BadInput);
    }
    if !output.json {
        output.line(format_args!("{}: good", file.display()));
    }
    Ok(ExitStatus::Done)
}

/// Prints the configuration in the store.
///
/// # Errors
///
/// Returns an error if the store does not answer or holds no configuration.
pub async fn show(output: &Output, client: &Client) -> Result<ExitStatus, String> {
    let (version, stored) =
        client.configuration().await?.ok_or("the store holds no configuration")?;
    if output.json {
        output.line(json!({ "version": version, "author": stored.author, "text": stored.text }));
    } else {
        eprintln!("version {version} by {}", stored.author);
        output.line(stored.text.trim_end());
    }
    Ok(ExitStatus::Done)
}

/// Prints the difference between the configuration in the store and a file.
///
/// # Errors
///
/// Returns an error if the file or the store cannot be read.
pub async fn diff(output: &Output, client: &Client, file: &Path) -> Result<ExitStatus, String> {
    let text = read(file)?;
    let stored = client.configuration().await?;
    let (version, old) = stored.map_or((0, String::new()), |(v, stored)| (v, stored.text));
    output.line(difference(
        &old,
        &text,
        &format!("version {version}"),
        &file.display().to_string(),
    ));
    Ok(ExitStatus::Done)
}

/// Returns a unified diff of two texts.
#[must_use]
pub fn difference(old: &str, new: &str, old_name: &str, new_name: &str) -> String {
    let diff = TextDiff::from_lines(old, new);
    diff.unified_diff().context_radius(2).header(old_name, new_name).to_string()
}

/// Prints the version, time and author of the current configuration and of its recent
/// predecessors.
///
/// # Errors
///
/// Returns an error if the store does not answer or holds no configuration.
pub async fn history(output: &Output, client: &Client) -> Result<ExitStatus, String> {
    let (version, stored) =
        client.configuration().await?.ok_or("the store holds no configuration")?;
    let now = json!({ "version": version, "author": stored.author, "at_ms": stored.at_ms });
    let past = stored.history.iter().map(|update| json!(update));
    let all: Vec<_> = std::iter::once(now).chain(past).collect();
    if output.json {
        output.line(json!(all));
        return Ok(ExitStatus::Done);
    }
    output.line("version  at_ms          author");
    for update in &all {
        output.line(format_args!(
            "{:<8} {:<14} {}",
            update["version"],
            update["at_ms"],
            update["author"].as_str().unwrap_or("")
        ));
    }
    Ok(ExitStatus::Done)
}
