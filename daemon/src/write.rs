//! Writes outside interactive transactions, at the owner of the database.
//!
//! Each write runs at most once. The ledger, a table in the written database,
//! gets one row per request id in the transaction of the write, so that a
//! repeated request is answered from the ledger. A write is acknowledged once a
//! replica has received it, if the service is configured so.

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
use crate::batch_reply::BatchError;
use crate::batch_reply::number_value;
use crate::batch_reply::row_values;
use crate::checkout::ConnectionGuard;
use crate::confirm::NotConfirmed;
use crate::context::Shared;
use crate::databases::Interruption;
use crate::metrics::since_epoch;
use crate::owner;
use crate::owner::Request;
use crate::postgres::Step;
use crate::serving::Serving;
use crate::target::UNIQUE_VIOLATION;
use crate::target::WRONG_TERM;
use crate::target::read_position;

/// Object id of the type `text` in PostgreSQL's catalogue.
const TEXT_OID: u32 = 25;

/// Object id of the type `bytea` in PostgreSQL's catalogue.
const BYTEA_OID: u32 = 17;

/// Object id of the type `int8` in PostgreSQL's catalogue.
const INT8_OID: u32 = 20;

/// Delay before the next attempt of a write.
const RETRY_PAUSE: Duration = Duration::from_millis(10);

/// A row of the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerRow {
    /// Whether the request ran or was cancelled.
    pub outcome: LedgerOutcome,
    /// Digest of the statement and its parameters.
    pub digest: Vec<u8>,
    /// Encoded answer, if it was small enough to be stored.
    pub answer: Option<Vec<u8>>,
    /// Log position at which the row was committed.
    pub position: Position,
}

/// Builds the batch step for the client's statement.
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

/// Digest of a statement and its parameters.
#[must_use]
pub fn digest_of(submit: &Submit) -> Vec<u8> {
    let parameters = submit.parameters.iter().map(|p| (!p.null).then_some(p.value.as_slice()));
    ledger::digest(&submit.sql, parameters)
}

/// Runs a write outside an interactive transaction.
///
/// # Errors
///
/// The failure for the client. Its kind indicates whether the write may have run.
pub async fn run(context: &Shared, request: &Request) -> Result<StatementResult, Failure> {
    let digest = digest_of(&request.submit);
    let work = {
        let (context, request) = (context.clone(), request.clone());
        let digest = digest.clone();
        Box::pin(async move { run_with_retries(&context, &request, digest).await })
    };
    context.in_flight.run_once(request.key(), &digest, request.deadline, work).await
}

/// Result of one attempt of a write.
enum AttemptResult {
    /// The write committed in this attempt.
    Committed(StatementResult, Position),
    /// The ledger already has a row of the request.
    InLedger(LedgerRow),
    /// The write did not run and may be retried.
    NotRun(Failure),
    /// The write did not run, and a retry would fail in the same way.
    Refused(Failure),
    /// The write did not run: the statement got no answer within
    /// [`STALL_LIMIT`]. The connection may be dead.
    Stalled,
    /// COMMIT was sent but not answered: the write may have run.
    Unknown,
}

/// An attempt without an answer for this long is abandoned, and the write is
/// retried on another connection. Once the statement has stalled, a retry may
/// run it until the deadline of the request.
const STALL_LIMIT: Duration = Duration::from_secs(1);

/// Whether an earlier attempt of the same write may have committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PossibleCommit {
    /// No earlier attempt can have committed.
    None,
    /// COMMIT was sent in this term but not answered.
    CommitSent(Term),
    /// The entry instance sent the request before, perhaps to an earlier owner,
    /// and has not received its outcome.
    SentEarlier,
}

/// State of a write that is kept from one attempt to the next.
struct Progress {
    digest: Vec<u8>,
    possible_commit: PossibleCommit,
    /// An attempt stalled.
    stalled: bool,
}

impl Progress {
    fn new(digest: Vec<u8>, is_resent: bool) -> Self {
        let possible_commit =
            if is_resent { PossibleCommit::SentEarlier } else { PossibleCommit::None };
        Self { digest, possible_commit, stalled: false }
    }

    /// Returns the failure to report to the client when no further attempt is
    /// made. Its kind indicates "not run" only if no attempt can have committed.
    fn give_up(&self, failure: Failure) -> Failure {
        if self.possible_commit == PossibleCommit::None {
            return failure;
        }
        in_doubt(failure)
    }
}

