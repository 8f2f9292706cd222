//! Tests of the results of probes, by which an instance asks a server for its state.

mod stubs;

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use chervilwharf_daemon::engine::clock::now;
use chervilwharf_daemon::engine::probe::Probed;
use chervilwharf_daemon::engine::probe::probe;
use chervilwharf_daemon::engine::server_connection::ConnectError;
use chervilwharf_daemon::engine::server_connection::Connector;
use chervilwharf_daemon::engine::server_connection::ExchangeError;
use chervilwharf_daemon::engine::server_connection::IdleState;
use chervilwharf_daemon::engine::server_connection::ServerConnection;
use chervilwharf_daemon::engine::server_connection::Step;
use chervilwharf_daemon::engine::server_connection::StepReply;
use chervilwharf_daemon::engine::shard::Shard;
use chervilwharf_lib::group::ServerInfo;
use chervilwharf_lib::group::ServerStatus;
use chervilwharf_lib::id::AccountId;
use chervilwharf_lib::id::GroupId;
use chervilwharf_lib::id::TargetId;
use chervilwharf_lib::server_refusal::ServerRefusal;
use stubs::NeverGreets;
use stubs::TooManyConnections;
use stubs::shard_with_primary;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// A shard with one server that accepts connections and sends no greeting.
async fn shard() -> (Arc<Shard>, TargetId, TcpListener) {
    shard_with(Arc::new(NeverGreets)).await
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
    // Guards against a loaded primary that counts as failed, so that its instances probe
    // it again and again on new connections, which take the slots that statements wait
    // for. All its slots are in use: it answers statements, and greets no new connection
    // within the time limit of a probe.
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
    // Guards against the replacement of healthy primaries after a power loss. All
    // instances restart at once, and the servers still count the earlier connections and
    // refuse new ones. Such a refusal shows that the server runs.
    let (shard, id, _listener) = shard_with(Arc::new(TooManyConnections)).await;
    assert_eq!(probe(&shard, &id).await, Probed::Busy);
    assert_eq!(failures(&shard, &id), 0);
}

type StatusResult = Result<Result<ServerStatus, ServerRefusal>, ExchangeError>;

/// A server that sends something else than replies.
struct WrongReplies;

#[async_trait]
impl Connector for WrongReplies {
    async fn start(
        &self,
        _stream: TcpStream,
        _group: &GroupId,
        _account: Option<&AccountId>,
        _server: &ServerInfo,
    ) -> Result<Box<dyn ServerConnection>, ConnectError> {
        Ok(Box::new(Self))
    }
}

fn wrong_reply<T>() -> Result<T, ExchangeError> {
    Err(ExchangeError::Protocol("a second greeting".to_owned()))
}

#[async_trait]
impl ServerConnection for WrongReplies {
    async fn run(&mut self, _steps: &[Step]) -> Result<Vec<StepReply>, ExchangeError> {
        wrong_reply()
    }

    async fn status(&mut self) -> StatusResult {
        wrong_reply()
    }

    async fn pause(&mut self, _term: u64) -> StatusResult {
        wrong_reply()
    }

    async fn demote(&mut self, _term: u64) -> StatusResult {
        wrong_reply()
    }

    fn idle_state(&mut self) -> IdleState {
        IdleState::Open
    }
}

/// Guards against the replacement of a healthy primary that repeats its greeting.
#[tokio::test]
async fn test_server_that_repeats_a_reply_is_alive() {
    let (shard, id, _listener) = shard_with(Arc::new(WrongReplies)).await;
    assert_eq!(probe(&shard, &id).await, Probed::Busy);
    assert_eq!(failures(&shard, &id), 0);
}
