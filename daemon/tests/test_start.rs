//! Start of an instance: what it does before it knows the other instances.

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

/// An engine with a configuration of one group and no other records.
fn engine(me: InstanceRecord) -> Engine {
    let engine = Engine::new(me, Arc::new(NoServer));
    let settings = GroupSettings { max_connections: 35, sync_replicas: 0 };
    let groups = HashMap::from([("db".into(), settings)]);
    let catalog = Catalog { version: 1, groups, ..Catalog::default() };
    assert!(engine.set_catalog(&Arc::new(catalog)));
    engine
}

/// Guards against a flood of connections after a start. When all of 72 instances had lost
/// power, servers were busy for a second with connections that no request used, and refused
/// statements in that time: each instance received the configuration some milliseconds
/// before the list of instances, took itself for the only one, and so for a holder of every
/// group.
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

/// Without the store and without other instances, an instance serves all groups itself.
#[tokio::test]
async fn test_instance_without_peers_holds_every_group() {
    let engine = engine(record(1));
    engine.set_fleet_known();
    assert!(engine.is_holder(&"db".into()));
    assert!(engine.wait_until_prepared(Duration::ZERO).await);
}

/// Guards against an incomplete list of instances that is taken for the whole fleet. When
/// half of 195 instances were killed while the store was unresponsive, half of all requests
/// were refused for six seconds, and each primary refused 700 connections: a starting
/// instance asked another one that had also just started for the instances, received that
/// instance alone, took itself for a holder of every group, and asked no more.
#[tokio::test]
async fn test_instance_without_a_listed_fleet_reports_no_instances() {
    let without_peers = engine(record(1));
    without_peers.set_fleet_known();
    let sent = without_peers.directory_state(DirectoryPull::default());
    assert!(sent.instances.is_empty(), "{:?}", sent.instances);
    let started = engine(record(2));
    started.apply_directory_state(sent);
    assert!(!started.is_fleet_known());
    let listed = engine(record(3));
    listed.apply_instance_list((1..=72).map(record).collect());
    started.apply_directory_state(listed.directory_state(DirectoryPull::default()));
    assert!(started.is_fleet_listed());
    assert!(started.holders(&"db".into()).len() < 10);
}

/// An instance that lacks records, and receives none from the store, requests them from one
/// of the instances that send it heartbeats, and not from all of them at once.
#[tokio::test]
async fn test_instance_without_records_requests_them_from_one_peer() {
    let started = engine(record(2));
    let requests_records = || started.heartbeat_reply(&Heartbeat::default()).lacks_records;
    assert!(!requests_records(), "the store is asked first");
    tokio::time::sleep(PEER_FALLBACK_DELAY).await;
    assert!(requests_records());
    assert!(!requests_records(), "another instance has just been asked");
    let listed = engine(record(3));
    listed.apply_instance_list((1..=72).map(record).collect());
    listed.update_servers(|list| list.advance(Revision::new(0, 7)));
    started.apply_directory_state(listed.directory_state(DirectoryPull::default()));
    assert!(!started.take_records_request());
}

/// Guards against starts that take seconds over a slow link because other instances send
/// the same records over it that the store is about to return.
#[tokio::test]
async fn test_instance_with_a_responding_store_requests_no_records_from_peers() {
    let started = engine(record(2));
    tokio::time::sleep(PEER_FALLBACK_DELAY).await;
    started.note_store_answered();
    assert!(!started.heartbeat_reply(&Heartbeat::default()).lacks_records);
}
