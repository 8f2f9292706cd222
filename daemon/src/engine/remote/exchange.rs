//! The exchange of a statement and its reply with another instance: on which link it is sent, how
//! long the reply is awaited, and whether the statement may have run if there is none.

use std::time::Duration;

use chervilwharf_lib::engine_protos;
use chervilwharf_lib::engine_protos::StatementReply;
use chervilwharf_lib::engine_protos::engine_frame::Body;
use chervilwharf_lib::engine_protos::statement::Begin;
use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::fleet::InstanceRecord;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::operation_clock::TimeParts;
use chervilwharf_lib::peer_contact::LIVENESS_CHECK_AFTER;
use chervilwharf_lib::peer_contact::LIVENESS_TIMEOUT;
use chervilwharf_lib::received_statements::DeliveryState;
use chervilwharf_lib::received_statements::StatementTicket;

use crate::engine::clock::now;
use crate::engine::event_log;
use crate::engine::peers::LinkError;
use crate::engine::peers::PeerLink;
use crate::engine::remote::encoding::encode;
use crate::engine::request::Request;
use crate::engine::session::Session;
use crate::engine::shared::Engine;
use crate::engine::single::Work;

/// Interval at which an instance is asked about the state of a statement that takes long
/// there. It is several times the usual duration of a statement, since the instance is
/// known to be reachable.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Why a forwarded statement got no reply.
pub(super) enum SendError {
    /// The statement did not reach the other instance.
    NotSent,
    /// The link stopped working, but the other instance is reachable. Either the statement
    /// will not run there, or running it again does no harm.
    LinkDead,
    /// The statement may have run at the other instance.
    Lost,
}

/// What is lost if the sender stops waiting for the reply to a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Abandoning {
    /// Nothing: the statement can be sent again, or its transaction is rolled back.
    LosesNothing,
    /// Whether it took effect. So the reply is awaited until the deadline.
    LosesOutcome,
}

/// Sends a single statement, or the first one of a transaction, on any link to a holder. If
/// that link turns out to be dead, sends the statement again on a new one. Returns the link
/// with the reply.
pub(super) async fn send_first(
    session: &mut Session,
    request: &Request,
    holder: &InstanceRecord,
    work: &Work,
    begin: Begin,
    abandoning: Abandoning,
) -> Result<(StatementReply, PeerLink), SendError> {
    let links = session.engine().statement_links().clone();
    let mut link = links.take(holder.peer_address);
    let statement = encode(session, request, work, begin);
    let mut sent = send(session, request, holder, &mut link, statement, abandoning).await;
    if matches!(sent, Err(SendError::LinkDead)) {
        links.close_idle(holder.peer_address);
        link = PeerLink::default();
        let statement = encode(session, request, work, begin);
        sent = send(session, request, holder, &mut link, statement, abandoning).await;
    }
    sent.map(|reply| (reply, link))
}

pub(super) async fn send(
    session: &mut Session,
    request: &Request,
    holder: &InstanceRecord,
    link: &mut PeerLink,
    statement: engine_protos::Statement,
    abandoning: Abandoning,
) -> Result<StatementReply, SendError> {
    let sent_at = now();
    let engine = session.engine().clone();
    let result = exchange(&engine, request, holder, link, statement, abandoning).await;
    let took = now().saturating_sub(sent_at);
    let parts = parts_of_exchange(took, result.as_ref().ok());
    session.trace_mut().record_exchange(holder.id.clone(), took, &parts);
    if let Ok(reply) = &result {
        engine.peer_contacts().record_answer(sent_at, &holder.id);
        if let Some(load) = &reply.load {
            engine.record_load(&request.route.group, &holder.id, sent_at, load);
        }
    }
    result
}

/// How the time of an exchange with a holder was spent.
fn parts_of_exchange(took: Duration, reply: Option<&StatementReply>) -> TimeParts {
    let reported = |part: fn(&StatementReply) -> u64| {
        reply.map_or(Duration::ZERO, |reply| Duration::from_millis(part(reply)))
    };
    let waited = reported(|reply| reply.waited_ms);
    let opening = reported(|reply| reply.opening_ms);
    TimeParts::of_exchange(took, waited, opening, reported(|reply| reply.at_server_ms))
}

async fn exchange(
    engine: &Engine,
    request: &Request,
    holder: &InstanceRecord,
    link: &mut PeerLink,
    statement: engine_protos::Statement,
    abandoning: Abandoning,
) -> Result<StatementReply, SendError> {
    let sent_at = now();
    let limit = LIVENESS_TIMEOUT.min(request.time_left(sent_at));
    let opened = tokio::time::timeout(limit, link.open(holder.peer_address)).await;
    if !matches!(opened, Ok(Ok(()))) {
        let error = opened.ok().and_then(Result::err);
        engine.peer_contacts().record_failure(sent_at, &holder.id, error.as_ref());
        return Err(SendError::NotSent);
    }
    let ticket = statement.ticket;
    let exchange = link.exchange(holder.peer_address, Body::Statement(statement));
    let time_left = request.time_left(now());
    let mut exchange = std::pin::pin!(tokio::time::timeout(time_left, exchange));
    let result = tokio::select! {
        result = &mut exchange => result,
        state = detect_dead_link(engine, holder, ticket, sent_at) => match (state, abandoning) {
            (Some(DeliveryState::Withdrawn), _) | (Some(_), Abandoning::LosesNothing) => {
                return Err(SendError::LinkDead);
            }
            (None, Abandoning::LosesNothing) => return Err(SendError::Lost),
            (_, Abandoning::LosesOutcome) => exchange.await,
        },
    };
    match result {
        Ok(Ok(Body::StatementReply(reply))) => Ok(reply),
        Ok(Err(LinkError::NotConnected(_))) => Err(SendError::NotSent),
        Ok(Ok(_) | Err(_)) | Err(_) => Err(SendError::Lost),
    }
}

/// Asks an instance, on another link, about a statement that it has not answered. Returns
/// when the link of the statement turns out to be dead, with the statement's delivery state;
/// `None` if the instance is unreachable.
async fn detect_dead_link(
    engine: &Engine,
    holder: &InstanceRecord,
    ticket: StatementTicket,
    sent_at: Moment,
) -> Option<DeliveryState> {
    tokio::time::sleep(LIVENESS_CHECK_AFTER).await;
    loop {
        let delivery_state = engine.ask_for_statement(holder, ticket, sent_at).await?;
        if delivery_state == DeliveryState::Unresolved {
            tokio::time::sleep(STATUS_POLL_INTERVAL).await;
            continue;
        }
        if delivery_state == DeliveryState::Ended {
            // The reply may still be on its way.
            tokio::time::sleep(LIVENESS_TIMEOUT).await;
        }
        let event = Event::new(EventKind::PeerFailed).with("peer", &holder.id);
        event_log::emit(&event.with("reason", "a link to the instance stopped responding"));
        return Some(delivery_state);
    }
}
