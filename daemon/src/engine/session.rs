//! A client's session: the values that the client set, its prepared statements, the
//! position of its last own commit, and its open transaction.
//!
//! A session has no server connection of its own. Each statement or transaction
//! borrows a pooled connection ([`Lease`]) on which the session's values are set up
//! first. An instance that holds no connections to the session's group forwards the
//! statement to one that does ([`remote`]).

mod account;
mod idle;
mod operation;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervilwharf_lib::account::KeyDigest;
use chervilwharf_lib::catalog::Consistency;
use chervilwharf_lib::catalog::Route;
use chervilwharf_lib::connection_setup::SessionValues;
use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::holder_choice::Affinity;
use chervilwharf_lib::id::RequestId;
use chervilwharf_lib::id::TargetId;
use chervilwharf_lib::id::Term;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::position::Position;
use chervilwharf_lib::server_choice::ConnectionOwner;
use chervilwharf_lib::server_choice::Need;
use chervilwharf_lib::statement::Access;
use chervilwharf_lib::statement::Answer;
use chervilwharf_lib::statement::Prepared;
use chervilwharf_lib::statement::Statement;
use chervilwharf_lib::statement::TransactionState;
use chervilwharf_lib::statement_timing;

use crate::engine::caller::Caller;
use crate::engine::clock::now;
use crate::engine::event_log;
use crate::engine::lease::Lease;
use crate::engine::near_homes::AbleServers;
use crate::engine::pass_on;
use crate::engine::remote;
use crate::engine::request::Failure;
use crate::engine::request::Request;
use crate::engine::request::Served;
use crate::engine::server_connection::Step;
use crate::engine::session::operation::SessionOperation;
use crate::engine::shard::Shard;
use crate::engine::shared::Engine;
use crate::engine::shared::SessionGuard;
use crate::engine::single::Work;
use crate::engine::trace::StatementTrace;
use crate::engine::transaction;
use crate::engine::transaction::Transaction;
use crate::engine::waiting::ConnectionRequest;

/// The reply to a client's statement.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Rows and the server's signature; `None` if the proxy served the statement
    /// without a server; or a failure.
    pub result: Result<Option<Answer>, Failure>,
    /// Transaction state of the session after the statement.
    pub state: TransactionState,
    /// Log position of the server that answered; `None` if none did.
    pub position: Option<Position>,
}

/// What happens to an idle session when its time is up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleAction {
    /// The transaction is rolled back.
    RollBack,
    /// The session is closed.
    Close,
}

/// One client's session.
pub struct Session {
    engine: Arc<Engine>,
    shard: Arc<Shard>,
    database: Arc<str>,
    caller: Caller,
    /// Whether its statements are forwarded by another instance, which chose this one.
    is_forwarded: bool,
    values: SessionValues,
    prepared: HashMap<Arc<str>, Prepared>,
    /// Position of the session's last own commit: the lowest position that its reads
    /// have to see.
    floor: Option<Position>,
    transaction: Option<Transaction>,
    /// Whether a statement of the transaction is running.
    in_transaction: bool,
    /// The servers that can serve the current statement or transaction.
    able: AbleServers,
    trace: StatementTrace,
    operation: SessionOperation,
    /// Random number below [`RANDOM_NUMBER_LIMIT`], or 0 in a forwarded session. It sets when a
    /// planned stop closes the session, and which holder its statements go to if the client
    /// has no account.
    random_number: u32,
    /// Counts the session as open at this instance.
    open_guard: Option<SessionGuard>,
    /// Whether the session closes at the end of its operation, because a statement failed
    /// in a way that ends sessions (`ErrorKind::ends_session`).
    closes_after_failure: bool,
}

/// What a client sends to begin a session.
#[derive(Clone, Copy, Debug)]
pub struct SessionStart<'a> {
    /// The name of the database.
    pub database: &'a str,
    /// Digest of the client's key.
    pub key: KeyDigest,
    /// The client's network address, if it has one.
    pub client: Option<SocketAddr>,
    /// When the client's connection was accepted; `None` if there is none. The beginning of the
    /// session then counts for no operation.
    pub accepted_at: Option<Moment>,
}

