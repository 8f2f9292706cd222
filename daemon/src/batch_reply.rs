//! The reply to a batch of statements, read from the messages of a connection with the
//! PostgreSQL protocol.
//!
//! No message names the statement that it belongs to, and a server may send a reply, or a
//! part of one, once more. The last step of every batch therefore calls
//! `chervilwharf_mark` with a random number, its mark, which the server returns. A result
//! belongs to its batch if all of the following were seen on the connection since the batch
//! was sent: each step's messages in the order of the protocol and nothing between them,
//! rows as many as the command tag counts, the row with the mark of this batch, and
//! `ReadyForQuery`. A repetition before or within the reply adds a message, so that the mark
//! is not where it is expected.
//!
//! The server skips the mark after a refusal, so a refusal is certain only once the reply
//! to a second request with a mark of its own has followed it. Which step was refused is not
//! certain even then: whole steps of an earlier reply may precede the refusal, and a step
//! after the refused one is then taken for it.

use bytes::Bytes;
use bytes::BytesMut;
use chervilwharf_lib::protos::Column;
use chervilwharf_lib::protos::Result as StatementResult;
use chervilwharf_lib::protos::Row;
use displaydoc::Display;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::data::DataRow;
use pgwire::messages::data::RowDescription;
use pgwire::messages::response::ErrorResponse;
use pgwire::messages::response::TransactionStatus;

/// Largest result of a batch that is accepted. The owner and the entry instance
/// each hold a result in memory as a whole.
pub const RESULT_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// Reason why a batch did not run to its end.
#[derive(Clone, Debug)]
#[derive(Display)]
pub enum BatchError {
    /// step {step} was refused: {sqlstate} {message}
    Refused {
        /// Index of the refused step, or a higher one. It is too high if a part of an
        /// earlier reply preceded the refusal. A refusal of the last step has its index.
        step: usize,
        /// Results of the steps before it. They may be those of an earlier reply, so nothing
        /// may be concluded from them alone.
        done: Vec<StatementResult>,
        /// SQLSTATE of the refusal.
        sqlstate: String,
        /// Message of the refusal.
        message: String,
    },
    /// the connection broke: {0}
    Broken(String),
    /// the result exceeds the size limit
    TooLarge,
}

/// Messages that the reply to one step consists of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepReply {
    /// The step runs a statement, and its columns are described.
    Described,
    /// The step runs a statement, and its columns are not described.
    Undescribed,
    /// The step describes a statement and does not run it.
    Description,
}

/// Message that is expected next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Expected {
    ParseComplete,
    BindComplete,
    Parameters,
    Columns,
    Rows,
    /// `ReadyForQuery` after the mark.
    ReadyAfterMark,
    /// `ReadyForQuery` after a refusal.
    ReadyAfterRefusal,
}

/// Refusal of a step.
#[derive(Debug)]
pub struct Refusal {
    /// Results of the steps before it, possibly after some of an earlier reply.
    pub done: Vec<StatementResult>,
    /// The error that the server sent.
    pub error: ErrorResponse,
}

/// A complete reply.
#[derive(Debug)]
pub struct CompleteReply {
    /// One result per step without the mark, or the refusal that ended the batch.
    pub result: Result<Vec<StatementResult>, Refusal>,
    /// State of the transaction after the batch.
    pub status: TransactionStatus,
}

/// Reads the reply to one batch, message by message.
#[derive(Debug)]
pub struct BatchReply {
    steps: Vec<StepReply>,
    mark: u64,
    expected: Expected,
    done: Vec<StatementResult>,
    current: StatementResult,
    refusal: Option<ErrorResponse>,
    size_bytes: usize,
}

impl BatchReply {
    /// Expects the reply to these steps, followed by a step that returns `mark`.
    #[must_use]
    pub fn new(mut steps: Vec<StepReply>, mark: u64) -> Self {
        steps.push(StepReply::Undescribed);
        Self {
            done: Vec::with_capacity(steps.len()),
            steps,
            mark,
            expected: Expected::ParseComplete,
            current: StatementResult::default(),
            refusal: None,
            size_bytes: 0,
        }
    }

