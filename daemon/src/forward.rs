//! Forwards requests from the entry instance to the owner of the database, and
//! retries them where that is safe.
//!
//! The owner is the one instance that serves a database. It may be the entry
//! instance itself, and it changes in a failover or a handover.

use std::time::Duration;
use std::time::Instant;

use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::error_kind::Outcome;
use chervilwharf_lib::floors::Freshness;
use chervilwharf_lib::id::InstanceId;
use chervilwharf_lib::instance::InstanceEvent;
use chervilwharf_lib::membership::OwnerRecord;
use chervilwharf_lib::protos::Describe;
use chervilwharf_lib::protos::Failure;
use chervilwharf_lib::protos::Freshness as WireFreshness;
use chervilwharf_lib::protos::Inquiry;
use chervilwharf_lib::protos::InquiryReply;
use chervilwharf_lib::protos::Result as StatementResult;
use chervilwharf_lib::protos::Rollback;
use chervilwharf_lib::protos::StatementKind;
use chervilwharf_lib::protos::Submit;
use chervilwharf_lib::protos::frame::Body;
use chervilwharf_lib::protos::freshness::Kind;

use crate::answer::failure;
use crate::answer::from_answer;
use crate::answer::kind_of;
use crate::context::Shared;
use crate::dispatch;
use crate::inquiry;
use crate::link::LinkError;
use crate::owner::EXPECTED_FAILOVER_TIME;

/// Longest delay before a retry with a new lookup of the owner.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// The deadline at the owner is this much earlier than that of the client, so that
/// the owner's answer arrives in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(20);

/// Time limit of an inquiry about the outcome of a request.
const INQUIRY_TIMEOUT: Duration = Duration::from_secs(6);

/// Converts a freshness requirement into its message.
#[must_use]
pub fn freshness_to_wire(freshness: Freshness) -> WireFreshness {
    let (kind, age) = match freshness {
        Freshness::OwnWrites => (Kind::OwnWrites, Duration::ZERO),
        Freshness::Fresh => (Kind::Fresh, Duration::ZERO),
        Freshness::MaxAge(age) => (Kind::MaxAge, age),
    };
    let max_age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
    WireFreshness { kind: kind.into(), max_age_ms }
}

/// Owner of a database, according to the ownership records of this instance.
enum Owner {
    /// This instance owns the database or is taking it over.
    Local,
    /// Another instance owns the database.
    Remote(InstanceId),
    Unknown,
}

fn find_owner(context: &Shared, database: &str) -> Owner {
    let owned_locally = context
        .databases
        .with_database(database, |state| state.ownership.owns_or_is_taking())
        .unwrap_or(false);
    if owned_locally {
        return Owner::Local;
    }
    let membership = context.databases.instance.membership();
    match membership.owner(database) {
        Some(record) if record.owner == membership.me().id => Owner::Unknown,
        Some(record) => Owner::Remote(record.owner.clone()),
        None => Owner::Unknown,
    }
}

/// Outcome of one attempt to send a request to the owner.
enum SendOutcome {
    Answered(Result<StatementResult, Failure>),
    /// The request did not reach an owner.
    NotSent,
    /// The request may have reached an owner, but no answer arrived.
    AnswerLost,
}

async fn send_once(context: &Shared, submit: &Submit, deadline: Instant) -> SendOutcome {
    let owner = find_owner(context, &submit.database);
    match owner {
        Owner::Local => {
            // The future is boxed, since every idle session would hold its space
            // otherwise.
            let answer = Box::pin(dispatch::serve(context.clone(), submit.clone())).await;
            SendOutcome::Answered(from_answer(answer))
        }
        Owner::Unknown => SendOutcome::NotSent,
        Owner::Remote(instance) => {
            let wait = deadline.saturating_duration_since(Instant::now()) + ANSWER_MARGIN;
            let body = Body::Submit(submit.clone());
            match context.links.call(&instance, body, wait).await {
                Ok(Body::Answer(answer)) => SendOutcome::Answered(from_answer(answer)),
                Err(LinkError::NotSent) => SendOutcome::NotSent,
                Ok(_) | Err(LinkError::Broken | LinkError::TimedOut) => SendOutcome::AnswerLost,
            }
        }
    }
}

/// Records the owner of the database that a failure names, if it names one.
fn record_owner(context: &Shared, database: &str, failure: &Failure) {
    if failure.owner.is_empty() {
        return;
    }
    let owner = failure.owner.as_str().into();
    let record = OwnerRecord { owner, term: failure.owner_term };
    let database = database.into();
    context.databases.handle(InstanceEvent::OwnerKnown { database, record });
}

