//! What becomes of a transaction when its instance ceases to hold the group.

mod stubs;
mod values_world;

use std::net::SocketAddr;

use chervilwharf_daemon::engine::session::Session;
use chervilwharf_lib::fleet::InstanceRecord;
use chervilwharf_lib::statement::Statement;
use chervilwharf_lib::statement::TransactionState;
use stubs::instance;
use values_world::GROUP;
use values_world::ValuesWorld;
use values_world::start;

fn others() -> Vec<InstanceRecord> {
    let record = |number: u8| InstanceRecord {
        peer_address: SocketAddr::from(([127, 0, 0, 1], 1)),
        ..instance(&format!("other-{number:02}"))
    };
    (1..=72).map(record).collect()
}

/// Symptom: a transaction is rolled back though nothing failed. Sequence: it runs
/// at an instance that holds the group; others join, and the instance holds it no
/// more. Cause: only for groups that it holds the instance kept up who votes, and
/// asked them for the right to use the primary.
#[tokio::test]
async fn test_group_with_a_transaction_keeps_its_voters_when_it_is_held_no_more() {
    let world = ValuesWorld::new(2, false).await;
    let (engine, group) = (&world.engine, GROUP.into());
    let mut session =
        Session::begin(engine.clone(), start("app", "key")).await.expect("the route is there");
    session.run("b".into(), Statement::Begin { read_only: false }).await.result.expect("begun");
    let read = Statement::Read { item: "1".into() };
    world.shared.expect("r", None, session.values());
    session.run("r".into(), read).await.result.expect("it is served");
    engine.apply_instance_list(others());
    engine.recompute_assignments();
    assert!(!engine.is_holder(&group), "others hold it now");
    let in_use: Vec<_> = engine.used_shards().iter().map(|shard| shard.id().clone()).collect();
    assert_eq!(in_use, vec![group.clone()]);
    let voters = engine.voters(&group);
    let shard = engine.shard(&group);
    assert!(shard.with_group(|group| group.primary_lease().has_voters(&engine.me().id, &voters)));
    // Once it is over, the group is others' business.
    session.run("e".into(), Statement::Rollback).await.result.expect("rolled back");
    assert_eq!(session.state(), TransactionState::Idle);
    while shard.has_lent() {
        tokio::task::yield_now().await;
    }
    assert!(engine.used_shards().is_empty());
}
