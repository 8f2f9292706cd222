//! Sessions whose route is moved to another group and back.

mod stubs;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use chervilwharf_daemon::engine::directory::Revision;
use chervilwharf_daemon::engine::forwarded_session::ForwardedSession;
use chervilwharf_daemon::engine::peers::ForwardedStatementHandler;
use chervilwharf_daemon::engine::records::encode_route;
use chervilwharf_daemon::engine::server_connection::ConnectError;
use chervilwharf_daemon::engine::server_connection::Connector;
use chervilwharf_daemon::engine::server_connection::ExchangeError;
use chervilwharf_daemon::engine::server_connection::IdleState;
use chervilwharf_daemon::engine::server_connection::ServerConnection;
use chervilwharf_daemon::engine::server_connection::Step;
use chervilwharf_daemon::engine::server_connection::StepReply;
use chervilwharf_daemon::engine::session::Reply;
use chervilwharf_daemon::engine::session::Session;
use chervilwharf_daemon::engine::session::SessionStart;
use chervilwharf_daemon::engine::shared::Engine;
use chervilwharf_lib::account::KeyDigest;
use chervilwharf_lib::catalog::Catalog;
use chervilwharf_lib::catalog::Consistency;
use chervilwharf_lib::catalog::GroupSettings;
use chervilwharf_lib::catalog::Route;
use chervilwharf_lib::engine_protos;
use chervilwharf_lib::engine_protos::PrimaryNews;
use chervilwharf_lib::engine_protos::statement::Work;
use chervilwharf_lib::group::ServerInfo;
use chervilwharf_lib::group::ServerStatus;
use chervilwharf_lib::id::AccountId;
use chervilwharf_lib::id::GroupId;
use chervilwharf_lib::id::TargetId;
use chervilwharf_lib::position::Position;
use chervilwharf_lib::reply_check::Rows;
use chervilwharf_lib::server_refusal::RefusalKind;
use chervilwharf_lib::server_refusal::ServerRefusal;
use chervilwharf_lib::session_floors::OwnCommits;
use chervilwharf_lib::statement::Answer;
use chervilwharf_lib::statement::Statement;
use chervilwharf_lib::statement::TransactionState;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use stubs::instance;
use stubs::primary;
use stubs::set_only_voter_for_long;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const GROUPS: [&str; 2] = ["blue", "green"];

/// Primaries that commit, and replicas that apply it later.
#[derive(Clone, Default)]
struct Servers {
    /// The last index that each group's replica has applied.
    applied: Arc<Mutex<HashMap<GroupId, u64>>>,
    /// The last index of each group's log.
    committed: Arc<Mutex<HashMap<GroupId, u64>>>,
    /// The servers at which reads ran, and the last index that each read saw.
    read_at: Arc<Mutex<Vec<(TargetId, u64)>>>,
    /// Number of answers, which makes their signatures differ.
    answers: Arc<AtomicU64>,
}

struct Connection {
    servers: Servers,
    group: GroupId,
    server: TargetId,
    state: TransactionState,
    _stream: TcpStream,
}

impl Connection {
    fn leads(&self) -> bool {
        self.server.ends_with("primary")
    }

    fn position(&self) -> Position {
        let log = if self.leads() { &self.servers.committed } else { &self.servers.applied };
        Position::new(1, log.lock().unwrap().get(&self.group).copied().unwrap_or(1))
    }

    fn run_one(&mut self, step: &Step) -> StepReply {
        let refused = |kind, state, position| {
            let refusal = ServerRefusal { kind, text: "".into() };
            StepReply { result: Err(refusal), state, position: Some(position), rows: Rows::Certain }
        };
        if step.floor.is_some_and(|floor| floor > self.position()) {
            return refused(RefusalKind::Lagging, self.state, self.position());
        }
        match &step.statement {
            Statement::Begin { read_only: false } if !self.leads() => {
                return refused(RefusalKind::NotLeading, self.state, self.position());
            }
            Statement::Begin { .. } => self.state = TransactionState::Open,
            Statement::Commit | Statement::Rollback => self.state = TransactionState::Idle,
            Statement::Write { .. } => {
                *self.servers.committed.lock().unwrap().entry(self.group.clone()).or_insert(1) += 1;
            }
            Statement::Read { .. } => {
                let read = (self.server.clone(), self.position().index);
                self.servers.read_at.lock().unwrap().push(read);
            }
            _ => {}
        }
        let number = self.servers.answers.fetch_add(1, Ordering::Relaxed);
        let signature = step.id.as_ref().map(|_| format!("signed.{number}")).unwrap_or_default();
        let answer = Answer { rows: Vec::new(), signature: signature.into() };
        StepReply {
            result: Ok(answer),
            state: self.state,
            position: Some(self.position()),
            rows: Rows::Certain,
        }
    }
}

