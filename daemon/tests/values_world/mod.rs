//! Sessions of several clients over few connections to one server that knows
//! which values each statement has to run with.
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
use chervilwharf_daemon::engine::server_connection::ServerConnection;
use chervilwharf_daemon::engine::server_connection::Step;
use chervilwharf_daemon::engine::server_connection::StepReply;
use chervilwharf_daemon::engine::session::SessionStart;
use chervilwharf_daemon::engine::shared::Engine;
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

/// The group of all routes.
pub const GROUP: &str = "db";

/// The one server, which leads.
pub const SERVER: &str = "s1";

/// What a client sends to begin a session.
pub fn start<'a>(database: &'a str, key: &str) -> SessionStart<'a> {
    SessionStart { database, key: KeyDigest::of(key), client: None }
}

/// How an exchange with the server goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exchange {
    /// All of it is answered.
    Answered,
    /// The server has too much to do for the client's statement.
    Busy,
    /// The connection ends after the statements ran.
    LostAfter,
    /// The connection ends before they ran.
    LostBefore,
    /// Nothing arrives, and nothing is answered.
    Silent,
}

/// How a statement has to run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Expected {
    /// In whose name.
    pub account: Option<AccountId>,
    /// With which values.
    pub values: SessionValues,
}

/// What the checker knows.
#[derive(Default)]
pub struct CheckerState {
    /// How each statement has to run.
    expected: HashMap<Arc<str>, Expected>,
    /// How the next exchanges go; answered when there is none.
    script: Vec<Exchange>,
    /// Statements that ran with other values.
    pub violations: Vec<String>,
    /// Client statements that ran.
    pub ran: usize,
}

/// What test and server share.
#[derive(Default)]
pub struct Shared {
    ledger: Mutex<CheckerState>,
    /// Exchanges may only end while there are permits, if this is set.
    gate: Option<Semaphore>,
    position: AtomicU64,
}

impl Shared {
    /// Reads or updates what the checker knows.
    pub fn with_checker<R>(&self, f: impl FnOnce(&mut CheckerState) -> R) -> R {
        f(&mut self.ledger.lock().expect("never poisoned"))
    }

    /// One exchange that waits at the gate may end.
    pub fn let_one_end(&self) {
        if let Some(gate) = &self.gate {
            gate.add_permits(1);
        }
    }

    /// A client is about to run a statement like this.
    pub fn expect(&self, id: &str, account: Option<&AccountId>, values: &SessionValues) {
        let expected = Expected { account: account.cloned(), values: values.clone() };
        self.with_checker(|ledger| ledger.expected.insert(id.into(), expected));
    }

    /// The exchange after those already set goes like this.
    pub fn next_exchange(&self, exchange: Exchange) {
        self.with_checker(|ledger| ledger.script.push(exchange));
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
        self.shared.with_checker(|ledger| {
            ledger.ran += 1;
            let expected = ledger.expected.get(id);
            let found = Expected { account: self.account.clone(), values: self.values.clone() };
            if expected != Some(&found) {
                let (expected, found) = (format!("{expected:?}"), format!("{found:?}"));
                ledger.violations.push(format!("{id}: {found} in place of {expected}"));
            }
            if unprepared {
                ledger.violations.push(format!("{id}: {statement:?} is not prepared"));
            }
        });
    }

    fn run_one(&mut self, step: &Step, busy: bool) -> StepReply {
        if busy && step.id.is_some() {
            let refusal = ServerRefusal { kind: RefusalKind::Busy, text: "".into() };
            return StepReply { result: Err(refusal), state: self.state, position: None };
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
        let answer = Answer { rows: Vec::new(), signature: "signed".into() };
        StepReply { result: Ok(answer), state: self.state, position: Some(Position::new(1, index)) }
    }
}

#[async_trait]
impl ServerConnection for ValuesConnection {
    async fn run(&mut self, steps: &[Step]) -> Result<Vec<StepReply>, ExchangeError> {
        let how = self.shared.with_checker(|ledger| {
            let how = ledger.script.first().copied().unwrap_or(Exchange::Answered);
            ledger.script.drain(..ledger.script.len().min(1));
            how
        });
        if let Some(gate) = &self.shared.gate {
            gate.acquire().await.expect("never closed").forget();
        }
        if how == Exchange::LostBefore {
            return Err(ExchangeError::Ended("lost on the way there".to_owned()));
        }
        if how == Exchange::Silent {
            return Err(ExchangeError::Silent);
        }
        let replies = steps.iter().map(|step| self.run_one(step, how == Exchange::Busy)).collect();
        if how == Exchange::LostAfter {
            return Err(ExchangeError::Ended("lost on the way back".to_owned()));
        }
        Ok(replies)
    }

    async fn status(&mut self) -> Result<Result<ServerStatus, ServerRefusal>, ExchangeError> {
        Err(ExchangeError::Silent)
    }

    async fn pause(
        &mut self,
        _term: u64,
    ) -> Result<Result<ServerStatus, ServerRefusal>, ExchangeError> {
        Err(ExchangeError::Silent)
    }

    async fn demote(
        &mut self,
        _term: u64,
    ) -> Result<Result<ServerStatus, ServerRefusal>, ExchangeError> {
        Err(ExchangeError::Silent)
    }

    fn is_closed(&mut self) -> bool {
        false
    }
}

/// An instance that holds the connections to the server.
pub struct ValuesWorld {
    /// The instance.
    pub engine: Arc<Engine>,
    /// What test and server share.
    pub shared: Arc<Shared>,
    term: u64,
}

impl ValuesWorld {
    /// An instance that may have `connections` open. With `gated`, exchanges
    /// end only when they are let.
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
        // Two are kept back for probes.
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
        let server = primary(SERVER.into(), address);
        engine.update_servers(|list| {
            let at = chervilwharf_daemon::engine::clock::now();
            list.replace(at, Revision::new(0, 1), vec![(GROUP.into(), server)]);
        });
        let mut world = Self { engine, shared, term: 0 };
        world.lead_again();
        world
    }

    /// From now on clients show the keys of these accounts, each named like its key.
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

    /// The server leads in the next term, and may be used.
    pub fn lead_again(&mut self) {
        self.term += 1;
        self.engine.take_primary_news(&PrimaryNews {
            group: GROUP.to_owned(),
            server: SERVER.to_owned(),
            term: self.term,
            token: self.term,
        });
    }

    /// The right to use the server ends.
    pub fn end_term(&self) {
        let reply = self.engine.end_term(&TermEnd {
            group: GROUP.to_owned(),
            term: self.term,
            planned: true,
            server: SERVER.to_owned(),
            token: self.term + 1,
            successor: SERVER.to_owned(),
            ..TermEnd::default()
        });
        assert!(reply.promised);
    }
}

/// The route of all sessions: reads have to see every commit.
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
