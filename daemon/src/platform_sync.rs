//! Keeps the instance in sync with the platform's store: watches the configuration
//! and the list of instances, and reads and writes the last known owner of each
//! database.
//!
//! Only a few instances of each failure domain, the relays, watch the
//! configuration. The others receive its version in heartbeats and pull it from the
//! sender.

use std::sync::Arc;
use std::time::Duration;

use chervilwharf_lib::config_check;
use chervilwharf_lib::id::ConfigVersion;
use chervilwharf_lib::id::DatabaseId;
use chervilwharf_lib::id::InstanceId;
use chervilwharf_lib::instance::InstanceEvent;
use chervilwharf_lib::membership::OwnerRecord;
use chervilwharf_lib::membership::PeerInfo;
use chervilwharf_lib::placement;
use chervilwharf_lib::placement::Candidate;
use chervilwharf_lib::protos::ConfigurationPull;
use chervilwharf_lib::protos::frame::Body;
use log::error;
use log::info;
use log::warn;
use serde::Deserialize;
use serde::Serialize;

use crate::context::ActiveConfig;
use crate::context::Shared;
use crate::platform::CONFIGURATION_KEY;
use crate::platform::INSTANCES_KEY;
use crate::platform::PlatformError;
use crate::platform::Versioned;
use crate::platform::owner_key;

/// The stored object of the configuration: its text, author and history.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoredConfiguration {
    /// Id of this update, by which its writer detects whether it took effect
    /// when the store's answer was lost.
    pub update_id: String,
    /// Operator who applied it.
    pub author: String,
    /// Time at which it was applied, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Text of the configuration.
    pub text: String,
    /// Earlier updates, newest first.
    #[serde(default)]
    pub history: Vec<PastUpdate>,
}

/// An earlier update of the configuration, without its text.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PastUpdate {
    /// Version that the update created.
    pub version: ConfigVersion,
    /// Operator who applied it.
    pub author: String,
    /// Time at which it was applied, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// An entry of the platform's list of instances.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ListedInstance {
    /// Name of the instance.
    pub id: InstanceId,
    /// Address for other instances.
    pub peer_address: Arc<str>,
    /// Address of its HTTP interface for operators.
    #[serde(default)]
    pub admin_address: Arc<str>,
    /// Failure domain in which it runs.
    pub failure_domain: Arc<str>,
    /// Whether it is about to stop.
    #[serde(default)]
    pub leaving: bool,
}

#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
struct StoredOwner {
    owner: InstanceId,
    term: u64,
}

/// Longest wait of one watch call.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// Delay before a retry after a failed call to the store.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Number of relays in each failure domain.
const RELAYS_PER_DOMAIN: usize = 2;

/// Interval at which an instance checks whether it has become a relay.
const RELAY_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Number of attempts to write the owner of a database. If all fail, the record
/// stays outdated until the next change of owner; it is only a hint.
const PUBLISH_ATTEMPTS: usize = 5;

/// Delay between these attempts.
const PUBLISH_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Watches the configuration in the store and applies each new version, for as
/// long as the instance runs. An instance that has no configuration yet reads it
/// from the store even if it is not a relay.
pub async fn watch_configuration(context: Shared) {
    let mut outage_logged = false;
    loop {
        let version = context.config().version;
        if version > 0 && !is_relay(&context) {
            tokio::time::sleep(RELAY_CHECK_INTERVAL).await;
            continue;
        }
        context.metrics.store_calls.inc();
        let platform = &context.platform;
        let stored = if version == 0 {
            platform.get(CONFIGURATION_KEY).await
        } else {
            platform.watch(CONFIGURATION_KEY, version, WATCH_WAIT).await
        };
        match stored {
            Ok(Some(stored)) => {
                outage_logged = false;
                apply_stored(&context, &stored).await;
            }
            Ok(None) if version == 0 => tokio::time::sleep(STORE_RETRY_DELAY).await,
            Ok(None) => outage_logged = false,
            Err(error) => {
                if !outage_logged {
                    warn!("store unavailable: {error}");
                    outage_logged = true;
                }
                tokio::time::sleep(STORE_RETRY_DELAY).await;
            }
        }
    }
}

/// Whether this instance is a relay. Instances of a failure domain choose the same
/// relays if their lists of running peers are the same.
fn is_relay(context: &Shared) -> bool {
    let membership = context.databases.instance.membership();
    let me = membership.me();
    let mut candidates =
        vec![Candidate { id: me.id.clone(), failure_domain: me.failure_domain.clone() }];
    for (peer, alive) in membership.peers() {
        if alive && !peer.leaving && peer.failure_domain == me.failure_domain {
            let failure_domain = peer.failure_domain.clone();
            candidates.push(Candidate { id: peer.id.clone(), failure_domain });
        }
    }
    let ranked = placement::rank("configuration relay", &candidates, None);
    ranked.iter().take(RELAYS_PER_DOMAIN).any(|id| *id == me.id)
}

