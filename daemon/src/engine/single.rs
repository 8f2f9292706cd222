//! Single statements, outside of transactions.

use std::time::Duration;

use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::id::TargetId;
use chervilwharf_lib::position::Position;
use chervilwharf_lib::server_choice::Need;
use chervilwharf_lib::server_refusal::RefusalKind;
use chervilwharf_lib::server_refusal::ServerRefusal;
use chervilwharf_lib::statement::Prepared;
use chervilwharf_lib::statement::Statement;
use chervilwharf_lib::statement::TransactionState;
use chervilwharf_lib::waits;

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

/// A statement as it goes to a server.
#[derive(Clone, Debug)]
pub struct Work {
    /// The statement, with the prepared name that servers know.
    pub statement: Statement,
    /// What it executes, if it is prepared.
    pub prepared: Option<Prepared>,
}

/// How a try to run a statement ended.
enum Try {
    /// It ran.
    Done(Served),
    /// It is over, without a result.
    Failed(Failure),
    /// Nothing of it counts; it may be tried again.
    Again {
        /// The last reason.
        failure: Failure,
        /// Pause before the next try.
        pause: Duration,
    },
}

/// What comes back from sending steps to a server.
pub enum Sent {
    /// One reply for each step.
    Replies(Vec<StepReply>),
    /// No whole answer, or a step of our own failed. The lease is gone.
    Lost(ExchangeError),
}

