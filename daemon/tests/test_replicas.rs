//! The replicas of a group that may have received acknowledged commits: who records them, and
//! that a successor is chosen by them.

mod stubs;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use chervilwharf_daemon::engine::clock::now;
use chervilwharf_daemon::engine::directory::Entry;
use chervilwharf_daemon::engine::directory::Record;
use chervilwharf_daemon::engine::directory::Revision;
use chervilwharf_daemon::engine::duty_control::OrderChange;
use chervilwharf_daemon::engine::duty_control::claim;
use chervilwharf_daemon::engine::probe::probe;
use chervilwharf_daemon::engine::promoter::Promoted;
use chervilwharf_daemon::engine::promoter::Promoter;
use chervilwharf_daemon::engine::replacement::Replacer;
use chervilwharf_daemon::engine::replica_control::maintain_replicas;
use chervilwharf_daemon::engine::server_connection::ConnectError;
use chervilwharf_daemon::engine::server_connection::Connector;
use chervilwharf_daemon::engine::server_connection::ExchangeError;
use chervilwharf_daemon::engine::server_connection::IdleState;
use chervilwharf_daemon::engine::server_connection::ServerConnection;
use chervilwharf_daemon::engine::server_connection::Step;
use chervilwharf_daemon::engine::server_connection::StepReply;
use chervilwharf_daemon::engine::shard::Shard;
use chervilwharf_daemon::engine::shared::Engine;
use chervilwharf_daemon::engine::survey::survey;
use chervilwharf_lib::catalog::Catalog;
use chervilwharf_lib::catalog::GroupSettings;
use chervilwharf_lib::duty::DutyRecord;
use chervilwharf_lib::group::ServerInfo;
use chervilwharf_lib::group::ServerStatus;
use chervilwharf_lib::id::AccountId;
use chervilwharf_lib::id::GroupId;
use chervilwharf_lib::id::TargetId;
use chervilwharf_lib::leader_watch::ReplaceReason;
use chervilwharf_lib::position::Position;
use chervilwharf_lib::server_refusal::ServerRefusal;
use stubs::OneRecord;
use stubs::instance;
use stubs::primary;
use stubs::set_only_voter_for_long;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Servers that report their last received position, or do not answer.
#[derive(Clone, Default)]
struct Servers {
    received: Arc<Mutex<HashMap<TargetId, u64>>>,
}

struct Connection {
    status: ServerStatus,
}

#[async_trait]
impl Connector for Servers {
    async fn start(
        &self,
        _: TcpStream,
        _: &GroupId,
        _: Option<&AccountId>,
        server: &ServerInfo,
    ) -> Result<Box<dyn ServerConnection>, ConnectError> {
        let Some(index) = self.received.lock().unwrap().get(&server.id).copied() else {
            return Err(ConnectError::Unreachable("it has crashed".to_owned()));
        };
        let received = Position::new(1, index);
        let (leads, lag) = (server.leads, Duration::ZERO);
        let status = ServerStatus { leads, term: 1, received, applied: received, lag };
        Ok(Box::new(Connection { status }))
    }
}

type StatusResult = Result<Result<ServerStatus, ServerRefusal>, ExchangeError>;

#[async_trait]
impl ServerConnection for Connection {
    async fn run(&mut self, _: &[Step]) -> Result<Vec<StepReply>, ExchangeError> {
        Ok(Vec::new())
    }

    async fn status(&mut self) -> StatusResult {
        Ok(Ok(self.status))
    }

    async fn pause(&mut self, _: u64) -> StatusResult {
        Ok(Ok(self.status))
    }

    async fn demote(&mut self, _: u64) -> StatusResult {
        Ok(Ok(self.status))
    }

    fn idle_state(&mut self) -> IdleState {
        IdleState::Open
    }
}

struct NoPromotions;

#[async_trait]
impl Promoter for NoPromotions {
    async fn promote(&self, _: &DutyRecord, _: &TargetId) -> Promoted {
        Promoted::NotDone
    }
}

struct World {
    servers: Servers,
    store: Arc<OneRecord>,
    /// The addresses at which servers run.
    listeners: Vec<TcpListener>,
    replacer: Replacer,
}

impl World {
    async fn new() -> Self {
        let (servers, store) = (Servers::default(), Arc::<OneRecord>::default());
        let mut listeners = Vec::new();
        for _ in 0..3 {
            listeners.push(TcpListener::bind("127.0.0.1:0").await.unwrap());
        }
        let replacer = Self::started(&servers, &store);
        Self { servers, store, listeners, replacer }
    }