async fn apply_stored(context: &Shared, stored: &Versioned) {
    let active = context.config().version;
    if stored.version < active {
        // The store was most likely restored from a backup. Applying the older
        // version would revert accepted changes, so an operator has to apply the
        // newer text again.
        error!(
            "the store holds configuration {} but the newer {active} is in force and stays so",
            stored.version
        );
        tokio::time::sleep(STORE_RETRY_DELAY * 10).await;
        return;
    }
    match serde_json::from_str::<StoredConfiguration>(&stored.value) {
        Ok(configuration) => apply_text(context, stored.version, &configuration.text),
        Err(error) => {
            error!("configuration {} cannot be read: {error}", stored.version);
            tokio::time::sleep(STORE_RETRY_DELAY * 10).await;
        }
    }
}

fn apply_text(context: &Shared, version: ConfigVersion, text: &str) {
    let checked = config_check::check(text);
    let Some(config) = checked.config else {
        let first_finding = checked.findings.first().map(ToString::to_string).unwrap_or_default();
        error!("configuration {version} is not valid and was not applied: {first_finding}");
        return;
    };
    let next = ActiveConfig::new(version, text.into(), config);
    if context.activate(next) {
        info!("configuration in force version={version}");
    }
}

/// Pulls the configuration from another instance and applies it if it is newer
/// than the one in force.
pub async fn pull_from_peer(context: Shared, peer: InstanceId, version: ConfigVersion) {
    if context.config().version >= version {
        return;
    }
    let pull = ConfigurationPull { have_version: context.config().version };
    let timeout = Duration::from_secs(2);
    let answer = context.links.call(&peer, Body::ConfigurationPull(pull), timeout).await;
    if let Ok(Body::Configuration(configuration)) = answer {
        if configuration.version > context.config().version {
            apply_text(&context, configuration.version, &configuration.text);
        }
    }
}

/// Watches the list of instances in the store, for as long as the instance runs.
pub async fn watch_instances(context: Shared) {
    let mut version = 0;
    loop {
        context.metrics.store_calls.inc();
        match context.platform.watch(INSTANCES_KEY, version, WATCH_WAIT).await {
            Ok(Some(stored)) => {
                version = stored.version;
                match serde_json::from_str::<Vec<ListedInstance>>(&stored.value) {
                    Ok(listed) => {
                        let peers = listed.into_iter().map(peer_info).collect();
                        context.databases.handle(InstanceEvent::Listed(peers));
                    }
                    Err(error) => warn!("instance list {version} cannot be read: {error}"),
                }
            }
            Ok(None) => {}
            Err(_) => tokio::time::sleep(STORE_RETRY_DELAY).await,
        }
    }
}

fn peer_info(listed: ListedInstance) -> PeerInfo {
    PeerInfo {
        id: listed.id,
        address: listed.peer_address,
        admin_address: listed.admin_address,
        failure_domain: listed.failure_domain,
        leaving: listed.leaving,
        configuration_version: 0,
    }
}

/// Reads the last known owner of each database once, after the start.
pub async fn load_owners(context: Shared) {
    for database in context.databases.instance.database_ids() {
        context.metrics.store_calls.inc();
        if let Ok(Some(stored)) = context.platform.get(&owner_key(&database)).await {
            if let Ok(owner) = serde_json::from_str::<StoredOwner>(&stored.value) {
                let record = OwnerRecord { owner: owner.owner, term: owner.term };
                context.databases.handle(InstanceEvent::OwnerKnown { database, record });
            }
        }
    }
}

/// Writes the owner of a database to the store, unless the record there has the
/// same or a higher term.
pub async fn publish_owner(context: Shared, database: DatabaseId, record: OwnerRecord) {
    let key = owner_key(&database);
    let owner = StoredOwner { owner: record.owner.clone(), term: record.term };
    let value = serde_json::to_string(&owner).unwrap_or_default();
    let mut expected = 0;
    for _ in 0..PUBLISH_ATTEMPTS {
        context.metrics.store_calls.inc();
        match context.platform.put(&key, &value, expected).await {
            Ok(_) => return,
            Err(PlatformError::Conflict(Some(current))) => {
                let stored_owner = serde_json::from_str::<StoredOwner>(&current.value);
                if stored_owner.is_ok_and(|stored| stored.term >= record.term) {
                    return;
                }
                expected = current.version;
            }
            Err(_) => tokio::time::sleep(PUBLISH_RETRY_DELAY).await,
        }
    }
}
