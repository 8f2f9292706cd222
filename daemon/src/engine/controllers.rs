//! Starts the controllers of an engine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;

use chervilwharf_lib::fleet::InstanceRecord;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::engine::configuration_control::ConfigurationFollower;
use crate::engine::counted_directory::CountedDirectory;
use crate::engine::directory::Directory;
use crate::engine::duty_control::DutyFollower;
use crate::engine::event_log;
use crate::engine::fleet_control;
use crate::engine::follow::StoreState;
use crate::engine::follow::follow;
use crate::engine::instance_control;
use crate::engine::instance_control::InstanceFollower;
use crate::engine::leader_control;
use crate::engine::peer_records::pull_directory;
use crate::engine::peers;
use crate::engine::primary_lease_control;
use crate::engine::promoter::Promoter;
use crate::engine::quota_control;
use crate::engine::replacement::Replacer;
use crate::engine::server_control::ServerFollower;
use crate::engine::shared::Engine;
use crate::engine::shared::PEER_FALLBACK_DELAY;
use crate::engine::store_liveness;

/// Starts all controllers. They run until the program ends.
pub fn start(
    engine: &Arc<Engine>,
    directory: &Arc<dyn Directory>,
    promoter: &Arc<dyn Promoter>,
    peer_listener: TcpListener,
    seeds: &[SocketAddr],
) {
    let counted = CountedDirectory::new(directory.clone(), engine.metrics().store.clone());
    let directory: Arc<dyn Directory> = Arc::new(counted);
    // They run until the program ends.
    let _followers = start_followers(engine, &directory);
    let replacer = Replacer {
        engine: engine.clone(),
        directory: directory.clone(),
        promoter: promoter.clone(),
    };
    tokio::spawn(leader_control::run(replacer));
    tokio::spawn(primary_lease_control::load_orders(engine.clone(), directory.clone()));
    tokio::spawn(instance_control::keep_record(engine.clone(), directory.clone()));
    tokio::spawn(fleet_control::send_heartbeats(engine.clone(), directory.clone()));
    tokio::spawn(quota_control::maintain_keeper_leases(engine.clone()));
    tokio::spawn(peers::serve(engine.clone(), peer_listener));
    tokio::spawn(ask_seeds(engine.clone(), seeds.to_vec()));
    tokio::spawn(start_without_peers(engine.clone()));
}

/// Starts following what the store keeps.
pub fn start_followers(
    engine: &Arc<Engine>,
    directory: &Arc<dyn Directory>,
) -> Vec<JoinHandle<()>> {
    let state = StoreState { era: engine.store_era().clone(), ..StoreState::default() };
    let signs = store_liveness::monitor_store(engine.clone(), directory.clone(), state.clone());
    let configuration = ConfigurationFollower::new(engine.clone());
    let servers = ServerFollower::new(engine.clone());
    let instances = InstanceFollower::new(engine.clone());
    let duties = DutyFollower::new(engine.clone());
    vec![
        tokio::spawn(signs),
        tokio::spawn(follow(directory.clone(), state.clone(), configuration)),
        tokio::spawn(follow(directory.clone(), state.clone(), servers)),
        tokio::spawn(follow(directory.clone(), state.clone(), instances)),
        tokio::spawn(follow(directory.clone(), state.clone(), duties)),
    ]
}

/// How long a starting instance waits to hear of others, from the store or from
/// them: the store answers after 4 ms, or 200 ms when it is slow, and others
/// are asked after 250 ms.
const OTHERS_WAIT: Duration = Duration::from_secs(1);

/// Without the store and without others an instance serves all by itself.
async fn start_without_peers(engine: Arc<Engine>) {
    // Once they are listed, others are asked whom the list lacks.
    if engine.wait_for_fleet(OTHERS_WAIT).await || engine.is_fleet_listed() {
        return;
    }
    event_log::emit(&Event::new(EventKind::FleetUnknown).with_ms("waited_ms", OTHERS_WAIT));
    engine.set_fleet_known();
}

/// Pause between two rounds over the seeds.
const SEED_PAUSE: Duration = Duration::from_millis(500);

/// Learns configuration and servers from other instances while the store does
/// not answer. An instance that restarts during an outage of the store would
/// otherwise serve nobody until its end.
async fn ask_seeds(engine: Arc<Engine>, seeds: Vec<SocketAddr>) {
    tokio::time::sleep(PEER_FALLBACK_DELAY).await;
    while engine.lacks_records() {
        // They are three for all instances; asked by 180 that had started together,
        // they could answer nobody in time.
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
        tokio::time::sleep(SEED_PAUSE).await;
    }
}
