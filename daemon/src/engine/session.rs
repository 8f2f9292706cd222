//! A client's session: the values that the client set, its prepared statements, the
//! position of its last own commit, and its open transaction.
//!
//! A session has no server connection of its own. Each statement or transaction
//! borrows a pooled connection ([`Lease`]) on which the session's values are set up
//! first. An instance that holds no connections to the session's group forwards the
//! statement to one that does ([`crate::engine::remote`]).

mod account;
mod consistency;
mod dispatch;
mod forwarded;
mod idle;
mod operation;
mod report;
mod start;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervilwharf_lib::account::KeyDigest;
use chervilwharf_lib::catalog::Route;
use chervilwharf_lib::connection_setup::SessionValues;
use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::holder_choice::Affinity;
use chervilwharf_lib::id::RequestId;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::position::Position;
use chervilwharf_lib::server_choice::ConnectionOwner;
use chervilwharf_lib::server_choice::Need;
use chervilwharf_lib::session_floors::SessionFloors;
use chervilwharf_lib::statement::Answer;
use chervilwharf_lib::statement::Prepared;
use chervilwharf_lib::statement::Statement;
use chervilwharf_lib::statement::TransactionState;
use chervilwharf_lib::statement_timing;

use crate::engine::caller::Caller;
use crate::engine::clock::now;
use crate::engine::lease::Lease;
use crate::engine::request::Failure;
use crate::engine::request::Request;
use crate::engine::server_connection::Step;
use crate::engine::session::account::KnownFlow;
use crate::engine::session::operation::SessionOperation;
use crate::engine::shard::Shard;
use crate::engine::shared::Engine;
use crate::engine::shared::SessionGuard;
use crate::engine::trace::StatementTrace;
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
    /// The session's own commits, which its reads have to see.
    floors: SessionFloors,
    transaction: Option<Transaction>,
    /// Whether a statement of the transaction is running.
    in_transaction: bool,
    /// What decides which holder serves the current statement or transaction.
    affinity: Affinity,
    /// The flow of its client, once it was needed.
    flow: Option<KnownFlow>,
    trace: StatementTrace,
    operation: SessionOperation,
    /// Random number below `RANDOM_NUMBER_LIMIT`, or 0 in a forwarded session. It sets when a
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

impl Session {
    fn new(engine: Arc<Engine>, route: &Route, caller: Caller, random_number: u32) -> Self {
        let affinity = match &caller.account {
            Some(account) => Affinity::Account(account.clone()),
            None => Affinity::Session(random_number),
        };
        Self {
            shard: engine.shard(&route.group),
            database: route.database.clone(),
            caller,
            is_forwarded: false,
            values: SessionValues::new(),
            prepared: HashMap::new(),
            floors: SessionFloors::default(),
            transaction: None,
            in_transaction: false,
            affinity,
            flow: None,
            trace: StatementTrace::default(),
            operation: SessionOperation::default(),
            random_number,
            open_guard: Some(engine.count_session()),
            closes_after_failure: false,
            engine,
        }
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

    /// What decides which holder serves its current statement: the account, so that all
    /// sessions of an account share the connections of one holder, or else the session itself.
    /// A forwarded session always uses the latter, since the sender has chosen the holder.
    #[must_use]
    pub fn affinity(&self) -> Affinity {
        self.affinity.clone()
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

    /// The trace of the current statement.
    #[must_use]
    pub fn trace(&self) -> &StatementTrace {
        &self.trace
    }

    /// The trace of the current statement, to add to it.
    pub fn trace_mut(&mut self) -> &mut StatementTrace {
        &mut self.trace
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
        let flow = self.flow();
        let connection_request = ConnectionRequest {
            need,
            owner: ConnectionOwner::Account(self.caller.account.clone()),
            flow,
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
}
