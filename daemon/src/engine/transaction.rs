//! Transactions. A transaction uses one server connection from its first statement to its
//! commit or rollback.

use std::sync::Arc;
use std::time::Duration;

use chervilwharf_lib::catalog::Consistency;
use chervilwharf_lib::catalog::Route;
use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::holder_choice::Affinity;
use chervilwharf_lib::id::TargetId;
use chervilwharf_lib::id::Term;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::position::Position;
use chervilwharf_lib::reply_check;
use chervilwharf_lib::reply_check::RowAgreement;
use chervilwharf_lib::reply_check::Rows;
use chervilwharf_lib::server_choice::Need;
use chervilwharf_lib::server_refusal::RefusalKind;
use chervilwharf_lib::server_refusal::ServerRefusal;
use chervilwharf_lib::statement::Statement;
use chervilwharf_lib::statement::TransactionState;
use chervilwharf_lib::statement_timing;

use crate::engine::clock::now;
use crate::engine::event_log;
use crate::engine::lease::Lease;
use crate::engine::remote::transaction::RemoteTransaction;
use crate::engine::request::Failure;
use crate::engine::request::Request;
use crate::engine::request::Served;
use crate::engine::server_connection::Step;
use crate::engine::server_connection::StepReply;
use crate::engine::session::Session;
use crate::engine::shared::Engine;
use crate::engine::single::Sent;
use crate::engine::single::Work;
use crate::engine::single::first_refusal;
use crate::engine::single::send;

/// The status of a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Status {
    /// It can run further statements.
    Active,
    /// It failed and can only be ended. The client has received the failure.
    Failed,
    /// It was rolled back while it was idle. The client has not received that failure yet.
    FailedUnreported,
}

/// A client's open transaction.
///
/// It takes a connection only at its first statement, so that a client that stays idle
/// after BEGIN holds no connection that others need.
pub struct Transaction {
    /// The route in force when it began.
    pub route: Arc<Route>,
    read_only: bool,
    lease: Option<Lease>,
    /// The part of the transaction at another instance, if that one holds the connection.
    remote: Option<RemoteTransaction>,
    /// Whether a statement that may write was sent.
    wrote: bool,
    /// The primary's term when the transaction began there; `None` at a replica.
    term: Option<Term>,
    status: Status,
    /// When its last statement was answered.
    pub active_at: Moment,
    /// Whether it has been counted against its account's quota.
    pub is_counted: bool,
}

impl Transaction {
    /// A transaction that has not run any statement yet.
    #[must_use]
    pub fn new(route: Arc<Route>, read_only: bool) -> Self {
        Self {
            route,
            read_only,
            lease: None,
            remote: None,
            wrote: false,
            term: None,
            status: Status::Active,
            active_at: now(),
            is_counted: false,
        }
    }

    /// Its state as reported to the client.
    #[must_use]
    pub fn state(&self) -> TransactionState {
        if self.has_failed() { TransactionState::Failed } else { TransactionState::Open }
    }

    /// Whether it failed and can only be ended.
    #[must_use]
    pub fn has_failed(&self) -> bool {
        self.status != Status::Active
    }

    /// Whether it holds a connection, here or at another instance.
    #[must_use]
    pub fn holds_connection(&self) -> bool {
        self.lease.is_some() || self.remote.is_some()
    }

    /// Whether its statements are forwarded to another instance. A transaction stays where
    /// its connection is.
    #[must_use]
    pub fn runs_remotely(&self, engine: &Engine, affinity: &Affinity) -> bool {
        let here = self.lease.is_some() || engine.serves_here(&self.route.group, affinity);
        self.remote.is_some() || !here
    }

    /// Whether it was begun as read-only.
    #[must_use]
    pub fn is_read_only(&self) -> bool {
        self.read_only
    }

    /// Records that one of its statements is about to be sent.
    pub fn record_write(&mut self, writes: bool) {
        self.wrote |= writes;
    }

    /// Whether a statement that may write was sent.
    #[must_use]
    pub fn may_have_written(&self) -> bool {
        self.wrote
    }

    /// Takes out the part at the other instance, to run a statement there.
    pub fn take_remote(&mut self) -> Option<RemoteTransaction> {
        self.remote.take()
    }

    /// Puts back the part at the other instance after a statement.
    pub fn set_remote(&mut self, remote: RemoteTransaction) {
        self.remote = Some(remote);
    }

