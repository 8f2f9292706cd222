//! Forwarding of statements to another instance that holds connections to their group (a
//! holder). The other instance runs them in a forwarded session.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use chervilwharf_lib::engine_protos;
use chervilwharf_lib::engine_protos::Execution;
use chervilwharf_lib::engine_protos::SessionValue;
use chervilwharf_lib::engine_protos::StatementReply;
use chervilwharf_lib::engine_protos::engine_frame::Body;
use chervilwharf_lib::engine_protos::statement::Begin;
use chervilwharf_lib::engine_protos::statement::Work as WireWork;
use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::fleet::InstanceRecord;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::operation_clock::TimeParts;
use chervilwharf_lib::peer_contact::LIVENESS_CHECK_AFTER;
use chervilwharf_lib::peer_contact::LIVENESS_TIMEOUT;
use chervilwharf_lib::position::Position;
use chervilwharf_lib::received_statements::DeliveryState;
use chervilwharf_lib::received_statements::StatementTicket;
use chervilwharf_lib::statement::Access;
use chervilwharf_lib::statement::Answer;
use chervilwharf_lib::statement::Statement;

use crate::engine::clock::now;
use crate::engine::event_log;
use crate::engine::holder_search::HolderSearch;
use crate::engine::load_choice::request_kind;
use crate::engine::peers::LinkError;
use crate::engine::peers::PeerLink;
use crate::engine::records;
use crate::engine::request::Failure;
use crate::engine::request::Request;
use crate::engine::request::Served;
use crate::engine::session::Session;
use crate::engine::shared::Engine;
use crate::engine::single::Work;
use crate::engine::transaction::ROLLBACK_LIMIT;
use crate::engine::transaction::Transaction;

/// Part of a request's time that is reserved for the network trip to the other instance and
/// back.
const PEER_ROUND_TRIP_RESERVE: Duration = Duration::from_millis(10);

/// Interval at which an instance is asked about the state of a statement that takes long
/// there. It is several times the usual duration of a statement, since the instance is
/// known to be reachable.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// How many idle links to one instance are kept open. Further links are opened while more
/// statements run at once, and closed afterwards.
const KEPT_LINKS: usize = 4;

/// Idle links for forwarded statements, by address of the other instance.
#[derive(Default)]
pub struct StatementLinks {
    idle: Mutex<HashMap<SocketAddr, Vec<PeerLink>>>,
}

impl StatementLinks {
    fn take(&self, address: SocketAddr) -> PeerLink {
        let mut idle = self.idle.lock().expect("never poisoned");
        let links = idle.entry(address).or_default();
        while let Some(link) = links.pop() {
            if link.is_open() {
                return link;
            }
        }
        PeerLink::default()
    }

    /// Closes the idle links to an address, after one of the same age stopped working.
    fn close_idle(&self, address: SocketAddr) {
        self.idle.lock().expect("never poisoned").remove(&address);
    }

    /// Closes links to all addresses except these.
    pub fn keep_only(&self, addresses: &[SocketAddr]) {
        let mut idle = self.idle.lock().expect("never poisoned");
        idle.retain(|address, _| addresses.contains(address));
    }

    fn give_back(&self, address: SocketAddr, link: PeerLink) {
        let mut idle = self.idle.lock().expect("never poisoned");
        let links = idle.entry(address).or_default();
        if links.len() < KEPT_LINKS {
            links.push(link);
        }
    }
}

/// A transaction that runs at another instance, bound to one link.
pub struct RemoteTransaction {
    links: Arc<StatementLinks>,
    holder: InstanceRecord,
    link: PeerLink,
}

impl RemoteTransaction {
    /// Rolls back the transaction. If the other instance does not confirm in time, the link
    /// is closed, which rolls back as well.
    pub async fn roll_back(mut self) {
        let statement = engine_protos::Statement {
            work: Some(WireWork::Rollback(true)),
            ..engine_protos::Statement::default()
        };
        let sent = self.link.exchange(self.holder.peer_address, Body::Statement(statement));
        if let Ok(Ok(_)) = tokio::time::timeout(ROLLBACK_LIMIT, sent).await {
            self.links.give_back(self.holder.peer_address, self.link);
        }
    }
}

/// Runs a single statement at a holder.
///
/// # Errors
///
/// When it did not run, failed, or has an unknown outcome.
pub async fn single(
    session: &mut Session,
    request: &Request,
    work: &Work,
    writes: bool,
) -> Result<Served, Failure> {
    let mut search = HolderSearch::new(request_kind(request, writes));
    while let Some(holder) = search.next(session, request).await {
        match single_at(session, request, work, writes, &holder).await {
            Err(failure) if needs_other_holder(failure.kind) => {
                search.refused(session, &holder, failure);
            }
            Err(failure) if failure.kind == ErrorKind::HolderSilent => {
                search.unanswered(session, &holder);
            }
            Err(failure) if search.moves_on(session, request, &holder, &failure) => {}
            Err(failure) => return Err(search.final_failure(session, request, failure)),
            served => return served,
        }
    }
    Err(search.into_failure())
}