fn report_refused(engine: &Engine, start: &SessionStart<'_>, kind: ErrorKind) {
    let version = engine.catalog().version;
    let event = Event::new(EventKind::SessionRefused).with("database", start.database);
    let event = event.with("reason", kind.name()).with("configuration", version);
    // There is no request id yet. The client's address and the time identify the request.
    let event = event.with_some("client", start.client);
    let age = engine.metrics().store.answer_age();
    event_log::emit(&event.with_some_ms("store_answered_ms", age));
}

/// Exclusive upper limit of the random number of a session: the number of moments over which
/// a planned stop spreads the closing of sessions.
const RANDOM_NUMBER_LIMIT: u32 = 1000;

/// Part of a statement's timeout that is reserved for the reply to the client: two
/// network trips of 3 ms and the time to write.
const ANSWER_RESERVE: Duration = Duration::from_millis(15);

/// How long an expired primary lease may take to be renewed before the outcome of a
/// commit counts as unknown: a few rounds of heartbeats, or one read of a slow store.
const CONFIRM_LIMIT: Duration = Duration::from_millis(400);

/// How long a new session waits until this instance has its first configuration and
/// list of instances. An instance usually has both some 30 ms after its start. If it
/// takes longer, the store is down, and another instance may already have them.
const FIRST_RECORDS_LIMIT: Duration = Duration::from_millis(300);

impl Session {
    /// Begins a session on a database name.
    ///
    /// An instance that has just started has no configuration yet and waits for it
    /// instead of reporting an unknown database. Clients do not retry after that
    /// error: after a restart of all instances, the first clients never connected.
    ///
    /// # Errors
    ///
    /// When the configuration has no such database or no account with this key, or when
    /// this instance has no configuration in time.
    pub async fn begin(engine: Arc<Engine>, start: SessionStart<'_>) -> Result<Self, Failure> {
        let arrived_at = now();
        match Self::check_start(&engine, &start).await {
            Ok((route, caller)) => {
                let random_number = rand::random_range(0..RANDOM_NUMBER_LIMIT);
                let mut session = Self::new(engine, &route, caller, random_number);
                if let Some(accepted_at) = start.accepted_at {
                    session.operation = SessionOperation::new(accepted_at, arrived_at);
                }
                Ok(session)
            }
            Err(kind) => {
                report_refused(&engine, &start, kind);
                Err(Failure::new(kind))
            }
        }
    }

    async fn check_start(
        engine: &Arc<Engine>,
        start: &SessionStart<'_>,
    ) -> Result<(Arc<Route>, Caller), ErrorKind> {
        if !engine.wait_until_prepared(FIRST_RECORDS_LIMIT).await {
            return Err(ErrorKind::NotConfigured);
        }
        let route = engine.route(start.database).ok_or(ErrorKind::UnknownDatabase)?;
        let caller = engine.caller(&route, start.key).await?;
        Ok((route, caller))
    }

    /// Creates a session for statements that another instance forwards.
    #[must_use]
    pub fn forwarded_session(engine: Arc<Engine>, route: &Route, caller: Caller) -> Self {
        Self { is_forwarded: true, ..Self::new(engine, route, caller, 0) }
    }

    fn new(engine: Arc<Engine>, route: &Route, caller: Caller, random_number: u32) -> Self {
        Self {
            shard: engine.shard(&route.group),
            database: route.database.clone(),
            caller,
            is_forwarded: false,
            values: SessionValues::new(),
            prepared: HashMap::new(),
            floor: None,
            transaction: None,
            in_transaction: false,
            able: AbleServers::Primary,
            trace: StatementTrace::default(),
            operation: SessionOperation::default(),
            random_number,
            open_guard: Some(engine.count_session()),
            closes_after_failure: false,
            engine,
        }
    }

