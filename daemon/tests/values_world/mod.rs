//! A test instance with few connections to one simulated server. The server checks that each
//! statement runs with the account and the session values that the test expects.
#![allow(dead_code, reason = "each test binary uses a part of the world")]

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use chervilwharf_daemon::engine::server_connection::ConnectError;
use chervilwharf_daemon::engine::server_connection::Connector;
use chervilwharf_daemon::engine::server_connection::ExchangeError;
use chervilwharf_daemon::engine::server_connection::IdleState;
use chervilwharf_daemon::engine::server_connection::ServerConnection;
use chervilwharf_daemon::engine::server_connection::Step;
use chervilwharf_daemon::engine::server_connection::StepReply;
use chervilwharf_daemon::engine::session::SessionStart;
use chervilwharf_daemon::engine::shared::Engine;
use chervilwharf_daemon::engine::voter_control::encode_voters;
use chervilwharf_lib::account::Account;
use chervilwharf_lib::account::Accounts;
use chervilwharf_lib::account::KeyDigest;
use chervilwharf_lib::catalog::Catalog;
use chervilwharf_lib::catalog::Consistency;
use chervilwharf_lib::catalog::GroupSettings;
use chervilwharf_lib::catalog::Route;
use chervilwharf_lib::connection_setup::SessionValues;
use chervilwharf_lib::engine_protos::PrimaryNews;
use chervilwharf_lib::engine_protos::TermEnd;
use chervilwharf_lib::group::ServerInfo;
use chervilwharf_lib::group::ServerStatus;
use chervilwharf_lib::id::AccountId;
use chervilwharf_lib::id::GroupId;
use chervilwharf_lib::position::Position;
use chervilwharf_lib::reply_check::Rows;
use chervilwharf_lib::revision::Revision;
use chervilwharf_lib::server_refusal::RefusalKind;
use chervilwharf_lib::server_refusal::ServerRefusal;
use chervilwharf_lib::statement::Answer;
use chervilwharf_lib::statement::Statement;
use chervilwharf_lib::statement::TransactionState;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

use crate::stubs::instance;
use crate::stubs::primary;
use crate::stubs::set_only_voter_for_long;

/// The group of all routes.
pub const GROUP: &str = "db";

/// The only server, which is the primary.
pub const SERVER: &str = "s1";

/// The start of a session on `database` by a client with `key`.
pub fn start<'a>(database: &'a str, key: &str) -> SessionStart<'a> {
    SessionStart { database, key: KeyDigest::of(key), client: None, accepted_at: None }
}

/// How an exchange with the server ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exchange {
    /// All statements are answered.
    Answered,
    /// The server is too busy and refuses the client's statement.
    Busy,
    /// The connection is closed after the statements ran.
    LostAfter,
    /// The connection is closed before the statements ran.
    LostBefore,
    /// The statements do not arrive, and no reply comes.
    Silent,
}

/// The account and values that a statement has to run with.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Expected {
    /// The account of the connection.
    pub account: Option<AccountId>,
    /// The session values that are set on the connection.
    pub values: SessionValues,
}

/// The state of the checker in the simulated server.
#[derive(Default)]
pub struct CheckerState {
    /// What each statement has to run with, by its id.
    expected: HashMap<Arc<str>, Expected>,
    /// How the next exchanges end. Without an entry, an exchange is answered.
    script: Vec<Exchange>,
    /// Descriptions of statements that ran with another account or other values.
    pub violations: Vec<String>,
    /// Number of client statements that ran.
    pub ran: usize,
}

/// State that the test and the simulated server share.
#[derive(Default)]
pub struct Shared {
    checker: Mutex<CheckerState>,
    /// If set, each exchange needs a permit to end.
    gate: Option<Semaphore>,
    position: AtomicU64,
    /// How long the server takes to open a connection, in milliseconds.
    pub opening_ms: AtomicU64,
}

impl Shared {
    /// Reads or updates the state of the checker.
    pub fn with_checker<R>(&self, f: impl FnOnce(&mut CheckerState) -> R) -> R {
        f(&mut self.checker.lock().expect("never poisoned"))
    }

    /// Adds a permit, so that one exchange may end.
    pub fn release_one_exchange(&self) {
        if let Some(gate) = &self.gate {
            gate.add_permits(1);
        }
    }

