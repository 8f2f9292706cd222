//! Builds failures and answers of requests, and translates failures into
//! PostgreSQL errors for clients.

use std::time::Duration;

use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::error_kind::Outcome;
use chervilwharf_lib::protos::Answer;
use chervilwharf_lib::protos::Failure;
use chervilwharf_lib::protos::Result as StatementResult;
use chervilwharf_lib::protos::answer;
use pgwire::error::ErrorInfo;
use pgwire::error::PgWireError;

/// Creates a failure with the standard message of its kind.
#[must_use]
pub fn failure(kind: ErrorKind) -> Failure {
    Failure { kind: kind.name().to_owned(), message: kind.to_string(), ..Failure::default() }
}

/// Creates a failure with a message that differs from that of its kind.
#[must_use]
pub fn failure_with(kind: ErrorKind, message: impl Into<String>) -> Failure {
    Failure { message: message.into(), ..failure(kind) }
}

/// Creates a failure with an estimate of when a retry can succeed.
#[must_use]
pub fn failure_after(kind: ErrorKind, retry_after: Duration) -> Failure {
    let retry_after_ms = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX).max(1);
    Failure { retry_after_ms, ..failure(kind) }
}

/// Creates the failure of a statement that a database server refused.
#[must_use]
pub fn refused_by_server(sqlstate: &str, message: &str) -> Failure {
    Failure {
        server_sqlstate: sqlstate.to_owned(),
        ..failure_with(ErrorKind::ServerRefused, message)
    }
}

/// Wraps a result or a failure in the message that goes back to the entry
/// instance.
#[must_use]
pub fn to_answer(result: Result<StatementResult, Failure>) -> Answer {
    let outcome = match result {
        Ok(result) => answer::Outcome::Result(result),
        Err(failure) => answer::Outcome::Failure(failure),
    };
    Answer { outcome: Some(outcome) }
}

/// Unwraps an answer. An empty answer is a fault of the sender and has no information
/// about the request, so it becomes [`ErrorKind::OutcomeUnknown`].
///
/// # Errors
///
/// The failure in the answer.
pub fn from_answer(answer: Answer) -> Result<StatementResult, Failure> {
    match answer.outcome {
        Some(answer::Outcome::Result(result)) => Ok(result),
        Some(answer::Outcome::Failure(failure)) => Err(failure),
        None => Err(failure(ErrorKind::OutcomeUnknown)),
    }
}

/// Returns the kind of a failure.
#[must_use]
pub fn kind_of(failure: &Failure) -> ErrorKind {
    ErrorKind::from_name(&failure.kind)
}

/// Translates a failure into the PostgreSQL error for the client.
///
/// The detail field states whether the request may have run, the hint field when to
/// retry.
#[must_use]
pub fn to_wire(failure: &Failure, request_id: Option<&str>) -> PgWireError {
    let kind = kind_of(failure);
    let rule = kind.rule();
    let sqlstate = if failure.server_sqlstate.is_empty() {
        rule.sqlstate.to_owned()
    } else {
        failure.server_sqlstate.clone()
    };
    let mut info = ErrorInfo::new("ERROR".into(), sqlstate, failure.message.clone());
    let outcome = match rule.outcome {
        Outcome::NotRun => "not run",
        Outcome::Unknown => "unknown",
    };
    let request = request_id.map(|id| format!(" request_id={id}")).unwrap_or_default();
    info.detail = Some(format!("outcome={outcome} kind={}{request}", kind.name()));
    if kind == ErrorKind::Stopping {
        // The severity FATAL indicates that the connection closes after this error.
        "FATAL".clone_into(&mut info.severity);
    }
    info.hint = retry_hint(failure, rule.retry_after, rule.outcome);
    PgWireError::UserError(Box::new(info))
}

fn retry_hint(failure: &Failure, default: Option<Duration>, outcome: Outcome) -> Option<String> {
    let own = (failure.retry_after_ms > 0).then(|| Duration::from_millis(failure.retry_after_ms));
    let after_ms = own.or(default)?.as_millis();
    Some(match outcome {
        Outcome::NotRun => format!("retry_after_ms={after_ms}"),
        Outcome::Unknown => {
            format!("retry_after_ms={after_ms} with the same request id, or ask what became of it")
        }
    })
}