/// Sends a request to the owner of its database, with retries until its deadline,
/// and returns the answer for the client.
///
/// # Errors
///
/// The failure for the client. It reports a write as not run only if no owner can
/// have started it, or if an owner reported that it did not run.
pub async fn submit(context: &Shared, mut submit: Submit) -> Result<StatementResult, Failure> {
    let deadline = Instant::now() + Duration::from_millis(submit.deadline_ms);
    let started_at = Instant::now();
    let mut maybe_running = false;
    context.retry_budget.lock().expect("never poisoned").record_request();
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        submit.deadline_ms =
            u64::try_from(remaining.saturating_sub(ANSWER_MARGIN).as_millis()).unwrap_or(u64::MAX);
        submit.resend = maybe_running;
        let last_failure = match send_once(context, &submit, deadline).await {
            SendOutcome::Answered(Ok(result)) => return Ok(result),
            SendOutcome::Answered(Err(failure)) => {
                if !should_retry(&failure) {
                    return Err(failure);
                }
                record_owner(context, &submit.database, &failure);
                maybe_running |= failure.maybe_ran;
                failure
            }
            SendOutcome::NotSent => failure(ErrorKind::NoPrimary),
            SendOutcome::AnswerLost => {
                if submit.kind() == StatementKind::InTransaction {
                    return Err(failure(ErrorKind::TransactionLost));
                }
                maybe_running = true;
                if !context.retry_budget.lock().expect("never poisoned").try_retry() {
                    return Err(final_failure(&submit, failure(ErrorKind::OutcomeUnknown), true));
                }
                failure(ErrorKind::OutcomeUnknown)
            }
        };
        let now = Instant::now();
        let deadline_near = now + RETRY_INTERVAL >= deadline;
        // Without an owner for longer than a failover takes, the client gets the
        // failure now instead of at its deadline.
        let failover_overdue =
            now.saturating_duration_since(started_at) >= EXPECTED_FAILOVER_TIME && !maybe_running;
        if deadline_near || failover_overdue {
            return Err(final_failure(&submit, last_failure, maybe_running));
        }
        context.metrics.retries.inc();
        let changed = context.databases.changed.notified();
        let _ = tokio::time::timeout(RETRY_INTERVAL, changed).await;
    }
}

/// Returns the failure for the client after the last attempt. A write that may be
/// running at some owner is never reported as not run. A read changes nothing, so
/// a read of unknown outcome is reported as not run and may be repeated.
fn final_failure(submit: &Submit, last_failure: Failure, maybe_running: bool) -> Failure {
    let is_read = submit.kind() == StatementKind::Read;
    if maybe_running && !is_read {
        return failure(ErrorKind::OutcomeUnknown);
    }
    if is_read && kind_of(&last_failure).rule().outcome == Outcome::Unknown {
        return failure(ErrorKind::NoPrimary);
    }
    last_failure
}

fn should_retry(failure: &Failure) -> bool {
    matches!(kind_of(failure), ErrorKind::NotOwner | ErrorKind::Stopping)
}

/// Asks the owner for the parameter and column types of a statement.
///
/// # Errors
///
/// The failure for the client.
pub async fn describe(context: &Shared, describe: Describe) -> Result<StatementResult, Failure> {
    let deadline = Instant::now() + Duration::from_millis(describe.deadline_ms);
    loop {
        let answer = match find_owner(context, &describe.database) {
            Owner::Local => {
                Some(Box::pin(dispatch::describe(context.clone(), describe.clone())).await)
            }
            Owner::Unknown => None,
            Owner::Remote(instance) => {
                let body = Body::Describe(describe.clone());
                let wait = deadline.saturating_duration_since(Instant::now());
                match context.links.call(&instance, body, wait).await {
                    Ok(Body::Answer(answer)) => Some(answer),
                    _ => None,
                }
            }
        };
        let last_failure = match answer.map(from_answer) {
            Some(Ok(result)) => return Ok(result),
            Some(Err(failure)) if !should_retry(&failure) => return Err(failure),
            Some(Err(failure)) => {
                record_owner(context, &describe.database, &failure);
                failure
            }
            None => failure(ErrorKind::NoPrimary),
        };
        if Instant::now() + RETRY_INTERVAL >= deadline {
            return Err(last_failure);
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

/// Rolls back an interactive transaction at the owner that holds it.
pub async fn roll_back(context: &Shared, database: &str, transaction_id: &str) {
    match find_owner(context, database) {
        Owner::Local => context.transactions.roll_back(transaction_id),
        Owner::Remote(instance) => {
            let rollback = Rollback {
                database: database.to_owned(),
                transaction_id: transaction_id.to_owned(),
            };
            context.links.send(&instance, Body::Rollback(rollback)).await;
        }
        // The owner is gone, and its transactions ended with it.
        Owner::Unknown => {}
    }
}

/// Asks the owner for the outcome of a request. The reply carries a failure if no
/// owner answers in time.
pub async fn inquire(context: &Shared, inquiry: Inquiry) -> InquiryReply {
    let deadline = Instant::now() + INQUIRY_TIMEOUT;
    loop {
        let reply = match find_owner(context, &inquiry.database) {
            Owner::Local => Some(inquiry::answer(context.clone(), inquiry.clone()).await),
            Owner::Unknown => None,
            Owner::Remote(instance) => {
                let body = Body::Inquiry(inquiry.clone());
                let wait = deadline.saturating_duration_since(Instant::now());
                match context.links.call(&instance, body, wait).await {
                    Ok(Body::InquiryReply(reply)) => Some(reply),
                    _ => None,
                }
            }
        };
        let retry = match &reply {
            None => true,
            Some(reply) => reply.failure.as_ref().is_some_and(|failure| {
                record_owner(context, &inquiry.database, failure);
                should_retry(failure)
            }),
        };
        match reply {
            Some(reply) if !retry => return reply,
            _ if Instant::now() + RETRY_INTERVAL >= deadline => {
                let failure = Some(failure(ErrorKind::NoPrimary));
                return InquiryReply { failure, ..InquiryReply::default() };
            }
            _ => tokio::time::sleep(RETRY_INTERVAL).await,
        }
    }
}
