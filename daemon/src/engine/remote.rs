//! Statements that go through another instance, which holds the connections to
//! their group.

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
use chervilwharf_lib::id::InstanceId;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::peer_contact::LIVENESS_CHECK_AFTER;
use chervilwharf_lib::peer_contact::LIVENESS_TIMEOUT;
use chervilwharf_lib::position::Position;
use chervilwharf_lib::received_statements::Fate;
use chervilwharf_lib::received_statements::StatementTicket;
use chervilwharf_lib::statement::Access;
use chervilwharf_lib::statement::Answer;
use chervilwharf_lib::statement::Statement;

use crate::engine::clock::now;
use crate::engine::event_log;
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

/// Part of the time that is kept back for the way to the other instance and
/// back.
const PEER_TRIP_RESERVE: Duration = Duration::from_millis(10);

/// Pause between two questions to an instance at which a statement takes long: a
/// few times the usual statement, since it is known to be alive.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Links kept open to one instance. More are opened when more statements are
/// under way, and closed afterwards.
const KEPT_LINKS: usize = 4;

/// Idle links for statements, by address.
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

    /// Closes idle links to an address: one went silent, and they are as old.
    fn close_idle(&self, address: SocketAddr) {
        self.idle.lock().expect("never poisoned").remove(&address);
    }

    /// Closes links to addresses that are not in use any more.
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

/// A transaction at another instance.
pub struct RemoteTransaction {
    links: Arc<StatementLinks>,
    holder: InstanceRecord,
    link: PeerLink,
}

impl RemoteTransaction {
    /// Rolls back. A link that cannot carry that is closed, which rolls back
    /// as well.
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

/// Runs a single statement through a holder.
///
/// # Errors
///
/// When it did not run, or nobody can tell whether it did.
pub async fn single(
    session: &mut Session,
    request: &Request,
    work: &Work,
    writes: bool,
) -> Result<Served, Failure> {
    // Reads may run twice: nobody can tell.
    let leaving = if writes { Leaving::LosesOutcome } else { Leaving::LosesNothing };
    let mut search = Search::default();
    while let Some(holder) = search.next(session, request).await {
        match send_first(session, request, &holder, work, Begin::No, leaving).await {
            Ok((reply, _)) if needs_other_holder(&reply) => search.refused(session, &holder, reply),
            Ok((reply, link)) => {
                session.engine().statement_links().give_back(holder.peer_address, link);
                return decode(session, reply);
            }
            Err(SendError::Lost) if writes => return Err(Failure::new(ErrorKind::OutcomeUnknown)),
            Err(_) => search.silent(session, &holder),
        }
    }
    Err(search.into_failure())
}

/// Runs a statement of a transaction through its holder; the first one picks
/// it.
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
        Some(remote) => go_on(session, transaction, request, work, remote).await,
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
    let mode = if transaction.is_read_only() { Begin::ReadOnly } else { Begin::ReadWrite };
    let mut search = Search::default();
    while let Some(holder) = search.next(session, request).await {
        let leaving = Leaving::LosesNothing;
        match send_first(session, request, &holder, work, mode, leaving).await {
            Ok((reply, _)) if needs_other_holder(&reply) => search.refused(session, &holder, reply),
            Ok((reply, link)) => {
                let links = session.engine().statement_links().clone();
                let remote = RemoteTransaction { links, holder, link };
                return settle(session, transaction, reply, remote);
            }
            // Where it did get there it is rolled back when the link ends: only
            // a COMMIT keeps anything.
            Err(_) => search.silent(session, &holder),
        }
    }
    transaction.fail();
    Err(search.into_failure())
}