    /// Expects the statement `id` to run with an account and values.
    pub fn expect(&self, id: &str, account: Option<&AccountId>, values: &SessionValues) {
        let expected = Expected { account: account.cloned(), values: values.clone() };
        self.with_checker(|checker| checker.expected.insert(id.into(), expected));
    }

    /// Sets how the exchange after those that are already set ends.
    pub fn next_exchange(&self, exchange: Exchange) {
        self.with_checker(|checker| checker.script.push(exchange));
    }
}

struct ValuesServer(Arc<Shared>);

#[async_trait]
impl Connector for ValuesServer {
    async fn start(
        &self,
        stream: TcpStream,
        _group: &GroupId,
        account: Option<&AccountId>,
        _server: &ServerInfo,
    ) -> Result<Box<dyn ServerConnection>, ConnectError> {
        let opening = Duration::from_millis(self.0.opening_ms.load(Ordering::Relaxed));
        if !opening.is_zero() {
            tokio::time::sleep(opening).await;
        }
        Ok(Box::new(ValuesConnection {
            _stream: stream,
            shared: self.0.clone(),
            account: account.cloned(),
            values: BTreeMap::new(),
            prepared: HashSet::new(),
            state: TransactionState::Idle,
        }))
    }
}

struct ValuesConnection {
    _stream: TcpStream,
    shared: Arc<Shared>,
    account: Option<AccountId>,
    values: SessionValues,
    prepared: HashSet<Arc<str>>,
    state: TransactionState,
}

impl ValuesConnection {
    fn check(&self, id: &str, statement: &Statement) {
        let unprepared =
            matches!(statement, Statement::Execute { name, .. } if !self.prepared.contains(name));
        self.shared.with_checker(|checker| {
            checker.ran += 1;
            let expected = checker.expected.get(id);
            let found = Expected { account: self.account.clone(), values: self.values.clone() };
            if expected != Some(&found) {
                let (expected, found) = (format!("{expected:?}"), format!("{found:?}"));
                checker.violations.push(format!("{id}: {found} in place of {expected}"));
            }
            if unprepared {
                checker.violations.push(format!("{id}: {statement:?} is not prepared"));
            }
        });
    }

    fn run_one(&mut self, step: &Step, busy: bool) -> StepReply {
        if busy && step.id.is_some() {
            let refusal = ServerRefusal { kind: RefusalKind::Busy, text: "".into() };
            return StepReply {
                result: Err(refusal),
                state: self.state,
                position: None,
                rows: Rows::Certain,
            };
        }
        if let Some(id) = &step.id {
            self.check(id, &step.statement);
        }
        match &step.statement {
            Statement::Begin { .. } => self.state = TransactionState::Open,
            Statement::Commit | Statement::Rollback => self.state = TransactionState::Idle,
            Statement::Set { name, value } => {
                self.values.insert(name.clone(), value.clone());
            }
            Statement::Prepare { name, .. } => {
                self.prepared.insert(name.clone());
            }
            Statement::Reset => {
                self.values.clear();
                self.prepared.clear();
            }
            _ => {}
        }
        let index = self.shared.position.fetch_add(1, Ordering::Relaxed) + 1;
        let signature = step.id.as_ref().map(|id| format!("{index}.{id}")).unwrap_or_default();
        let answer = Answer { rows: Vec::new(), signature: signature.into() };
        StepReply {
            result: Ok(answer),
            state: self.state,
            position: Some(Position::new(1, index)),
            rows: Rows::Certain,
        }
    }
}

#[async_trait]
impl ServerConnection for ValuesConnection {
    async fn run(&mut self, steps: &[Step]) -> Result<Vec<StepReply>, ExchangeError> {
        let how = self.shared.with_checker(|checker| {
            let how = checker.script.first().copied().unwrap_or(Exchange::Answered);
            checker.script.drain(..checker.script.len().min(1));
            how
        });
        if let Some(gate) = &self.shared.gate {
            gate.acquire().await.expect("never closed").forget();
        }
        if how == Exchange::LostBefore {
            return Err(ExchangeError::Ended("lost on the way there".to_owned()));
        }
        if how == Exchange::Silent {
            return Err(ExchangeError::TimedOut);
        }
        let replies = steps.iter().map(|step| self.run_one(step, how == Exchange::Busy)).collect();
        if how == Exchange::LostAfter {
            return Err(ExchangeError::Ended("lost on the way back".to_owned()));
        }
        Ok(replies)
    }

