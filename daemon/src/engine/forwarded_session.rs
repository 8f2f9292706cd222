//! Sessions for forwarded statements: statements that another instance sends for the session
//! of one of its clients, because this instance holds connections to their group.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use chervilwharf_lib::account::KeyDigest;
use chervilwharf_lib::catalog::Route;
use chervilwharf_lib::engine_protos;
use chervilwharf_lib::engine_protos::StatementReply;
use chervilwharf_lib::engine_protos::statement::Begin;
use chervilwharf_lib::engine_protos::statement::Work as WireWork;
use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::field_text;
use chervilwharf_lib::id::GroupId;
use chervilwharf_lib::position::Position;
use chervilwharf_lib::received_statements::StatementTicket;
use chervilwharf_lib::session_floors::OwnCommits;
use chervilwharf_lib::statement::Access;
use chervilwharf_lib::statement::Prepared;
use chervilwharf_lib::statement::Statement;
use chervilwharf_lib::statement::TransactionState;
use chervilwharf_lib::statement_timing;

use crate::engine::caller::Caller;
use crate::engine::clock::now;
use crate::engine::peers::ForwardedStatementHandler;
use crate::engine::records;
use crate::engine::request::Failure;
use crate::engine::request::Request;
use crate::engine::request::Served;
use crate::engine::session::Session;
use crate::engine::shared::Engine;
use crate::engine::single::Work;

/// Runs the forwarded statements of one link, one at a time. The session is dropped when the
/// link ends, which rolls back its transaction.
pub struct ForwardedSession {
    engine: Arc<Engine>,
    session: Option<Session>,
}

/// The work of a forwarded statement.
enum ForwardedWork {
    Run(Work, bool),
    Commit,
    RollBack,
}

impl ForwardedSession {
    /// A session that has not run any statement yet.
    #[must_use]
    pub fn new(engine: Arc<Engine>) -> Self {
        Self { engine, session: None }
    }

    async fn run_inner(&mut self, mut statement: engine_protos::Statement) -> StatementReply {
        let begin = statement.begin();
        let own = own_commits(&statement);
        let refusal = |kind| refusal(kind, own);
        if !has_sendable_texts(&statement) {
            return refusal(ErrorKind::BadStatement);
        }
        let Some(work) = decode_work(statement.work.take()) else {
            return refusal(ErrorKind::BadStatement);
        };
        if matches!(work, ForwardedWork::RollBack) {
            self.session = None;
            return StatementReply::default();
        }
        let Some(route) =
            statement.route.take().map(|route| Arc::new(records::decode_route(route)))
        else {
            return refusal(ErrorKind::BadStatement);
        };
        let continues = statement.in_transaction && begin == Begin::No;
        let in_transaction = self.session.as_ref().is_some_and(Session::is_in_transaction);
        if continues && !in_transaction {
            return refusal(ErrorKind::TransactionLost);
        }
        if !continues {
            if !self.engine.is_prepared() || !self.engine.knows_candidate_holders() {
                // An instance that has just started does not know yet which groups it holds.
                // After a refusal it would get no statements of the group for half a second.
                let limit = statement_timing::max_start_wait(route.objective);
                let until = now() + limit;
                self.engine.wait_until_prepared(limit).await;
                self.engine.wait_for_candidate_holders(until).await;
            }
            if !self.engine.is_holder(&route.group) {
                return refusal(ErrorKind::NotOwner);
            }
            if self.engine.is_stopping() {
                return refusal(ErrorKind::Stopping);
            }
        }
        let Some(caller) = self.caller(&statement, &route) else {
            self.session = None;
            return refusal(ErrorKind::UnknownKey);
        };
        let arrived_at = now();
        let deadline = arrived_at + Duration::from_millis(statement.time_left_ms);
        let objective_left = statement.objective_left_ms.map(Duration::from_millis);
        let id = statement.id.into();
        let request = Request { id, route, arrived_at, deadline, objective_left };
        let engine = self.engine.clone();
        let session = self.session.get_or_insert_with(|| {
            Session::forwarded_session(engine, &request.route, caller.clone())
        });
        if !continues {
            // Rolls back a transaction that an earlier user of the link left open. The
            // statement would run inside it otherwise.
            session.drop_transaction();
        }
        session.use_route(&request.id, &request.route, caller);
        let values = statement.values.into_iter();
        session.set_values(values.map(|value| (value.name.into(), value.value.into())).collect());
        session.set_own_commits(own);
        if begin != Begin::No {
            session.begin_forwarded(&request.route, begin == Begin::ReadOnly);
        }
        let result = match work {
            ForwardedWork::Run(work, writes) => session.run_work(&request, &work, writes).await,
            ForwardedWork::Commit => session.commit_work(&request).await,
            ForwardedWork::RollBack => return StatementReply::default(),
        };
        let reply = encode_reply(session, result);
        if !session.is_in_transaction() {
            session.stop_counting();
        }
        reply
    }

    /// The client of a statement, according to the newer configuration of the two instances.
    /// The other instance may not have received yet that a key was removed. `None` if no
    /// account has the client's key.
    fn caller(&self, statement: &engine_protos::Statement, route: &Route) -> Option<Caller> {
        let key = KeyDigest::from_bytes(&statement.key_digest);
        let account = Some(&*statement.account).filter(|account| !account.is_empty());
        let sent = Caller {
            key: key.unwrap_or_else(|| KeyDigest::of("")),
            account: account.map(Into::into),
            configuration_version: statement.configuration_version,
        };
        let caller = sent.check_again(&self.engine.catalog(), route).ok()?;
        // A transaction's connection belongs to the account that began it.
        let continues = statement.in_transaction && statement.begin() == Begin::No;
        (!continues || caller.account == sent.account).then_some(caller)
    }
}

