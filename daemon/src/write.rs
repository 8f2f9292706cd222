//! Writes: run at most once, recorded in the ledger, confirmed by a replica.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::id::DatabaseId;
use chervilwharf_lib::id::Term;
use chervilwharf_lib::ledger;
use chervilwharf_lib::ledger::LedgerOutcome;
use chervilwharf_lib::position::Position;
use chervilwharf_lib::protos::Failure;
use chervilwharf_lib::protos::Result as StatementResult;
use chervilwharf_lib::protos::Submit;
use prost::Message;

use crate::answer::failure;
use crate::answer::failure_with;
use crate::answer::kind_of;
use crate::checkout::ConnectionGuard;
use crate::confirm::NotConfirmed;
use crate::context::Shared;
use crate::databases::Interruption;
use crate::metrics::since_epoch;
use crate::owner;
use crate::owner::Request;
use crate::postgres::BatchError;
use crate::postgres::Step;
use crate::postgres::number_value;
use crate::postgres::row_values;
use crate::serving::Serving;
use crate::target::UNIQUE_VIOLATION;
use crate::target::WRONG_TERM;
use crate::target::read_position;

/// Type of a text in PostgreSQL's catalogue.
const TEXT_OID: u32 = 25;

/// Type of a byte string in PostgreSQL's catalogue.
const BYTEA_OID: u32 = 17;

/// Type of a 64-bit integer in PostgreSQL's catalogue.
const INT8_OID: u32 = 20;

/// Pause before a request looks again for a primary that can serve it.
const RETRY_PAUSE: Duration = Duration::from_millis(10);

/// A row of the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerRow {
    /// What became of the request.
    pub outcome: LedgerOutcome,
    /// Fingerprint of its statement.
    pub digest: Vec<u8>,
    /// Its answer, if it was small enough to be kept.
    pub answer: Option<Vec<u8>>,
    /// Where it was committed.
    pub position: Position,
}

/// The caller's statement as a step of a batch.
#[must_use]
pub fn statement_step(submit: &Submit) -> Step {
    let parameters = submit.parameters.iter();
    Step {
        sql: submit.sql.clone(),
        parameters: parameters
            .map(|p| (!p.null).then(|| Bytes::copy_from_slice(&p.value)))
            .collect(),
        parameter_types: submit.parameter_type_oids.clone(),
        parameter_formats: formats(&submit.parameter_formats),
        result_formats: formats(&submit.result_formats),
        skip_columns: false,
    }
}

fn formats(codes: &[i32]) -> Vec<i16> {
    codes.iter().map(|code| i16::try_from(*code).unwrap_or(0)).collect()
}

/// Fingerprint of a statement with its parameters.
#[must_use]
pub fn digest_of(submit: &Submit) -> Vec<u8> {
    let parameters = submit.parameters.iter().map(|p| (!p.null).then_some(p.value.as_slice()));
    ledger::digest(&submit.sql, parameters)
}

/// Runs a write outside an interactive transaction.
///
/// # Errors
///
/// The failure for the caller; its kind says whether the write may have run.
pub async fn run(context: &Shared, request: &Request) -> Result<StatementResult, Failure> {
    let digest = digest_of(&request.submit);
    let work = {
        let (context, request) = (context.clone(), request.clone());
        let digest = digest.clone();
        Box::pin(async move { run_to_end(&context, &request, digest).await })
    };
    context.in_flight.run_once(request.key(), &digest, request.deadline, work).await
}

/// What one try of a write gave.
enum Tried {
    /// It committed here.
    Committed(StatementResult, Position),
    /// The ledger knows the request already.
    Known(LedgerRow),
    /// It did not run, and may be tried again.
    NotRun(Failure),
    /// It did not run, and trying again would give the same.
    Refused(Failure),
    /// It did not run: the statement got no answer for a suspiciously long
    /// time. Its connection may have gone silent.
    Stalled,
    /// COMMIT was sent and its answer is missing.
    Unknown,
}

/// A first try without an answer for this long is given up for a second one
/// on another connection, which may take all the time that is left.
const STALL_LIMIT: Duration = Duration::from_secs(1);