    async fn status(&mut self) -> Result<Result<ServerStatus, ServerRefusal>, ExchangeError> {
        Err(ExchangeError::TimedOut)
    }

    async fn pause(
        &mut self,
        _term: u64,
    ) -> Result<Result<ServerStatus, ServerRefusal>, ExchangeError> {
        Err(ExchangeError::TimedOut)
    }

    async fn demote(
        &mut self,
        _term: u64,
    ) -> Result<Result<ServerStatus, ServerRefusal>, ExchangeError> {
        Err(ExchangeError::TimedOut)
    }

    fn idle_state(&mut self) -> IdleState {
        IdleState::Open
    }
}

/// An instance that holds the connections to the server.
pub struct ValuesWorld {
    /// The instance.
    pub engine: Arc<Engine>,
    /// State that the test and the simulated server share.
    pub shared: Arc<Shared>,
    term: u64,
}

impl ValuesWorld {
    /// Creates an instance that may have `connections` open. With `gated`, each exchange
    /// ends only after a call of [`Shared::release_one_exchange`].
    pub async fn new(connections: usize, gated: bool) -> Self {
        let gate = gated.then(|| Semaphore::new(0));
        let shared = Arc::new(Shared { gate, ..Shared::default() });
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        tokio::spawn(async move {
            let mut accepted = Vec::new();
            while let Ok((stream, _)) = listener.accept().await {
                accepted.push(stream);
            }
        });
        let me = instance("one");
        let engine = Arc::new(Engine::new(me, Arc::new(ValuesServer(shared.clone()))));
        engine.set_orders_known();
        engine.set_registered();
        engine.set_fleet_known();
        // Two connections are reserved for probes.
        let settings = GroupSettings { max_connections: connections + 2, sync_replicas: 0 };
        let route = route();
        let catalog = Catalog {
            version: 1,
            routes: HashMap::from([(route.database.clone(), route)]),
            groups: HashMap::from([(GROUP.into(), settings)]),
            transaction_idle: None,
            accounts: None,
        };
        assert!(engine.set_catalog(&Arc::new(catalog)));
        set_only_voter_for_long(&engine, &GROUP.into());
        let server = primary(SERVER.into(), address);
        engine.update_servers(|list| {
            let at = chervilwharf_daemon::engine::clock::now();
            list.replace(at, Revision::new(0, 1), vec![(GROUP.into(), server)]);
        });
        let mut world = Self { engine, shared, term: 0 };
        world.start_next_term();
        world
    }

    /// Puts a configuration in force with these accounts, each with a key that equals its
    /// name.
    pub fn set_accounts(&self, names: &[&str]) {
        let mut catalog = (*self.engine.catalog()).clone();
        catalog.version += 1;
        let account = |name: &&str| Account { keys: vec![KeyDigest::of(name)], limit: None };
        let accounts = names.iter().fold(Accounts::default(), |accounts, name| {
            accounts.with_account((*name).into(), account(name))
        });
        catalog.accounts = Some(accounts);
        assert!(self.engine.set_catalog(&Arc::new(catalog)));
    }

    /// Makes the server the primary of the next term, with a valid primary lease.
    pub fn start_next_term(&mut self) {
        self.term += 1;
        self.engine.apply_primary_news(&PrimaryNews {
            group: GROUP.to_owned(),
            server: SERVER.to_owned(),
            term: self.term,
            token: self.term,
        });
    }

    /// Ends the primary lease of the current term.
    pub fn end_term(&self) {
        let reply = self.engine.end_term(&TermEnd {
            group: GROUP.to_owned(),
            term: self.term,
            planned: true,
            server: SERVER.to_owned(),
            token: self.term + 1,
            successor: SERVER.to_owned(),
            written_era: Some(0),
            voters: Some(encode_voters(&self.engine.voters(&GROUP.into()))),
            ..TermEnd::default()
        });
        assert!(reply.promised);
    }
}

/// The route of all sessions, on which reads have to see every commit.
pub fn route() -> Arc<Route> {
    Arc::new(Route {
        database: "app".into(),
        group: GROUP.into(),
        consistency: Consistency::Latest,
        timeout: Duration::from_millis(800),
        objective: Duration::from_millis(400),
        priority: 1,
        is_public: false,
    })
}
