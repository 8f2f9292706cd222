//! The owner's side of a request: finds out whether it can be served here, and
//! gets at the servers.

use std::time::Duration;
use std::time::Instant;

use chervilwharf_lib::admission::Priority;
use chervilwharf_lib::config::Acknowledge;
use chervilwharf_lib::error_kind::ErrorKind;
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
use crate::checkout;
use crate::checkout::ConnectionGuard;
use crate::checkout::SlotGuard;
use crate::confirm::NotConfirmed;
use crate::context::Context;
use crate::context::Shared;
use crate::databases::Interruption;
use crate::in_flight::InFlightKey;
use crate::postgres::BatchError;
use crate::serving::Serving;
use crate::serving::WorkGuard;
use crate::target::WRONG_TERM;
use crate::target::held_term;

/// A request as the owner works on it.
#[derive(Clone, Debug)]
pub struct Request {
    /// The message it came in.
    pub submit: Submit,
    /// Its database.
    pub database: DatabaseId,
    /// Its account.
    pub account: AccountId,
    /// When it has to be answered.
    pub deadline: Instant,
    /// Place in the queues.
    pub priority: Priority,
    /// When a write counts as done.
    pub acknowledge: Acknowledge,
}

impl Request {
    /// A request that has arrived now.
    #[must_use]
    pub fn new(context: &Context, submit: Submit) -> Self {
        let active = context.config();
        let service = active.config.services.get(submit.service.as_str());
        Self {
            database: submit.database.as_str().into(),
            account: submit.account.as_str().into(),
            deadline: Instant::now() + Duration::from_millis(submit.deadline_ms),
            priority: service.map_or(Priority::MAX, |service| service.priority),
            acknowledge: service.map(|service| service.acknowledge).unwrap_or_default(),
            submit,
        }
    }

    /// Name of the request.
    #[must_use]
    pub fn id(&self) -> RequestId {
        self.submit.request_id.as_str().into()
    }

    /// Names it among the writes in progress.
    #[must_use]
    pub fn key(&self) -> InFlightKey {
        (self.account.clone(), self.id())
    }

    /// How current its read must be.
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

/// A request waits this long for a primary. Beyond the expected length of a
/// failover it is refused at once, with a hint when to come back.
pub const EXPECTED_FAILOVER_TIME: Duration = Duration::from_secs(3);

/// How often a wait looks again even when nothing was announced.
const LOOK_AGAIN: Duration = Duration::from_millis(20);

enum Entrance {
    Go(Serving, WorkGuard),
    Wait,
    NotOurs,
    Unknown,
}

/// Waits until the database can be served here.
///
/// # Errors
///
/// When another instance owns it, or no primary comes in time. Nothing has
/// run then.
pub async fn enter(
    context: &Shared,
    database: &DatabaseId,
    deadline: Instant,
    begins_transaction: bool,
    in_transaction: bool,
) -> Result<(Serving, WorkGuard), Failure> {
    let began = Instant::now();
    loop {
        let changed = context.databases.changed.notified();
        match try_enter(context, database, begins_transaction, in_transaction) {
            Entrance::Go(serving, guard) => return Ok((serving, guard)),
            Entrance::NotOurs => return Err(not_owner(context, database)),
            Entrance::Unknown => return Err(failure(ErrorKind::UnknownDatabase)),
            Entrance::Wait => {}
        }
        let now = Instant::now();
        if now >= deadline || now.saturating_duration_since(began) >= EXPECTED_FAILOVER_TIME {
            return Err(failure(ErrorKind::NoPrimary));
        }
        let _ = tokio::time::timeout(LOOK_AGAIN, changed).await;
    }
}

fn try_enter(
    context: &Shared,
    database: &DatabaseId,
    begins_transaction: bool,
    in_transaction: bool,
) -> Entrance {
    let entrance = context.databases.with_database(database, |state| {
        state.ownership.requested(Instant::now());
        if !state.ownership.owns_or_is_taking() {
            return Entrance::NotOurs;
        }
        let shut = match state.gate {
            Gate::Open => false,
            Gate::NoNewTransactions => begins_transaction,
            Gate::Closed => !in_transaction,
        };
        let ready = !shut && state.ledger_ready;
        let Some((term, primary)) = state.ownership.serving().filter(|_| ready) else {
            return Entrance::Wait;
        };
        let guard = WorkGuard::new(&context.databases, database, state);
        Entrance::Go(Serving { term, primary }, guard)
    });
    entrance.unwrap_or(Entrance::Unknown)
}

/// Names the owner as far as we know it.
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

/// Gets a slot and a connection at a server, for as long as the term lasts.
///
/// # Errors
///
/// When they cannot be had before the deadline or the term ends. Nothing was
/// sent then.
pub async fn reach(
    context: &Shared,
    request: &Request,
    serving: &Serving,
    server: &TargetId,
) -> Result<(SlotGuard, ConnectionGuard), Failure> {
    let (database, deadline) = (&request.database, request.deadline);
    let both = async {
        let priority = request.priority;
        let slot = checkout::acquire_slot(&context.databases, database, server, priority, deadline)
            .await?;
        let guard = connect_now(context, database, serving, server, deadline).await?;
        Ok((slot, guard))
    };
    or_interrupted(context.databases.within_term(database, serving.term, deadline, both).await)
}

fn or_interrupted<T>(done: Result<Result<T, Failure>, Interruption>) -> Result<T, Failure> {
    match done {
        Ok(result) => result,
        Err(Interruption::TermOver) => Err(failure(ErrorKind::NoPrimary)),
        Err(Interruption::Late) => Err(failure(ErrorKind::DeadlineBeforeStart)),
    }
}

/// Gets a connection on which our term is declared, for as long as the term
/// lasts.
///
/// # Errors
///
/// When none can be had, or the server holds another term.
pub async fn connect(
    context: &Shared,
    database: &DatabaseId,
    serving: &Serving,
    server: &TargetId,
    deadline: Instant,
) -> Result<ConnectionGuard, Failure> {
    let connected = connect_now(context, database, serving, server, deadline);
    or_interrupted(context.databases.within_term(database, serving.term, deadline, connected).await)
}

async fn connect_now(
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
        let steps = [crate::postgres::Step::own(sql)];
        let declared = tokio::time::timeout_at(deadline.into(), guard.get().run(&steps)).await;
        match declared {
            Ok(Ok(_)) => {
                guard.get().term = serving.term;
                return Ok(guard);
            }
            // An idle connection may have been closed long ago: the next one.
            Ok(Err(BatchError::Broken(_))) if Instant::now() < deadline => {}
            Ok(Err(error)) => return Err(batch_failure(context, database, serving, &error)),
            Err(_) => return Err(failure(ErrorKind::DeadlineBeforeStart)),
        }
    }
}

/// Turns a failed batch into an answer for a request that did not run, and
/// tells the decisions of a higher term.
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

/// Waits until an answer seen at `position` may be given: it survives the
/// loss of the primary, and the database is still ours.
///
/// # Errors
///
/// When that cannot be known before the deadline, or the term ends.
pub async fn wait_answerable(
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

/// Waits until answers may be given: a new owner lets the currency of the
/// earlier one run out first.
///
/// # Errors
///
/// When the term ends or the deadline passes.
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
            // An idle database is probed seldom; ask now instead of waiting.
            context.databases.handle_ownership(database, OwnershipEvent::Tick);
        }
        if now >= deadline {
            return Err(failure_after(ErrorKind::NoPrimary, EXPECTED_FAILOVER_TIME));
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}
