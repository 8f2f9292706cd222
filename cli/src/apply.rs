//! The `apply` command: writes a configuration file to the platform's store and, on
//! request, waits until the instances use it.

use std::time::Duration;
use std::time::Instant;

use chervilwharf_daemon::metrics::since_epoch;
use chervilwharf_daemon::platform::CONFIGURATION_KEY;
use chervilwharf_daemon::platform::Platform;
use chervilwharf_daemon::platform::PlatformError;
use chervilwharf_daemon::platform_sync::PastUpdate;
use chervilwharf_daemon::platform_sync::StoredConfiguration;
use chervilwharf_lib::config_check;
use serde_json::json;

use crate::client::Client;
use crate::command::ApplyCommand;
use crate::command::ExitStatus;
use crate::command::Output;
use crate::configuration;

/// Number of earlier updates that are stored with the configuration.
const HISTORY_LENGTH: usize = 20;

/// Number of attempts to write before the command fails.
const MAX_WRITE_ATTEMPTS: usize = 20;

/// Pause after an attempt in which the store was unavailable.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Pause between two rounds in which the tool queries the instances for their
/// configuration version.
const PROGRESS_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Checks the file of `command` and writes it to the store. With `--wait`, also waits
/// until it is in force.
///
/// # Errors
///
/// Returns an error if the file cannot be read, if the store stays unavailable, or if
/// the configuration is not in force within the time limit.
pub async fn run(
    output: &Output,
    client: &Client,
    command: &ApplyCommand,
) -> Result<ExitStatus, String> {
    let text = configuration::read(&command.file)?;
    let checked = config_check::check(&text);
    for finding in &checked.findings {
        eprintln!("{}:{finding}", command.file.display());
    }
    if checked.config.is_none() {
        return Ok(ExitStatus::BadInput);
    }
    let author = command.author.clone().or_else(|| std::env::var("USER").ok());
    let mut next = StoredConfiguration {
        update_id: uuid::Uuid::now_v7().to_string(),
        author: author.unwrap_or_else(|| "unknown".into()),
        at_ms: u64::try_from(since_epoch().as_millis()).unwrap_or(u64::MAX),
        text,
        history: Vec::new(),
    };
    let version = match write(client, command.base, &mut next).await? {
        WriteOutcome::Accepted(version) => version,
        WriteOutcome::Conflict(version, other) => {
            report_conflict(output, command.base, version, &other, &next.text);
            return Ok(ExitStatus::Conflict);
        }
    };
    if output.json {
        output.line(json!({ "version": version }));
    } else {
        output.line(format_args!("version {version} is accepted"));
    }
    if command.wait {
        let timeout = Duration::from_secs(command.wait_limit_s);
        return wait_in_force(output, client, version, timeout).await;
    }
    Ok(ExitStatus::Done)
}

/// How the store answered an update.
enum WriteOutcome {
    /// The store holds the update, under this version.
    Accepted(u64),
    /// The store holds this other version, which the update is not based on.
    Conflict(u64, Box<StoredConfiguration>),
}