/// Turns `failure` into the failure of a request that may have run.
///
/// An owner that was replaced cannot read the ledger any more, but the new
/// owner can, so the entry instance resends the request there. Otherwise every
/// write whose COMMIT was in progress when its owner was replaced would get the
/// outcome "unknown", although one lookup at the new owner resolves it.
#[must_use]
pub fn in_doubt(failure: Failure) -> Failure {
    match kind_of(&failure) {
        ErrorKind::NotOwner => Failure { maybe_ran: true, ..failure },
        _ => crate::answer::failure(ErrorKind::OutcomeUnknown),
    }
}

async fn run_with_retries(
    context: &Shared,
    request: &Request,
    digest: Vec<u8>,
) -> Result<StatementResult, Failure> {
    let mut progress = Progress::new(digest, request.submit.resend);
    loop {
        let begun =
            owner::begin_work(context, &request.database, request.deadline, false, false).await;
        let (serving, _work) = begun.map_err(|failure| progress.give_up(failure))?;
        let last = match try_in_term(context, request, &serving, &mut progress).await {
            AttemptResult::Committed(result, position) => {
                match confirm_write(context, request, &serving, position).await {
                    Ok(()) => return Ok(with_position(result, position)),
                    Err(NotConfirmed::Late) => return Err(failure(ErrorKind::OutcomeUnknown)),
                    Err(NotConfirmed::TermOver) => {
                        progress.possible_commit = PossibleCommit::CommitSent(serving.term);
                    }
                }
                failure(ErrorKind::OutcomeUnknown)
            }
            AttemptResult::InLedger(row) => {
                match confirm_write(context, request, &serving, row.position_in(&serving)).await {
                    Ok(()) => return recorded_answer(&row, &progress.digest),
                    Err(NotConfirmed::Late) => return Err(failure(ErrorKind::OutcomeUnknown)),
                    Err(NotConfirmed::TermOver) => {
                        progress.possible_commit = PossibleCommit::CommitSent(serving.term);
                    }
                }
                failure(ErrorKind::OutcomeUnknown)
            }
            AttemptResult::Refused(failure) => return Err(progress.give_up(failure)),
            AttemptResult::Unknown => {
                progress.possible_commit = PossibleCommit::CommitSent(serving.term);
                failure(ErrorKind::OutcomeUnknown)
            }
            AttemptResult::Stalled => {
                progress.stalled = true;
                failure(ErrorKind::DeadlineBeforeStart)
            }
            AttemptResult::NotRun(failure) => failure,
        };
        if Instant::now() + RETRY_PAUSE >= request.deadline {
            return Err(progress.give_up(last));
        }
        context.metrics.retries.inc();
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Makes one attempt in the current term, after resolving what earlier attempts
/// may have committed.
///
/// A COMMIT of the current term that got no answer may still reach the server.
/// A tombstone, a ledger row that cancels the request, keeps it from
/// committing. A COMMIT of an earlier term has succeeded only if the new primary
/// has it, since the servers refuse the old session from the fence on. A lookup
/// in the ledger therefore decides whether the write may run. The same holds
/// for a copy that the entry instance sent before: it either joined this
/// request, ended here, or was at the owner of an earlier term.
async fn try_in_term(
    context: &Shared,
    request: &Request,
    serving: &Serving,
    progress: &mut Progress,
) -> AttemptResult {
    match progress.possible_commit {
        PossibleCommit::None => {}
        PossibleCommit::CommitSent(term) if term == serving.term => {
            return match look_up_or_cancel(context, request, serving).await {
                Ok(row) => AttemptResult::InLedger(row),
                Err(failure) => AttemptResult::NotRun(failure),
            };
        }
        PossibleCommit::CommitSent(_) | PossibleCommit::SentEarlier => {
            match look_up(context, request, serving).await {
                Ok(Some(row)) => return AttemptResult::InLedger(row),
                Ok(None) => progress.possible_commit = PossibleCommit::None,
                Err(failure) => return AttemptResult::NotRun(failure),
            }
        }
    }
    try_once(context, request, serving, progress).await
}

impl LedgerRow {
    /// Log position that must be confirmed before an answer may rely on this
    /// row. A row of an earlier term reached the current primary before its
    /// promotion. The first entry of the current term covers it, and every read
    /// in the current term waits for that entry.
    #[must_use]
    pub fn position_in(&self, serving: &Serving) -> Position {
        if self.position.term == serving.term {
            self.position
        } else {
            Position::new(serving.term, 0)
        }
    }
}

fn with_position(result: StatementResult, position: Position) -> StatementResult {
    StatementResult { position_term: position.term, position_index: position.index, ..result }
}

/// Returns the answer that the ledger has for a request.
///
/// # Errors
///
/// When the request was cancelled, when its id was used for another statement,
/// or when the answer was too large to be stored or cannot be decoded.
pub fn recorded_answer(row: &LedgerRow, digest: &[u8]) -> Result<StatementResult, Failure> {
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
    Ok(StatementResult { from_ledger: true, ..with_position(result, row.position) })
}

async fn try_once(
    context: &Shared,
    request: &Request,
    serving: &Serving,
    progress: &Progress,
) -> AttemptResult {
    let (database, deadline) = (&request.database, request.deadline);
    let server = &serving.primary;
    let (_slot, mut guard) =
        match owner::acquire_slot_and_connection(context, request, serving, server).await {
            Ok(acquired) => acquired,
            Err(failure) => return classify_failure(failure),
        };
    let steps = [
        Step::internal("BEGIN"),
        select_step(&request.account, &request.submit.request_id),
        statement_step(&request.submit),
    ];
    // This batch contains no COMMIT: if it fails or gets no answer, the write
    // did not run.
    let stall = Instant::now() + STALL_LIMIT;
    let limit = if progress.stalled { deadline } else { deadline.min(stall) };
    let run = guard.get().run(&steps);
    let run = context.databases.within_term(database, serving.term, limit, run).await;
    let result = match run {
        Ok(Ok(mut results)) => {
            if let Some(row) = results.get(1).and_then(read_row) {
                guard.end_transaction();
                return AttemptResult::InLedger(row);
            }
            results.swap_remove(2)
        }
        Ok(Err(error)) => {
            guard.end_transaction();
            return classify_batch_failure(context, request, serving, &error).await;
        }
        Err(Interruption::TermOver) => return AttemptResult::NotRun(failure(ErrorKind::NoPrimary)),
        Err(Interruption::Late) if limit < deadline => return AttemptResult::Stalled,
        Err(Interruption::Late) => {
            return AttemptResult::Refused(failure(ErrorKind::DeadlineBeforeStart));
        }
    };
    let ran = LedgerOutcome::Ran;
    let row = insert_step(request, serving, ran, &progress.digest, Some(&result));
    commit(context, request, serving, guard, row, result).await
}

/// Classifies a failure that occurred before COMMIT was sent.
fn classify_failure(failure: Failure) -> AttemptResult {
    match kind_of(&failure) {
        ErrorKind::NotOwner | ErrorKind::NoPrimary => AttemptResult::NotRun(failure),
        _ => AttemptResult::Refused(failure),
    }
}

/// Classifies the failure of a batch that contains no COMMIT.
async fn classify_batch_failure(
    context: &Shared,
    request: &Request,
    serving: &Serving,
    error: &BatchError,
) -> AttemptResult {
    if let BatchError::Refused { done, .. } = error {
        // The ledger was read before the statement ran. A repeated statement
        // may be refused now, and its first answer still counts. The row is read again,
        // because a result before a refusal may be another request's.
        if done.get(1).and_then(read_row).is_some() {
            match look_up(context, request, serving).await {
                Ok(Some(row)) => return AttemptResult::InLedger(row),
                Ok(None) => {}
                Err(failure) => return AttemptResult::NotRun(failure),
            }
        }
    }
    classify_failure(owner::batch_failure(context, &request.database, serving, error))
}

/// Inserts the ledger row and commits, in one batch.
async fn commit(
    context: &Shared,
    request: &Request,
    serving: &Serving,
    mut guard: ConnectionGuard,
    row: Step,
    result: StatementResult,
) -> AttemptResult {
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
                AttemptResult::Committed(result, position)
            }
            None => AttemptResult::Unknown,
        },
        Ok(Err(BatchError::Refused { step, sqlstate, message, .. })) => {
            guard.end_transaction();
            match (step, sqlstate.as_str()) {
                // Another copy of the request or a tombstone has the row: the
                // next attempt reads the ledger.
                (0, UNIQUE_VIOLATION) => AttemptResult::Unknown,
                // The refused step may be the insertion of the row all the same.
                (1, UNIQUE_VIOLATION) => match look_up(context, request, serving).await {
                    Ok(Some(row)) => AttemptResult::InLedger(row),
                    Ok(None) => AttemptResult::Refused(crate::answer::refused_by_server(
                        &sqlstate, &message,
                    )),
                    Err(_) => AttemptResult::Unknown,
                },
                (0 | 1, WRONG_TERM) => {
                    let error = BatchError::Refused { step, done: Vec::new(), sqlstate, message };
                    let failure = owner::batch_failure(context, &request.database, serving, &error);
                    AttemptResult::NotRun(failure)
                }
                (0 | 1, _) => {
                    AttemptResult::Refused(crate::answer::refused_by_server(&sqlstate, &message))
                }
                _ => AttemptResult::Unknown,
            }
        }
        // COMMIT was sent, and the server may or may not have executed it.
        Ok(Err(_)) | Err(_) => AttemptResult::Unknown,
    }
}

