//! The `load` command: reads the metrics of all instances and prints one summary of the load.

use std::error::Error;
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use chervilwharf_lib::load_summary::CountKind;
use chervilwharf_lib::load_summary::LoadSummary;
use chervilwharf_lib::load_summary::Reading;
use chervilwharf_lib::load_summary::rows::HomesRow;
use chervilwharf_lib::load_summary::rows::OutdatedRow;
use chervilwharf_lib::load_summary::rows::QuotaRow;
use chervilwharf_lib::load_summary::rows::RefusedAccountRow;
use chervilwharf_lib::load_summary::rows::RefusedRow;
use chervilwharf_lib::load_summary::rows::Table;
use chervilwharf_lib::load_summary::rows::WaitingAccountRow;
use chervilwharf_lib::load_summary::rows::WaitingRow;
use futures::StreamExt;
use futures::stream;
use reqwest::Client;
use reqwest::StatusCode;
use serde_json::json;

use crate::command::ExitStatus;
use crate::command::LoadCommand;
use crate::command::Output;

/// Longest time for which one instance is waited for.
const READ_TIMEOUT: Duration = Duration::from_secs(8);

/// Instances that are read at the same time.
const MAX_PARALLEL_READS: usize = 64;

/// Largest metrics text that is read, because an address of something else may send an answer
/// without an end.
const MAX_TEXT_BYTES: usize = 16 << 20;

/// Reads the metrics of the instances and prints a summary, once or, with `--watch`, until it
/// is interrupted. Fails if an instance does not answer the last read.
pub async fn run(output: &Output, command: &LoadCommand) -> ExitStatus {
    if let Err(message) = check(command) {
        eprintln!("chervilwharf: {message}");
        return ExitStatus::BadInput;
    }
    let addresses: Vec<Arc<str>> =
        command.addresses.iter().map(|address| address.as_str().into()).collect();
    let client = Client::builder().no_proxy().timeout(READ_TIMEOUT).build();
    let client = client.expect("the HTTP client accepts its fixed options");
    let began_at = Instant::now();
    let mut earlier: Option<Vec<Reading>> = None;
    let mut status = ExitStatus::Done;
    loop {
        let next_read_at = Instant::now() + Duration::from_secs(command.watch.unwrap_or_default());
        let reading = read_all(&client, &addresses, began_at);
        let readings = tokio::select! {
            readings = reading => readings,
            () = interrupted(command) => return status,
        };
        let summary = LoadSummary::new(&readings, earlier.as_deref()).limit(command.top);
        print(output, &summary);
        status = if summary.unread.is_empty() { ExitStatus::Done } else { ExitStatus::Failed };
        if command.watch.is_none() {
            return status;
        }
        earlier = Some(readings);
        tokio::select! {
            () = tokio::time::sleep_until(next_read_at.into()) => {}
            () = interrupted(command) => return status,
        }
    }
}

/// Ends when the command is interrupted while it repeats its reads. Without `--watch`, an
/// interrupt ends the process in the usual way.
async fn interrupted(command: &LoadCommand) {
    if command.watch.is_none() || tokio::signal::ctrl_c().await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Checks the arguments.
///
/// # Errors
///
/// Returns a message that names the invalid argument.
fn check(command: &LoadCommand) -> Result<(), String> {
    if command.addresses.is_empty() {
        return Err("no address given, expected at least one HOST:PORT".to_owned());
    }
    for (index, address) in command.addresses.iter().enumerate() {
        if !is_address(address) {
            return Err(format!("address \"{address}\" is not of the form HOST:PORT"));
        }
        if command.addresses[..index].contains(address) {
            return Err(format!("address \"{address}\" is given twice"));
        }
    }
    if command.watch == Some(0) {
        return Err("--watch expects at least 1 second".to_owned());
    }
    Ok(())
}

/// Whether a text is an IP address or a host name with a port.
fn is_address(text: &str) -> bool {
    if let Ok(address) = text.parse::<SocketAddr>() {
        return address.port() > 0;
    }
    let Some((host, port)) = text.rsplit_once(':') else {
        return false;
    };
    let is_host_character = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '-' | '_');
    // A host whose last label is a number is a malformed IP address.
    let last_label = host.rsplit('.').next().unwrap_or_default();
    !last_label.chars().all(|c| c.is_ascii_digit())
        && host.chars().all(is_host_character)
        && port.parse::<u16>().is_ok_and(|port| port > 0)
}