    /// Prepares a forwarded session for its next statement, which may belong to another
    /// client, database or group than the one before.
    pub fn use_route(&mut self, id: &RequestId, route: &Route, caller: Caller) {
        self.caller = caller;
        if self.open_guard.is_none() {
            self.open_guard = Some(self.engine.count_session());
        }
        if *self.shard.id() != route.group {
            self.shard = self.engine.shard(&route.group);
        }
        let database = route.database.clone();
        let account = self.caller.account.clone();
        self.trace =
            StatementTrace { id: id.clone(), database, account, ..StatementTrace::default() };
    }

    /// Stops counting the session as open, so that a planned stop does not wait for it.
    /// The next forwarded statement counts it again.
    pub fn stop_counting(&mut self) {
        self.open_guard = None;
    }

    /// Sets the values of the client's session, which the forwarding instance sent.
    pub fn set_values(&mut self, values: SessionValues) {
        self.values = values;
    }

    /// Position of the session's last own commit.
    #[must_use]
    pub fn floor(&self) -> Option<Position> {
        self.floor
    }

    /// Sets the position of the session's last own commit.
    pub fn set_floor(&mut self, floor: Option<Position>) {
        self.floor = floor;
    }

    /// Begins a transaction for the forwarding instance.
    pub fn begin_forwarded(&mut self, route: &Arc<Route>, read_only: bool) {
        self.transaction = Some(Transaction::new(route.clone(), read_only));
    }

    /// Rolls back the open transaction, if there is one.
    pub fn drop_transaction(&mut self) {
        self.transaction = None;
    }

    /// Whether the current statement belongs to a transaction.
    #[must_use]
    pub fn is_in_transaction(&self) -> bool {
        self.in_transaction || self.transaction.is_some()
    }

    /// The client of the session.
    #[must_use]
    pub fn caller(&self) -> &Caller {
        &self.caller
    }

    /// The engine that serves the session.
    #[must_use]
    pub fn engine(&self) -> &Arc<Engine> {
        &self.engine
    }

    /// What decides which holder serves its statements: the account, so that all sessions
    /// of an account share the connections of one holder, or else the session itself. A
    /// forwarded session always uses the latter, since the sender has chosen the holder.
    #[must_use]
    pub fn affinity(&self) -> Affinity {
        match &self.caller.account {
            Some(account) if !self.is_forwarded => {
                self.engine.account_affinity(self.shard.id(), account, self.able)
            }
            _ => Affinity::Session(self.random_number),
        }
    }

    /// Whether a statement may be sent to another instance although this one holds
    /// connections to its group. A forwarded one may not, since the sender has chosen
    /// this instance.
    #[must_use]
    pub fn may_pass_on(&self) -> bool {
        !self.is_forwarded && !self.engine.is_held_by_all(self.shard.id())
    }

    /// The group of servers that the session's current operation uses.
    #[must_use]
    pub fn shard(&self) -> &Arc<Shard> {
        &self.shard
    }

    /// Session values that the client has set.
    #[must_use]
    pub fn values(&self) -> &SessionValues {
        &self.values
    }

    /// Transaction state of the session.
    #[must_use]
    pub fn state(&self) -> TransactionState {
        self.transaction.as_ref().map_or(TransactionState::Idle, Transaction::state)
    }

    /// How long an exchange that can safely be repeated waits for a server's answer
    /// before it is abandoned.
    #[must_use]
    pub fn stall_limit(&self, request: &Request, server: &str) -> Duration {
        let usual_time = self.shard.with_group(|group| group.read_time(server));
        statement_timing::read_stall_limit(request.route.objective, usual_time)
            .min(request.time_left(now()))
    }

    /// Whether a transaction that wrote and began in `term` may be committed at `server`
    /// now: this instance still has the lease on that term.
    #[must_use]
    pub fn may_commit(&self, server: &str, term: Option<Term>) -> bool {
        term.is_some() && self.shard.term_of(server) == term
    }