/// Builds the last batch of every write: inserts the ledger row, commits, and
/// reads the log position.
#[must_use]
pub fn commit_batch(row: Step) -> [Step; 3] {
    [row, Step::internal("COMMIT"), Step::internal("SELECT * FROM chervilwharf_position()")]
}

/// Reads the row of a request from the ledger of the current primary.
///
/// # Errors
///
/// When the primary cannot be reached or refuses.
pub async fn look_up(
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

/// Returns the row of a request from the ledger. If there is none, writes a
/// tombstone: a copy of the request that comes later cannot insert its own row
/// and so cannot commit.
///
/// # Errors
///
/// When the primary cannot be reached or refuses. It is then still open whether
/// the request ran.
pub async fn look_up_or_cancel(
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
    let mut steps = vec![Step::internal("BEGIN")];
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
        // The request committed in the meantime, or the answer is missing. The
        // caller looks up the row again.
        Ok(Err(error)) => {
            let failure = owner::batch_failure(context, database, serving, &error);
            guard.end_transaction();
            Err(failure)
        }
        Err(_) => Err(failure(ErrorKind::NoPrimary)),
    }
}

/// Waits until a write at `position` may be acknowledged, and raises the
/// account's floor to it, so that later reads of the account see the write.
///
/// # Errors
///
/// When the deadline passes or the term ends before that.
pub async fn confirm_write(
    context: &Shared,
    request: &Request,
    serving: &Serving,
    position: Position,
) -> Result<(), NotConfirmed> {
    owner::wait_until_answerable(context, request, serving, position, true).await?;
    context.databases.with_database(&request.database, |state| {
        state.floors.acknowledged(position);
        state.floors.raise(&request.account, position);
    });
    Ok(())
}