/// Reads all instances; the results have the order of the addresses.
async fn read_all(client: &Client, addresses: &[Arc<str>], began_at: Instant) -> Vec<Reading> {
    let read = |address: Arc<str>| async move {
        let answer = read(client, &address).await;
        Reading::new(address, began_at.elapsed(), answer.as_deref().map_err(Clone::clone))
    };
    let reads = stream::iter(addresses.iter().cloned().map(read));
    reads.buffered(MAX_PARALLEL_READS).collect().await
}

/// Reads the metrics text of one instance.
///
/// # Errors
///
/// Returns the reason if it does not answer in time, or with something else.
async fn read(client: &Client, address: &str) -> Result<String, String> {
    let sent = client.get(format!("http://{address}/metrics")).send().await;
    let mut response = sent.map_err(|error| reason(&error))?;
    if response.status() != StatusCode::OK {
        return Err(format!("it answered with status {}", response.status().as_u16()));
    }
    let mut bytes = Vec::new();
    while let Some(chunk) = response.chunk().await.map_err(|error| reason(&error))? {
        bytes.extend_from_slice(&chunk);
        if bytes.len() > MAX_TEXT_BYTES {
            return Err(format!("its answer is longer than {MAX_TEXT_BYTES} bytes"));
        }
    }
    String::from_utf8(bytes).map_err(|_| "its answer is not text".to_owned())
}

/// Why an instance could not be read: the innermost cause of an error.
fn reason(error: &reqwest::Error) -> String {
    if error.is_timeout() {
        return format!("no answer within {} s", READ_TIMEOUT.as_secs());
    }
    let mut cause: &dyn Error = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}

fn print(output: &Output, summary: &LoadSummary) {
    if output.json {
        output.line(json!(summary));
    } else {
        output.line(to_text(summary));
    }
}

/// A table of a summary as text.
struct TextTable {
    title: String,
    header: Vec<&'static str>,
    rows: Vec<Vec<String>>,
    rows_omitted: usize,
    is_reported: bool,
}