/// Marks a forwarded statement as running until it is dropped.
struct ArrivedGuard {
    engine: Arc<Engine>,
    ticket: StatementTicket,
}

impl ArrivedGuard {
    /// Returns `None` if the statement must not run, because it was withdrawn: this
    /// instance has replied to the sender that it will not run.
    fn new(engine: &Arc<Engine>, ticket: StatementTicket) -> Option<Self> {
        let may_run = ticket == 0
            || engine.with_received_statements(|received_statements| {
                received_statements.begin(now(), ticket)
            });
        may_run.then(|| Self { engine: engine.clone(), ticket })
    }
}

impl Drop for ArrivedGuard {
    fn drop(&mut self) {
        if self.ticket != 0 {
            self.engine.with_received_statements(|received_statements| {
                received_statements.end(now(), self.ticket);
            });
        }
    }
}

#[async_trait]
impl ForwardedStatementHandler for ForwardedSession {
    async fn run(&mut self, statement: engine_protos::Statement) -> StatementReply {
        let Some(_arrived) = ArrivedGuard::new(&self.engine, statement.ticket) else {
            return refusal(ErrorKind::NotOwner, own_commits(&statement));
        };
        let group = statement.route.as_ref().map(|route| GroupId::from(&*route.group));
        let mut reply = self.run_inner(statement).await;
        reply.load = group.filter(|group| self.engine.is_holder(group)).and_then(|group| {
            let shard = self.engine.shard(&group);
            self.engine.load_report(&shard)
        });
        reply
    }
}

/// Whether all texts can be sent to a server: those that are followed by another field are words,
/// and the others contain no line end.
fn has_sendable_texts(statement: &engine_protos::Statement) -> bool {
    let is_last_field = |text: &str| !text.is_empty() && field_text::is_line(text);
    let has_sendable_work = match &statement.work {
        Some(WireWork::Rollback(_)) => return true,
        Some(WireWork::Read(text) | WireWork::Write(text)) => is_last_field(text),
        Some(WireWork::Execute(execution)) => {
            is_last_field(&execution.shape) && is_last_field(&execution.arguments)
        }
        Some(WireWork::Commit(_)) | None => true,
    };
    let has_sendable_values = statement
        .values
        .iter()
        .all(|value| field_text::is_word(&value.name) && is_last_field(&value.value));
    let account = &statement.account;
    field_text::is_word(&statement.id)
        && (account.is_empty() || field_text::is_word(account))
        && has_sendable_values
        && has_sendable_work
}

fn decode_work(work: Option<WireWork>) -> Option<ForwardedWork> {
    let run = |statement, prepared, writes| {
        Some(ForwardedWork::Run(Work { statement, prepared }, writes))
    };
    match work? {
        WireWork::Read(item) => run(Statement::Read { item: item.into() }, None, false),
        WireWork::Write(text) => run(Statement::Write { item_and_data: text.into() }, None, true),
        WireWork::Commit(_) => Some(ForwardedWork::Commit),
        WireWork::Rollback(_) => Some(ForwardedWork::RollBack),
        WireWork::Execute(execution) => {
            let access = if execution.writes { Access::Write } else { Access::Read };
            let prepared = Prepared { access, shape: execution.shape.into() };
            let name = prepared.shared_name();
            let statement = Statement::Execute { name, arguments: execution.arguments.into() };
            run(statement, Some(prepared), execution.writes)
        }
    }
}

/// The reply that refuses a statement. It returns the session's floor unchanged, since the
/// other instance adopts the floor of the reply. Without it, later reads of the session could
/// miss its own commit.
fn refusal(kind: ErrorKind, own: OwnCommits) -> StatementReply {
    let failure = Failure::new(kind);
    StatementReply {
        error: kind.name().to_owned(),
        text: failure.text.to_string(),
        ..reply_with(own)
    }
}

/// The own commits of the client's session, as the other instance sent them.
fn own_commits(statement: &engine_protos::Statement) -> OwnCommits {
    let position = Position::new(statement.floor_term, statement.floor_index);
    let acknowledged_at = now().saturating_sub(Duration::from_millis(statement.floor_age_ms));
    records::decode_own_commits(position, statement.floor_unknown, acknowledged_at)
}

/// A reply that has only the own commits of the client's session.
fn reply_with(own: OwnCommits) -> StatementReply {
    let floor = own.position().unwrap_or(Position::ZERO);
    StatementReply {
        floor_term: floor.term,
        floor_index: floor.index,
        floor_unknown: own == OwnCommits::Unknown,
        ..StatementReply::default()
    }
}

fn encode_reply(session: &Session, result: Result<Served, Failure>) -> StatementReply {
    let state = session.state();
    let parts = &session.trace().parts;
    let mut reply = StatementReply {
        waited_ms: records::nearest_milliseconds(parts.waited),
        opening_ms: records::nearest_milliseconds(parts.opening),
        at_server_ms: records::nearest_milliseconds(parts.at_server),
        in_transaction: state != TransactionState::Idle,
        failed: state == TransactionState::Failed,
        ..reply_with(session.own_commits())
    };
    match result {
        Ok(served) => {
            reply.rows = served.answer.rows.iter().map(ToString::to_string).collect();
            reply.signature = served.answer.signature.to_string();
            let position = served.position.unwrap_or(Position::ZERO);
            (reply.term, reply.index) = (position.term, position.index);
        }
        Err(failure) => {
            failure.kind.name().clone_into(&mut reply.error);
            reply.text = failure.text.to_string();
            let after = failure.retry_after.unwrap_or_default().as_millis();
            reply.retry_after_ms = u64::try_from(after).unwrap_or(u64::MAX);
        }
    }
    reply
}
