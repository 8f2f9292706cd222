//! Single statements, outside of transactions, run on this instance's own connections:
//! sending them to a server, and retrying them where that is safe.

use std::time::Duration;

use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::id::TargetId;
use chervilwharf_lib::position::Position;
use chervilwharf_lib::reply_check::RowAgreement;
use chervilwharf_lib::reply_check::Rows;
use chervilwharf_lib::server_choice::Need;
use chervilwharf_lib::server_refusal::RefusalKind;
use chervilwharf_lib::server_refusal::ServerRefusal;
use chervilwharf_lib::statement::Prepared;
use chervilwharf_lib::statement::Statement;
use chervilwharf_lib::statement::TransactionState;
use chervilwharf_lib::statement_timing;

use crate::engine::clock::now;
use crate::engine::event_log;
use crate::engine::lease::Lease;
use crate::engine::request::Failure;
use crate::engine::request::Request;
use crate::engine::request::Served;
use crate::engine::server_connection::ExchangeError;
use crate::engine::server_connection::Step;
use crate::engine::server_connection::StepReply;
use crate::engine::session::Session;

/// A statement in the form in which it is sent to a server.
#[derive(Clone, Debug)]
pub struct Work {
    /// The statement. A prepared statement has the name that all sessions share for it
    /// at the servers, instead of the client's own name.
    pub statement: Statement,
    /// The prepared statement that it executes, if any.
    pub prepared: Option<Prepared>,
}

/// How an attempt to run a statement ended.
enum Attempt {
    /// The statement ran.
    Done(Served),
    /// The statement failed and must not be retried.
    Failed(Failure),
    /// The attempt failed without a lasting effect, so the statement may be retried.
    Retry {
        /// Why the attempt failed.
        failure: Failure,
        /// Pause before the next attempt.
        pause: Duration,
    },
}

/// The result of sending steps to a server.
pub enum Sent {
    /// One reply for each step.
    Replies(Vec<StepReply>),
    /// The exchange failed, so that some or all replies are missing. The connection is
    /// closed.
    Lost(ExchangeError),
}

/// Sends steps to the server of a lease and waits at most `limit` for the replies. If the
/// exchange fails, the connection is closed and the server's state is checked.
pub async fn send(
    session: &mut Session,
    lease: &mut Option<Lease>,
    steps: &[Step],
    limit: Duration,
) -> Sent {
    let Some(mut open) = lease.take() else {
        return Sent::Lost(ExchangeError::Ended("no connection".to_owned()));
    };
    let sent_at = now();
    let result = exchange(session, &mut open, steps, limit).await;
    session.trace_mut().record_attempt(open.server().clone(), now().saturating_sub(sent_at));
    match result {
        Ok(replies) => {
            open.connection().record_all_answered();
            *lease = Some(open);
            Sent::Replies(replies)
        }
        // The server runs, and its other connections are not affected.
        Err(error) if error.reply_fault().is_some() => Sent::Lost(error),
        Err(error) => {
            session.shard().with_group(|group| group.observe_failure(now(), open.server()));
            session.shard().request_primary_check();
            if matches!(error, ExchangeError::TimedOut) {
                session.shard().close_stale(open.server(), sent_at);
            }
            let event = Event::new(EventKind::ConnectionDropped);
            let event = event.with("group", session.shard().id()).with("server", open.server());
            event_log::emit(&event.with("reason", &error));
            Sent::Lost(error)
        }
    }
}

async fn exchange(
    session: &Session,
    lease: &mut Lease,
    steps: &[Step],
    limit: Duration,
) -> Result<Vec<StepReply>, ExchangeError> {
    let server = lease.server().clone();
    let usual_time = session.shard().with_group(|group| group.read_time(&server));
    let running = lease.run(steps);
    let mut running = std::pin::pin!(tokio::time::timeout(limit, running));
    let early =
        tokio::time::timeout(statement_timing::liveness_check_after(usual_time), &mut running)
            .await;
    let finished = if let Ok(finished) = early {
        finished
    } else {
        session.shard().suspect(&server);
        running.await
    };
    finished.unwrap_or(Err(ExchangeError::TimedOut))
}

/// Runs a single read. It may be sent again, to another server: running a read twice
/// has no visible effect.
///
/// # Errors
///
/// When no server answered it in time.
pub async fn read(
    session: &mut Session,
    request: &Request,
    work: &Work,
) -> Result<Served, Failure> {
    let mut failed_server = None;
    let mut agreement = RowAgreement::default();
    let mut last = Failure::new(ErrorKind::DeadlineBeforeStart);
    while now() < request.deadline {
        match try_read(session, request, work, &mut failed_server).await {
            Attempt::Done(served) if agreement.accepts(&served.answer, served.rows) => {
                return Ok(served);
            }
            Attempt::Done(_) => last = Failure::new(ErrorKind::ServerTimedOut),
            Attempt::Failed(failure) => return Err(failure),
            Attempt::Retry { failure, pause } => {
                session.report_retry(&failure);
                last = failure;
                tokio::time::sleep(pause.min(request.time_left(now()))).await;
            }
        }
    }
    Err(last)
}