/// Writes the update `next` if the store still holds version `base`.
///
/// The store may apply the update although its answer is lost. Each attempt therefore
/// reads the configuration first and compares its update id: a retry that only writes
/// would be refused as a conflict with the tool's own update.
///
/// # Errors
///
/// Returns an error if no attempt gets a result. The store may hold the update even so.
async fn write(
    client: &Client,
    base: u64,
    next: &mut StoredConfiguration,
) -> Result<WriteOutcome, String> {
    let mut last_error = String::from("every write was refused as a conflict");
    for _ in 0..MAX_WRITE_ATTEMPTS {
        let current = match client.configuration().await {
            Ok(current) => current,
            Err(error) => {
                last_error = error;
                tokio::time::sleep(WRITE_RETRY_INTERVAL).await;
                continue;
            }
        };
        if let Some((version, stored)) = current {
            if stored.update_id == next.update_id {
                return Ok(WriteOutcome::Accepted(version));
            }
            // The store may have applied the update, and then a later one of another
            // operator. The update is in the history then.
            if let Some(own_version) = find_own_version(&stored, next) {
                return Ok(WriteOutcome::Accepted(own_version));
            }
            if version != base {
                return Ok(WriteOutcome::Conflict(version, Box::new(stored)));
            }
            next.history = history_after(version, &stored);
        }
        let value = serde_json::to_string(next).map_err(|error| error.to_string())?;
        match client.platform.put(CONFIGURATION_KEY, &value, base).await {
            Ok(version) => return Ok(WriteOutcome::Accepted(version)),
            Err(PlatformError::Conflict(_)) => {}
            Err(PlatformError::Unavailable(error)) => {
                last_error = error;
                tokio::time::sleep(WRITE_RETRY_INTERVAL).await;
            }
        }
    }
    Err(format!(
        "{last_error}; it is unknown whether the configuration was accepted; check `history`"
    ))
}

/// Finds the version that the update `next` got, in the history of `stored`. The history
/// holds no update ids, so the time and the author identify the update.
fn find_own_version(stored: &StoredConfiguration, next: &StoredConfiguration) -> Option<u64> {
    let own_update = stored
        .history
        .iter()
        .find(|update| update.at_ms == next.at_ms && update.author == next.author);
    own_update.map(|update| update.version)
}

/// The history of an update that replaces `stored`: its newest entry is `stored` itself.
fn history_after(version: u64, stored: &StoredConfiguration) -> Vec<PastUpdate> {
    let newest = PastUpdate { version, author: stored.author.clone(), at_ms: stored.at_ms };
    std::iter::once(newest).chain(stored.history.iter().cloned()).take(HISTORY_LENGTH).collect()
}

fn report_conflict(
    output: &Output,
    base: u64,
    version: u64,
    other: &StoredConfiguration,
    text: &str,
) {
    if output.json {
        output.line(json!({ "conflict": { "version": version, "author": other.author } }));
        return;
    }
    eprintln!(
        "not applied: the file is based on version {base}, but {} has applied version \
         {version} since. Differences:",
        other.author
    );
    let name = format!("version {version} by {}", other.author);
    eprintln!("{}", configuration::difference(&other.text, text, &name, "your file"));
}

/// Waits until a version is in force on every instance that answers, and on at least one.
///
/// # Errors
///
/// Returns an error if the version is not in force after `timeout`.
async fn wait_in_force(
    output: &Output,
    client: &Client,
    version: u64,
    timeout: Duration,
) -> Result<ExitStatus, String> {
    let started_at = Instant::now();
    let mut reported_count = usize::MAX;
    loop {
        let (mut outdated, mut unreachable, mut in_force) = (Vec::new(), Vec::new(), 0);
        let instances = client.instances().await.unwrap_or_default();
        for instance in &instances {
            match client.query_instance(instance, "status", &[]).await {
                Ok(status) if status["configuration_version"].as_u64() >= Some(version) => {
                    in_force += 1;
                }
                Ok(_) => outdated.push(instance.id.to_string()),
                Err(_) => unreachable.push(instance.id.to_string()),
            }
        }
        if in_force != reported_count && !output.json {
            output.line(format_args!("in force on {in_force} of {} instances", instances.len()));
            reported_count = in_force;
        }
        if outdated.is_empty() && in_force > 0 {
            if !unreachable.is_empty() {
                eprintln!(
                    "did not wait for instances that do not answer: {}",
                    unreachable.join(", ")
                );
            }
            return Ok(ExitStatus::Done);
        }
        if started_at.elapsed() >= timeout {
            return Err(format!("version {version} is not in force on {}", outdated.join(", ")));
        }
        tokio::time::sleep(PROGRESS_POLL_INTERVAL).await;
    }
}
