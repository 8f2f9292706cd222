//! What an instance does before it knows the other instances.

mod stubs;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervilwharf_daemon::engine::shared::Engine;
use chervilwharf_daemon::engine::shared::STORE_FIRST;
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
async fn test_instance_holds_nothing_before_it_knows_the_others() {
    let (me, group) = (record(40), GroupId::from("db"));
    let engine = engine(me.clone());
    engine.share_connections();
    assert!(!engine.is_holder(&group));
    assert!(engine.held_shards().is_empty());
    assert!(!engine.wait_until_prepared(Duration::ZERO).await);
    let others = (1..=72).filter(|number| *number != 40).map(record);
    engine.take_instances(others.collect());
    let holders = engine.holders(&group);
    assert!(!holders.is_empty() && holders.len() < 10);
    assert_eq!(engine.is_holder(&group), holders.contains(&me));
    assert!(engine.wait_until_prepared(Duration::ZERO).await);
}

/// Without a store and without others an instance serves alone.
#[tokio::test]
async fn test_instance_that_hears_of_nobody_holds_everything() {
    let engine = engine(record(1));
    engine.know_fleet();
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
async fn test_instance_that_was_told_of_nobody_tells_of_nobody() {
    let alone = engine(record(1));
    alone.know_fleet();
    let told = alone.directory_state(DirectoryPull::default());
    assert!(told.instances.is_empty(), "{:?}", told.instances);
    let asks = engine(record(2));
    asks.take_directory(told);
    assert!(!asks.is_fleet_known());
    let knows = engine(record(3));
    knows.take_instances((1..=72).map(record).collect());
    asks.take_directory(knows.directory_state(DirectoryPull::default()));
    assert!(asks.is_fleet_listed());
    assert!(asks.holders(&"db".into()).len() < 10);
}

/// An instance that lacks the records, and was told nothing by the store, asks one
/// that watches it to tell them, and not all of them at once.
#[tokio::test]
async fn test_instance_without_records_invites_one_to_tell_them() {
    let started = engine(record(2));
    let asked = || started.heartbeat_reply(&Heartbeat::default()).lacks_records;
    assert!(!asked(), "the store comes first");
    tokio::time::sleep(STORE_FIRST).await;
    assert!(asked());
    assert!(!asked(), "another one was asked just now");
    let knows = engine(record(3));
    knows.take_instances((1..=72).map(record).collect());
    knows.update_servers(|list| list.advance(Revision::new(0, 7)));
    started.take_directory(knows.directory_state(DirectoryPull::default()));
    assert!(!started.invites_records());
}

/// Symptom: instances that start over slow links take seconds. Sequence: the store
/// answers, and its lists take a while. Cause: others sent the same over that link.
#[tokio::test]
async fn test_instance_that_the_store_answers_invites_nobody() {
    let started = engine(record(2));
    tokio::time::sleep(STORE_FIRST).await;
    started.note_store_answered();
    assert!(!started.heartbeat_reply(&Heartbeat::default()).lacks_records);
}
