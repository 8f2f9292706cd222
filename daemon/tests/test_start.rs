//! What an instance does before it knows the other instances.

mod stubs;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervilwharf_daemon::engine::shared::Engine;
use chervilwharf_daemon::engine::shared::PEER_FALLBACK_DELAY;
use chervilwharf_lib::catalog::Catalog;
use chervilwharf_lib::catalog::GroupSettings;
use chervilwharf_lib::engine_protos::DirectoryPull;
use chervilwharf_lib::engine_protos::Heartbeat;
use chervilwharf_lib::fleet::InstanceRecord;
use chervilwharf_lib::id::GroupId;
use chervilwharf_lib::revision::Revision;
use stubs::NoServer;
use stubs::instance;

fn record(number: u8) -> InstanceRecord {
    let peer_address = SocketAddr::from(([127, 0, 0, number], 7440));
    InstanceRecord { peer_address, ..instance(&format!("instance-{number:02}")) }
}

/// An engine that knows a configuration with one group, and nothing else.
fn engine(me: InstanceRecord) -> Engine {
    let engine = Engine::new(me, Arc::new(NoServer));
    let settings = GroupSettings { max_connections: 35, sync_replicas: 0 };
    let groups = HashMap::from([("db".into(), settings)]);
    let catalog = Catalog { version: 1, groups, ..Catalog::default() };
    assert!(engine.set_catalog(&Arc::new(catalog)));
    engine
}

/// Symptom: after all of 72 instances had lost power, servers were busy for a
/// second with connections that nobody used, and refused statements meanwhile.
/// Sequence: an instance starts and learns the configuration some milliseconds
/// before the list of instances. Cause: it took itself for the only one, and so
/// for a holder of the connections to every group.
#[tokio::test]
async fn test_instance_holds_no_group_before_it_knows_the_other_instances() {
    let (me, group) = (record(40), GroupId::from("db"));
    let engine = engine(me.clone());
    engine.recompute_assignments();
    assert!(!engine.is_holder(&group));
    assert!(engine.held_shards().is_empty());
    assert!(!engine.wait_until_prepared(Duration::ZERO).await);
    let others = (1..=72).filter(|number| *number != 40).map(record);
    engine.apply_instance_list(others.collect());
    let holders = engine.holders(&group);
    assert!(!holders.is_empty() && holders.len() < 10);
    assert_eq!(engine.is_holder(&group), holders.contains(&me));
    assert!(engine.wait_until_prepared(Duration::ZERO).await);
}

/// Without a store and without others an instance serves alone.
#[tokio::test]
async fn test_instance_without_peers_holds_every_group() {
    let engine = engine(record(1));
    engine.set_fleet_known();
    assert!(engine.is_holder(&"db".into()));
    assert!(engine.wait_until_prepared(Duration::ZERO).await);
}

/// Symptom: half of 195 instances were killed during a silence of the store; for
/// six seconds half of all requests were refused, and each primary refused 700
/// connections. Sequence: an instance that has just started asks another one that
/// has just started which instances there are, and is told of that one alone.
/// Cause: it took that for the whole fleet, itself for a holder of every group, and
/// asked no more.
#[tokio::test]
async fn test_instance_without_a_listed_fleet_reports_no_instances() {
    let alone = engine(record(1));
    alone.set_fleet_known();
    let told = alone.directory_state(DirectoryPull::default());
    assert!(told.instances.is_empty(), "{:?}", told.instances);
    let asks = engine(record(2));
    asks.apply_directory_state(told);
    assert!(!asks.is_fleet_known());
    let knows = engine(record(3));
    knows.apply_instance_list((1..=72).map(record).collect());
    asks.apply_directory_state(knows.directory_state(DirectoryPull::default()));
    assert!(asks.is_fleet_listed());
    assert!(asks.holders(&"db".into()).len() < 10);
}

/// An instance that lacks the records, and was told nothing by the store, asks one
/// that watches it to tell them, and not all of them at once.
#[tokio::test]
async fn test_instance_without_records_requests_them_from_one_peer() {
    let started = engine(record(2));
    let asked = || started.heartbeat_reply(&Heartbeat::default()).lacks_records;
    assert!(!asked(), "the store comes first");
    tokio::time::sleep(PEER_FALLBACK_DELAY).await;
    assert!(asked());
    assert!(!asked(), "another one was asked just now");
    let knows = engine(record(3));
    knows.apply_instance_list((1..=72).map(record).collect());
    knows.update_servers(|list| list.advance(Revision::new(0, 7)));
    started.apply_directory_state(knows.directory_state(DirectoryPull::default()));
    assert!(!started.take_records_request());
}

/// Symptom: instances that start over slow links take seconds. Sequence: the store
/// answers, and its lists take a while. Cause: others sent the same over that link.
#[tokio::test]
async fn test_instance_with_a_responding_store_requests_no_records_from_peers() {
    let started = engine(record(2));
    tokio::time::sleep(PEER_FALLBACK_DELAY).await;
    started.note_store_answered();
    assert!(!started.heartbeat_reply(&Heartbeat::default()).lacks_records);
}
