//! Shared steps of every request at the owner of its database.
//!
//! The owner is the one instance that serves a database. It holds the term of
//! the database: a number that rises with each change of owner or primary. The
//! database servers refuse statements that declare a lower term than they hold.
//!
//! The functions here wait until this instance serves the database, acquire an
//! execution slot and a connection on which the term is declared, and delay an
//! answer until it may be sent.

use std::time::Duration;
use std::time::Instant;

use chervilwharf_lib::admission::Priority;
use chervilwharf_lib::config::Acknowledge;
use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::fair_order::Flow;
use chervilwharf_lib::floors::Freshness;
use chervilwharf_lib::id::AccountId;
use chervilwharf_lib::id::DatabaseId;
use chervilwharf_lib::id::RequestId;
use chervilwharf_lib::id::TargetId;
use chervilwharf_lib::id::Term;
use chervilwharf_lib::instance::Gate;
use chervilwharf_lib::ownership_types::OwnershipEvent;
use chervilwharf_lib::position::Position;
use chervilwharf_lib::protos::Failure;
use chervilwharf_lib::protos::Submit;
use chervilwharf_lib::protos::freshness;

use crate::answer::failure;
use crate::answer::failure_after;
use crate::answer::kind_of;
use crate::batch_reply::BatchError;
use crate::checkout;
use crate::checkout::ConnectionGuard;
use crate::checkout::SlotGuard;
use crate::confirm::NotConfirmed;
use crate::context::Context;
use crate::context::Shared;
use crate::databases::Interruption;
use crate::in_flight::InFlightKey;
use crate::serving::Serving;
use crate::serving::WorkGuard;
use crate::target::WRONG_TERM;
use crate::target::held_term;

/// A client's request as its owner processes it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Message in which the entry instance sent the request.
    pub submit: Submit,
    /// Database that the request is for.
    pub database: DatabaseId,
    /// Client account that sent the request.
    pub account: AccountId,
    /// Time by which the request must be answered.
    pub deadline: Instant,
    /// Priority in the slot queues of the servers, from the configuration of
    /// the request's service.
    pub priority: Priority,
    /// Its account and weight in the slot queues of the servers.
    pub flow: Flow,
    /// Condition under which a write may be acknowledged, from the
    /// configuration of the request's service.
    pub acknowledge: Acknowledge,
}

impl Request {
    /// Creates a request from a message that has just arrived; its deadline
    /// counts from now.
    #[must_use]
    pub fn new(context: &Context, submit: Submit) -> Self {
        let active = context.config();
        let service = active.config.services.get(submit.service.as_str());
        let account: AccountId = submit.account.as_str().into();
        Self {
            database: submit.database.as_str().into(),
            flow: active.flow(&account),
            account,
            deadline: Instant::now() + Duration::from_millis(submit.deadline_ms),
            priority: service.map_or(Priority::MAX, |service| service.priority),
            acknowledge: service.map(|service| service.acknowledge).unwrap_or_default(),
            submit,
        }
    }

    /// Request id, chosen by the client or its entry instance.
    #[must_use]
    pub fn id(&self) -> RequestId {
        self.submit.request_id.as_str().into()
    }

    /// Key of the request among the writes in progress.
    #[must_use]
    pub fn key(&self) -> InFlightKey {
        (self.account.clone(), self.id())
    }

    /// How recent the data of a read must be.
    #[must_use]
    pub fn freshness(&self) -> Freshness {
        let Some(wanted) = &self.submit.freshness else {
            return Freshness::OwnWrites;
        };
        match wanted.kind() {
            freshness::Kind::OwnWrites => Freshness::OwnWrites,
            freshness::Kind::Fresh => Freshness::Fresh,
            freshness::Kind::MaxAge => Freshness::MaxAge(Duration::from_millis(wanted.max_age_ms)),
        }
    }
}

/// Expected duration of a failover. A request waits at most this long for a
/// primary and is then refused with a time after which to retry.
pub const EXPECTED_FAILOVER_TIME: Duration = Duration::from_secs(3);

/// Interval at which a wait checks its condition even without a notification.
const RECHECK_INTERVAL: Duration = Duration::from_millis(20);

enum BeginDecision {
    Serve(Serving, WorkGuard),
    Wait,
    NotOwner,
    UnknownDatabase,
}