    /// An instance that has just started, and knows only what the store keeps.
    fn started(servers: &Servers, store: &Arc<OneRecord>) -> Replacer {
        let engine = Arc::new(Engine::new(instance("me"), Arc::new(servers.clone())));
        let settings = GroupSettings { max_connections: 20, sync_replicas: 1 };
        let groups = [("db".into(), settings)].into();
        engine.set_catalog(&Arc::new(Catalog { version: 7, groups, ..Catalog::default() }));
        engine.set_registered();
        engine.update_servers(|list| list.advance(Revision::new(0, 1)));
        set_only_voter_for_long(&engine, &"db".into());
        if let Some(Entry { revision, record: Record::Duty(duty), .. }) = store.entry() {
            engine.with_duties(|duties| duties.apply_record(revision, duty));
        }
        Replacer { engine, directory: store.clone(), promoter: Arc::new(NoPromotions) }
    }

    /// The ids of the replicas in the store.
    fn members(&self) -> Vec<String> {
        let members = self.store.duty().replicas.members;
        members.iter().map(|member| member.id.to_string()).collect()
    }

    fn shard(&self) -> Arc<Shard> {
        self.replacer.engine.shard(&"db".into())
    }

    /// Lists these servers: id, number of the address, and whether it drains.
    fn list(&self, servers: &[(&str, usize, bool)]) {
        let info = |(id, address, draining): &(&str, usize, bool)| ServerInfo {
            leads: *id == "p",
            draining: *draining,
            ..primary((*id).into(), self.listeners[*address].local_addr().unwrap())
        };
        self.shard().set_servers(servers.iter().map(info).collect());
    }

    fn set_received(&self, received: &[(&str, u64)]) {
        let received = received.iter().map(|(id, index)| ((*id).into(), *index));
        *self.servers.received.lock().unwrap() = received.collect();
    }

    async fn claim(&self) {
        let (engine, directory) = (&self.replacer.engine, &*self.replacer.directory);
        let since = engine.with_duties(|duties| duties.token(&"db".into()));
        let claimed = claim(engine, directory, &"db".into(), OrderChange::Keep, since).await;
        assert!(claimed.is_ok());
    }

    async fn successor(&self) -> Option<String> {
        let (shard, reason) = (self.shard(), ReplaceReason::Unreachable);
        let found = survey(&self.replacer.engine, &shard, Some(&"p".into()), reason).await;
        found.best.map(|best| best.id.to_string())
    }

    /// Drives changes of the replicas until the store has these.
    async fn maintain_until(&self, members: &[&str]) {
        let until = now() + Duration::from_secs(10);
        while self.members() != members {
            assert!(now() < until, "the store has {:?}", self.members());
            let _probed = probe(&self.shard(), &"p".into()).await;
            maintain_replicas(&self.replacer, &self.shard(), Some(0));
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Guards against acknowledged commits that are lost: a replica that has left had them, and
/// another one without them is promoted, also by an instance that starts after it has left.
#[tokio::test]
async fn test_replica_that_has_left_is_waited_for_also_by_an_instance_that_never_saw_it() {
    let mut world = World::new().await;
    world.list(&[("p", 0, false), ("deaf", 1, false), ("leaving", 2, true)]);
    world.claim().await;
    assert_eq!(world.members(), ["deaf", "leaving", "p"]);
    world.set_received(&[("deaf", 10)]);
    world.list(&[("p", 0, false), ("deaf", 1, false)]);
    assert_eq!(world.successor().await, None);
    world.replacer = World::started(&world.servers, &world.store);
    world.list(&[("p", 0, false), ("deaf", 1, false)]);
    assert_eq!(world.successor().await, None);
    let text = world.replacer.engine.metrics().text(&world.replacer.engine);
    assert!(text.contains(r#"chervilwharf_absent_replicas{group="db"} 1"#), "{text}");
    // Its log has come back with the next server at its address.
    world.set_received(&[("deaf", 10), ("next", 300)]);
    world.list(&[("p", 0, false), ("deaf", 1, false), ("next", 2, false)]);
    assert_eq!(world.successor().await.as_deref(), Some("next"));
}

/// Guards against a group that stays without a primary after a replica was removed on purpose,
/// though another one has all commits.
#[tokio::test]
async fn test_replica_that_has_left_is_forgotten_when_another_one_is_complete() {
    let world = World::new().await;
    world.list(&[("p", 0, false), ("complete", 1, false), ("leaving", 2, false)]);
    world.claim().await;
    world.set_received(&[("p", 300), ("complete", 300)]);
    world.list(&[("p", 0, false), ("complete", 1, false)]);
    world.maintain_until(&["complete", "p"]).await;
    world.set_received(&[("complete", 300)]);
    assert_eq!(world.successor().await.as_deref(), Some("complete"));
}

/// Guards against a new server that is not known to count when it leaves again.
#[tokio::test]
async fn test_new_servers_are_recorded() {
    let world = World::new().await;
    world.list(&[("p", 0, false), ("a", 1, false)]);
    world.claim().await;
    world.list(&[("p", 0, false), ("a", 1, false), ("b", 2, false)]);
    world.maintain_until(&["a", "b", "p"]).await;
}