    /// Takes the next message of the connection. Returns the reply once it is complete.
    ///
    /// # Errors
    ///
    /// [`BatchError::Broken`] when the message cannot be part of the reply to this batch,
    /// and [`BatchError::TooLarge`] when the rows exceed [`RESULT_LIMIT_BYTES`]. The
    /// connection must not be used after either.
    pub fn accept(
        &mut self,
        message: PgWireBackendMessage,
    ) -> Result<Option<CompleteReply>, BatchError> {
        if is_asynchronous(&message) {
            return Ok(None);
        }
        let kind = self.steps.get(self.done.len()).copied();
        let is_mark = self.done.len() + 1 == self.steps.len() && !self.done.is_empty();
        self.expected = match (self.expected, message) {
            (Expected::ParseComplete, PgWireBackendMessage::ParseComplete(_)) => match kind {
                Some(StepReply::Description) => Expected::Parameters,
                _ => Expected::BindComplete,
            },
            (Expected::Parameters, PgWireBackendMessage::ParameterDescription(parameters)) => {
                self.current.parameter_type_oids = parameters.types;
                Expected::Columns
            }
            (Expected::BindComplete, PgWireBackendMessage::BindComplete(_)) => match kind {
                Some(StepReply::Described) => Expected::Columns,
                _ => Expected::Rows,
            },
            (Expected::Columns, PgWireBackendMessage::RowDescription(description)) => {
                self.current.has_rows = true;
                self.current.columns = columns(&description);
                self.after_columns(kind)?
            }
            (Expected::Columns, PgWireBackendMessage::NoData(_)) => self.after_columns(kind)?,
            (Expected::Rows, PgWireBackendMessage::DataRow(row)) => {
                self.add_row(&row, kind)?;
                Expected::Rows
            }
            // Data of COPY is discarded. The server ends it with the tag of the statement.
            (
                Expected::Rows,
                PgWireBackendMessage::CopyOutResponse(_)
                | PgWireBackendMessage::CopyData(_)
                | PgWireBackendMessage::CopyDone(_),
            ) => Expected::Rows,
            (Expected::Rows, PgWireBackendMessage::CommandComplete(complete)) => {
                self.current.command_tag = complete.tag;
                self.end_step()?
            }
            (Expected::Rows, PgWireBackendMessage::EmptyQueryResponse(_)) => self.end_step()?,
            (
                Expected::ReadyAfterMark | Expected::ReadyAfterRefusal,
                PgWireBackendMessage::ReadyForQuery(ready),
            ) => return Ok(Some(self.complete(ready.status))),
            (
                Expected::ReadyAfterMark | Expected::ReadyAfterRefusal,
                PgWireBackendMessage::ErrorResponse(_),
            ) => {
                return Err(unexpected("an error after the end of the batch"));
            }
            // The mark is refused in no state that the steps before it can leave, so an
            // earlier step was refused and a repetition has been counted as a step.
            (_, PgWireBackendMessage::ErrorResponse(_)) if is_mark => {
                return Err(unexpected("an error in place of the mark"));
            }
            (_, PgWireBackendMessage::ErrorResponse(error)) => {
                self.refusal = Some(error);
                Expected::ReadyAfterRefusal
            }
            (expected, _) => return Err(unexpected(&format!("another message than {expected:?}"))),
        };
        Ok(None)
    }

    fn after_columns(&mut self, kind: Option<StepReply>) -> Result<Expected, BatchError> {
        match kind {
            Some(StepReply::Description) => self.end_step(),
            _ => Ok(Expected::Rows),
        }
    }

    fn add_row(&mut self, row: &DataRow, kind: Option<StepReply>) -> Result<(), BatchError> {
        let column_count = usize::try_from(row.field_count).unwrap_or(0);
        if kind == Some(StepReply::Described) && column_count != self.current.columns.len() {
            return Err(unexpected("a row of other columns"));
        }
        self.size_bytes += row.data.len();
        if self.size_bytes > RESULT_LIMIT_BYTES {
            return Err(BatchError::TooLarge);
        }
        let column_count = i32::from(row.field_count);
        self.current.rows.push(Row { column_count, data: row.data.to_vec() });
        Ok(())
    }

