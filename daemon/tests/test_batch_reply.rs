//! Replies to batches at a server that sends a part of an earlier reply once more.

use bytes::BufMut;
use bytes::BytesMut;
use chervilwharf_daemon::batch_reply::BatchReply;
use chervilwharf_daemon::batch_reply::CompleteReply;
use chervilwharf_daemon::batch_reply::StepReply;
use chervilwharf_daemon::batch_reply::row_values;
use chervilwharf_daemon::batch_reply::text_value;
use chervilwharf_lib::protos::Result as StatementResult;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::data::DataRow;
use pgwire::messages::data::FieldDescription;
use pgwire::messages::data::NoData;
use pgwire::messages::data::RowDescription;
use pgwire::messages::extendedquery::BindComplete;
use pgwire::messages::extendedquery::ParseComplete;
use pgwire::messages::response::CommandComplete;
use pgwire::messages::response::ErrorResponse;
use pgwire::messages::response::ReadyForQuery;
use pgwire::messages::response::TransactionStatus;

/// A message of a reply, in a form that can be repeated.
#[derive(Clone, Debug, PartialEq)]
enum Sent {
    Parsed,
    Bound,
    Columns,
    NoColumns,
    Row(String),
    Tag(&'static str),
    Refused(String),
    Ready(TransactionStatus),
}

impl Sent {
    fn message(&self) -> PgWireBackendMessage {
        match self {
            Self::Parsed => PgWireBackendMessage::ParseComplete(ParseComplete::new()),
            Self::Bound => PgWireBackendMessage::BindComplete(BindComplete::new()),
            Self::Columns => {
                let field = FieldDescription::new("v".into(), 0, 0, 25, -1, -1, 0);
                PgWireBackendMessage::RowDescription(RowDescription::new(vec![field]))
            }
            Self::NoColumns => PgWireBackendMessage::NoData(NoData::new()),
            Self::Row(text) => {
                let mut data = BytesMut::new();
                data.put_i32(i32::try_from(text.len()).unwrap());
                data.put_slice(text.as_bytes());
                PgWireBackendMessage::DataRow(DataRow::new(data, 1))
            }
            Self::Tag(tag) => {
                PgWireBackendMessage::CommandComplete(CommandComplete::new((*tag).to_owned()))
            }
            Self::Refused(text) => {
                let fields = vec![(b'C', "XX000".to_owned()), (b'M', text.clone())];
                PgWireBackendMessage::ErrorResponse(ErrorResponse::new(fields))
            }
            Self::Ready(status) => PgWireBackendMessage::ReadyForQuery(ReadyForQuery::new(*status)),
        }
    }
}

/// A statement of a batch.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Statement {
    /// One of the proxy without rows, with its command tag.
    Control(&'static str),
    /// One of the proxy that returns a row.
    LookUp,
    /// One of a client that returns this many rows.
    Select(usize),
    /// One of a client that returns no rows.
    Update,
    /// One of a client that returns no rows, with a command tag without a number.
    Create,
}

/// Batches of the kinds that the proxy sends.
fn batches() -> Vec<Vec<Statement>> {
    use Statement::*;
    vec![
        vec![Select(1)],
        vec![Select(0)],
        vec![Update],
        vec![Create],
        vec![LookUp],
        vec![Control("BEGIN")],
        vec![Control("BEGIN"), LookUp, Select(2), LookUp, Control("COMMIT")],
        vec![Control("BEGIN"), LookUp, Update],
        vec![Control("INSERT 0 1"), Control("COMMIT"), LookUp],
    ]
}

fn expected(batch: &[Statement]) -> Vec<StepReply> {
    let kind = |statement: &Statement| match statement {
        Statement::Control(_) | Statement::LookUp => StepReply::Undescribed,
        Statement::Select(_) | Statement::Update | Statement::Create => StepReply::Described,
    };
    batch.iter().map(kind).collect()
}

/// The reply to a batch whose values have this number and whose mark it is. With `refused_at`
/// the step of that index is refused.
fn reply(batch: &[Statement], number: u64, refused_at: Option<usize>) -> Vec<Sent> {
    let mut sent = Vec::new();
    for (index, statement) in batch.iter().enumerate() {
        if refused_at == Some(index) {
            sent.push(Sent::Refused(format!("refused {number}")));
            sent.push(Sent::Ready(TransactionStatus::Idle));
            return sent;
        }
        sent.extend([Sent::Parsed, Sent::Bound]);
        let value = || Sent::Row(format!("value {number}"));
        match statement {
            Statement::Control(tag) => sent.push(Sent::Tag(tag)),
            Statement::LookUp => sent.extend([value(), Sent::Tag("SELECT 1")]),
            Statement::Select(count) => {
                sent.push(Sent::Columns);
                sent.extend((0..*count).map(|_| value()));
                sent.push(Sent::Tag(["SELECT 0", "SELECT 1", "SELECT 2"][*count]));
            }
            Statement::Update => sent.extend([Sent::NoColumns, Sent::Tag("UPDATE 1")]),
            Statement::Create => sent.extend([Sent::NoColumns, Sent::Tag("CREATE TABLE")]),
        }
    }
    sent.extend(marked(number));
    sent
}

fn marked(number: u64) -> Vec<Sent> {
    let ready = Sent::Ready(TransactionStatus::Idle);
    vec![Sent::Parsed, Sent::Bound, Sent::Row(number.to_string()), Sent::Tag("SELECT 1"), ready]
}

/// Reads one reply. `None` if the connection is found to be broken; the messages that were
/// not read remain.
fn read(steps: Vec<StepReply>, mark: u64, sent: &mut Vec<Sent>) -> Option<CompleteReply> {
    let mut reader = BatchReply::new(steps, mark);
    while !sent.is_empty() {
        if let Some(reply) = reader.accept(sent.remove(0).message()).ok()? {
            return Some(reply);
        }
    }
    panic!("the reply has no end");
}

fn values(results: &[StatementResult]) -> Vec<Vec<Option<String>>> {
    let of_rows = |result: &StatementResult| {
        result.rows.iter().map(|row| text_value(&row_values(row), 0)).collect()
    };
    results.iter().map(of_rows).collect()
}

/// Text of a refusal.
fn text(error: &ErrorResponse) -> &str {
    &error.fields.iter().find(|(code, _)| *code == b'M').unwrap().1
}

/// Number of the batch under test, its mark, and that of the request that confirms a refusal.
const OWN: u64 = 7;
const CONFIRMATION: u64 = 8;

/// Reads the reply to `batch` from these messages and checks that what counts is its own.
fn check(batch: &[Statement], refused_at: Option<usize>, mut sent: Vec<Sent>, case: &str) -> bool {
    sent.extend(marked(CONFIRMATION));
    let Some(reply) = read(expected(batch), OWN, &mut sent) else {
        return false;
    };
    match reply.result {
        Ok(results) => {
            let mut own = reply_of(batch);
            own.truncate(results.len());
            assert_eq!(refused_at, None, "{case}: a refused batch is taken as run");
            assert_eq!(values(&results), own, "{case}");
        }
        Err(refusal) => {
            let confirmed = read(Vec::new(), CONFIRMATION, &mut sent);
            if confirmed.is_none_or(|reply| reply.result.is_err()) {
                return false;
            }
            let step = refused_at.expect(case);
            assert_eq!(text(&refusal.error), format!("refused {OWN}"), "{case}");
            // Whole steps of an earlier reply can precede the refusal of an earlier step.
            assert!(refusal.done.len() >= step, "{case}: the step that was refused");
            if step + 1 == batch.len() {
                assert_eq!(refusal.done.len(), step, "{case}: the step that was refused");
                assert_eq!(values(&refusal.done), reply_of(&batch[..step]), "{case}");
            }
        }
    }
    true
}

/// Values of the rows of each step.
fn reply_of(batch: &[Statement]) -> Vec<Vec<Option<String>>> {
    let rows = |statement: &Statement| {
        let count = match statement {
            Statement::Select(count) => *count,
            Statement::LookUp => 1,
            Statement::Control(_) | Statement::Update | Statement::Create => 0,
        };
        vec![Some(format!("value {OWN}")); count]
    };
    batch.iter().map(rows).collect()
}

/// Replies of a batch: without a refusal, and with one at each step.
fn outcomes(batch: &[Statement]) -> Vec<Option<usize>> {
    std::iter::once(None).chain((0..batch.len()).map(Some)).collect()
}

/// Guards against a rule of the protocol that a reply of a healthy server does not fit.
#[test]
fn test_reply_of_each_kind_is_accepted() {
    for batch in batches() {
        for refused_at in outcomes(&batch) {
            let sent = reply(&batch, OWN, refused_at);
            let case = format!("{batch:?} refused at {refused_at:?}");
            assert!(check(&batch, refused_at, sent, &case), "{case}");
        }
    }
}

/// Guards against results and refusals that are another batch's: any part of the reply to an
/// earlier batch arrives before, within or after the reply, and what counts is its own.
#[test]
fn test_no_part_of_an_earlier_reply_is_taken_for_the_own_reply() {
    let mut cases = 0;
    for batch in batches() {
        for refused_at in outcomes(&batch) {
            let own = reply(&batch, OWN, refused_at);
            for earlier in batches() {
                for earlier_refused_at in outcomes(&earlier) {
                    let repeated = reply(&earlier, 3, earlier_refused_at);
                    for from in 0..repeated.len() {
                        for to in from + 1..=repeated.len() {
                            for at in 0..=own.len() {
                                let mut sent = own.clone();
                                sent.splice(at..at, repeated[from..to].iter().cloned());
                                let case = format!(
                                    "{batch:?} refused at {refused_at:?}, {:?} at {at}",
                                    &repeated[from..to]
                                );
                                check(&batch, refused_at, sent, &case);
                                cases += 1;
                            }
                        }
                    }
                }
            }
        }
    }
    assert!(cases > 100_000, "only {cases} cases");
}
