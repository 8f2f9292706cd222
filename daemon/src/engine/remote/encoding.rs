//! Statements and replies in the form in which instances send them to each other.

use std::time::Duration;

use chervilwharf_lib::engine_protos;
use chervilwharf_lib::engine_protos::Execution;
use chervilwharf_lib::engine_protos::SessionValue;
use chervilwharf_lib::engine_protos::StatementReply;
use chervilwharf_lib::engine_protos::statement::Begin;
use chervilwharf_lib::engine_protos::statement::Work as WireWork;
use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::position::Position;
use chervilwharf_lib::reply_check::Rows;
use chervilwharf_lib::session_floors::OwnCommits;
use chervilwharf_lib::statement::Access;
use chervilwharf_lib::statement::Answer;
use chervilwharf_lib::statement::Statement;

use crate::engine::clock::now;
use crate::engine::records;
use crate::engine::request::Failure;
use crate::engine::request::Request;
use crate::engine::request::Served;
use crate::engine::session::Session;
use crate::engine::single::Work;

/// Part of a request's time that is reserved for the network trip to the other instance and
/// back.
const PEER_ROUND_TRIP_RESERVE: Duration = Duration::from_millis(10);

/// The message for a statement of a session, under a new ticket.
pub(super) fn encode(
    session: &Session,
    request: &Request,
    work: &Work,
    begin: Begin,
) -> engine_protos::Statement {
    let values = session
        .values()
        .iter()
        .map(|(name, value)| SessionValue { name: name.to_string(), value: value.to_string() });
    let own = session.own_commits();
    let floor = own.position().unwrap_or(Position::ZERO);
    let at = now();
    let floor_age = match own {
        OwnCommits::UpTo(own) => at.saturating_sub(own.acknowledged_at),
        OwnCommits::None | OwnCommits::Unknown => Duration::ZERO,
    };
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
        floor_age_ms: records::milliseconds(floor_age),
        floor_unknown: own == OwnCommits::Unknown,
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

/// The result in a reply. Records the position of the last commit, which the reply carries.
///
/// # Errors
///
/// The failure that the reply reports.
pub(super) fn decode(session: &mut Session, reply: StatementReply) -> Result<Served, Failure> {
    let position = |term, index| (term > 0).then(|| Position::new(term, index));
    let floor = Position::new(reply.floor_term, reply.floor_index);
    session.adopt_own_commits(records::decode_own_commits(floor, reply.floor_unknown, now()));
    if reply.error.is_empty() {
        let rows = reply.rows.into_iter().map(Into::into).collect();
        let answer = Answer { rows, signature: reply.signature.into() };
        // The other instance answers only with rows that are certain.
        let rows = Rows::Certain;
        return Ok(Served { answer, position: position(reply.term, reply.index), rows });
    }
    let kind = ErrorKind::from_name(&reply.error);
    let retry_after = Some(Duration::from_millis(reply.retry_after_ms)).filter(|t| !t.is_zero());
    Err(Failure { kind, text: reply.text.into(), retry_after })
}