/// Runs a single statement at this holder only.
///
/// # Errors
///
/// When it did not run, failed, or has an unknown outcome.
pub async fn single_at(
    session: &mut Session,
    request: &Request,
    work: &Work,
    writes: bool,
    holder: &InstanceRecord,
) -> Result<Served, Failure> {
    // Running a read twice has no visible effect.
    let abandoning = if writes { Abandoning::LosesOutcome } else { Abandoning::LosesNothing };
    match send_first(session, request, holder, work, Begin::No, abandoning).await {
        Ok((reply, link)) => {
            let result = decode(session, reply);
            if !result.as_ref().is_err_and(|failure| needs_other_holder(failure.kind)) {
                session.engine().statement_links().give_back(holder.peer_address, link);
            }
            result
        }
        Err(SendError::Lost) if writes => Err(Failure::new(ErrorKind::OutcomeUnknown)),
        Err(_) => Err(Failure::new(ErrorKind::HolderSilent)),
    }
}

/// Runs a statement of a transaction at the transaction's holder, which is chosen for its
/// first statement.
///
/// # Errors
///
/// When the statement, or the whole transaction, failed.
pub async fn in_transaction(
    session: &mut Session,
    transaction: &mut Transaction,
    request: &Request,
    work: &Work,
) -> Result<Served, Failure> {
    let result = match transaction.take_remote() {
        Some(remote) => continue_transaction(session, transaction, request, work, remote).await,
        None => begin(session, transaction, request, work).await,
    };
    transaction.active_at = now();
    result
}

async fn begin(
    session: &mut Session,
    transaction: &mut Transaction,
    request: &Request,
    work: &Work,
) -> Result<Served, Failure> {
    let mut search = HolderSearch::new(request_kind(request, !transaction.is_read_only()));
    while let Some(holder) = search.next(session, request).await {
        match begin_at(session, transaction, request, work, &holder).await {
            Begun::Ended(result) => return result,
            Begun::NotHere(failure) => search.refused(session, &holder, failure),
            Begun::Overloaded(failure) => {
                if !search.moves_on(session, request, &holder, &failure) {
                    transaction.fail();
                    return Err(search.final_failure(session, request, failure));
                }
            }
            Begun::Unanswered => search.unanswered(session, &holder),
        }
    }
    transaction.fail();
    Err(search.into_failure())
}

/// How an attempt to begin a transaction at a holder ended. In all cases but the first
/// nothing lasting ran, and the transaction may begin at another holder.
pub enum Begun {
    /// The first statement has its final result.
    Ended(Result<Served, Failure>),
    /// The holder cannot serve the group.
    NotHere(Failure),
    /// The holder has too many requests.
    Overloaded(Failure),
    /// There was no reply. If the statement arrived, the transaction is rolled back when
    /// the link is closed: only a COMMIT makes changes permanent.
    Unanswered,
}

/// Begins a transaction with its first statement at this holder only.
pub async fn begin_at(
    session: &mut Session,
    transaction: &mut Transaction,
    request: &Request,
    work: &Work,
    holder: &InstanceRecord,
) -> Begun {
    let mode = if transaction.is_read_only() { Begin::ReadOnly } else { Begin::ReadWrite };
    let abandoning = Abandoning::LosesNothing;
    let sent = send_first(session, request, holder, work, mode, abandoning).await;
    transaction.active_at = now();
    match sent {
        Ok((reply, link)) => {
            let kind = (!reply.error.is_empty()).then(|| ErrorKind::from_name(&reply.error));
            let has_ended = reply.failed || !reply.in_transaction;
            let is_overloaded = kind == Some(ErrorKind::Overloaded) && has_ended;
            if is_overloaded || kind.is_some_and(needs_other_holder) {
                let not_run = Failure::new(ErrorKind::HolderSilent);
                let failure = decode(session, reply).err().unwrap_or(not_run);
                let begun = if is_overloaded { Begun::Overloaded } else { Begun::NotHere };
                return begun(failure);
            }
            let (links, holder) = (session.engine().statement_links().clone(), holder.clone());
            let remote = RemoteTransaction { links, holder, link };
            Begun::Ended(finish_statement(session, transaction, reply, remote))
        }
        Err(_) => Begun::Unanswered,
    }
}