async fn go_on(
    session: &mut Session,
    transaction: &mut Transaction,
    request: &Request,
    work: &Work,
    mut remote: RemoteTransaction,
) -> Result<Served, Failure> {
    let statement = encode(session, request, work, Begin::No);
    let holder = remote.holder.clone();
    // Only a COMMIT that wrote may be kept.
    let may_be_kept = work.statement == Statement::Commit && transaction.may_have_written();
    let leaving = if may_be_kept { Leaving::LosesOutcome } else { Leaving::LosesNothing };
    let sent = send(session, request, &holder, &mut remote.link, statement, leaving).await;
    let error = match sent {
        Ok(reply) => return settle(session, transaction, reply, remote),
        Err(error) => error,
    };
    transaction.fail();
    let kind = match error {
        SendError::Lost if may_be_kept => ErrorKind::OutcomeUnknown,
        _ => ErrorKind::TransactionLost,
    };
    Err(Failure::new(kind))
}

fn settle(
    session: &mut Session,
    transaction: &mut Transaction,
    reply: StatementReply,
    remote: RemoteTransaction,
) -> Result<Served, Failure> {
    if reply.in_transaction && !reply.failed {
        transaction.set_remote(remote);
    } else if reply.failed || !reply.error.is_empty() {
        // The link is closed, and with it what is left of the transaction.
        transaction.fail();
    } else {
        remote.links.give_back(remote.holder.peer_address, remote.link);
    }
    decode(session, reply)
}

/// The search for a holder that can serve a request.
#[derive(Default)]
struct Search {
    tried: Vec<InstanceId>,
    /// Why the last one that was tried could not.
    last: Option<Failure>,
}

impl Search {
    /// The next holder to try; `None` if there is none that could, or the time
    /// is over.
    async fn next(&mut self, session: &Session, request: &Request) -> Option<InstanceRecord> {
        if now() >= request.deadline {
            return None;
        }
        let group = &request.route.group;
        let found = session.engine().find_holder(group, &session.affinity(), &self.tried).await?;
        // One that just refused is asked again, but only one: it is known not to
        // be servable here, and another instance may be able to.
        let hopeless = found.recently_refused && self.last.is_some();
        (!hopeless).then_some(found.record)
    }

    /// A holder could not serve it; nothing ran.
    fn refused(&mut self, session: &mut Session, holder: &InstanceRecord, reply: StatementReply) {
        session.engine().holder_lists().observe_unable(session.shard().id(), &holder.id);
        // It holds no answer.
        if let Err(failure) = decode(session, reply) {
            self.skip_holder(session, holder, failure);
        }
    }

    /// A holder did not answer; what it may have done can be done again.
    fn silent(&mut self, session: &Session, holder: &InstanceRecord) {
        self.skip_holder(session, holder, Failure::new(ErrorKind::HolderSilent));
    }

    fn skip_holder(&mut self, session: &Session, holder: &InstanceRecord, failure: Failure) {
        session.report_retry(&failure);
        self.tried.push(holder.id.clone());
        self.last = Some(failure);
    }

    fn into_failure(self) -> Failure {
        self.last.unwrap_or_else(|| Failure::new(ErrorKind::HolderSilent))
    }
}

/// Whether another instance has to be asked; nothing ran.
fn needs_other_holder(reply: &StatementReply) -> bool {
    let kind = ErrorKind::from_name(&reply.error);
    let elsewhere = matches!(kind, ErrorKind::NotOwner | ErrorKind::Stopping | ErrorKind::CutOff);
    !reply.error.is_empty() && elsewhere
}

enum SendError {
    /// The statement cannot have reached the other instance.
    NotSent,
    /// The link went silent. The other instance lives, and the statement will not run
    /// there, or can be sent again though it did.
    LinkSilent,
    /// It may have.
    Lost,
}

/// What is lost when a statement that was sent is not waited for any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Leaving {
    /// Nothing: it can be sent again, or what it belongs to is rolled back.
    LosesNothing,
    /// Whether it was kept. It is waited for as long as there is time.
    LosesOutcome,
}