/// Sends steps within `limit`. On any trouble the connection is closed.
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
    session.trace_mut().sent(open.server().clone(), now().saturating_sub(sent_at));
    match result {
        Ok(replies) => {
            open.connection().settle();
            *lease = Some(open);
            Sent::Replies(replies)
        }
        Err(error) => {
            session.shard().with_group(|group| group.observe_failure(now(), open.server()));
            session.shard().doubt();
            if matches!(error, ExchangeError::Silent) {
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
    let running = lease.connection().connection.run(steps);
    let mut running = std::pin::pin!(tokio::time::timeout(limit, running));
    let early = tokio::time::timeout(waits::liveness_check_after(usual_time), &mut running).await;
    let finished = if let Ok(finished) = early {
        finished
    } else {
        session.shard().suspect(&server);
        running.await
    };
    finished.unwrap_or(Err(ExchangeError::Silent))
}

/// Runs a single read. It may be sent again, to another server: nobody can
/// tell a second run of a read from the first.
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
    let mut last = Failure::new(ErrorKind::DeadlineBeforeStart);
    while now() < request.deadline {
        match try_read(session, request, work, &mut failed_server).await {
            Try::Done(served) => return Ok(served),
            Try::Failed(failure) => return Err(failure),
            Try::Again { failure, pause } => {
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
) -> Try {
    let consistency = request.route.consistency;
    let floor = session.floor_for(request.arrived_at, consistency);
    session.trace_mut().floor = floor;
    let need = match floor {
        Some(floor) => Need::Reader { floor, failed_server: failed_server.clone() },
        None => Need::Leader,
    };
    let mut lease = match session.acquire(request, need, work.prepared.as_ref()).await {
        Ok(lease) => Some(lease),
        Err(failure) => return Try::Failed(failure),
    };
    let server = lease.as_ref().map(|lease| lease.server().clone()).unwrap_or_default();
    if floor.is_none() && session.shard().term_of(&server).is_none() {
        return retry_without_lease(lease);
    }
    let mut steps = session.setup_steps(lease.as_mut(), work.prepared.as_ref());
    let setup = steps.len();
    if floor.is_none() {
        // Only a transaction that may write is refused by a server that has
        // lost the lead; a plain read would be answered with old data.
        steps.push(Step::own(Statement::Begin { read_only: false }));
    }
    let main = steps.len();
    let id = Some(request.id.clone());
    steps.push(Step { id, floor, statement: work.statement.clone() });
    if floor.is_none() {
        steps.push(Step::own(Statement::Rollback));
    }
    let sent_at = now();
    let slow_threshold = waits::slow_threshold(request.route.objective);
    let limit = session.stall_limit(request, &server);
    let replies = match send(session, &mut lease, &steps, limit).await {
        Sent::Replies(replies) => replies,
        Sent::Lost(_) => {
            *failed_server = Some(server);
            let failure = Failure::new(ErrorKind::ServerTimedOut);
            return Try::Again { failure, pause: Duration::ZERO };
        }
    };
    if let Some(refusal) = first_refusal(&replies[..setup]) {
        return unprepared(refusal);
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
            let took = now().saturating_sub(sent_at);
            session.shard().observe_time(&server, took, slow_threshold);
            Try::Done(Served { answer, position: reply.position })
        }
        Err(refusal) => {
            if refusal.kind == RefusalKind::Failed || refusal.kind == RefusalKind::TimedOut {
                *failed_server = Some(server.clone());
            }
            refused_read(session, &server, refusal, floor, reply.position)
        }
    }
}

/// The right to use the primary ended between the choice of the server and now:
/// the instance stood still, or the primary is being replaced. Nothing was sent.
fn retry_without_lease(lease: Option<Lease>) -> Try {
    if let Some(lease) = lease {
        lease.give_back();
    }
    Try::Again { failure: Failure::new(ErrorKind::NoPrimary), pause: waits::BUSY_PAUSE }
}

/// Gives a connection back if all is over on it.
fn give_back(lease: Option<Lease>, replies: &[StepReply]) {
    let idle = replies.last().is_some_and(|reply| reply.state == TransactionState::Idle);
    if let (Some(lease), true) = (lease, idle) {
        lease.give_back();
    }
}

/// A step that prepares the connection was refused: the connection is closed
/// by the caller, since what is set up on it is not known any more.
fn unprepared(refusal: ServerRefusal) -> Try {
    let event = Event::new(EventKind::ConnectionDropped).with("reason", &refusal.text);
    event_log::emit(&event.with("refusal", format_args!("{:?}", refusal.kind)));
    Try::Again { failure: refusal.into(), pause: waits::BUSY_PAUSE }
}

fn refused_read(
    session: &mut Session,
    server: &TargetId,
    refusal: ServerRefusal,
    floor: Option<Position>,
    position: Option<Position>,
) -> Try {
    let pause = match refusal.kind {
        RefusalKind::Lagging => {
            session.observe_lagging(server, floor, position);
            Duration::ZERO
        }
        RefusalKind::NotLeading => {
            session.shard().lost_lead(server);
            Duration::ZERO
        }
        RefusalKind::Busy => {
            session.shard().observe_busy(server);
            waits::BUSY_PAUSE
        }
        // Reads may run again: nobody can tell the second run from the first.
        RefusalKind::Failed | RefusalKind::TimedOut => Duration::ZERO,
        _ => return Try::Failed(refusal.into()),
    };
    Try::Again { failure: refusal.into(), pause }
}

/// The first step that was refused.
#[must_use]
pub fn first_refusal(replies: &[StepReply]) -> Option<ServerRefusal> {
    replies.iter().find_map(|reply| reply.result.as_ref().err().cloned())
}

/// Runs a single write. It is sent again only after a server's promise that
/// it did not run.
///
/// # Errors
///
/// When it did not run, or nobody can tell whether it did.
pub async fn write(
    session: &mut Session,
    request: &Request,
    work: &Work,
) -> Result<Served, Failure> {
    let mut last = Failure::new(ErrorKind::DeadlineBeforeStart);
    while now() < request.deadline {
        match try_write(session, request, work).await {
            Try::Done(served) => {
                if let Some(position) = served.position {
                    session.raise_floor(position);
                }
                return Ok(served);
            }
            Try::Failed(failure) => return Err(failure),
            Try::Again { failure, pause } => {
                session.report_retry(&failure);
                last = failure;
                tokio::time::sleep(pause.min(request.time_left(now()))).await;
            }
        }
    }
    Err(last)
}

async fn try_write(session: &mut Session, request: &Request, work: &Work) -> Try {
    let mut lease = match session.acquire(request, Need::Leader, work.prepared.as_ref()).await {
        Ok(lease) => Some(lease),
        Err(failure) => return Try::Failed(failure),
    };
    let server = lease.as_ref().map(|lease| lease.server().clone()).unwrap_or_default();
    let Some(term) = session.shard().term_of(&server) else {
        return retry_without_lease(lease);
    };
    let mut steps = session.setup_steps(lease.as_mut(), work.prepared.as_ref());
    let main = steps.len();
    let id = Some(request.id.clone());
    steps.push(Step { id, floor: None, statement: work.statement.clone() });
    let sent_at = now();
    let limit = request.time_left(sent_at);
    let replies = match send(session, &mut lease, &steps, limit).await {
        Sent::Replies(replies) => replies,
        // It may have run; a second run would be a second effect.
        Sent::Lost(_) => return Try::Failed(Failure::new(ErrorKind::OutcomeUnknown)),
    };
    let reply = replies[main].clone();
    if let Some(refusal) = first_refusal(&replies[..main]) {
        // The write was sent behind the refused step. Only its own reply
        // tells whether it ran.
        let ran = reply.result.as_ref().err().is_none_or(|own| !own.kind.guarantees_not_run());
        return if ran {
            Try::Failed(Failure::new(ErrorKind::OutcomeUnknown))
        } else {
            unprepared(refusal)
        };
    }
    give_back(lease, &replies);
    match reply.result {
        Ok(answer) => {
            let took = now().saturating_sub(sent_at);
            let slow_threshold = waits::slow_threshold(request.route.objective);
            session.shard().observe_time(&server, took, slow_threshold);
            if !session.is_confirmed(request, &server, term).await {
                return Try::Failed(Failure::new(ErrorKind::OutcomeUnknown));
            }
            let position = reply.position;
            if let Some(position) = position {
                session
                    .shard()
                    .with_group(|group| group.observe_leading(sent_at, now(), &server, position));
            }
            Try::Done(Served { answer, position })
        }
        Err(refusal) => refused_write(session, &server, refusal),
    }
}

fn refused_write(session: &Session, server: &TargetId, refusal: ServerRefusal) -> Try {
    match refusal.kind {
        RefusalKind::NotLeading => {
            session.shard().lost_lead(server);
            Try::Again { failure: refusal.into(), pause: Duration::ZERO }
        }
        RefusalKind::Busy => {
            session.shard().observe_busy(server);
            Try::Again { failure: refusal.into(), pause: waits::BUSY_PAUSE }
        }
        _ => Try::Failed(refusal.into()),
    }
}