async fn try_read(
    session: &mut Session,
    request: &Request,
    work: &Work,
    failed_server: &mut Option<TargetId>,
) -> Attempt {
    let consistency = request.route.consistency;
    let floor = session.floor_for(request.arrived_at, consistency);
    session.trace_mut().floor = floor;
    let need = match floor {
        Some(floor) => Need::Reader { floor, failed_server: failed_server.clone() },
        None => Need::Leader,
    };
    let mut lease = match session.acquire(request, need, work.prepared.as_ref()).await {
        Ok(lease) => Some(lease),
        Err(failure) => return Attempt::Failed(failure),
    };
    let server = lease.as_ref().map(|lease| lease.server().clone()).unwrap_or_default();
    if floor.is_none() && session.shard().term_of(&server).is_none() {
        return retry_without_lease(lease);
    }
    let mut steps = session.setup_steps(lease.as_mut(), work.prepared.as_ref());
    let setup = steps.len();
    if floor.is_none() {
        // A server that is no longer the primary refuses only transactions that may
        // write. It would answer a plain read with stale data.
        steps.push(Step::internal(Statement::Begin { read_only: false }));
    }
    let main = steps.len();
    let step = Step::of_client(request.id.clone(), work.statement.clone(), false);
    steps.push(step.with_floor(floor));
    if floor.is_none() {
        steps.push(Step::internal(Statement::Rollback));
    }
    let sent_at = now();
    let slow_threshold = statement_timing::slow_threshold(request.route.objective);
    let limit = session.stall_limit(request, &server);
    let replies = match send(session, &mut lease, &steps, limit).await {
        Sent::Replies(replies) => replies,
        Sent::Lost(_) => {
            *failed_server = Some(server);
            let failure = Failure::new(ErrorKind::ServerTimedOut);
            return Attempt::Retry { failure, pause: Duration::ZERO };
        }
    };
    if let Some(refusal) = first_refusal(&replies[..setup]) {
        return setup_refused(refusal);
    }
    if let Some(refusal) = first_refusal(&replies[setup..main]) {
        give_back(lease, &replies);
        return refused_read(session, &server, refusal, None, None);
    }
    let reply = replies[main].clone();
    give_back(lease, &replies);
    match reply.result {
        Ok(answer) => {
            session.shard().with_group(|group| {
                if let (None, Some(position)) = (floor, reply.position) {
                    group.observe_leading(sent_at, now(), &server, position);
                } else {
                    group.observe_answer(now(), &server, reply.position);
                }
                group.observe_read_time(&server, now().saturating_sub(sent_at));
            });
            if let (None, Some(position)) = (floor, reply.position) {
                session.observe_primary_position(&server, position);
            }
            let took = now().saturating_sub(sent_at);
            session.shard().observe_time(&server, took, slow_threshold);
            Attempt::Done(Served { answer, position: reply.position, rows: reply.rows })
        }
        Err(refusal) => {
            if refusal.kind == RefusalKind::Failed || refusal.kind == RefusalKind::TimedOut {
                *failed_server = Some(server.clone());
            }
            refused_read(session, &server, refusal, floor, reply.position)
        }
    }
}

/// Gives back a connection to the primary, since the primary lease ended after the server
/// was chosen: the process was paused, or the primary is being replaced. Nothing was
/// sent, so the statement is retried.
fn retry_without_lease(lease: Option<Lease>) -> Attempt {
    if let Some(lease) = lease {
        lease.give_back();
    }
    Attempt::Retry {
        failure: Failure::new(ErrorKind::NoPrimary),
        pause: statement_timing::BUSY_PAUSE,
    }
}

/// Gives a connection back if no transaction is open on it. Otherwise it is closed.
fn give_back(lease: Option<Lease>, replies: &[StepReply]) {
    let idle = replies.last().is_some_and(|reply| reply.state == TransactionState::Idle);
    if let (Some(lease), true) = (lease, idle) {
        lease.give_back();
    }
}

/// Reports that the server refused a step that sets up the connection. It is unknown what
/// is set up on it now, so the caller closes it.
fn setup_refused(refusal: ServerRefusal) -> Attempt {
    let event = Event::new(EventKind::ConnectionDropped).with("reason", &refusal.text);
    event_log::emit(&event.with("refusal", format_args!("{:?}", refusal.kind)));
    Attempt::Retry { failure: refusal.into(), pause: statement_timing::BUSY_PAUSE }
}