fn select_step(account: &str, request_id: &str) -> Step {
    Step {
        // Text format (0) for the outcome and the numbers, binary format (1)
        // for the digest and the answer.
        result_formats: vec![0, 1, 1, 0, 0],
        ..Step::internal(ledger::SELECT_SQL)
            .with_text(account.to_owned())
            .with_text(request_id.to_owned())
            .with_types(&[TEXT_OID, TEXT_OID])
    }
}

/// Builds the step that inserts the ledger row of a request. An answer above
/// [`ledger::KEPT_ANSWER_LIMIT_BYTES`] is left out.
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
    Step::internal(ledger::INSERT_SQL)
        .with_text(request.account.to_string())
        .with_text(request.submit.request_id.clone())
        .with_text(outcome.as_str())
        .with_bytes(Some(Bytes::copy_from_slice(digest)))
        .with_bytes(kept.map(Bytes::from))
        .with_text(serving.term.to_string())
        .with_text(at_ms.to_string())
        .with_types(&[TEXT_OID, TEXT_OID, TEXT_OID, BYTEA_OID, BYTEA_OID, INT8_OID, INT8_OID])
}

/// Parses the ledger row in the result of [`ledger::SELECT_SQL`], if there is
/// one.
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

/// Deletes ledger rows past their retention. Requests with these ids are
/// already refused as expired.
///
/// # Errors
///
/// When the primary cannot be reached or refuses. The next clean-up tries
/// again.
pub async fn expire_ledger(
    context: &Shared,
    database: &DatabaseId,
    serving: &Serving,
    deadline: Instant,
) -> Result<(), Failure> {
    let oldest_ms = since_epoch().saturating_sub(ledger::RETENTION).as_millis();
    let step =
        Step::internal(ledger::EXPIRE_SQL).with_text(oldest_ms.to_string()).with_types(&[INT8_OID]);
    run_at_primary(context, database, serving, deadline, step).await
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
    run_at_primary(context, database, serving, deadline, Step::internal(ledger::CREATE_SQL)).await
}

/// Runs a statement of the proxy itself at the primary.
async fn run_at_primary(
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