type StatusResult = Result<Result<ServerStatus, ServerRefusal>, ExchangeError>;

#[async_trait]
impl ServerConnection for Connection {
    async fn run(&mut self, steps: &[Step]) -> Result<Vec<StepReply>, ExchangeError> {
        Ok(steps.iter().map(|step| self.run_one(step)).collect())
    }

    async fn status(&mut self) -> StatusResult {
        let position = self.position();
        let leads = self.leads();
        let lag = Duration::ZERO;
        Ok(Ok(ServerStatus { leads, term: 1, received: position, applied: position, lag }))
    }

    async fn pause(&mut self, _: u64) -> StatusResult {
        Err(ExchangeError::TimedOut)
    }

    async fn demote(&mut self, _: u64) -> StatusResult {
        Err(ExchangeError::TimedOut)
    }

    fn idle_state(&mut self) -> IdleState {
        IdleState::Open
    }
}

#[async_trait]
impl Connector for Servers {
    async fn start(
        &self,
        stream: TcpStream,
        group: &GroupId,
        _: Option<&AccountId>,
        server: &ServerInfo,
    ) -> Result<Box<dyn ServerConnection>, ConnectError> {
        Ok(Box::new(Connection {
            servers: self.clone(),
            group: group.clone(),
            server: server.id.clone(),
            state: TransactionState::Idle,
            _stream: stream,
        }))
    }
}

struct World {
    engine: Arc<Engine>,
    servers: Servers,
    _listener: Arc<TcpListener>,
}

impl World {
    async fn new() -> Self {
        let servers = Servers::default();
        let listener = Arc::new(TcpListener::bind("127.0.0.1:0").await.unwrap());
        let address = listener.local_addr().unwrap();
        let engine = Arc::new(Engine::new(instance("one"), Arc::new(servers.clone())));
        engine.set_orders_known();
        engine.set_registered();
        engine.set_fleet_known();
        let world = Self { engine, servers, _listener: listener };
        world.move_route("blue");
        let mut listed = Vec::new();
        for group in GROUPS {
            let replica = format!("{group}-replica");
            let replica = ServerInfo { leads: false, ..primary(replica.as_str().into(), address) };
            let leader = primary(format!("{group}-primary").as_str().into(), address);
            listed.extend([(group.into(), leader), (group.into(), replica)]);
            set_only_voter_for_long(&world.engine, &group.into());
        }
        world.engine.update_servers(|list| {
            let at = chervilwharf_daemon::engine::clock::now();
            list.replace(at, Revision::new(0, 1), listed);
        });
        for group in GROUPS {
            let server = format!("{group}-primary");
            let news = PrimaryNews { group: group.to_owned(), server, term: 1, token: 1 };
            world.engine.apply_primary_news(&news);
        }
        world
    }

    fn move_route(&self, group: &str) {
        let settings = GroupSettings { max_connections: 20, sync_replicas: 0 };
        let route = Arc::new(Route {
            database: "app".into(),
            group: group.into(),
            consistency: Consistency::ReadYourWrites(Duration::from_secs(60)),
            timeout: Duration::from_secs(2),
            objective: Duration::from_millis(400),
            priority: 1,
            is_public: false,
        });
        let catalog = Catalog {
            version: self.engine.catalog().version + 1,
            routes: HashMap::from([(route.database.clone(), route)]),
            groups: GROUPS.map(|group| (group.into(), settings.clone())).into(),
            transaction_idle: None,
            accounts: None,
        };
        assert!(self.engine.set_catalog(&Arc::new(catalog)));
    }

    async fn session(&self) -> Session {
        let (key, database) = (KeyDigest::of(""), "app");
        let start = SessionStart { database, key, client: None, accepted_at: None };
        Session::begin(self.engine.clone(), start).await.expect("the route exists")
    }

    /// The server at which a read of the session runs.
    async fn read(&self, session: &mut Session) -> String {
        run(session, Statement::Read { item: "unit".into() }).await;
        self.last_read().0
    }

    fn last_read(&self) -> (String, u64) {
        let read_at = self.servers.read_at.lock().unwrap();
        let (server, index) = read_at.last().expect("it ran");
        (server.to_string(), *index)
    }

    fn committed(&self, group: &str) -> u64 {
        self.servers.committed.lock().unwrap().get(group).copied().unwrap_or(1)
    }
}

async fn run(session: &mut Session, statement: Statement) -> Reply {
    let reply = session.run("id".into(), statement).await;
    assert!(reply.result.is_ok(), "{:?}", reply.result);
    reply
}

fn write() -> Statement {
    Statement::Write { item_and_data: "unit 1".into() }
}