fn refused_read(
    session: &mut Session,
    server: &TargetId,
    refusal: ServerRefusal,
    floor: Option<Position>,
    position: Option<Position>,
) -> Attempt {
    let pause = match refusal.kind {
        RefusalKind::Lagging => {
            session.observe_lagging(server, floor, position);
            Duration::ZERO
        }
        RefusalKind::NotLeading => {
            session.shard().observe_not_leading(server);
            Duration::ZERO
        }
        RefusalKind::Busy => {
            session.shard().observe_busy(server);
            statement_timing::BUSY_PAUSE
        }
        // Running a read twice has no visible effect.
        RefusalKind::Failed | RefusalKind::TimedOut => Duration::ZERO,
        _ => return Attempt::Failed(refusal.into()),
    };
    Attempt::Retry { failure: refusal.into(), pause }
}

/// The refusal of the first step that was refused, if any.
#[must_use]
pub fn first_refusal(replies: &[StepReply]) -> Option<ServerRefusal> {
    replies.iter().find_map(|reply| reply.result.as_ref().err().cloned())
}

/// Runs a single write. It is sent again only if the server guarantees that it did not
/// run.
///
/// # Errors
///
/// When it did not run, failed, or has an unknown outcome.
pub async fn write(
    session: &mut Session,
    request: &Request,
    work: &Work,
) -> Result<Served, Failure> {
    let mut last = Failure::new(ErrorKind::DeadlineBeforeStart);
    while now() < request.deadline {
        match try_write(session, request, work).await {
            Attempt::Done(served) => {
                if let Some(position) = served.position {
                    session.raise_floor(position);
                }
                if served.rows == Rows::InDoubt {
                    return Err(Failure::new(ErrorKind::OutcomeUnknown));
                }
                return Ok(served);
            }
            Attempt::Failed(failure) => return Err(failure),
            Attempt::Retry { failure, pause } => {
                session.report_retry(&failure);
                last = failure;
                tokio::time::sleep(pause.min(request.time_left(now()))).await;
            }
        }
    }
    Err(last)
}

async fn try_write(session: &mut Session, request: &Request, work: &Work) -> Attempt {
    let mut lease = match session.acquire(request, Need::Leader, work.prepared.as_ref()).await {
        Ok(lease) => Some(lease),
        Err(failure) => return Attempt::Failed(failure),
    };
    let server = lease.as_ref().map(|lease| lease.server().clone()).unwrap_or_default();
    let Some(term) = session.shard().term_of(&server) else {
        return retry_without_lease(lease);
    };
    let mut steps = session.setup_steps(lease.as_mut(), work.prepared.as_ref());
    let main = steps.len();
    steps.push(Step::of_client(request.id.clone(), work.statement.clone(), true));
    let sent_at = now();
    let limit = request.time_left(sent_at);
    let replies = match send(session, &mut lease, &steps, limit).await {
        Sent::Replies(replies) => replies,
        // It may have run, and a second run could apply its effect twice.
        Sent::Lost(_) => return Attempt::Failed(Failure::new(ErrorKind::OutcomeUnknown)),
    };
    let reply = replies[main].clone();
    if let Some(refusal) = first_refusal(&replies[..main]) {
        // The write was sent together with the refused step. Only its own reply
        // shows whether it ran.
        let ran = reply.result.as_ref().err().is_none_or(|own| !own.kind.guarantees_not_run());
        return if ran {
            Attempt::Failed(Failure::new(ErrorKind::OutcomeUnknown))
        } else {
            setup_refused(refusal)
        };
    }
    give_back(lease, &replies);
    match reply.result {
        Ok(answer) => {
            let took = now().saturating_sub(sent_at);
            let slow_threshold = statement_timing::slow_threshold(request.route.objective);
            session.shard().observe_time(&server, took, slow_threshold);
            if !session.is_confirmed(request, &server, term).await {
                return Attempt::Failed(Failure::new(ErrorKind::OutcomeUnknown));
            }
            let position = reply.position;
            if let Some(position) = position {
                session
                    .shard()
                    .with_group(|group| group.observe_leading(sent_at, now(), &server, position));
            }
            Attempt::Done(Served { answer, position, rows: reply.rows })
        }
        Err(refusal) => refused_write(session, &server, refusal),
    }
}

fn refused_write(session: &Session, server: &TargetId, refusal: ServerRefusal) -> Attempt {
    match refusal.kind {
        RefusalKind::NotLeading => {
            session.shard().observe_not_leading(server);
            Attempt::Retry { failure: refusal.into(), pause: Duration::ZERO }
        }
        RefusalKind::Busy => {
            session.shard().observe_busy(server);
            Attempt::Retry { failure: refusal.into(), pause: statement_timing::BUSY_PAUSE }
        }
        _ => Attempt::Failed(refusal.into()),
    }
}
