//! Starts the background tasks of an engine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;

use chervilwharf_lib::fleet::InstanceRecord;
use futures::FutureExt;
use futures::future::BoxFuture;
use futures::future::Shared;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::engine::configuration_control::ConfigurationRecordWatcher;
use crate::engine::counted_directory::CountedDirectory;
use crate::engine::directory::Directory;
use crate::engine::duty_control;
use crate::engine::duty_control::DutyRecordWatcher;
use crate::engine::event_log;
use crate::engine::first_pull::pull_first_records;
use crate::engine::fleet_control;
use crate::engine::instance_control;
use crate::engine::instance_control::InstanceRecordWatcher;
use crate::engine::keeper_voter_control;
use crate::engine::leader_control;
use crate::engine::peer_records::pull_directory;
use crate::engine::peer_records::pull_when_told;
use crate::engine::peers;
use crate::engine::primary_lease_control;
use crate::engine::promoter::Promoter;
use crate::engine::quota_leases;
use crate::engine::record_watch::StoreState;
use crate::engine::record_watch::watch_records;
use crate::engine::replacement::Replacer;
use crate::engine::server_control::ServerRecordWatcher;
use crate::engine::shared::Engine;
use crate::engine::shared::PEER_FALLBACK_DELAY;
use crate::engine::store_liveness;

/// Starts all background tasks. They run until the program ends; the engine's supervisor notices
/// if one of them ends before.
///
/// `seeds` are addresses of other instances from which this one pulls records if the store
/// does not answer at the start.
pub fn start(
    engine: &Arc<Engine>,
    directory: &Arc<dyn Directory>,
    promoter: &Arc<dyn Promoter>,
    peer_listener: TcpListener,
    seeds: &[SocketAddr],
) {
    let counted = CountedDirectory::new(directory.clone(), engine.metrics().store.clone());
    let directory: Arc<dyn Directory> = Arc::new(counted);
    // Dropping the handles leaves the tasks running.
    let _watchers = start_record_watchers(engine, &directory);
    let replacer = Replacer {
        engine: engine.clone(),
        directory: directory.clone(),
        promoter: promoter.clone(),
    };
    let supervisor = engine.supervisor();
    supervisor.spawn_endless("leaders", leader_control::run(replacer));
    let orders = primary_lease_control::load_orders(engine.clone(), directory.clone());
    supervisor.spawn("orders", orders);
    let record = instance_control::keep_record(engine.clone(), directory.clone());
    supervisor.spawn_endless("own_record", record);
    let heartbeats = fleet_control::send_heartbeats(engine.clone(), directory.clone());
    supervisor.spawn_endless("heartbeats", heartbeats);
    supervisor.spawn_endless("pulls", pull_when_told(engine.clone()));
    let keeper_leases = quota_leases::maintain_keeper_leases(engine.clone());
    supervisor.spawn_endless("keeper_leases", keeper_leases);
    let voters = keeper_voter_control::maintain_keeper_voters(engine.clone(), directory.clone());
    supervisor.spawn_endless("keeper_voters", voters);
    supervisor.spawn_endless("peer_listener", peers::serve(engine.clone(), peer_listener));
    supervisor.spawn("seeds", pull_from_seeds(engine.clone(), seeds.to_vec()));
    supervisor.spawn("start_without_peers", start_without_peers(engine.clone()));
}

/// Starts the tasks that watch the records in the store, and returns their handles.
pub fn start_record_watchers(
    engine: &Arc<Engine>,
    directory: &Arc<dyn Directory>,
) -> Vec<JoinHandle<()>> {
    let state = StoreState { era: engine.store_era().clone(), ..StoreState::default() };
    let liveness_checks =
        store_liveness::monitor_store(engine.clone(), directory.clone(), state.clone());
    let configuration = ConfigurationRecordWatcher::new(engine.clone());
    let servers = ServerRecordWatcher::new(engine.clone());
    let instances = InstanceRecordWatcher::new(engine.clone());
    let duties = DutyRecordWatcher::new(engine.clone());
    let first_pull = pull_first_records(engine.clone()).boxed().shared();
    let orders_read = duty_control::wait_for_orders(engine.clone()).boxed().shared();
    let configuration = watch_records(directory.clone(), state.clone(), configuration).boxed();
    let servers = watch_records(directory.clone(), state.clone(), servers).boxed();
    let instances = watch_records(directory.clone(), state.clone(), instances);
    let duties = watch_records(directory.clone(), state.clone(), duties).boxed();
    let supervisor = engine.supervisor();
    vec![
        supervisor.spawn_endless("store_liveness", liveness_checks),
        supervisor.spawn_endless("watch_config", after(first_pull.clone(), configuration)),
        supervisor.spawn_endless("watch_servers", after(first_pull, servers)),
        supervisor.spawn_endless("watch_instances", instances),
        supervisor.spawn_endless("watch_duties", after(orders_read, duties)),
    ]
}

/// Begins to watch records once others have been read that make a listing needless.
async fn after(read: Shared<BoxFuture<'static, ()>>, watching: BoxFuture<'static, ()>) {
    read.await;
    watching.await;
}

/// How long a starting instance waits for a list of the other instances, from the store or
/// from a peer: the store answers within 4 ms, or 200 ms when it is slow, and peers are
/// asked after 250 ms.
const PEER_DISCOVERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Lets a starting instance serve all groups by itself if neither the store nor another
/// instance provides a list of instances.
async fn start_without_peers(engine: Arc<Engine>) {
    // If the fleet is listed but not known yet, the instance is still pulling records from
    // its peers and marks the fleet as known itself.
    if engine.wait_for_fleet(PEER_DISCOVERY_TIMEOUT).await || engine.is_fleet_listed() {
        return;
    }
    event_log::emit(
        &Event::new(EventKind::FleetUnknown).with_ms("waited_ms", PEER_DISCOVERY_TIMEOUT),
    );
    engine.set_fleet_known();
}

/// Time between two rounds of requests to the seeds.
const SEED_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Pulls records from the seeds while the store does not answer. An instance that restarts
/// during an outage of the store could otherwise serve no client until the outage ends.
async fn pull_from_seeds(engine: Arc<Engine>, seeds: Vec<SocketAddr>) {
    tokio::time::sleep(PEER_FALLBACK_DELAY).await;
    while engine.lacks_records() {
        // All instances have the same three seeds. When 180 instances that had started
        // together asked them, the seeds could answer none in time. So they are not asked
        // while the store is about to return its listings.
        let asked = if engine.expects_store_listings() { &[] } else { &*seeds };
        for seed in asked {
            let record = InstanceRecord {
                id: seed.to_string().into(),
                life: 0,
                peer_address: *seed,
                failure_domain: "".into(),
                capacity_millicores: 0,
            };
            pull_directory(&engine, &record).await;
        }
        tokio::time::sleep(SEED_RETRY_INTERVAL).await;
    }
}