/// What is known of an earlier run of the same write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Doubt {
    /// None can have committed.
    None,
    /// COMMIT was sent in this term and its answer is missing.
    CommitSent(Term),
    /// The entry lost sight of a copy that it sent before, perhaps to an owner
    /// that is gone.
    SentBefore,
}

/// A write on its way, over as many tries as its deadline allows.
struct Progress {
    digest: Vec<u8>,
    doubt: Doubt,
    /// A first try stalled.
    stalled: bool,
}

impl Progress {
    fn new(digest: Vec<u8>, is_resent: bool) -> Self {
        let doubt = if is_resent { Doubt::SentBefore } else { Doubt::None };
        Self { digest, doubt, stalled: false }
    }

    /// The failure to give up with: never "not run" while that is not known.
    fn give_up(&self, failure: Failure) -> Failure {
        if self.doubt == Doubt::None {
            return failure;
        }
        in_doubt(failure)
    }
}

/// The failure of a request that may have run.
///
/// An owner that was succeeded cannot look into the ledger any more, but its
/// successor can: the entry is to ask there. Without that, callers would hear
/// "unknown" of each write that was at its COMMIT when its owner was replaced,
/// though the answer is one question away.
#[must_use]
pub fn in_doubt(failure: Failure) -> Failure {
    match kind_of(&failure) {
        ErrorKind::NotOwner => Failure { maybe_ran: true, ..failure },
        _ => crate::answer::failure(ErrorKind::OutcomeUnknown),
    }
}

