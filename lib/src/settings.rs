//! Settings file of one instance: its name, its addresses and how it reaches the
//! platform's store, from which it reads the shared configuration
//! ([`crate::config`]).

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::id::FailureDomainId;
use crate::id::InstanceId;

/// The settings file of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance, unique in the deployment.
    pub instance: InstanceId,
    /// Failure domain in which it runs.
    pub failure_domain: FailureDomainId,
    /// Address on which it accepts client connections.
    pub client_address: SocketAddr,
    /// Address on which it accepts connections of other instances.
    pub peer_address: SocketAddr,
    /// Address that it publishes to other instances, if it differs from
    /// `peer_address`.
    #[serde(default)]
    pub advertised_peer_address: Option<Arc<str>>,
    /// Address on which it accepts connections of operators and of the metrics
    /// collector.
    pub admin_address: SocketAddr,
    /// Base URL of the platform's store.
    pub store_url: Arc<str>,
    /// Secret shared by all instances, with which they authenticate to each other.
    pub peer_key: Arc<str>,
    /// Instances to contact if the store is unavailable at the start.
    #[serde(default)]
    pub seeds: Vec<Seed>,
    /// Log level and format.
    #[serde(default)]
    pub log: LogSettings,
}

/// Another instance, as listed in the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Seed {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Address on which it accepts connections of other instances.
    pub peer_address: Arc<str>,
    /// Failure domain in which it runs.
    pub failure_domain: FailureDomainId,
}

/// Log level and format.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// Most verbose level that is written: error, warn, info, debug or trace.
    #[serde(default = "default_level")]
    pub level: Arc<str>,
    /// Whether to write each line as a JSON object instead of plain text.
    #[serde(default)]
    pub json: bool,
}

fn default_level() -> Arc<str> {
    "info".into()
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: default_level(), json: false }
    }
}

/// Shortest accepted peer key, in bytes.
pub const PEER_KEY_MIN_BYTES: usize = 16;

/// Parses and validates a settings file.
///
/// # Errors
///
/// Returns a message for the operator that describes the problem. For a JSON
/// error it includes the line and column.
pub fn parse(text: &str) -> Result<Settings, String> {
    let settings: Settings = serde_json::from_str(text).map_err(|error| error.to_string())?;
    if settings.instance.is_empty() {
        return Err("instance must not be empty".into());
    }
    if settings.peer_key.len() < PEER_KEY_MIN_BYTES {
        return Err(format!("peer_key is too short, expected {PEER_KEY_MIN_BYTES} bytes or more"));
    }
    if !settings.store_url.starts_with("http://") && !settings.store_url.starts_with("https://") {
        return Err(format!(
            "store_url \"{}\" is not an http:// or https:// address",
            settings.store_url
        ));
    }
    if settings.log.level.parse::<log::LevelFilter>().is_err() {
        return Err(format!(
            "log.level \"{}\" is unknown, expected error, warn, info, debug or trace",
            settings.log.level
        ));
    }
    Ok(settings)
}
