//! Reads outside interactive transactions, at the owner of the database.
//!
//! A read goes to a server that has probably applied its floor, the lowest log
//! position that the read must see. The server checks this, and the read is
//! retried at another server if the floor is not applied.

use std::time::Duration;
use std::time::Instant;

use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::id::TargetId;
use chervilwharf_lib::position::Position;
use chervilwharf_lib::protos::Failure;
use chervilwharf_lib::protos::Result as StatementResult;
use chervilwharf_lib::routing;
use chervilwharf_lib::routing::ReadTarget;
use chervilwharf_lib::routing::Route;

use crate::answer::failure;
use crate::answer::kind_of;
use crate::batch_reply::BatchError;
use crate::confirm::NotConfirmed;
use crate::context::Shared;
use crate::databases::Interruption;
use crate::owner;
use crate::owner::Request;
use crate::postgres::Step;
use crate::serving::Serving;
use crate::target::NOT_APPLIED;
use crate::target::READ_ONLY;
use crate::target::WRONG_TERM;
use crate::target::read_position;
use crate::write;

/// Number of attempts of one read before it fails with `NoPrimary`, which asks the client to
/// retry.
const MAX_TRIES: usize = 6;

/// The first attempt of a read is abandoned after this time without an answer and
/// retried at another server: the server or the connection may be dead.
const STALL_LIMIT: Duration = Duration::from_millis(400);

/// Index of the client's statement in the batch of a read.
const STATEMENT_STEP: usize = 2;

/// Index of the step that reads the log position after the statement.
const POSITION_STEP: usize = 3;

/// Result of one attempt of a read.
enum AttemptResult {
    Done(StatementResult, Position),
    /// This server cannot answer the read now; another one may.
    RetryElsewhere,
    /// The server found that the statement writes.
    Writes,
    Failed(Failure),
}

