//! What an instance does before it knows the other instances.

mod stubs;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervilwharf_daemon::engine::shared::Engine;
use chervilwharf_lib::catalog::Catalog;
use chervilwharf_lib::catalog::GroupSettings;
use chervilwharf_lib::fleet::InstanceRecord;
use chervilwharf_lib::id::GroupId;
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