/// Waits until this instance serves the database, and counts the request as in
/// progress. Returns the term and primary to use.
///
/// # Errors
///
/// When another instance owns the database, when the database does not exist,
/// or when no primary is available before `deadline` or within
/// [`EXPECTED_FAILOVER_TIME`]. No part of the request has run in these cases.
pub async fn begin_work(
    context: &Shared,
    database: &DatabaseId,
    deadline: Instant,
    begins_transaction: bool,
    in_transaction: bool,
) -> Result<(Serving, WorkGuard), Failure> {
    let began = Instant::now();
    loop {
        let changed = context.databases.changed.notified();
        match try_begin_work(context, database, begins_transaction, in_transaction) {
            BeginDecision::Serve(serving, guard) => return Ok((serving, guard)),
            BeginDecision::NotOwner => return Err(not_owner(context, database)),
            BeginDecision::UnknownDatabase => return Err(failure(ErrorKind::UnknownDatabase)),
            BeginDecision::Wait => {}
        }
        let now = Instant::now();
        if now >= deadline || now.saturating_duration_since(began) >= EXPECTED_FAILOVER_TIME {
            return Err(failure(ErrorKind::NoPrimary));
        }
        let _ = tokio::time::timeout(RECHECK_INTERVAL, changed).await;
    }
}

fn try_begin_work(
    context: &Shared,
    database: &DatabaseId,
    begins_transaction: bool,
    in_transaction: bool,
) -> BeginDecision {
    let decision = context.databases.with_database(database, |state| {
        state.ownership.requested(Instant::now());
        if !state.ownership.owns_or_is_taking() {
            return BeginDecision::NotOwner;
        }
        let gate_closed = match state.gate {
            Gate::Open => false,
            Gate::NoNewTransactions => begins_transaction,
            Gate::Closed => !in_transaction,
        };
        let ready = !gate_closed && state.ledger_ready;
        let Some((term, primary)) = state.ownership.serving().filter(|_| ready) else {
            return BeginDecision::Wait;
        };
        let guard = WorkGuard::new(&context.databases, database, state);
        BeginDecision::Serve(Serving { term, primary }, guard)
    });
    decision.unwrap_or(BeginDecision::UnknownDatabase)
}

/// Builds the failure of a request that came to an instance that does not own
/// the database. The failure names the owner if this instance has a record of it.
#[must_use]
pub fn not_owner(context: &Context, database: &str) -> Failure {
    let membership = context.databases.instance.membership();
    let known = membership.owner(database).filter(|known| known.owner != membership.me().id);
    let mut failure = failure(ErrorKind::NotOwner);
    if let Some(known) = known {
        failure.owner = known.owner.to_string();
        failure.owner_term = known.term;
    }
    failure
}

/// Acquires an execution slot at a server and a connection to it.
///
/// # Errors
///
/// When the deadline passes or the term ends first, when the slot queue refuses
/// the request, or when no connection can be opened. No part of the request was
/// sent in these cases.
pub async fn acquire_slot_and_connection(
    context: &Shared,
    request: &Request,
    serving: &Serving,
    server: &TargetId,
) -> Result<(SlotGuard, ConnectionGuard), Failure> {
    let (database, deadline) = (&request.database, request.deadline);
    let acquire = async {
        let (databases, flow, priority) = (&context.databases, &request.flow, request.priority);
        let slot =
            checkout::acquire_slot(databases, database, server, flow, priority, deadline).await?;
        let guard = connect_and_declare_term(context, database, serving, server, deadline).await?;
        Ok((slot, guard))
    };
    flatten_interruption(
        context.databases.within_term(database, serving.term, deadline, acquire).await,
    )
}

fn flatten_interruption<T>(done: Result<Result<T, Failure>, Interruption>) -> Result<T, Failure> {
    match done {
        Ok(result) => result,
        Err(Interruption::TermOver) => Err(failure(ErrorKind::NoPrimary)),
        Err(Interruption::Late) => Err(failure(ErrorKind::DeadlineBeforeStart)),
    }
}

/// Acquires a connection to a server on which the term is declared.
///
/// # Errors
///
/// When the deadline passes or the term ends first, when no connection can be
/// opened, or when the server holds another term.
pub async fn connect(
    context: &Shared,
    database: &DatabaseId,
    serving: &Serving,
    server: &TargetId,
    deadline: Instant,
) -> Result<ConnectionGuard, Failure> {
    let connected = connect_and_declare_term(context, database, serving, server, deadline);
    flatten_interruption(
        context.databases.within_term(database, serving.term, deadline, connected).await,
    )
}