async fn continue_transaction(
    session: &mut Session,
    transaction: &mut Transaction,
    request: &Request,
    work: &Work,
    mut remote: RemoteTransaction,
) -> Result<Served, Failure> {
    let statement = encode(session, request, work, Begin::No);
    let holder = remote.holder.clone();
    // Only the COMMIT of a transaction that wrote may take effect.
    let may_be_kept = work.statement == Statement::Commit && transaction.may_have_written();
    let abandoning = if may_be_kept { Abandoning::LosesOutcome } else { Abandoning::LosesNothing };
    let sent = send(session, request, &holder, &mut remote.link, statement, abandoning).await;
    let error = match sent {
        Ok(reply) => return finish_statement(session, transaction, reply, remote),
        Err(error) => error,
    };
    transaction.fail();
    let kind = match error {
        SendError::Lost if may_be_kept => ErrorKind::OutcomeUnknown,
        _ => ErrorKind::TransactionLost,
    };
    Err(Failure::new(kind))
}

fn finish_statement(
    session: &mut Session,
    transaction: &mut Transaction,
    reply: StatementReply,
    remote: RemoteTransaction,
) -> Result<Served, Failure> {
    if reply.in_transaction && !reply.failed {
        transaction.set_remote(remote);
    } else if reply.failed || !reply.error.is_empty() {
        // The link is closed, which rolls back what is left of the transaction.
        transaction.fail();
    } else {
        remote.links.give_back(remote.holder.peer_address, remote.link);
    }
    decode(session, reply)
}

/// Whether another holder may serve a statement that was refused with this error. The
/// statement did not run.
fn needs_other_holder(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::NotOwner | ErrorKind::Stopping | ErrorKind::CutOff)
}

/// Why a forwarded statement got no reply.
enum SendError {
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
enum Abandoning {
    /// Nothing: the statement can be sent again, or its transaction is rolled back.
    LosesNothing,
    /// Whether it took effect. So the reply is awaited until the deadline.
    LosesOutcome,
}

/// Sends a single statement, or the first one of a transaction, on any link to a holder. If
/// that link turns out to be dead, sends the statement again on a new one. Returns the link
/// with the reply.
async fn send_first(
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

async fn send(
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

fn encode(
    session: &Session,
    request: &Request,
    work: &Work,
    begin: Begin,
) -> engine_protos::Statement {
    let values = session
        .values()
        .iter()
        .map(|(name, value)| SessionValue { name: name.to_string(), value: value.to_string() });
    let floor = session.floor().unwrap_or(Position::ZERO);
    let at = now();
    let time_left = request.time_left(at).saturating_sub(PEER_ROUND_TRIP_RESERVE);
    let objective_left = request.objective_left_at(at);
    let objective_left =
        objective_left.filter(|_| !session.engine().is_held_by_all(&request.route.group));
    engine_protos::Statement {
        id: request.id.to_string(),
        route: Some(records::encode_route(&request.route)),
        time_left_ms: records::milliseconds(time_left),
        values: values.collect(),
        floor_term: floor.term,
        floor_index: floor.index,
        begin: begin.into(),
        in_transaction: session.is_in_transaction(),
        work: encode_work(work),
        account: session.caller().account.as_deref().unwrap_or_default().to_owned(),
        key_digest: session.caller().key.as_bytes().to_vec(),
        configuration_version: session.caller().configuration_version,
        ticket: rand::random(),
        objective_left_ms: objective_left.map(records::milliseconds),
    }
}

fn encode_work(work: &Work) -> Option<WireWork> {
    match &work.statement {
        Statement::Read { item } => Some(WireWork::Read(item.to_string())),
        Statement::Write { item_and_data } => Some(WireWork::Write(item_and_data.to_string())),
        Statement::Commit => Some(WireWork::Commit(true)),
        Statement::Execute { arguments, .. } => {
            let prepared = work.prepared.as_ref()?;
            Some(WireWork::Execute(Execution {
                writes: prepared.access == Access::Write,
                shape: prepared.shape.to_string(),
                arguments: arguments.to_string(),
            }))
        }
        _ => None,
    }
}

fn decode(session: &mut Session, reply: StatementReply) -> Result<Served, Failure> {
    let position = |term, index| (term > 0).then(|| Position::new(term, index));
    session.set_floor(position(reply.floor_term, reply.floor_index));
    if reply.error.is_empty() {
        let rows = reply.rows.into_iter().map(Into::into).collect();
        let answer = Answer { rows, signature: reply.signature.into() };
        return Ok(Served { answer, position: position(reply.term, reply.index) });
    }
    let kind = ErrorKind::from_name(&reply.error);
    let retry_after = Some(Duration::from_millis(reply.retry_after_ms)).filter(|t| !t.is_zero());
    Err(Failure { kind, text: reply.text.into(), retry_after })
}