    /// Rolls it back while it is idle. The reply to the next statement reports that to the
    /// client.
    pub fn end_idle(&mut self) {
        let unreported = !self.has_failed();
        self.fail();
        if unreported {
            self.status = Status::FailedUnreported;
        }
    }

    /// The error for a statement of a failed transaction, other than COMMIT or ROLLBACK.
    /// The first one reports that the transaction was lost, if the client has not received that
    /// failure yet.
    pub fn refusal(&mut self) -> ErrorKind {
        match std::mem::replace(&mut self.status, Status::Failed) {
            Status::FailedUnreported => ErrorKind::TransactionLost,
            Status::Active | Status::Failed => ErrorKind::TransactionAborted,
        }
    }

    /// Marks it as failed, rolls it back and frees its connection.
    pub fn fail(&mut self) {
        self.status = Status::Failed;
        self.release();
    }

    /// Makes it begin anew after its first statement failed without having run anywhere.
    pub fn reopen(&mut self) {
        self.status = Status::Active;
    }

    /// Rolls back at the server in a background task, which then gives the connection
    /// back.
    pub fn release(&mut self) {
        if let Some(remote) = self.remote.take() {
            tokio::spawn(remote.roll_back());
        }
        if let Some(lease) = self.lease.take() {
            tokio::spawn(roll_back(lease));
        }
    }
}

impl Drop for Transaction {
    fn drop(&mut self) {
        self.release();
    }
}

/// How long a rollback may take. Servers roll back at once; a connection on which it takes
/// longer is closed, which rolls back as well.
pub const ROLLBACK_LIMIT: Duration = Duration::from_millis(500);

async fn roll_back(mut lease: Lease) {
    let steps = [Step::internal(Statement::Rollback)];
    let rolling_back = lease.run(&steps);
    let Ok(Ok(replies)) = tokio::time::timeout(ROLLBACK_LIMIT, rolling_back).await else {
        let event = Event::new(EventKind::ConnectionDropped).with("server", lease.server());
        event_log::emit(
            &event.with("reason", "no answer to ROLLBACK; closing the connection rolls back"),
        );
        return;
    };
    if replies.last().is_some_and(|reply| reply.state == TransactionState::Idle) {
        lease.give_back();
    }
}

/// Runs a statement of a transaction.
///
/// # Errors
///
/// When the statement, or the whole transaction, failed.
pub async fn run(
    session: &mut Session,
    transaction: &mut Transaction,
    request: &Request,
    work: &Work,
    writes: bool,
) -> Result<Served, Failure> {
    let result = run_inner(session, transaction, request, work, writes).await;
    transaction.active_at = now();
    if let Some(lease) = &mut transaction.lease {
        lease.pause();
    }
    if result.is_err() && transaction.lease.is_none() {
        transaction.status = Status::Failed;
    }
    result
}

async fn run_inner(
    session: &mut Session,
    transaction: &mut Transaction,
    request: &Request,
    work: &Work,
    writes: bool,
) -> Result<Served, Failure> {
    if transaction.lease.is_none() {
        begin(session, transaction, request, work).await?;
    }
    if let Some(lease) = &mut transaction.lease {
        lease.resume();
    }
    let mut agreement = RowAgreement::default();
    let mut last = Failure::new(ErrorKind::Overloaded);
    while now() < request.deadline {
        let server = server_of(transaction);
        let mut steps = session.setup_steps(transaction.lease.as_mut(), work.prepared.as_ref());
        let main = steps.len();
        steps.push(Step::of_client(request.id.clone(), work.statement.clone(), writes));
        transaction.wrote |= writes;
        let sent_at = now();
        let limit = request.time_left(sent_at);
        let replies = match send(session, &mut transaction.lease, &steps, limit).await {
            Sent::Replies(replies) => replies,
            // COMMIT was not sent, and closing the connection rolls back.
            Sent::Lost(_) => return Err(Failure::new(ErrorKind::TransactionLost)),
        };
        let reply = replies[main].clone();
        if first_refusal(&replies[..main]).is_some() {
            transaction.lease = None;
            return Err(Failure::new(ErrorKind::TransactionLost));
        }
        match reply.result {
            Ok(answer) => {
                let took = now().saturating_sub(sent_at);
                session.shard().observe_time(
                    &server,
                    took,
                    statement_timing::slow_threshold(request.route.objective),
                );
                observe(session, transaction, sent_at, &server, reply.position);
                if writes && reply.rows == Rows::InDoubt {
                    transaction.lease = None;
                    return Err(Failure::new(ErrorKind::TransactionLost));
                }
                if agreement.accepts(&answer, reply.rows) {
                    let rows = reply.rows;
                    return Ok(Served { answer, position: reply.position, rows });
                }
                continue;
            }
            Err(refusal) if is_retryable(&refusal, reply.state) => {
                session.shard().observe_busy(&server);
                last = refusal.into();
            }
            Err(refusal) => {
                return Err(refused(session, transaction, &server, refusal, reply.state));
            }
        }
        tokio::time::sleep(statement_timing::BUSY_PAUSE.min(request.time_left(now()))).await;
    }
    transaction.fail();
    Err(last)
}