impl TextTable {
    fn new<R>(
        title: &str,
        header: &[&'static str],
        table: &Table<R>,
        cells: impl Fn(&R) -> Vec<String>,
    ) -> Self {
        Self {
            title: title.to_owned(),
            header: header.to_vec(),
            rows: table.rows.iter().map(cells).collect(),
            rows_omitted: table.rows_omitted,
            is_reported: table.reporting_instances > 0,
        }
    }

    fn write_to(&self, text: &mut String) {
        text.extend(["\n", &self.title]);
        if self.rows.is_empty() {
            text.push_str(if self.is_reported { ": none\n" } else { ": -\n" });
            return;
        }
        text.push('\n');
        let header: Vec<_> = self.header.iter().map(ToString::to_string).collect();
        let lines: Vec<_> = std::iter::once(&header).chain(&self.rows).collect();
        let width = |column: usize| lines.iter().map(|line| line[column].chars().count()).max();
        let widths: Vec<_> = (0..header.len()).map(|column| width(column).unwrap_or(0)).collect();
        for line in lines {
            let mut cells = String::new();
            for (cell, width) in line.iter().zip(&widths) {
                // Writing to a String cannot fail.
                let _ = write!(cells, "  {cell:<width$}");
            }
            text.extend([cells.trim_end(), "\n"]);
        }
        if self.rows_omitted > 0 {
            let _ = writeln!(text, "  and {} more rows", self.rows_omitted);
        }
    }
}

fn to_text(summary: &LoadSummary) -> String {
    let mut text = format!(
        "{} instances read, {} not; configuration {}\n",
        summary.instances_read,
        summary.unread.len(),
        format_count(summary.configuration_version)
    );
    for note in &summary.unread {
        let _ = writeln!(text, "not read: {}: {}", note.instance, note.reason);
    }
    for note in &summary.counts_omitted {
        let _ = writeln!(text, "counts omitted: {}: {}", note.instance, note.reason);
    }
    if summary.ignored_lines > 0 {
        let lines = summary.ignored_lines;
        let _ = writeln!(text, "{lines} lines ignored, their values are not numbers");
    }
    for table in tables(summary) {
        table.write_to(&mut text);
    }
    text.truncate(text.trim_end().len());
    text
}

fn tables(summary: &LoadSummary) -> [TextTable; 7] {
    let counts = match summary.counts {
        CountKind::Total => "since the start of each instance",
        CountKind::PerSecond => "per second",
    };
    [
        TextTable::new(
            "waiting now, by group and priority",
            &["group", "priority", "waiting", "longest s", "instances"],
            &summary.waiting,
            |row: &WaitingRow| {
                let priority = row.priority.as_deref().unwrap_or("-").to_owned();
                let (waiting, instances) = (row.waiting.to_string(), row.instances.to_string());
                vec![
                    row.group.to_string(),
                    priority,
                    waiting,
                    format_decimal(row.longest_wait_s),
                    instances,
                ]
            },
        ),
        TextTable::new(
            "waiting now, by account",
            &["account", "waiting", "instances"],
            &summary.waiting_accounts,
            |row: &WaitingAccountRow| {
                let (waiting, instances) = (row.waiting.to_string(), row.instances.to_string());
                vec![row.account.to_string(), waiting, instances]
            },
        ),
        TextTable::new(
            &format!("refused, by group, priority and reason, {counts}"),
            &["group", "priority", "reason", "refused", "instances"],
            &summary.refused,
            |row: &RefusedRow| {
                let refused = format_decimal(Some(row.refused));
                let (group, priority) = (row.group.to_string(), row.priority.to_string());
                vec![group, priority, row.reason.to_string(), refused, row.instances.to_string()]
            },
        ),
        TextTable::new(
            &format!("failed statements, by account and reason, {counts}"),
            &["account", "reason", "failed", "served"],
            &summary.refused_accounts,
            |row: &RefusedAccountRow| {
                let (failed, served) =
                    (format_decimal(Some(row.refused)), format_decimal(Some(row.served)));
                vec![row.account.to_string(), row.reason.to_string(), failed, served]
            },
        ),
        TextTable::new(
            "shards of accounts, by instance that counts their operations",
            &["instance", "keeper", "shares", "counted", "standby"],
            &summary.quota,
            |row: &QuotaRow| {
                let counts = [row.keeper, row.share_held, row.share_counted, row.share_standby];
                let mut cells = vec![row.instance.to_string()];
                cells.extend(counts.map(format_count));
                cells
            },
        ),
        TextTable::new(
            "homes of large accounts",
            &["account", "group", "homes (instances that send to them)"],
            &summary.homes,
            |row: &HomesRow| {
                let home = |(home, senders): (&Arc<str>, &usize)| format!("{home} ({senders})");
                let homes: Vec<_> = row.homes.iter().map(home).collect();
                vec![row.account.to_string(), row.group.to_string(), homes.join(", ")]
            },
        ),
        TextTable::new(
            "outdated information",
            &["instance", "configuration", "outdated s", "position s", "group", "store s"],
            &summary.outdated,
            |row: &OutdatedRow| {
                vec![
                    row.instance.to_string(),
                    format_count(row.configuration_version),
                    format_decimal(row.configuration_outdated_s),
                    format_decimal(row.position_age_s),
                    row.position_group.as_deref().unwrap_or("-").to_owned(),
                    format_decimal(row.store_answer_age_s),
                ]
            },
        ),
    ]
}

/// A whole number, or `-` for a missing metric.
fn format_count(count: Option<f64>) -> String {
    count.map_or_else(|| "-".to_owned(), |count| format!("{count:.0}"))
}

/// A number with at most three decimals, or `-` for a missing metric.
fn format_decimal(number: Option<f64>) -> String {
    let Some(number) = number else {
        return "-".to_owned();
    };
    if number.fract() == 0.0 { format!("{number:.0}") } else { format!("{number:.3}") }
}