async fn connect_and_declare_term(
    context: &Shared,
    database: &DatabaseId,
    serving: &Serving,
    server: &TargetId,
    deadline: Instant,
) -> Result<ConnectionGuard, Failure> {
    loop {
        let mut guard = checkout::checkout(&context.databases, database, server, deadline).await?;
        if guard.get().term == serving.term {
            return Ok(guard);
        }
        let sql = format!("SELECT * FROM chervilwharf_use_term({})", serving.term);
        let steps = [crate::postgres::Step::internal(sql)];
        let declared = tokio::time::timeout_at(deadline.into(), guard.get().run(&steps)).await;
        match declared {
            Ok(Ok(_)) => {
                guard.get().term = serving.term;
                return Ok(guard);
            }
            // The server may have closed an idle connection: use the next one.
            Ok(Err(BatchError::Broken(_))) if Instant::now() < deadline => {}
            Ok(Err(error)) => return Err(batch_failure(context, database, serving, &error)),
            Err(_) => return Err(failure(ErrorKind::DeadlineBeforeStart)),
        }
    }
}

/// Turns the failure of a batch that has not committed into the answer to the
/// request. Reports a higher term at the server to the ownership state machine,
/// which then gives the database up.
#[must_use]
pub fn batch_failure(
    context: &Context,
    database: &DatabaseId,
    serving: &Serving,
    error: &BatchError,
) -> Failure {
    match error {
        BatchError::Refused { sqlstate, message, .. } if sqlstate == WRONG_TERM => {
            let held = held_term(message).map_or(0, |(term, _)| term);
            if held > serving.term {
                context.databases.handle_ownership(database, OwnershipEvent::HigherTerm(held));
                return not_owner(context, database);
            }
            failure(ErrorKind::NoPrimary)
        }
        BatchError::Refused { sqlstate, message, .. } => {
            crate::answer::refused_by_server(sqlstate, message)
        }
        BatchError::Broken(_) => failure(ErrorKind::NoPrimary),
        BatchError::TooLarge => failure(ErrorKind::ResultTooLarge),
    }
}

/// Waits until an answer that depends on the log up to `position` may be sent.
///
/// With `needs_confirmation` and [`Acknowledge::Replica`] a replica must have
/// received that position, so that the answer survives the loss of the primary.
/// In all cases a majority of the servers must have confirmed the term recently.
///
/// # Errors
///
/// When the deadline passes or the term ends before that.
pub async fn wait_until_answerable(
    context: &Shared,
    request: &Request,
    serving: &Serving,
    position: Position,
    needs_confirmation: bool,
) -> Result<(), NotConfirmed> {
    let (database, deadline) = (&request.database, request.deadline);
    if needs_confirmation && request.acknowledge == Acknowledge::Replica {
        let databases = &context.databases;
        context.confirmations.wait(databases, database, position, deadline).await?;
    }
    let current = wait_until_current(context, database, serving.term, deadline).await;
    current.map_err(|error| match kind_of(&error) {
        ErrorKind::NotOwner => NotConfirmed::TermOver,
        _ => NotConfirmed::Late,
    })
}

/// Waits until answers may be sent in `term`: a majority of the servers has
/// confirmed the term recently, and the previous owner can no longer answer
/// reads. The previous owner may answer until its own last confirmation
/// expires.
///
/// # Errors
///
/// When the term ends or the deadline passes first.
pub async fn wait_until_current(
    context: &Shared,
    database: &DatabaseId,
    term: Term,
    deadline: Instant,
) -> Result<(), Failure> {
    let mut waited = false;
    loop {
        let now = Instant::now();
        let state = context.databases.with_database(database, |state| {
            let (own, _) = state.ownership.serving()?;
            (own == term).then(|| state.ownership.is_current(now))
        });
        match state.flatten() {
            Some(true) => return Ok(()),
            None => return Err(not_owner(context, database)),
            Some(false) => {}
        }
        if !waited {
            waited = true;
            context.metrics.currency_waits.inc();
            // The servers of an idle database are probed rarely. A tick sends
            // the probes now instead of at the next interval.
            context.databases.handle_ownership(database, OwnershipEvent::Tick);
        }
        if now >= deadline {
            return Err(failure_after(ErrorKind::NoPrimary, EXPECTED_FAILOVER_TIME));
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}
