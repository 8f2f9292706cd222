//! Starts a whole deployment in one process: the instances, and stand-ins for the store and
//! the database servers.

use std::error::Error;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use chervilwharf_daemon::platform::CONFIGURATION_KEY;
use chervilwharf_daemon::platform_sync::StoredConfiguration;
use chervilwharf_daemon::start::Daemon;
use chervilwharf_lib::config::Config;
use chervilwharf_lib::config_check;
use chervilwharf_lib::settings;
use chervilwharf_standin::store::Store;
use chervilwharf_standin::target::Target;
use chervilwharf_standin::target::TargetOptions;
use serde_json::json;

/// Number of instances that the demonstration starts.
const INSTANCE_COUNT: usize = 3;

/// Secret that the instances of the demonstration share.
const PEER_KEY: &str = "only for the demonstration";

/// A running deployment.
pub struct Deployment {
    /// The stand-in for the platform's store.
    pub store: Store,
    /// The stand-ins for all database servers.
    pub targets: Vec<Target>,
    /// All instances.
    pub daemons: Vec<Daemon>,
    /// The configuration, with the addresses of the stand-ins.
    pub config: Config,
}

/// The loopback address with port 0, so that the operating system assigns a port.
fn any_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

impl Deployment {
    /// Starts servers, store and instances for a configuration text. The addresses of
    /// the stand-ins replace those of the servers in the text.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not valid or a part of the deployment cannot be
    /// started.
    pub async fn start(text: &str) -> Result<Self, Box<dyn Error>> {
        let checked = config_check::check(text);
        let mut config = checked.config.ok_or_else(|| format!("{:?}", checked.findings))?;
        let store = Store::start(any_port()).await?;
        let mut targets = Vec::new();
        for database in config.databases.values_mut() {
            for server in &mut database.servers {
                let target = Target::start(TargetOptions::new(&server.id)).await?;
                server.address = target.address.to_string().into();
                server.replication_address = Some(target.replication_address.to_string().into());
                targets.push(target);
            }
        }
        let stored = StoredConfiguration {
            update_id: uuid::Uuid::now_v7().to_string(),
            author: "demo".into(),
            at_ms: 0,
            text: serde_json::to_string_pretty(&config)?,
            history: Vec::new(),
        };
        store.put(CONFIGURATION_KEY, &serde_json::to_string(&stored)?);
        let daemons = start_instances(&config, &store).await?;
        Ok(Self { store, targets, daemons, config })
    }
}

/// Starts the instances, spread over the failure domains, and writes their list to the
/// store.
async fn start_instances(config: &Config, store: &Store) -> Result<Vec<Daemon>, Box<dyn Error>> {
    let mut daemons = Vec::new();
    let mut listed = Vec::new();
    for (number, domain) in config.failure_domains.iter().cycle().take(INSTANCE_COUNT).enumerate() {
        let id = format!("entry-{}", number + 1);
        let text = json!({
            "instance": id,
            "failure_domain": domain,
            "client_address": any_port(),
            "peer_address": any_port(),
            "admin_address": any_port(),
            "store_url": store.url(),
            "peer_key": PEER_KEY,
        });
        let daemon = Daemon::start(settings::parse(&text.to_string())?).await?;
        listed.push(json!({
            "id": id,
            "peer_address": daemon.peer_address,
            "admin_address": daemon.admin_address,
            "failure_domain": domain,
        }));
        daemons.push(daemon);
    }
    store.set_instances(&json!(listed));
    Ok(daemons)
}
