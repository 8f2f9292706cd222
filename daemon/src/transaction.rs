//! Interactive transactions at the owner: runs their statements and commits
//! them. Each transaction occupies one connection to the primary until it ends.

use std::time::Duration;
use std::time::Instant;

use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::ledger::LedgerOutcome;
use chervilwharf_lib::protos::Failure;
use chervilwharf_lib::protos::Result as StatementResult;

use crate::answer::failure;
use crate::answer::failure_with;
use crate::answer::kind_of;
use crate::batch_reply::BatchError;
use crate::checkout;
use crate::confirm::NotConfirmed;
use crate::context::Shared;
use crate::owner;
use crate::owner::Request;
use crate::postgres::Step;
use crate::target::UNIQUE_VIOLATION;
use crate::target::read_position;
use crate::transactions::OpenTransaction;
use crate::transactions::TransactionCount;
use crate::write;

tokio::task_local! {
    /// Link, a connection from another instance, over which the current request
    /// came.
    pub static LINK: u64;
}

fn current_link() -> u64 {
    LINK.try_with(|link| *link).unwrap_or(0)
}

/// Runs a statement of an interactive transaction.
///
/// # Errors
///
/// The failure for the client. A statement that the server refused leaves the
/// transaction open, in the aborted state. After any other failure the whole
/// transaction is rolled back.
pub async fn run(context: &Shared, request: &Request) -> Result<StatementResult, Failure> {
    let id = &request.submit.transaction_id;
    let (cell, is_new) = context.transactions.cell(id, current_link());
    let mut held = cell.lock().await;
    if held.is_none() {
        if !is_new || request.submit.resend || request.submit.continues {
            // The transaction was rolled back here, or it was held by an earlier
            // owner. A new transaction in its place would commit without the
            // earlier statements, and the client would take all of them as
            // committed.
            context.transactions.roll_back(id);
            return Err(failure(ErrorKind::TransactionLost));
        }
        match begin(context, request).await {
            Ok(transaction) => *held = Some(transaction),
            Err(failure) => {
                context.transactions.roll_back(id);
                return Err(failure);
            }
        }
    }
    let result = run_statement(context, request, held.as_mut()).await;
    if result.as_ref().is_err_and(|failure| kind_of(failure) != ErrorKind::ServerRefused) {
        *held = None;
        context.transactions.roll_back(id);
    }
    result
}

async fn begin(context: &Shared, request: &Request) -> Result<OpenTransaction, Failure> {
    let (database, deadline) = (&request.database, request.deadline);
    let (serving, work) = owner::begin_work(context, database, deadline, true, false).await?;
    let count = TransactionCount::new(&context.databases, database);
    let server = serving.primary.clone();
    let (_slot, mut guard) =
        owner::acquire_slot_and_connection(context, request, &serving, &server).await?;
    let steps = [Step::internal("BEGIN")];
    let run = guard.get().run(&steps);
    match context.databases.within_term(database, serving.term, deadline, run).await {
        Ok(Ok(_)) => {}
        Ok(Err(error)) => return Err(owner::batch_failure(context, database, &serving, &error)),
        Err(_) => return Err(failure(ErrorKind::DeadlineBeforeStart)),
    }
    Ok(OpenTransaction::new(guard, serving, work, count))
}

async fn run_statement(
    context: &Shared,
    request: &Request,
    held: Option<&mut OpenTransaction>,
) -> Result<StatementResult, Failure> {
    let lost = || failure(ErrorKind::TransactionLost);
    let transaction = held.ok_or_else(lost)?;
    let serving = transaction.serving.clone();
    let (database, deadline) = (&request.database, request.deadline);
    let _slot =
        checkout::acquire_slot_unconditionally(&context.databases, database, &serving.primary);
    let guard = transaction.guard.as_mut().ok_or_else(lost)?;
    let step = [write::statement_step(&request.submit)];
    let run = guard.get().run(&step);
    match context.databases.within_term(database, serving.term, deadline, run).await {
        Ok(Ok(mut results)) => Ok(results.swap_remove(0)),
        Ok(Err(BatchError::Broken(_))) | Err(_) => Err(lost()),
        Ok(Err(error)) => {
            let failure = owner::batch_failure(context, database, &serving, &error);
            match kind_of(&failure) {
                ErrorKind::NotOwner | ErrorKind::NoPrimary => Err(lost()),
                _ => Err(failure),
            }
        }
    }
}