fn is_retryable(refusal: &ServerRefusal, state: TransactionState) -> bool {
    refusal.kind == RefusalKind::Busy && state == TransactionState::Open
}

fn refused(
    session: &Session,
    transaction: &mut Transaction,
    server: &TargetId,
    refusal: ServerRefusal,
    state: TransactionState,
) -> Failure {
    if refusal.kind == RefusalKind::NotLeading {
        session.shard().observe_not_leading(server);
    }
    match state {
        TransactionState::Open => {}
        TransactionState::Failed => transaction.fail(),
        TransactionState::Idle => {
            transaction.status = Status::Failed;
            if let Some(lease) = transaction.lease.take() {
                lease.give_back();
            }
        }
    }
    refusal.into()
}

fn observe(
    session: &Session,
    transaction: &Transaction,
    sent_at: Moment,
    server: &TargetId,
    position: Option<Position>,
) {
    let is_read_write = !transaction.read_only;
    session.shard().with_group(|group| match position {
        Some(position) if is_read_write => group.observe_leading(sent_at, now(), server, position),
        position => group.observe_answer(now(), server, position),
    });
}

fn server_of(transaction: &Transaction) -> TargetId {
    transaction.lease.as_ref().map(|lease| lease.server().clone()).unwrap_or_default()
}

/// Gets a connection and sends BEGIN on it.
///
/// The first statement is sent only after the reply to BEGIN. Sent together with a
/// BEGIN that is refused, it would run outside of any transaction.
async fn begin(
    session: &mut Session,
    transaction: &mut Transaction,
    request: &Request,
    work: &Work,
) -> Result<(), Failure> {
    let mut last = Failure::new(ErrorKind::DeadlineBeforeStart);
    while now() < request.deadline {
        match try_begin(session, transaction, request, work).await {
            Ok(()) => return Ok(()),
            Err((failure, None)) => return Err(failure),
            Err((failure, Some(pause))) => {
                session.report_retry(&failure);
                last = failure;
                tokio::time::sleep(pause.min(request.time_left(now()))).await;
            }
        }
    }
    Err(last)
}

async fn try_begin(
    session: &mut Session,
    transaction: &mut Transaction,
    request: &Request,
    work: &Work,
) -> Result<(), (Failure, Option<Duration>)> {
    let consistency = transaction.route.consistency;
    let at_replica = transaction.read_only && consistency != Consistency::Latest;
    let floor = at_replica.then(|| session.floor_for(request.arrived_at, consistency)).flatten();
    let need = match floor {
        Some(floor) => Need::Reader { floor, failed_server: None },
        None => Need::Leader,
    };
    session.trace_mut().floor = floor;
    let lease = session.acquire(request, need, work.prepared.as_ref()).await;
    let lease = lease.map_err(|failure| (failure, None))?;
    let server = lease.server().clone();
    let term = session.shard().term_of(&server);
    if floor.is_none() && term.is_none() {
        lease.give_back();
        return Err((Failure::new(ErrorKind::NoPrimary), Some(statement_timing::BUSY_PAUSE)));
    }
    let mut lease = Some(lease);
    let mut steps = session.setup_steps(lease.as_mut(), work.prepared.as_ref());
    let setup = steps.len();
    // A server that is no longer the primary does not refuse a read-only BEGIN. So a
    // transaction without a floor, which needs the primary, begins as one that may write.
    let statement = Statement::Begin { read_only: floor.is_some() };
    steps.push(Step::internal(statement).with_floor(floor));
    // The statements of the transaction must not be sent before it is certain to have begun.
    steps.extend(reply_check::order_test_in_transaction().map(Step::internal));
    let limit = session.stall_limit(request, &server);
    let replies = match send(session, &mut lease, &steps, limit).await {
        Sent::Replies(replies) => replies,
        Sent::Lost(_) => {
            return Err((Failure::new(ErrorKind::TransactionLost), Some(Duration::ZERO)));
        }
    };
    if let Some(refusal) = first_refusal(&replies[..setup]) {
        return Err((refusal.into(), Some(statement_timing::BUSY_PAUSE)));
    }
    let reply = &replies[setup];
    let Err(refusal) = &reply.result else {
        // The server refuses none of these: the reply to BEGIN may be that of an earlier one.
        if let Some(refusal) = first_refusal(&replies[setup + 1..]) {
            return Err((refusal.into(), Some(statement_timing::BUSY_PAUSE)));
        }
        transaction.lease = lease;
        transaction.term = term;
        return Ok(());
    };
    if let (Some(lease), TransactionState::Idle) = (lease, reply.state) {
        lease.give_back();
    }
    Err(begin_refused(session, &server, refusal, floor, reply))
}