async fn run_to_end(
    context: &Shared,
    request: &Request,
    digest: Vec<u8>,
) -> Result<StatementResult, Failure> {
    let mut progress = Progress::new(digest, request.submit.resend);
    loop {
        let entered =
            owner::enter(context, &request.database, request.deadline, false, false).await;
        let (serving, _work) = entered.map_err(|failure| progress.give_up(failure))?;
        let last = match try_in(context, request, &serving, &mut progress).await {
            Tried::Committed(result, position) => {
                match finish(context, request, &serving, position).await {
                    Ok(()) => return Ok(placed(result, position)),
                    Err(NotConfirmed::Late) => return Err(failure(ErrorKind::OutcomeUnknown)),
                    Err(NotConfirmed::TermOver) => progress.doubt = Doubt::CommitSent(serving.term),
                }
                failure(ErrorKind::OutcomeUnknown)
            }
            Tried::Known(row) => {
                match finish(context, request, &serving, row.position_in(&serving)).await {
                    Ok(()) => return recorded(&row, &progress.digest),
                    Err(NotConfirmed::Late) => return Err(failure(ErrorKind::OutcomeUnknown)),
                    Err(NotConfirmed::TermOver) => progress.doubt = Doubt::CommitSent(serving.term),
                }
                failure(ErrorKind::OutcomeUnknown)
            }
            Tried::Refused(failure) => return Err(progress.give_up(failure)),
            Tried::Unknown => {
                progress.doubt = Doubt::CommitSent(serving.term);
                failure(ErrorKind::OutcomeUnknown)
            }
            Tried::Stalled => {
                progress.stalled = true;
                failure(ErrorKind::DeadlineBeforeStart)
            }
            Tried::NotRun(failure) => failure,
        };
        if Instant::now() + RETRY_PAUSE >= request.deadline {
            return Err(progress.give_up(last));
        }
        context.metrics.retries.inc();
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// One try in the present term.
///
/// A COMMIT that got no answer in this very term may still be on its way: it
/// is settled by a tombstone. One of an earlier term can only have succeeded
/// if the new primary has it; its old session is fenced off for good, so a
/// look at the ledger settles it, and the write may run if it did not. A copy
/// that was sent before either joined this one, or ended here, or was at an
/// owner of an earlier term.
async fn try_in(
    context: &Shared,
    request: &Request,
    serving: &Serving,
    progress: &mut Progress,
) -> Tried {
    match progress.doubt {
        Doubt::None => {}
        Doubt::CommitSent(term) if term == serving.term => {
            return match settle_row(context, request, serving).await {
                Ok(row) => Tried::Known(row),
                Err(failure) => Tried::NotRun(failure),
            };
        }
        Doubt::CommitSent(_) | Doubt::SentBefore => {
            match look_up(context, request, serving).await {
                Ok(Some(row)) => return Tried::Known(row),
                Ok(None) => progress.doubt = Doubt::None,
                Err(failure) => return Tried::NotRun(failure),
            }
        }
    }
    try_once(context, request, serving, progress).await
}

impl LedgerRow {
    /// What has to be confirmed before this row may be relied upon. A row of
    /// an earlier term came through the promotion; the first entry of the
    /// present term, which every read of it waits for, covers it.
    #[must_use]
    pub fn position_in(&self, serving: &Serving) -> Position {
        if self.position.term == serving.term {
            self.position
        } else {
            Position::new(serving.term, 0)
        }
    }
}

fn placed(result: StatementResult, position: Position) -> StatementResult {
    StatementResult { position_term: position.term, position_index: position.index, ..result }
}

/// The answer of a request that is in the ledger.
///
/// # Errors
///
/// When it was cancelled, or the id was used for another statement.
pub fn recorded(row: &LedgerRow, digest: &[u8]) -> Result<StatementResult, Failure> {
    if row.outcome == LedgerOutcome::Cancelled {
        return Err(failure(ErrorKind::Cancelled));
    }
    if row.digest != digest {
        return Err(failure(ErrorKind::RequestIdReused));
    }
    let Some(bytes) = &row.answer else {
        return Err(failure_with(
            ErrorKind::AnswerNotKept,
            format!("the request ran at {}; its answer is too large to be kept", row.position),
        ));
    };
    let result =
        StatementResult::decode(bytes.as_slice()).map_err(|_| failure(ErrorKind::AnswerNotKept))?;
    Ok(StatementResult { from_ledger: true, ..placed(result, row.position) })
}

async fn try_once(
    context: &Shared,
    request: &Request,
    serving: &Serving,
    progress: &Progress,
) -> Tried {
    let (database, deadline) = (&request.database, request.deadline);
    let server = &serving.primary;
    let (_slot, mut guard) = match owner::reach(context, request, serving, server).await {
        Ok(reached) => reached,
        Err(failure) => return not_reached(failure),
    };
    let steps = [
        Step::own("BEGIN"),
        select_step(&request.account, &request.submit.request_id),
        statement_step(&request.submit),
    ];
    // Nothing of this batch commits: when it fails or its answer is missing,
    // the write did not run.
    let stall = Instant::now() + STALL_LIMIT;
    let limit = if progress.stalled { deadline } else { deadline.min(stall) };
    let run = guard.get().run(&steps);
    let run = context.databases.within_term(database, serving.term, limit, run).await;
    let result = match run {
        Ok(Ok(mut results)) => {
            if let Some(row) = results.get(1).and_then(read_row) {
                guard.end_transaction();
                return Tried::Known(row);
            }
            results.swap_remove(2)
        }
        Ok(Err(error)) => {
            guard.end_transaction();
            return refused(context, request, serving, &error);
        }
        Err(Interruption::TermOver) => return Tried::NotRun(failure(ErrorKind::NoPrimary)),
        Err(Interruption::Late) if limit < deadline => return Tried::Stalled,
        Err(Interruption::Late) => {
            return Tried::Refused(failure(ErrorKind::DeadlineBeforeStart));
        }
    };
    let ran = LedgerOutcome::Ran;
    let row = insert_step(request, serving, ran, &progress.digest, Some(&result));
    commit(context, request, serving, guard, row, result).await
}

/// Sorts the failure to get at the primary.
fn not_reached(failure: Failure) -> Tried {
    match kind_of(&failure) {
        ErrorKind::NotOwner | ErrorKind::NoPrimary => Tried::NotRun(failure),
        _ => Tried::Refused(failure),
    }
}

/// Sorts the failure of a batch that has not sent COMMIT.
fn refused(context: &Shared, request: &Request, serving: &Serving, error: &BatchError) -> Tried {
    if let BatchError::Refused { done, .. } = error {
        // The ledger was asked before the statement: a repeated request may
        // well fail now, and still has its first answer.
        if let Some(row) = done.get(1).and_then(read_row) {
            return Tried::Known(row);
        }
    }
    not_reached(owner::batch_failure(context, &request.database, serving, error))
}

/// Inserts the ledger row and commits, in one batch.
async fn commit(
    context: &Shared,
    request: &Request,
    serving: &Serving,
    mut guard: ConnectionGuard,
    row: Step,
    result: StatementResult,
) -> Tried {
    let steps = commit_batch(row);
    let sent_at = Instant::now();
    let limit = request.deadline.min(sent_at + STALL_LIMIT);
    let run = guard.get().run(&steps);
    let run = context.databases.within_term(&request.database, serving.term, limit, run).await;
    match run {
        Ok(Ok(results)) => match results.get(2).and_then(read_position) {
            Some(position) => {
                context.databases.with_database(&request.database, |state| {
                    let server = &serving.primary;
                    state.ownership.answered(server, serving.term, sent_at, position);
                });
                Tried::Committed(result, position)
            }
            None => Tried::Unknown,
        },
        Ok(Err(BatchError::Refused { step, sqlstate, message, .. })) => {
            guard.end_transaction();
            match (step, sqlstate.as_str()) {
                // Another copy, or a tombstone, came first: ask the ledger.
                (0, UNIQUE_VIOLATION) => Tried::Unknown,
                (0 | 1, WRONG_TERM) => {
                    let error = BatchError::Refused { step, done: Vec::new(), sqlstate, message };
                    let failure = owner::batch_failure(context, &request.database, serving, &error);
                    Tried::NotRun(failure)
                }
                (0 | 1, _) => Tried::Refused(crate::answer::refused_by_server(&sqlstate, &message)),
                _ => Tried::Unknown,
            }
        }
        // COMMIT is on its way and nobody knows how far it came.
        Ok(Err(_)) | Err(_) => Tried::Unknown,
    }
}

/// The last batch of every write: ledger row, COMMIT, position.
#[must_use]
pub fn commit_batch(row: Step) -> [Step; 3] {
    [row, Step::own("COMMIT"), Step::own("SELECT * FROM chervilwharf_position()")]
}

/// Looks a request up in the ledger of the present primary.
async fn look_up(
    context: &Shared,
    request: &Request,
    serving: &Serving,
) -> Result<Option<LedgerRow>, Failure> {
    let (database, deadline) = (&request.database, request.deadline);
    let mut guard = owner::connect(context, database, serving, &serving.primary, deadline).await?;
    let select = [select_step(&request.account, &request.submit.request_id)];
    let limit = deadline.min(Instant::now() + STALL_LIMIT);
    let run = guard.get().run(&select);
    match context.databases.within_term(database, serving.term, limit, run).await {
        Ok(Ok(results)) => Ok(results.first().and_then(read_row)),
        Ok(Err(error)) => Err(owner::batch_failure(context, database, serving, &error)),
        Err(_) => Err(failure(ErrorKind::NoPrimary)),
    }
}

/// The ledger's row of a request. Writes a tombstone if there is none: any
/// late arrival of the request then collides with it.
///
/// # Errors
///
/// When the primary cannot be asked. Nothing is settled then.
pub async fn settle_row(
    context: &Shared,
    request: &Request,
    serving: &Serving,
) -> Result<LedgerRow, Failure> {
    if let Some(row) = look_up(context, request, serving).await? {
        return Ok(row);
    }
    let (database, deadline) = (&request.database, request.deadline);
    let mut guard = owner::connect(context, database, serving, &serving.primary, deadline).await?;
    let tombstone = insert_step(request, serving, LedgerOutcome::Cancelled, &[], None);
    let mut steps = vec![Step::own("BEGIN")];
    steps.extend(commit_batch(tombstone));
    let run = guard.get().run(&steps);
    let written = context.databases.within_term(database, serving.term, deadline, run).await;
    match written {
        Ok(Ok(results)) => {
            let position = results.get(3).and_then(read_position);
            let position = position.ok_or_else(|| failure(ErrorKind::NoPrimary))?;
            Ok(LedgerRow {
                outcome: LedgerOutcome::Cancelled,
                digest: Vec::new(),
                answer: None,
                position,
            })
        }
        // The request committed just now, or the answer is missing: ask again.
        Ok(Err(error)) => {
            let failure = owner::batch_failure(context, database, serving, &error);
            guard.end_transaction();
            Err(failure)
        }
        Err(_) => Err(failure(ErrorKind::NoPrimary)),
    }
}

/// Waits until a write may be acknowledged.
///
/// # Errors
///
/// When that cannot be known before the deadline, or the term ends.
pub async fn finish(
    context: &Shared,
    request: &Request,
    serving: &Serving,
    position: Position,
) -> Result<(), NotConfirmed> {
    owner::wait_answerable(context, request, serving, position, true).await?;
    context.databases.with_database(&request.database, |state| {
        state.floors.acknowledged(position);
        state.floors.raise(&request.account, position);
    });
    Ok(())
}

fn select_step(account: &str, request_id: &str) -> Step {
    Step {
        // Outcome as text, the byte strings as they are, numbers as text.
        result_formats: vec![0, 1, 1, 0, 0],
        ..Step::own(ledger::SELECT_SQL)
            .with_text(account.to_owned())
            .with_text(request_id.to_owned())
            .with_types(&[TEXT_OID, TEXT_OID])
    }
}

/// The ledger row of a request.
#[must_use]
pub fn insert_step(
    request: &Request,
    serving: &Serving,
    outcome: LedgerOutcome,
    digest: &[u8],
    answer: Option<&StatementResult>,
) -> Step {
    let kept = answer
        .map(Message::encode_to_vec)
        .filter(|bytes| bytes.len() <= ledger::KEPT_ANSWER_LIMIT_BYTES);
    let at_ms = since_epoch().as_millis();
    Step::own(ledger::INSERT_SQL)
        .with_text(request.account.to_string())
        .with_text(request.submit.request_id.clone())
        .with_text(outcome.as_str())
        .with_bytes(Some(Bytes::copy_from_slice(digest)))
        .with_bytes(kept.map(Bytes::from))
        .with_text(serving.term.to_string())
        .with_text(at_ms.to_string())
        .with_types(&[TEXT_OID, TEXT_OID, TEXT_OID, BYTEA_OID, BYTEA_OID, INT8_OID, INT8_OID])
}

/// Reads a row of the ledger, if there is one.
#[must_use]
pub fn read_row(result: &StatementResult) -> Option<LedgerRow> {
    let values = row_values(result.rows.first()?);
    let bytes = |index: usize| values.get(index).cloned().flatten().map(|b| b.to_vec());
    let outcome = bytes(0).and_then(|text| String::from_utf8(text).ok())?;
    Some(LedgerRow {
        outcome: LedgerOutcome::from_text(&outcome)?,
        digest: bytes(1).unwrap_or_default(),
        answer: bytes(2),
        position: Position::new(number_value(&values, 3)?, number_value(&values, 4)?),
    })
}

/// Deletes ledger rows past their retention; their ids are refused by then.
///
/// # Errors
///
/// When the primary cannot be reached or refuses. The next round tries again.
pub async fn expire_ledger(
    context: &Shared,
    database: &DatabaseId,
    serving: &Serving,
    deadline: Instant,
) -> Result<(), Failure> {
    let oldest_ms = since_epoch().saturating_sub(ledger::RETENTION).as_millis();
    let step =
        Step::own(ledger::EXPIRE_SQL).with_text(oldest_ms.to_string()).with_types(&[INT8_OID]);
    run_own(context, database, serving, deadline, step).await
}

/// Creates the ledger if the database has none.
///
/// # Errors
///
/// When the primary cannot be reached or refuses.
pub async fn create_ledger(
    context: &Shared,
    database: &DatabaseId,
    serving: &Serving,
    deadline: Instant,
) -> Result<(), Failure> {
    run_own(context, database, serving, deadline, Step::own(ledger::CREATE_SQL)).await
}

/// Runs a statement of our own at the primary.
async fn run_own(
    context: &Shared,
    database: &DatabaseId,
    serving: &Serving,
    deadline: Instant,
    step: Step,
) -> Result<(), Failure> {
    let mut guard = owner::connect(context, database, serving, &serving.primary, deadline).await?;
    let steps = [step];
    let run = guard.get().run(&steps);
    match context.databases.within_term(database, serving.term, deadline, run).await {
        Ok(Ok(_)) => Ok(()),
        Ok(Err(error)) => Err(owner::batch_failure(context, database, serving, &error)),
        Err(_) => Err(failure(ErrorKind::NoPrimary)),
    }
}
