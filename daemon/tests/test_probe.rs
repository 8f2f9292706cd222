//! What an instance concludes when it asks a server for its state.

mod stubs;

use std::sync::Arc;
use std::time::Duration;

use chervilwharf_daemon::engine::clock::now;
use chervilwharf_daemon::engine::probe::Probed;
use chervilwharf_daemon::engine::probe::probe;
use chervilwharf_daemon::engine::server_connection::Connector;
use chervilwharf_daemon::engine::shard::Shard;
use chervilwharf_lib::id::TargetId;
use stubs::Full;
use stubs::NeverGreeted;
use stubs::shard_with_primary;
use tokio::net::TcpListener;

/// A shard with one server that can be reached and greets nobody.
async fn shard() -> (Arc<Shard>, TargetId, TcpListener) {
    shard_with(Arc::new(NeverGreeted)).await
}

async fn shard_with(connector: Arc<dyn Connector>) -> (Arc<Shard>, TargetId, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let id: TargetId = "server".into();
    let address = listener.local_addr().unwrap();
    (shard_with_primary(connector, &id, address), id, listener)
}

fn failures(shard: &Shard, id: &TargetId) -> u32 {
    shard.with_group(|group| group.server(id).unwrap().failures)
}

#[tokio::test]
async fn test_server_that_answers_statements_but_no_new_connection_is_busy() {
    // Symptom: a loaded primary looks dead, and its instances ask it again and
    // again on new connections, which take the slots that statements wait for.
    // Sequence: all its slots are taken; it answers statements, but no new
    // connection within the time for a probe.
    // Cause: a greeting that did not come in time counted as a failure.
    let (shard, id, _listener) = shard().await;
    let (probed, probed_id) = (shard.clone(), id.clone());
    let probing = tokio::spawn(async move { probe(&probed, &probed_id).await });
    tokio::time::sleep(Duration::from_millis(20)).await;
    shard.with_group(|group| group.observe_answer(now(), &id, None));
    assert_eq!(probing.await.unwrap(), Probed::Busy);
    assert_eq!(failures(&shard, &id), 0);
}

#[tokio::test]
async fn test_server_that_answers_nothing_fails_a_probe() {
    let (shard, id, _listener) = shard().await;
    shard.with_group(|group| group.observe_answer(now(), &id, None));
    tokio::time::sleep(Duration::from_millis(2)).await;
    assert_eq!(probe(&shard, &id).await, Probed::Failed);
    assert_eq!(failures(&shard, &id), 1);
}

#[tokio::test]
async fn test_server_with_too_many_connections_is_alive() {
    // Symptom: after a power loss healthy primaries are about to be replaced.
    // Sequence: all instances start again at once; servers still count the
    // connections of before and refuse new ones.
    // Cause: the refusal of a probe was taken for silence.
    let (shard, id, _listener) = shard_with(Arc::new(Full)).await;
    assert_eq!(probe(&shard, &id).await, Probed::Busy);
    assert_eq!(failures(&shard, &id), 0);
}
