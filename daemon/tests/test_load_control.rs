//! Reports on the load of groups, as instances exchange them.

mod stubs;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use chervilwharf_daemon::engine::clock::now;
use chervilwharf_daemon::engine::load_choice::HolderQuery;
use chervilwharf_daemon::engine::shared::Engine;
use chervilwharf_lib::catalog::Catalog;
use chervilwharf_lib::catalog::GroupSettings;
use chervilwharf_lib::engine_protos::GroupLoad;
use chervilwharf_lib::engine_protos::Heartbeat;
use chervilwharf_lib::engine_protos::WaitOutlook;
use chervilwharf_lib::group_load::RequestKind;
use chervilwharf_lib::holder_choice::Affinity;
use chervilwharf_lib::id::GroupId;
use chervilwharf_lib::wait_estimator::WaitClass;
use stubs::NoServer;
use stubs::instance;

/// The instance `i0` in a fleet of this size with one group.
fn engine(instances: usize) -> Engine {
    let engine = Engine::new(instance("i0"), Arc::new(NoServer));
    engine.apply_instance_list((0..instances).map(|n| instance(&format!("i{n}"))).collect());
    let settings = GroupSettings { max_connections: 60, sync_replicas: 0 };
    let groups = HashMap::from([("db".into(), settings)]);
    engine.set_catalog(&Arc::new(Catalog { version: 1, groups, ..Catalog::default() }));
    engine
}

fn query() -> HolderQuery {
    HolderQuery {
        group: "db".into(),
        affinity: Affinity::Session(0),
        kind: RequestKind { class: WaitClass::Leader, priority: 1 },
        objective: Duration::from_millis(100),
    }
}

/// A report that requests for the primary are refused.
fn refusing(version: u64) -> GroupLoad {
    let outlook = WaitOutlook { primary: true, priority: 1, expected_wait_ms: 300, refuses: true };
    GroupLoad { group: "db".to_owned(), life: 1, version, waiting: 9, outlooks: vec![outlook] }
}

/// Guards against a change in deployments where each instance holds connections to all groups:
/// they send no reports, and none of their requests is passed on.
#[tokio::test]
async fn test_instances_send_reports_only_where_statements_are_forwarded() {
    let group: GroupId = "db".into();
    let all_hold = engine(3);
    assert!(all_hold.is_holder(&group) && all_hold.is_held_by_all(&group));
    let shard = all_hold.shard(&group);
    assert!(all_hold.heartbeat(&[shard]).loads.is_empty());
    let large = engine(40);
    assert!(!large.is_held_by_all(&group));
    let shard = large.shard(&group);
    let loads = large.heartbeat(&[shard]).loads;
    assert_eq!(loads.len(), usize::from(large.is_holder(&group)));
    assert!(loads.iter().all(|load| load.outlooks.is_empty() && load.group == "db"));
}

/// Guards against entries that send a request to a holder which reported that it would refuse it.
#[tokio::test]
async fn test_reports_of_heartbeats_decide_the_choice() {
    let engine = engine(40);
    let candidates = engine.candidates(&"db".into(), &[]);
    let usual = engine.choose_holder(&candidates, &query()).expect("one of them").record.id;
    let loads = vec![refusing(1)];
    let heartbeat = Heartbeat { instance: usual.to_string(), loads, ..Heartbeat::default() };
    engine.record_loads(now(), &heartbeat);
    let chosen = engine.choose_holder(&candidates, &query()).expect("one of them").record.id;
    assert_ne!(chosen, usual);
    // A read that a replica may serve has nothing to expect there.
    let mut reader = query();
    reader.kind.class = WaitClass::Reader;
    let chosen = engine.choose_holder(&candidates, &reader).expect("one of them").record.id;
    assert_eq!(chosen, usual);
}