    fn end_step(&mut self) -> Result<Expected, BatchError> {
        let kind = self.steps.get(self.done.len()).copied();
        if !has_possible_rows(&self.current, kind) {
            return Err(unexpected("another number of rows than the statement has"));
        }
        let ended = std::mem::take(&mut self.current);
        if self.done.len() + 1 < self.steps.len() {
            self.done.push(ended);
            return Ok(Expected::ParseComplete);
        }
        let row = ended.rows.first().filter(|_| ended.rows.len() == 1);
        if row.and_then(|row| number_value(&row_values(row), 0)) != Some(self.mark) {
            return Err(unexpected("not the mark of this batch"));
        }
        Ok(Expected::ReadyAfterMark)
    }

    fn complete(&mut self, status: TransactionStatus) -> CompleteReply {
        let done = std::mem::take(&mut self.done);
        let result = match self.refusal.take() {
            Some(error) => Err(Refusal { done, error }),
            None => Ok(done),
        };
        CompleteReply { result, status }
    }
}

/// Whether a server may send this message at any time, without a request.
#[must_use]
pub fn is_asynchronous(message: &PgWireBackendMessage) -> bool {
    matches!(
        message,
        PgWireBackendMessage::NoticeResponse(_)
            | PgWireBackendMessage::NotificationResponse(_)
            | PgWireBackendMessage::ParameterStatus(_)
    )
}

/// Creates the error of a connection with a message that is not part of the expected reply.
#[must_use]
pub fn unexpected(what: &str) -> BatchError {
    BatchError::Broken(format!("the server sent {what}"))
}

/// Whether a result has as many rows as its command tag counts, if the tag has a number. The
/// tags of statements such as `SHOW` have none. A statement without rows, such as `UPDATE 3`,
/// may have changed any number of them.
fn has_possible_rows(result: &StatementResult, kind: Option<StepReply>) -> bool {
    let count = result.rows.len();
    if count == 0 {
        return true;
    }
    if kind != Some(StepReply::Described) {
        // Of the proxy's own statements only queries return rows.
        return result.command_tag == format!("SELECT {count}");
    }
    let word = result.command_tag.rsplit(' ').next();
    let tagged = word.and_then(|word| word.parse::<usize>().ok());
    tagged.is_none_or(|tagged| tagged == count)
}

fn columns(description: &RowDescription) -> Vec<Column> {
    description
        .fields
        .iter()
        .map(|field| Column {
            name: field.name.clone(),
            type_oid: field.type_id,
            type_size: i32::from(field.type_size),
            type_modifier: field.type_modifier,
            format: i32::from(field.format_code),
        })
        .collect()
}

/// Splits a row into its values, in the text or binary form in which the server
/// sent them; `None` is NULL.
#[must_use]
pub fn row_values(row: &Row) -> Vec<Option<Bytes>> {
    let mut data = Bytes::from(BytesMut::from(row.data.as_slice()));
    let mut values = Vec::new();
    while data.len() >= 4 {
        let length = i32::from_be_bytes([data[0], data[1], data[2], data[3]]);
        let _ = data.split_to(4);
        let Ok(length) = usize::try_from(length) else {
            values.push(None);
            continue;
        };
        if length > data.len() {
            break;
        }
        values.push(Some(data.split_to(length)));
    }
    values
}

/// Returns a value that the server sent in text form.
#[must_use]
pub fn text_value(values: &[Option<Bytes>], index: usize) -> Option<String> {
    let bytes = values.get(index)?.as_ref()?;
    Some(String::from_utf8_lossy(bytes).into_owned())
}

/// Returns a number that the server sent in text form.
#[must_use]
pub fn number_value(values: &[Option<Bytes>], index: usize) -> Option<u64> {
    text_value(values, index)?.parse().ok()
}