/// Commits an interactive transaction together with its ledger row.
///
/// # Errors
///
/// The failure for the client. Its kind indicates whether the transaction may have
/// committed.
pub async fn commit(context: &Shared, request: &Request) -> Result<StatementResult, Failure> {
    let work = {
        let (context, request) = (context.clone(), request.clone());
        let committing = async move { commit_once(&context, &request).await };
        Box::pin(LINK.scope(current_link(), committing))
    };
    let digest = &request.submit.digest;
    context.in_flight.run_once(request.key(), digest, request.deadline, work).await
}

async fn commit_once(context: &Shared, request: &Request) -> Result<StatementResult, Failure> {
    let id = &request.submit.transaction_id;
    let (cell, _) = context.transactions.cell(id, current_link());
    let held = cell.lock().await.take();
    context.transactions.roll_back(id);
    let Some(mut transaction) = held else {
        // An earlier owner held the transaction, or it was idle for too long. An
        // earlier copy of this COMMIT may have succeeded, which only the ledger
        // shows.
        return resolve_commit(context, request).await;
    };
    let serving = transaction.serving.clone();
    let mut done = StatementResult { command_tag: "COMMIT".into(), ..StatementResult::default() };
    let ran = LedgerOutcome::Ran;
    let row = write::insert_step(request, &serving, ran, &request.submit.digest, Some(&done));
    let steps = write::commit_batch(row);
    let Some(guard) = transaction.guard.as_mut() else {
        return resolve_commit(context, request).await;
    };
    let run = guard.get().run(&steps);
    let limit = request.deadline;
    let run = context.databases.within_term(&request.database, serving.term, limit, run).await;
    let position = match run {
        Ok(Ok(results)) => results.get(2).and_then(read_position),
        Ok(Err(BatchError::Refused { step, sqlstate, message, .. })) if step < 2 => {
            if sqlstate == UNIQUE_VIOLATION {
                drop(transaction);
                // The refused step may be the insertion of the row, also if it is not the
                // first by the count of the replies. Without a row, COMMIT was refused.
                let is_in_ledger = step == 0
                    || !matches!(write::look_up(context, request, &serving).await, Ok(None));
                if is_in_ledger {
                    return resolve_commit(context, request).await;
                }
            }
            let error = BatchError::Refused { step, done: Vec::new(), sqlstate, message };
            let failure = owner::batch_failure(context, &request.database, &serving, &error);
            return Err(match kind_of(&failure) {
                ErrorKind::NotOwner | ErrorKind::NoPrimary => lost_at_commit(),
                _ => failure,
            });
        }
        _ => None,
    };
    // Returns the connection to the pool before the wait for the replica.
    drop(transaction);
    let Some(position) = position else {
        return resolve_commit(context, request).await;
    };
    match write::confirm_write(context, request, &serving, position).await {
        Ok(()) => {
            done.position_term = position.term;
            done.position_index = position.index;
            Ok(done)
        }
        Err(NotConfirmed::Late) => Err(failure(ErrorKind::OutcomeUnknown)),
        Err(NotConfirmed::TermOver) => resolve_commit(context, request).await,
    }
}

fn lost_at_commit() -> Failure {
    failure_with(ErrorKind::TransactionLost, "the primary changed before COMMIT; nothing was kept")
}

/// Determines from the ledger whether a transaction committed. If it did not,
/// writes a tombstone that keeps it from committing later.
async fn resolve_commit(context: &Shared, request: &Request) -> Result<StatementResult, Failure> {
    loop {
        let begun =
            owner::begin_work(context, &request.database, request.deadline, false, false).await;
        let (serving, _work) = begun.map_err(write::in_doubt)?;
        if let Ok(row) = write::look_up_or_cancel(context, request, &serving).await {
            let position = row.position_in(&serving);
            match write::confirm_write(context, request, &serving, position).await {
                Ok(()) if row.outcome == LedgerOutcome::Cancelled => {
                    return Err(lost_at_commit());
                }
                Ok(()) => return write::recorded_answer(&row, &request.submit.digest),
                Err(NotConfirmed::Late) => return Err(failure(ErrorKind::OutcomeUnknown)),
                Err(NotConfirmed::TermOver) => {}
            }
        }
        if Instant::now() + Duration::from_millis(10) >= request.deadline {
            return Err(failure(ErrorKind::OutcomeUnknown));
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
