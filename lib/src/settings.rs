//! Settings of one instance: what it cannot learn from the shared text.

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
    /// Where it runs.
    pub failure_domain: FailureDomainId,
    /// Where callers connect.
    pub client_address: SocketAddr,
    /// Where other instances connect.
    pub peer_address: SocketAddr,
    /// Address told to other instances, if they reach it by another one.
    #[serde(default)]
    pub advertised_peer_address: Option<Arc<str>>,
    /// Where operators and the metrics collector connect.
    pub admin_address: SocketAddr,
    /// Base address of the platform's store.
    pub store_url: Arc<str>,
    /// Secret shared by all instances; proves to a peer that we belong.
    pub peer_key: Arc<str>,
    /// Instances to ask when the store is down at the start.
    #[serde(default)]
    pub seeds: Vec<Seed>,
    /// How much is logged.
    #[serde(default)]
    pub log: LogSettings,
}

/// An instance known from the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Seed {
    /// Its name.
    pub instance: InstanceId,
    /// Where it takes connections of instances.
    pub peer_address: Arc<str>,
    /// Where it runs.
    pub failure_domain: FailureDomainId,
}

/// How much is logged, and in which form.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// Least important level that is written: error, warn, info, debug, trace.
    #[serde(default = "default_level")]
    pub level: Arc<str>,
    /// One JSON object a line instead of plain text.
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

/// Shortest accepted peer key.
pub const PEER_KEY_MIN_BYTES: usize = 16;

/// Reads settings.
///
/// # Errors
///
/// Returns what is wrong and where, in words for an operator.
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