/// Sends a statement that is bound to no link. Where the link went silent it is sent
/// again on a new one. Returns the link as well.
async fn send_first(
    session: &mut Session,
    request: &Request,
    holder: &InstanceRecord,
    work: &Work,
    begin: Begin,
    leaving: Leaving,
) -> Result<(StatementReply, PeerLink), SendError> {
    let links = session.engine().statement_links().clone();
    let mut link = links.take(holder.peer_address);
    let statement = encode(session, request, work, begin);
    let mut sent = send(session, request, holder, &mut link, statement, leaving).await;
    if matches!(sent, Err(SendError::LinkSilent)) {
        links.close_idle(holder.peer_address);
        link = PeerLink::default();
        let statement = encode(session, request, work, begin);
        sent = send(session, request, holder, &mut link, statement, leaving).await;
    }
    sent.map(|reply| (reply, link))
}

async fn send(
    session: &mut Session,
    request: &Request,
    holder: &InstanceRecord,
    link: &mut PeerLink,
    statement: engine_protos::Statement,
    leaving: Leaving,
) -> Result<StatementReply, SendError> {
    let sent_at = now();
    let engine = session.engine().clone();
    let result = exchange(&engine, request, holder, link, statement, leaving).await;
    session.trace_mut().sent(holder.id.clone(), now().saturating_sub(sent_at));
    if result.is_ok() {
        engine.peer_contacts().heard(sent_at, &holder.id);
    }
    result
}

async fn exchange(
    engine: &Engine,
    request: &Request,
    holder: &InstanceRecord,
    link: &mut PeerLink,
    statement: engine_protos::Statement,
    leaving: Leaving,
) -> Result<StatementReply, SendError> {
    let sent_at = now();
    let limit = LIVENESS_TIMEOUT.min(request.time_left(sent_at));
    let Ok(Ok(())) = tokio::time::timeout(limit, link.open(holder.peer_address)).await else {
        engine.peer_contacts().missed(sent_at, &holder.id);
        return Err(SendError::NotSent);
    };
    let ticket = statement.ticket;
    let exchange = link.exchange(holder.peer_address, Body::Statement(statement));
    let time_left = request.time_left(now());
    let mut exchange = std::pin::pin!(tokio::time::timeout(time_left, exchange));
    let result = tokio::select! {
        result = &mut exchange => result,
        fate = detect_dead_link(engine, holder, ticket, sent_at) => match (fate, leaving) {
            (Some(Fate::Withdrawn), _) | (Some(_), Leaving::LosesNothing) => {
                return Err(SendError::LinkSilent);
            }
            (None, Leaving::LosesNothing) => return Err(SendError::Lost),
            (_, Leaving::LosesOutcome) => exchange.await,
        },
    };
    match result {
        Ok(Ok(Body::StatementReply(reply))) => Ok(reply),
        Ok(Err(LinkError::NotConnected(_))) => Err(SendError::NotSent),
        Ok(Ok(_) | Err(_)) | Err(_) => Err(SendError::Lost),
    }
}

/// Ends when the link to an instance is silent, with what became of the statement that
/// was sent on it; `None` if the instance gives no sign of life.
async fn detect_dead_link(
    engine: &Engine,
    holder: &InstanceRecord,
    ticket: StatementTicket,
    sent_at: Moment,
) -> Option<Fate> {
    tokio::time::sleep(LIVENESS_CHECK_AFTER).await;
    loop {
        let fate = engine.ask_for_statement(holder, ticket, sent_at).await?;
        if fate == Fate::Open {
            tokio::time::sleep(STATUS_POLL_INTERVAL).await;
            continue;
        }
        if fate == Fate::Ended {
            // Its answer may be on the way.
            tokio::time::sleep(LIVENESS_TIMEOUT).await;
        }
        let event = Event::new(EventKind::PeerFailed).with("peer", &holder.id);
        event_log::emit(&event.with("reason", "a link went silent"));
        return Some(fate);
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
    let time_left = request.time_left(now()).saturating_sub(PEER_TRIP_RESERVE);
    engine_protos::Statement {
        id: request.id.to_string(),
        route: Some(records::encode_route(&request.route)),
        time_left_ms: u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX),
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