fn begin_refused(
    session: &mut Session,
    server: &TargetId,
    refusal: &ServerRefusal,
    floor: Option<Position>,
    reply: &StepReply,
) -> (Failure, Option<Duration>) {
    let pause = match refusal.kind {
        RefusalKind::Lagging => {
            session.observe_lagging(server, floor, reply.position);
            Some(Duration::ZERO)
        }
        RefusalKind::NotLeading => {
            session.shard().observe_not_leading(server);
            Some(Duration::ZERO)
        }
        RefusalKind::Busy => Some(statement_timing::BUSY_PAUSE),
        _ => None,
    };
    (refusal.clone().into(), pause)
}

/// Commits a transaction.
///
/// # Errors
///
/// When the transaction was rolled back, or when its outcome is unknown.
pub async fn commit(
    session: &mut Session,
    transaction: &mut Transaction,
    request: &Request,
) -> Result<Served, Failure> {
    let work = Work { statement: Statement::Commit, prepared: None };
    if transaction.lease.is_none() {
        begin(session, transaction, request, &work).await?;
    }
    if let Some(lease) = &mut transaction.lease {
        lease.resume();
    }
    let mut last = Failure::new(ErrorKind::Overloaded);
    while now() < request.deadline {
        let server = server_of(transaction);
        if transaction.wrote && !session.may_commit(&server, transaction.term) {
            // The caller drops the transaction, which rolls it back.
            return Err(Failure::new(ErrorKind::TransactionLost));
        }
        let steps = [Step::of_client(request.id.clone(), Statement::Commit, true)];
        let sent_at = now();
        let limit = request.time_left(sent_at);
        let mut replies = match send(session, &mut transaction.lease, &steps, limit).await {
            Sent::Replies(replies) => replies,
            Sent::Lost(_) if transaction.wrote => {
                return Err(Failure::new(ErrorKind::OutcomeUnknown));
            }
            // Nothing was written, so the outcome is known: there is nothing to commit.
            Sent::Lost(_) => return Err(Failure::new(ErrorKind::TransactionLost)),
        };
        let Some(reply) = replies.pop() else {
            return Err(Failure::new(ErrorKind::OutcomeUnknown));
        };
        match reply.result {
            Ok(answer) => {
                let term = transaction.term.filter(|_| transaction.wrote);
                if let Some(term) = term {
                    if !session.is_confirmed(request, &server, term).await {
                        return Err(Failure::new(ErrorKind::OutcomeUnknown));
                    }
                }
                committed(session, transaction, sent_at, &server, reply.position);
                if reply.rows == Rows::InDoubt {
                    return Err(Failure::new(ErrorKind::OutcomeUnknown));
                }
                if let (Some(lease), TransactionState::Idle) =
                    (transaction.lease.take(), reply.state)
                {
                    lease.give_back();
                }
                return Ok(Served { answer, position: reply.position, rows: reply.rows });
            }
            Err(refusal) if is_retryable(&refusal, reply.state) => {
                session.shard().observe_busy(&server);
                last = refusal.into();
            }
            Err(refusal) => {
                return Err(refused(session, transaction, &server, refusal, reply.state));
            }
        }
        tokio::time::sleep(statement_timing::BUSY_PAUSE.min(request.time_left(now()))).await;
    }
    Err(last)
}

fn committed(
    session: &mut Session,
    transaction: &Transaction,
    sent_at: Moment,
    server: &TargetId,
    position: Option<Position>,
) {
    let Some(position) = position else {
        return;
    };
    if transaction.wrote {
        session.raise_floor(position);
        session.shard().with_group(|group| group.observe_leading(sent_at, now(), server, position));
    } else {
        session.shard().with_group(|group| group.observe_answer(now(), server, Some(position)));
    }
}