/// Guards against a read that misses the session's own commit: the route was moved to another
/// group and back, and the replicas there have not applied the commit yet.
#[tokio::test]
async fn test_session_sees_its_own_commit_after_its_route_has_come_back() {
    let world = World::new().await;
    let mut session = world.session().await;
    // The first read shows a position of the primary, from which floors are computed.
    run(&mut session, Statement::Read { item: "unit".into() }).await;
    run(&mut session, write()).await;
    assert_eq!(world.read(&mut session).await, "blue-primary");
    world.move_route("green");
    assert!(world.read(&mut session).await.starts_with("green"));
    world.move_route("blue");
    assert_eq!(world.read(&mut session).await, "blue-primary");
}

/// Guards against the same for a commit of a transaction that began before the route was moved.
#[tokio::test]
async fn test_session_sees_its_commit_that_was_open_while_its_route_moved() {
    let world = World::new().await;
    let mut session = world.session().await;
    run(&mut session, Statement::Read { item: "unit".into() }).await;
    run(&mut session, Statement::Begin { read_only: false }).await;
    run(&mut session, write()).await;
    world.move_route("green");
    run(&mut session, Statement::Commit).await;
    assert!(world.read(&mut session).await.starts_with("green"));
    world.move_route("blue");
    assert_eq!(world.read(&mut session).await, "blue-primary");
    // So does a transaction that only reads.
    run(&mut session, Statement::Begin { read_only: true }).await;
    assert_eq!(world.read(&mut session).await, "blue-primary");
}

/// A random session on a route that moves: commits, reads and transactions, while replicas apply
/// commits at random. Returns whether a read missed an own commit. `forgets` puts the former rule
/// in force: a position is forgotten when the route uses another group.
async fn misses_own_commit(seed: u64, forgets: bool) -> bool {
    let mut random = StdRng::seed_from_u64(seed);
    let world = World::new().await;
    let mut session = world.session().await;
    let mut own = HashMap::new();
    let mut used = "blue";
    for _ in 0..60 {
        match random.random_range(0..10) {
            0..2 => world.move_route(GROUPS[random.random_range(0..2)]),
            2..4 => {
                let group = GROUPS[random.random_range(0..2)];
                let index = world.committed(group);
                world.servers.applied.lock().unwrap().insert(group.into(), index);
            }
            4..6 => {
                let in_transaction = random.random_bool(0.5);
                if in_transaction {
                    run(&mut session, Statement::Begin { read_only: false }).await;
                }
                run(&mut session, write()).await;
                if in_transaction && random.random_bool(0.5) {
                    world.move_route(GROUPS[random.random_range(0..2)]);
                }
                if in_transaction {
                    run(&mut session, Statement::Commit).await;
                }
                let group = session.shard().id().to_string();
                own.insert(group.clone(), world.committed(&group));
                used = if group == "blue" { "blue" } else { "green" };
            }
            _ => {
                let route = world.engine.route("app").expect("it is configured");
                if forgets && *route.group != *used {
                    let now = world.engine.shard(&used.into());
                    assert_eq!(now.id(), session.shard().id());
                    session.adopt_own_commits(OwnCommits::None);
                }
                used = if *route.group == *"blue" { "blue" } else { "green" };
                run(&mut session, Statement::Read { item: "unit".into() }).await;
                let (_, seen) = world.last_read();
                if own.get(used).is_some_and(|own| seen < *own) {
                    return true;
                }
            }
        }
    }
    false
}

/// Guards against orders of moves, commits and reads that the cases above leave out.
#[tokio::test]
async fn test_no_random_session_misses_an_own_commit() {
    for seed in 0..200 {
        assert!(!misses_own_commit(seed, false).await, "seed {seed}");
    }
}

#[tokio::test]
async fn test_position_that_is_forgotten_with_the_route_is_detected() {
    let mut seeds = 0..200;
    loop {
        let seed = seeds.next().expect("one of these seeds misses an own commit");
        if misses_own_commit(seed, true).await {
            break;
        }
    }
}

/// Guards against a forwarded read that misses an own commit whose position the sender does not
/// know any more.
#[tokio::test]
async fn test_forwarded_read_of_a_session_with_unknown_commits_runs_at_the_primary() {
    let world = World::new().await;
    run(&mut world.session().await, Statement::Read { item: "unit".into() }).await;
    run(&mut world.session().await, write()).await;
    let route = world.engine.route("app").expect("it is configured");
    let statement = engine_protos::Statement {
        id: "id".to_owned(),
        route: Some(encode_route(&route)),
        time_left_ms: 1_000,
        floor_unknown: true,
        work: Some(Work::Read("unit".to_owned())),
        ..engine_protos::Statement::default()
    };
    let reply = ForwardedSession::new(world.engine.clone()).run(statement).await;
    assert_eq!(reply.error, "");
    assert_eq!(world.last_read().0, "blue-primary");
    let floor = (reply.floor_term, reply.floor_index, reply.floor_unknown);
    assert_eq!(floor, (1, world.committed("blue"), false));
}