/// Runs a read.
///
/// # Errors
///
/// The failure for the client. A read has no effect, so a failed one counts as
/// not run.
pub async fn run(context: &Shared, request: &Request) -> Result<StatementResult, Failure> {
    let mut excluded: Vec<TargetId> = Vec::new();
    for tries in 0..MAX_TRIES {
        let (serving, work) =
            owner::begin_work(context, &request.database, request.deadline, false, false).await?;
        let (server, floor) = choose_server(context, request, &serving, &excluded);
        let by_replica = server != serving.primary;
        match try_at_server(context, request, &serving, &server, floor, tries == 0).await {
            AttemptResult::Done(result, position) => {
                let answered = confirm_read(context, request, &serving, position, by_replica).await;
                match answered {
                    Ok(()) => {
                        return Ok(StatementResult {
                            by_replica,
                            position_term: position.term,
                            position_index: position.index,
                            ..result
                        });
                    }
                    Err(NotConfirmed::Late) => return Err(failure(ErrorKind::NoPrimary)),
                    Err(NotConfirmed::TermOver) => {}
                }
            }
            AttemptResult::RetryElsewhere => excluded.push(server),
            AttemptResult::Writes => {
                drop(work);
                return write::run(context, request).await;
            }
            AttemptResult::Failed(failure) => return Err(failure),
        }
        if Instant::now() >= request.deadline {
            return Err(failure(ErrorKind::DeadlineBeforeStart));
        }
        context.metrics.retries.inc();
        // The primary may be in replacement. The next attempt waits for a new
        // one.
        if excluded.contains(&serving.primary) {
            excluded.clear();
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    Err(failure(ErrorKind::NoPrimary))
}

/// Chooses a server for a read, and returns it with the position that it must
/// have applied; `None` for the primary, which needs no check.
fn choose_server(
    context: &Shared,
    request: &Request,
    serving: &Serving,
    excluded: &[TargetId],
) -> (TargetId, Option<Position>) {
    let near = context.settings.failure_domain.clone();
    let freshness = request.freshness();
    let chosen = context.databases.with_database(&request.database, |state| {
        let floor = state.floors.floor(Instant::now(), &request.account, freshness);
        let replicas: Vec<_> = state
            .ownership
            .servers()
            .filter(|server| server.id != serving.primary)
            .map(|server| {
                let known = state.ownership.server_state(&server.id);
                let known = known.filter(|known| known.term == serving.term);
                let slots = state.slots.get(&server.id);
                ReadTarget {
                    id: server.id.clone(),
                    failure_domain: server.failure_domain.clone(),
                    applied: known.map_or(Position::ZERO, |known| known.applied),
                    usable: known.is_some() && state.ownership.is_usable(&server.id),
                    in_flight: slots.map_or(0, chervilwharf_lib::admission::SlotQueue::in_flight),
                    slots: slots.map_or(1, chervilwharf_lib::admission::SlotQueue::slots),
                }
            })
            .collect();
        (routing::choose(&replicas, floor, &near, excluded), floor)
    });
    match chosen {
        Some((Route::Replica(id), floor)) => (id, floor),
        _ => (serving.primary.clone(), None),
    }
}

/// Builds the batch of a read: a read-only transaction that checks the floor at
/// the server, runs the statement, and reads the server's log position after it.
fn read_batch(request: &Request, floor: Option<Position>) -> Vec<Step> {
    let floor = floor.unwrap_or(Position::ZERO);
    let require =
        format!("SELECT * FROM chervilwharf_require_position({}, {})", floor.term, floor.index);
    vec![
        Step::internal("BEGIN READ ONLY"),
        Step::internal(require),
        write::statement_step(&request.submit),
        Step::internal("SELECT * FROM chervilwharf_position()"),
        Step::internal("COMMIT"),
    ]
}

async fn try_at_server(
    context: &Shared,
    request: &Request,
    serving: &Serving,
    server: &TargetId,
    floor: Option<Position>,
    is_first: bool,
) -> AttemptResult {
    let (database, deadline) = (&request.database, request.deadline);
    let by_primary = *server == serving.primary;
    let (_slot, mut guard) =
        match owner::acquire_slot_and_connection(context, request, serving, server).await {
            Ok(acquired) => acquired,
            Err(failure) if kind_of(&failure) == ErrorKind::NoPrimary => {
                return AttemptResult::RetryElsewhere;
            }
            Err(failure) => return AttemptResult::Failed(failure),
        };
    let steps = read_batch(request, floor);
    let stall = Instant::now() + STALL_LIMIT;
    let limit = if is_first { deadline.min(stall) } else { deadline };
    let sent_at = Instant::now();
    let run = guard.get().run(&steps);
    let run = context.databases.within_term(database, serving.term, limit, run).await;
    let error = match run {
        Ok(Ok(mut results)) => {
            let position = results.get(POSITION_STEP).and_then(read_position);
            let position = position.unwrap_or(Position::ZERO);
            context.databases.with_database(database, |state| {
                state.ownership.answered(server, serving.term, sent_at, position);
            });
            return AttemptResult::Done(results.swap_remove(STATEMENT_STEP), position);
        }
        Ok(Err(error)) => error,
        Err(Interruption::TermOver) => return AttemptResult::RetryElsewhere,
        Err(Interruption::Late) if limit < deadline => return AttemptResult::RetryElsewhere,
        Err(Interruption::Late) => {
            return AttemptResult::Failed(failure(ErrorKind::DeadlineBeforeStart));
        }
    };
    guard.end_transaction();
    match &error {
        BatchError::Refused { sqlstate, .. } if sqlstate == NOT_APPLIED => {
            context.metrics.floors_missed.inc();
            AttemptResult::RetryElsewhere
        }
        BatchError::Refused { sqlstate, .. } if sqlstate == READ_ONLY => AttemptResult::Writes,
        BatchError::Refused { sqlstate, .. } if sqlstate == WRONG_TERM && !by_primary => {
            // The replica has just come back, or another instance has just
            // fenced it. Whether this instance still owns the database depends
            // on the term of the primary.
            AttemptResult::RetryElsewhere
        }
        BatchError::Broken(_) => AttemptResult::RetryElsewhere,
        _ => AttemptResult::Failed(owner::batch_failure(context, database, serving, &error)),
    }
}

/// Checks after the server's answer that this instance still owns the database.
/// Without this check a process that was paused could return a stale answer.
async fn confirm_read(
    context: &Shared,
    request: &Request,
    serving: &Serving,
    position: Position,
    by_replica: bool,
) -> Result<(), NotConfirmed> {
    // The primary may have returned a write that no replica has received yet. If
    // the primary fails and that write is lost, the client has read data that
    // no longer exists.
    owner::wait_until_answerable(context, request, serving, position, !by_replica).await?;
    if by_replica {
        // Replicas lag by different amounts, and an account must not read older
        // data after newer. The floor is not raised after a read at the primary:
        // an account that reads more often than the replication lag would then
        // read from the primary only.
        context.databases.with_database(&request.database, |state| {
            state.floors.raise(&request.account, position);
        });
    }
    context.metrics.record_read(by_replica);
    Ok(())
}