    /// Whether a commit that a server acknowledged is final, because the server was the
    /// primary of `term` when it committed. If this returns `false`, the outcome is
    /// unknown.
    pub async fn is_confirmed(&self, request: &Request, server: &TargetId, term: Term) -> bool {
        let until = request.deadline.min(now() + CONFIRM_LIMIT);
        let confirmed = self.shard.confirm_term(term, until).await;
        if !confirmed {
            let event = Event::new(EventKind::CommitUnconfirmed).with("id", &request.id);
            let event = event.with("group", self.shard.id()).with("server", server);
            event_log::emit(&event.with("term", term));
        }
        confirmed
    }

    /// Lowest log position that a read of this session has to see; `None` if the
    /// read needs the primary.
    #[must_use]
    pub fn floor_for(&self, arrived_at: Moment, consistency: Consistency) -> Option<Position> {
        self.shard.with_group(|group| group.floor(arrived_at, consistency, self.floor))
    }

    /// Records that the session committed at a position.
    pub fn raise_floor(&mut self, position: Position) {
        self.floor = Some(self.floor.map_or(position, |floor| floor.max(position)));
    }

    /// Records that a server has not applied `floor`. If that proves that a change of
    /// primary rolled `floor` back, the session's own commits up to it are lost as well,
    /// and its reads no longer wait for them.
    pub fn observe_lagging(
        &mut self,
        server: &TargetId,
        floor: Option<Position>,
        applied: Option<Position>,
    ) {
        let floor = floor.unwrap_or_default();
        let rolled_back =
            self.shard.with_group(|group| group.observe_lagging(now(), server, floor, applied));
        if rolled_back && self.floor.is_some_and(|own| own <= floor) {
            self.floor = None;
        }
    }

    /// Statements that set up a connection for this session: its values, and the
    /// prepared statement that it is about to execute. They count as sent from now on.
    pub fn setup_steps(&self, lease: Option<&mut Lease>, prepared: Option<&Prepared>) -> Vec<Step> {
        let Some(lease) = lease else {
            return Vec::new();
        };
        lease.connection().begin_setup(&self.values, prepared)
    }

    /// Runs one statement of the client.
    pub async fn run(&mut self, id: RequestId, statement: Statement) -> Reply {
        let began_at = now();
        self.operation.clock.begin_statement(began_at);
        let (database, account) = (self.database.clone(), self.caller.account.clone());
        self.trace =
            StatementTrace { id: id.clone(), database, account, ..StatementTrace::default() };
        let kind = self.kind_of(&statement);
        let result = self.dispatch(id, statement).await;
        let ended_at = now();
        self.report(kind, result.as_ref().err(), ended_at.saturating_sub(began_at));
        self.end_statement(ended_at, result.is_err());
        let refused = result.as_ref().err().map(|failure| failure.kind);
        self.closes_after_failure |= refused.is_some_and(ErrorKind::ends_session);
        let state = self.state();
        match result {
            Ok(Some(served)) => {
                Reply { result: Ok(Some(served.answer)), state, position: served.position }
            }
            Ok(None) => Reply { result: Ok(None), state, position: None },
            Err(failure) => Reply { result: Err(failure), state, position: None },
        }
    }

