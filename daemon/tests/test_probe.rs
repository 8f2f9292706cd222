//! What an instance concludes when it asks a server for its state.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use chervilwharf_daemon::engine::border::ConnectError;
use chervilwharf_daemon::engine::border::Connector;
use chervilwharf_daemon::engine::border::ServerConnection;
use chervilwharf_daemon::engine::clock::now;
use chervilwharf_daemon::engine::peers::Peers;
use chervilwharf_daemon::engine::probe::Probed;
use chervilwharf_daemon::engine::probe::probe;
use chervilwharf_daemon::engine::shard::Shard;
use chervilwharf_lib::group::ServerInfo;
use chervilwharf_lib::id::GroupId;
use chervilwharf_lib::id::TargetId;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Connects, and never gets a greeting.
struct NeverGreeted;

#[async_trait]
impl Connector for NeverGreeted {
    async fn start(
        &self,
        _stream: TcpStream,
        _group: &GroupId,
        _server: &ServerInfo,
    ) -> Result<Box<dyn ServerConnection>, ConnectError> {
        std::future::pending().await
    }
}

/// A shard with one server that can be reached and greets nobody.
async fn shard() -> (Arc<Shard>, TargetId, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let shard = Shard::new(
        "group".into(),
        "a".into(),
        Arc::new(NeverGreeted),
        Arc::new(Peers::default()),
        Arc::new(Notify::new()),
    );
    let shard = Arc::new(shard);
    let id: TargetId = "server".into();
    shard.set_servers(vec![listed(&id, listener.local_addr().unwrap())]);
    (shard, id, listener)
}

fn listed(id: &TargetId, address: SocketAddr) -> ServerInfo {
    ServerInfo {
        id: id.clone(),
        address,
        failure_domain: "a".into(),
        slots: 3,
        draining: false,
        leads: true,
    }
}

fn failures(shard: &Shard, id: &TargetId) -> u32 {
    shard.with_group(|group| group.server(id).unwrap().failures)
}

#[tokio::test]
async fn test_server_that_answers_statements_is_busy_though_it_greets_nobody() {
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
