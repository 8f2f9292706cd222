//! Starts and stops an instance: its listeners, its background tasks and the
//! context that they share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use chervilwharf_lib::instance::Instance;
use chervilwharf_lib::instance::InstanceEvent;
use chervilwharf_lib::membership::MembershipTiming;
use chervilwharf_lib::membership::PeerInfo;
use chervilwharf_lib::ownership_types::OwnershipTiming;
use chervilwharf_lib::retry::RetryBudget;
use chervilwharf_lib::settings::Settings;
use displaydoc::Display;
use log::info;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::admin;
use crate::confirm::Confirmations;
use crate::context::ActiveConfig;
use crate::context::Context;
use crate::context::Shared;
use crate::control;
use crate::databases::Databases;
use crate::entry_handlers;
use crate::link::LinkIdentity;
use crate::link::Links;
use crate::link_server;
use crate::metrics::Metrics;
use crate::platform::HttpPlatform;
use crate::platform_sync;
use crate::transactions::Transactions;

/// Reason why an instance could not be started.
#[derive(Debug)]
#[derive(Display)]
pub enum StartError {
    /// {name} {address} cannot be used: {error}
    Listen {
        /// Name of the setting.
        name: &'static str,
        /// Value of the setting.
        address: SocketAddr,
        /// Error of the operating system.
        error: std::io::Error,
    },
}

impl std::error::Error for StartError {}

/// A running instance.
pub struct Daemon {
    context: Shared,
    /// Address on which the instance accepts clients.
    pub client_address: SocketAddr,
    /// Address on which the instance accepts other instances.
    pub peer_address: SocketAddr,
    /// Address of the HTTP interface for operators.
    pub admin_address: SocketAddr,
}

/// Longest wait of a planned stop for handovers and requests in progress.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(20);

/// Upper limit of retries as a percentage of the requests.
const RETRY_SHARE_PERCENT: u64 = 20;

/// Retries that are allowed at once, beyond that percentage: when an owner fails,
/// each client connected to this instance has at most one request to retry.
const RETRY_BURST: u64 = 5000;

/// Time in which a stopping instance still answers new requests, with a refusal,
/// so that active clients move to another instance. A client that sends nothing
/// for this long has no request in progress.
const CLIENT_CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

async fn listen(
    name: &'static str,
    address: SocketAddr,
) -> Result<(TcpListener, SocketAddr), StartError> {
    let failed = |error| StartError::Listen { name, address, error };
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    Ok((listener, bound))
}

impl Daemon {
    /// Starts an instance on the current runtime.
    ///
    /// # Errors
    ///
    /// When the instance cannot listen on one of the configured addresses.
    pub async fn start(settings: Settings) -> Result<Self, StartError> {
        let (clients, client_address) = listen("client_address", settings.client_address).await?;
        let (peers, peer_address) = listen("peer_address", settings.peer_address).await?;
        let (operators, admin_address) = listen("admin_address", settings.admin_address).await?;
        let (context, actions) = build_context(settings, peer_address, admin_address);
        add_seed_instances(&context);
        tokio::spawn(control::run(context.clone(), actions));
        tokio::spawn(link_server::accept(context.clone(), peers));
        tokio::spawn(admin::serve(context.clone(), operators));
        tokio::spawn(platform_sync::watch_instances(context.clone()));
        tokio::spawn(platform_sync::watch_configuration(context.clone()));
        tokio::spawn(load_owners_once_configured(context.clone()));
        tokio::spawn(entry_handlers::accept(context.clone(), clients));
        info!("started instance={}", context.settings.instance);
        Ok(Self { context, client_address, peer_address, admin_address })
    }

    /// Returns the state that the tasks of the instance share.
    #[must_use]
    pub fn context(&self) -> &Shared {
        &self.context
    }

    /// Stops the instance: accepts no new clients, hands its databases over to
    /// other instances, and lets requests in progress end.
    pub async fn stop(&self) {
        let context = &self.context;
        info!("stopping instance={}", context.settings.instance);
        context.stopping.send_replace(true);
        context.databases.handle(InstanceEvent::Leave);
        let deadline = Instant::now() + DRAIN_TIMEOUT;
        while Instant::now() < deadline && !is_idle(context) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        // From now on a request is refused as not run. The connection closes with
        // that answer and not in the middle of a request.
        context.refuses_requests.store(true, Ordering::SeqCst);
        let deadline = Instant::now() + CLIENT_CLOSE_TIMEOUT;
        while Instant::now() < deadline && context.metrics.client_connections.get() > 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        info!("stopped instance={}", context.settings.instance);
    }
}

/// Whether no client request is in progress and no database remains that another
/// running instance could take over.
fn is_idle(context: &Shared) -> bool {
    let no_peer_available =
        context.databases.instance.membership().peers().all(|(peer, alive)| !alive || peer.leaving);
    let owns = !context.databases.instance.owned().is_empty();
    let busy = context.active_requests.load(Ordering::SeqCst) > 0;
    (!owns || no_peer_available) && !busy
}

fn build_context(
    settings: Settings,
    peer_address: SocketAddr,
    admin_address: SocketAddr,
) -> (Shared, mpsc::UnboundedReceiver<chervilwharf_lib::instance::InstanceAction>) {
    let advertised = settings.advertised_peer_address.clone();
    let me = PeerInfo {
        id: settings.instance.clone(),
        address: advertised.unwrap_or_else(|| peer_address.to_string().into()),
        admin_address: admin_address.to_string().into(),
        failure_domain: settings.failure_domain.clone(),
        leaving: false,
        configuration_version: 0,
    };
    let incarnation = uuid::Uuid::now_v7().to_string();
    let (actions, queue) = mpsc::unbounded_channel();
    let platform = HttpPlatform::new(settings.store_url.clone());
    let instance =
        Instance::new(me, &incarnation, MembershipTiming::default(), OwnershipTiming::default());
    let databases = Arc::new(Databases::new(instance, actions));
    let metrics = Metrics::new();
    let identity = LinkIdentity {
        instance: settings.instance.clone(),
        peer_key: settings.peer_key.clone(),
        started_at: Instant::now(),
    };
    let context = Context {
        links: Links::new(identity, databases.clone(), metrics.links.clone()),
        databases,
        active: watch::Sender::new(Arc::new(ActiveConfig::default())),
        platform: Arc::new(platform),
        metrics,
        in_flight: Arc::default(),
        transactions: Transactions::default(),
        confirmations: Confirmations::default(),
        account_limits: HashMap::new().into(),
        stopping: watch::Sender::new(false),
        retry_budget: RetryBudget::new(RETRY_SHARE_PERCENT, RETRY_BURST).into(),
        refuses_requests: false.into(),
        active_requests: 0.into(),
        settings,
    };
    (Arc::new(context), queue)
}

/// Adds the instances named in the settings to the known peers, so that this
/// instance can reach them while the store is unavailable.
fn add_seed_instances(context: &Shared) {
    let seeds = context.settings.seeds.iter().map(|seed| PeerInfo {
        id: seed.instance.clone(),
        address: seed.peer_address.clone(),
        admin_address: "".into(),
        failure_domain: seed.failure_domain.clone(),
        leaving: false,
        configuration_version: 0,
    });
    context.databases.instance.membership().add_peers(Instant::now(), seeds);
}

async fn load_owners_once_configured(context: Shared) {
    let mut active = context.active.subscribe();
    // Fails only while the process shuts down.
    if active.wait_for(|active| active.version > 0).await.is_ok() {
        platform_sync::load_owners(context.clone()).await;
    }
}