    /// The kind of a statement, as a metric label.
    fn kind_of(&self, statement: &Statement) -> &'static str {
        match statement {
            Statement::Read { .. } => "read",
            Statement::Write { .. } => "write",
            Statement::Commit => "commit",
            Statement::Execute { name, .. } => match self.prepared.get(name) {
                Some(prepared) if prepared.access == Access::Write => "write",
                _ => "read",
            },
            _ => "session",
        }
    }

    /// The role of the server or instance that the last attempt of the current statement
    /// was sent to, as a metric label.
    fn role_of_server(&self) -> &'static str {
        let server = self.trace.server.as_deref().unwrap_or_default();
        self.shard.with_group(|group| match group.server(server) {
            Some(view) if group.leads(&view.info.id) => "primary",
            Some(_) => "replica",
            None => "holder",
        })
    }

    fn report(&self, kind: &'static str, failure: Option<&Failure>, took: Duration) {
        let group = self.shard.id();
        let metrics = self.engine.metrics();
        metrics.record_statement(group, kind, failure.map(|failure| failure.kind), took);
        if let Some(account) = &self.caller.account {
            metrics.accounts.record_statement(account, failure.map(|failure| failure.kind));
        }
        if let Some(failure) = failure {
            self.trace.log_failure(group, failure, took, self.shard.waiting());
            return;
        }
        if self.trace.tries == 0 {
            return;
        }
        metrics.record_times(group, self.role_of_server(), self.trace.waited, self.trace.at_server);
    }

    /// The trace of the current statement.
    #[must_use]
    pub fn trace(&self) -> &StatementTrace {
        &self.trace
    }

    /// The trace of the current statement, to add to it.
    pub fn trace_mut(&mut self) -> &mut StatementTrace {
        &mut self.trace
    }

    /// Counts and logs that an attempt of the current statement failed and another one
    /// follows.
    pub fn report_retry(&self, failure: &Failure) {
        self.engine.metrics().record_retry(failure.kind);
        self.trace.log_retry(self.shard.id(), failure);
    }

    /// Gets a connection for the current statement.
    ///
    /// # Errors
    ///
    /// When none was available in time. Nothing was sent then.
    pub async fn acquire(
        &mut self,
        request: &Request,
        need: Need,
        prepared: Option<&Prepared>,
    ) -> Result<Lease, Failure> {
        let began_at = now();
        let connection_request = ConnectionRequest {
            need,
            owner: ConnectionOwner::Account(self.caller.account.clone()),
            flow: self.caller.flow(&self.engine.catalog()),
            priority: request.route.priority,
            give_up_at: request.deadline,
            in_time_until: request.in_time_until(began_at),
            values: &self.values,
            prepared,
        };
        let mut acquired = self.shard.acquire(&connection_request).await;
        let opening = acquired.as_mut().map(|lease| lease.connection().take_opening_time(began_at));
        self.trace.record_wait(now().saturating_sub(began_at), opening.unwrap_or_default());
        acquired
    }

    async fn dispatch(
        &mut self,
        id: RequestId,
        statement: Statement,
    ) -> Result<Option<Served>, Failure> {
        let failed = self.state() == TransactionState::Failed;
        match statement {
            Statement::Commit => self.commit(id).await.map(Some),
            Statement::Rollback => self.roll_back().map(|()| None),
            _ if failed => {
                let refusal = self.transaction.as_mut().map(Transaction::refusal);
                Err(Failure::new(refusal.unwrap_or(ErrorKind::TransactionAborted)))
            }
            Statement::Begin { read_only } => self.begin_transaction(read_only).map(|()| None),
            Statement::Set { name, value } => {
                self.values.insert(name, value);
                Ok(None)
            }
            Statement::Prepare { name, prepared } => {
                self.prepared.insert(name, prepared);
                Ok(None)
            }
            Statement::Deallocate { name } => match self.prepared.remove(&name) {
                Some(_) => Ok(None),
                None => Err(Failure::new(ErrorKind::UnknownPreparedName)),
            },
            Statement::Execute { name, arguments } => {
                let Some(prepared) = self.prepared.get(&name).cloned() else {
                    return Err(Failure::new(ErrorKind::UnknownPreparedName));
                };
                let name = prepared.shared_name();
                let writes = prepared.access == Access::Write;
                let statement = Statement::Execute { name, arguments };
                self.run_operation(id, Work { statement, prepared: Some(prepared) }, writes)
                    .await
                    .map(Some)
            }
            Statement::Read { .. } => {
                self.run_operation(id, Work { statement, prepared: None }, false).await.map(Some)
            }
            Statement::Write { .. } => {
                self.run_operation(id, Work { statement, prepared: None }, true).await.map(Some)
            }
            Statement::Reset => Err(Failure::new(ErrorKind::BadStatement)),
        }
    }

    fn begin_transaction(&mut self, read_only: bool) -> Result<(), Failure> {
        if self.transaction.is_some() {
            return Err(Failure::new(ErrorKind::BadStatement));
        }
        let route = self.resolve()?;
        self.transaction = Some(Transaction::new(route, read_only));
        Ok(())
    }

    /// The route of the session's database in the current configuration.
    fn resolve(&mut self) -> Result<Arc<Route>, Failure> {
        let route = self.engine.route(&self.database);
        let route = route.ok_or_else(|| Failure::new(ErrorKind::UnknownDatabase))?;
        if *self.shard.id() != route.group {
            self.shard = self.engine.shard(&route.group);
            // A position is valid only in the log of its own group.
            self.floor = None;
        }
        Ok(route)
    }

    fn request(&self, id: RequestId, route: Arc<Route>) -> Request {
        let arrived_at = now();
        let deadline = arrived_at + route.timeout.saturating_sub(ANSWER_RESERVE);
        let objective_left = self.objective_left(arrived_at, &route);
        Request { id, route, arrived_at, deadline, objective_left }
    }

    async fn run_operation(
        &mut self,
        id: RequestId,
        work: Work,
        writes: bool,
    ) -> Result<Served, Failure> {
        let route = match &self.transaction {
            Some(transaction) => transaction.route.clone(),
            None => self.resolve()?,
        };
        self.check_caller(&route)?;
        let request = self.request(id, route);
        self.count_operation(request.time_left(now())).await?;
        let single = self.transaction.is_none();
        let result = self.run_work(&request, &work, writes).await;
        if let (true, Err(failure)) = (single, &result) {
            self.refund_operation(failure);
        }
        result
    }

    /// Runs a request's statement, in the transaction if there is one.
    ///
    /// # Errors
    ///
    /// When the statement did not run, failed, or has an unknown outcome.
    pub async fn run_work(
        &mut self,
        request: &Request,
        work: &Work,
        writes: bool,
    ) -> Result<Served, Failure> {
        self.prepare_affinity(&request.route, writes);
        let Some(mut transaction) = self.transaction.take() else {
            if !self.engine.serves_here(&request.route.group, &self.affinity()) {
                return remote::single(self, request, work, writes).await;
            }
            return pass_on::run_single(self, request, work, writes).await;
        };
        self.in_transaction = true;
        let result = if transaction.runs_remotely(&self.engine, &self.affinity()) {
            transaction.record_write(writes);
            remote::transaction::in_transaction(self, &mut transaction, request, work).await
        } else {
            pass_on::run_in_transaction(self, &mut transaction, request, work, writes).await
        };
        self.in_transaction = false;
        self.transaction = Some(transaction);
        result
    }

    async fn commit(&mut self, id: RequestId) -> Result<Served, Failure> {
        let Some(transaction) = &self.transaction else {
            return Err(Failure::new(ErrorKind::BadStatement));
        };
        let route = transaction.route.clone();
        self.check_caller(&route)?;
        let request = self.request(id, route);
        self.commit_work(&request).await
    }

    /// Commits the session's transaction.
    ///
    /// # Errors
    ///
    /// When the transaction was rolled back, or when its outcome is unknown.
    pub async fn commit_work(&mut self, request: &Request) -> Result<Served, Failure> {
        let Some(mut transaction) = self.transaction.take() else {
            return Err(Failure::new(ErrorKind::BadStatement));
        };
        if transaction.has_failed() {
            return Err(Failure::new(ErrorKind::TransactionLost));
        }
        if !transaction.runs_remotely(&self.engine, &self.affinity()) {
            return transaction::commit(self, &mut transaction, request).await;
        }
        let work = Work { statement: Statement::Commit, prepared: None };
        self.in_transaction = true;
        let result =
            remote::transaction::in_transaction(self, &mut transaction, request, &work).await;
        self.in_transaction = false;
        result
    }

    fn roll_back(&mut self) -> Result<(), Failure> {
        // Dropping the transaction rolls it back.
        match self.transaction.take() {
            Some(_) => Ok(()),
            None => Err(Failure::new(ErrorKind::BadStatement)),
        }
    }
}
