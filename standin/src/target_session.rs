//! SQL sessions of the stand-in server, on SQLite.
//!
//! The data is in a temporary file in WAL mode, the only mode of SQLite in which readers
//! and a writer don't block each other.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chervilwharf_lib::position::Position;
use pgwire::api::Type;
use rusqlite::Connection;
use rusqlite::functions::FunctionFlags;
use rusqlite::types::Value;
use tokio::sync::OwnedMutexGuard;

use crate::target::TargetCore;
use crate::target::apply_all_of;
use crate::target_contract::ContractCall;
use crate::target_log::LogEntry;
use crate::target_log::LoggedStatement;
use crate::target_log::LoggedValue;
use crate::target_log::Upstream;

/// An error in the form that PostgreSQL clients receive.
#[derive(Clone, Debug)]
pub struct SqlError {
    /// SQLSTATE code.
    pub code: &'static str,
    /// Message text.
    pub message: String,
}

impl SqlError {
    fn new(code: &'static str, message: impl Into<String>) -> Self {
        Self { code, message: message.into() }
    }
}

fn sqlite_error(error: &rusqlite::Error) -> SqlError {
    let message = error.to_string();
    let code = match error.sqlite_error_code() {
        Some(rusqlite::ErrorCode::ConstraintViolation) => {
            if message.contains("UNIQUE") {
                "23505"
            } else {
                "23000"
            }
        }
        Some(rusqlite::ErrorCode::ReadOnly) => "25006",
        Some(rusqlite::ErrorCode::DatabaseBusy | rusqlite::ErrorCode::DatabaseLocked) => "55P03",
        _ if message.contains("no such table") => "42P01",
        _ if message.contains("no such column") => "42703",
        _ if message.contains("syntax error") => "42601",
        _ => "XX000",
    };
    SqlError::new(code, message)
}

/// Rows and their columns.
#[derive(Clone, Debug, Default)]
pub struct Rows {
    /// Names and types of the columns.
    pub columns: Vec<(String, Type)>,
    /// Values of each row, in the order of the columns.
    pub rows: Vec<Vec<Value>>,
}

/// Result of a statement.
pub enum Outcome {
    /// It returned rows.
    Rows(Rows),
    /// It ran without rows; the text is its command tag, such as `INSERT 0 1`.
    Done(String),
    /// It began a transaction.
    Begun,
    /// It ended a transaction; the text is its command tag.
    Ended(&'static str),
}

/// The temporary SQLite file with the data of one server, and the connection that applies
/// log entries to it.
///
/// The generation counts the resets. Each generation has a file of its own, and sessions of
/// an earlier generation open the new file before their next statement.
pub struct DataFile {
    directory: PathBuf,
    generation: AtomicU64,
    apply_connection: Mutex<(Connection, Arc<AtomicU64>)>,
}

impl DataFile {
    /// Creates an empty database in a new temporary directory.
    pub fn new() -> std::io::Result<Self> {
        let name = format!("chervilwharf-standin-{}", uuid::Uuid::now_v7());
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory)?;
        let connection = open(&directory.join("0.db")).map_err(std::io::Error::other)?;
        Ok(Self {
            directory,
            generation: AtomicU64::new(0),
            apply_connection: Mutex::new(connection),
        })
    }

    fn path(&self) -> PathBuf {
        self.directory.join(format!("{}.db", self.generation.load(Ordering::SeqCst)))
    }

    /// Replaces the data by an empty database, after applied entries were removed from the
    /// log.
    pub fn reset(&self) {
        let mut connection = self.apply_connection.lock().expect("the connection is not poisoned");
        self.generation.fetch_add(1, Ordering::SeqCst);
        *connection = open(&self.path()).expect("a new file can be opened");
    }
}

impl Drop for DataFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Opens a connection. The SQL function `chervilwharf_next_position()` returns the value of
/// the counter that comes with it.
fn open(path: &PathBuf) -> rusqlite::Result<(Connection, Arc<AtomicU64>)> {
    let connection = Connection::open(path)?;
    connection.pragma_update(None, "journal_mode", "WAL")?;
    connection.pragma_update(None, "synchronous", "OFF")?;
    connection.busy_timeout(Duration::from_secs(5))?;
    connection.set_prepared_statement_cache_capacity(64);
    let next_position = Arc::new(AtomicU64::new(0));
    let counter = next_position.clone();
    connection.create_scalar_function(
        "chervilwharf_next_position",
        0,
        FunctionFlags::SQLITE_UTF8,
        move |_| Ok(i64::try_from(counter.load(Ordering::SeqCst)).unwrap_or(i64::MAX)),
    )?;
    Ok((connection, next_position))
}

/// Applies one entry of the log.
///
/// # Panics
///
/// Panics if a statement of the entry fails, since the primary committed it.
pub fn apply_entry(data: &DataFile, entry: &LogEntry) {
    let guard = data.apply_connection.lock().expect("the connection is not poisoned");
    let (connection, next_position) = &*guard;
    next_position.store(entry.position.index, Ordering::SeqCst);
    let result = apply_statements(connection, &entry.statements);
    if let Err(error) = result {
        panic!("entry {} was committed by the primary but fails here: {error}", entry.position);
    }
}

fn apply_statements(
    connection: &Connection,
    statements: &[LoggedStatement],
) -> rusqlite::Result<()> {
    connection.execute_batch("BEGIN IMMEDIATE")?;
    for statement in statements {
        let values: Vec<Value> = statement.values.iter().map(from_logged).collect();
        let mut prepared = connection.prepare_cached(&statement.sql)?;
        bind(&mut prepared, &values)?;
        let mut rows = prepared.raw_query();
        while rows.next()?.is_some() {}
    }
    connection.execute_batch("COMMIT")
}

fn from_logged(value: &LoggedValue) -> Value {
    match value {
        LoggedValue::Null => Value::Null,
        LoggedValue::Integer(value) => Value::Integer(*value),
        LoggedValue::Real(value) => Value::Real(*value),
        LoggedValue::Text(value) => Value::Text(value.clone()),
        LoggedValue::Blob(value) => Value::Blob(value.clone()),
    }
}

fn to_logged(value: &Value) -> LoggedValue {
    match value {
        Value::Null => LoggedValue::Null,
        Value::Integer(value) => LoggedValue::Integer(*value),
        Value::Real(value) => LoggedValue::Real(*value),
        Value::Text(value) => LoggedValue::Text(value.clone()),
        Value::Blob(value) => LoggedValue::Blob(value.clone()),
    }
}

/// Binds the parameters `$1`, `$2`, … by name, since SQLite numbers them in the order of
/// their first appearance.
fn bind(statement: &mut rusqlite::Statement<'_>, values: &[Value]) -> rusqlite::Result<()> {
    for index in 1..=statement.parameter_count() {
        let number = statement
            .parameter_name(index)
            .and_then(|name| name.strip_prefix('$'))
            .and_then(|number| number.parse::<usize>().ok())
            .unwrap_or(index);
        let value = values.get(number - 1).unwrap_or(&Value::Null);
        statement.raw_bind_parameter(index, value)?;
    }
    Ok(())
}

/// Removes casts of parameters from a statement: `$2::bigint` becomes `$2`. Returns the text
/// and, for each parameter, the type of its cast if it had one.
pub fn strip_casts(sql: &str) -> (String, Vec<Option<Type>>) {
    let mut types: Vec<Option<Type>> = Vec::new();
    let mut output = String::with_capacity(sql.len());
    let mut rest = sql;
    while let Some(at) = rest.find('$') {
        let (before, after) = rest.split_at(at + 1);
        output.push_str(before);
        let digits = after.bytes().take_while(u8::is_ascii_digit).count();
        output.push_str(&after[..digits]);
        rest = &after[digits..];
        let Ok(number) = after[..digits].parse::<usize>() else {
            continue;
        };
        if types.len() < number {
            types.resize(number, None);
        }
        if let Some(cast) = rest.strip_prefix("::") {
            let length = cast.bytes().take_while(u8::is_ascii_alphanumeric).count();
            types[number - 1] = type_of(&cast[..length]);
            rest = &cast[length..];
        }
    }
    output.push_str(rest);
    (output, types)
}

fn type_of(name: &str) -> Option<Type> {
    let name = name.to_ascii_lowercase();
    Some(match name.as_str() {
        "bigint" | "int8" | "integer" | "int" | "int4" => Type::INT8,
        "double" | "float8" | "real" => Type::FLOAT8,
        "bytea" | "blob" => Type::BYTEA,
        "text" | "varchar" => Type::TEXT,
        _ => return None,
    })
}

/// The transaction in which a session is.
enum Transaction {
    None,
    Read,
    Write {
        _lock: OwnedMutexGuard<()>,
        statements: Vec<LoggedStatement>,
    },
    /// A statement failed; the session refuses all statements but those that end the
    /// transaction.
    Failed,
}

/// The session of one client connection.
pub struct Session {
    core: Arc<TargetCore>,
    connection: Connection,
    next_position: Arc<AtomicU64>,
    /// Generation of the data file that the connection has open.
    generation: u64,
    /// Term to which the client has bound the session, if any.
    term: Option<u64>,
    transaction: Transaction,
}

impl Session {
    /// Creates a session on the current data.
    pub fn new(core: Arc<TargetCore>) -> Result<Self, SqlError> {
        let generation = core.data.generation.load(Ordering::SeqCst);
        let (connection, next_position) = open(&core.data.path()).map_err(|e| sqlite_error(&e))?;
        Ok(Self {
            core,
            connection,
            next_position,
            generation,
            term: None,
            transaction: Transaction::None,
        })
    }

    fn reopen_if_rebuilt(&mut self) -> Result<(), SqlError> {
        let generation = self.core.data.generation.load(Ordering::SeqCst);
        if generation == self.generation {
            return Ok(());
        }
        let (connection, next_position) =
            open(&self.core.data.path()).map_err(|e| sqlite_error(&e))?;
        self.connection = connection;
        self.next_position = next_position;
        self.generation = generation;
        Ok(())
    }

    /// Returns the names and types of a statement's columns; empty if it returns no rows. If
    /// this fails, an open transaction is aborted.
    pub fn describe(&mut self, sql: &str) -> Result<Vec<(String, Type)>, SqlError> {
        let result = self.describe_inner(sql);
        if result.is_err() && !matches!(self.transaction, Transaction::None) {
            self.abort();
        }
        result
    }

    fn describe_inner(&mut self, sql: &str) -> Result<Vec<(String, Type)>, SqlError> {
        if let Some(call) = crate::target_contract::parse(sql) {
            return Ok(contract_columns(&call));
        }
        if is_transaction_control(sql) {
            return Ok(Vec::new());
        }
        self.reopen_if_rebuilt()?;
        let (sql, _) = strip_casts(sql);
        let statement = self.connection.prepare_cached(&sql).map_err(|e| sqlite_error(&e))?;
        Ok(columns_of(&statement))
    }

    /// Runs one statement. If it fails, an open transaction is aborted.
    pub async fn run(&mut self, sql: &str, values: &[Value]) -> Result<Outcome, SqlError> {
        let result = self.run_inner(sql, values).await;
        if result.is_err() && !matches!(self.transaction, Transaction::None) {
            self.abort();
        }
        result
    }

    async fn run_inner(&mut self, sql: &str, values: &[Value]) -> Result<Outcome, SqlError> {
        let word = first_word(sql);
        if word == "ROLLBACK" || word == "ABORT" {
            return Ok(self.rollback());
        }
        if matches!(self.transaction, Transaction::Failed) {
            if word == "COMMIT" || word == "END" {
                return Ok(self.rollback());
            }
            return Err(SqlError::new("25P02", "current transaction is aborted"));
        }
        if let Some(call) = crate::target_contract::parse(sql) {
            return self.run_contract_call(&call).map(Outcome::Rows);
        }
        match word.as_str() {
            "BEGIN" | "START" => self.begin(sql).await,
            "COMMIT" | "END" => self.commit(),
            "SET" => Ok(Outcome::Done("SET".into())),
            _ => self.run_statement(sql, values).await,
        }
    }

    fn rollback(&mut self) -> Outcome {
        if !matches!(self.transaction, Transaction::None | Transaction::Failed) {
            let _ = self.connection.execute_batch("ROLLBACK");
        }
        let _ = self.connection.pragma_update(None, "query_only", false);
        self.transaction = Transaction::None;
        Outcome::Ended("ROLLBACK")
    }

    fn abort(&mut self) {
        let _ = self.connection.execute_batch("ROLLBACK");
        let _ = self.connection.pragma_update(None, "query_only", false);
        self.transaction = Transaction::Failed;
    }

    async fn begin(&mut self, sql: &str) -> Result<Outcome, SqlError> {
        if !matches!(self.transaction, Transaction::None) {
            return Err(SqlError::new("25001", "there is already a transaction in progress"));
        }
        self.reopen_if_rebuilt()?;
        if sql.to_ascii_uppercase().contains("READ ONLY") {
            self.check_term()?;
            self.connection.execute_batch("BEGIN").map_err(|e| sqlite_error(&e))?;
            let _ = self.connection.pragma_update(None, "query_only", true);
            self.transaction = Transaction::Read;
            return Ok(Outcome::Begun);
        }
        self.check_writable()?;
        let lock = self.core.write_lock.clone().lock_owned().await;
        self.check_writable()?;
        self.connection.execute_batch("BEGIN IMMEDIATE").map_err(|e| sqlite_error(&e))?;
        self.next_position.store(self.core.log().entries.len() as u64 + 1, Ordering::SeqCst);
        self.transaction = Transaction::Write { _lock: lock, statements: Vec::new() };
        Ok(Outcome::Begun)
    }

    fn commit(&mut self) -> Result<Outcome, SqlError> {
        match std::mem::replace(&mut self.transaction, Transaction::None) {
            Transaction::None => return Err(SqlError::new("25P01", "no transaction in progress")),
            Transaction::Read => {
                let _ = self.connection.execute_batch("COMMIT");
                let _ = self.connection.pragma_update(None, "query_only", false);
            }
            Transaction::Failed => return Ok(self.rollback()),
            Transaction::Write { _lock, statements } => self.commit_write(statements)?,
        }
        Ok(Outcome::Ended("COMMIT"))
    }

    /// Checks the term, commits, and appends the transaction to the log, all under the lock
    /// of the log. Otherwise a fence could raise the term between the check and the commit.
    fn commit_write(&mut self, statements: Vec<LoggedStatement>) -> Result<(), SqlError> {
        let core = self.core.clone();
        let mut log = core.log();
        if let Err(error) = self.check_term_in(log.term, &log.owner, log.is_primary, true) {
            let _ = self.connection.execute_batch("ROLLBACK");
            return Err(error);
        }
        self.connection.execute_batch("COMMIT").map_err(|e| sqlite_error(&e))?;
        if !statements.is_empty() {
            log.commit(statements);
            core.entry_appended.notify_waiters();
        }
        Ok(())
    }

    async fn run_statement(&mut self, sql: &str, values: &[Value]) -> Result<Outcome, SqlError> {
        let core = self.core.clone();
        core.count_statement();
        let _slot = core.slots.acquire().await.map_err(|_| SqlError::new("57P01", "stopping"))?;
        if !core.options.statement_cost.is_zero() {
            tokio::time::sleep(core.options.statement_cost).await;
        }
        self.reopen_if_rebuilt()?;
        let (text, _) = strip_casts(sql);
        let writes = {
            let statement = self.connection.prepare_cached(&text).map_err(|e| sqlite_error(&e))?;
            !statement.readonly()
        };
        if !writes {
            self.check_term()?;
            return self.execute(&text, values);
        }
        if matches!(self.transaction, Transaction::Read) {
            return Err(SqlError::new("25006", "cannot write in a read-only transaction"));
        }
        self.check_writable()?;
        if matches!(self.transaction, Transaction::Write { .. }) {
            return self.execute_logged(&text, values);
        }
        self.begin("BEGIN").await?;
        let outcome = self.execute_logged(&text, values);
        if outcome.is_err() {
            self.rollback();
            return outcome;
        }
        self.commit()?;
        outcome
    }

    fn execute_logged(&mut self, sql: &str, values: &[Value]) -> Result<Outcome, SqlError> {
        let outcome = self.execute(sql, values)?;
        if let Transaction::Write { statements, .. } = &mut self.transaction {
            let values = values.iter().map(to_logged).collect();
            statements.push(LoggedStatement { sql: sql.to_owned(), values });
        }
        Ok(outcome)
    }

    fn execute(&mut self, sql: &str, values: &[Value]) -> Result<Outcome, SqlError> {
        let mut statement = self.connection.prepare_cached(sql).map_err(|e| sqlite_error(&e))?;
        bind(&mut statement, values).map_err(|e| sqlite_error(&e))?;
        let columns = columns_of(&statement);
        if columns.is_empty() {
            let count = statement.raw_execute().map_err(|e| sqlite_error(&e))?;
            return Ok(Outcome::Done(command_tag(sql, count)));
        }
        let width = columns.len();
        let mut rows = Vec::new();
        let mut cursor = statement.raw_query();
        while let Some(row) = cursor.next().map_err(|e| sqlite_error(&e))? {
            let values = (0..width).map(|at| row.get::<_, Value>(at));
            let values = values.collect::<Result<Vec<_>, _>>().map_err(|e| sqlite_error(&e))?;
            rows.push(values);
        }
        Ok(Outcome::Rows(Rows { columns, rows }))
    }

    /// Fails if the session is bound to another term than the server's.
    fn check_term(&self) -> Result<(), SqlError> {
        let log = self.core.log();
        self.check_term_in(log.term, &log.owner, log.is_primary, false)
    }

    /// Fails like `check_term`, or if the server is not the primary.
    fn check_writable(&self) -> Result<(), SqlError> {
        let log = self.core.log();
        self.check_term_in(log.term, &log.owner, log.is_primary, true)
    }

    fn check_term_in(
        &self,
        term: u64,
        owner: &str,
        is_primary: bool,
        writes: bool,
    ) -> Result<(), SqlError> {
        if let Some(session_term) = self.term {
            if session_term != term {
                return Err(term_conflict(term, owner));
            }
        }
        if writes && !is_primary {
            return Err(SqlError::new("25006", "this server is not the primary"));
        }
        Ok(())
    }

    fn run_contract_call(&mut self, call: &ContractCall) -> Result<Rows, SqlError> {
        let core = self.core.clone();
        let mut log = core.log();
        match call {
            ContractCall::State => {}
            ContractCall::Fence { term, owner } => {
                let is_current = *term == log.term && *owner == log.owner;
                if *term < log.term || (*term == log.term && !is_current) {
                    return Err(term_conflict(log.term, &log.owner));
                }
                if !is_current {
                    log.set_term(*term, owner);
                }
            }
            ContractCall::Promote { term, owner } => {
                check_holder(&log, *term, owner)?;
                if !log.is_primary {
                    apply_all_of(&core.data, &mut log);
                    log.upstream = None;
                    log.is_primary = true;
                    log.commit(Vec::new());
                    core.entry_appended.notify_waiters();
                }
                // The first entry of the term, so that a repeated call returns the same
                // position.
                let first = log.entries.iter().find(|(e, _)| e.position.term == *term);
                let first = first.map_or(Position::ZERO, |(entry, _)| entry.position);
                return Ok(position_row(first));
            }
            ContractCall::Follow { term, owner, primary, address } => {
                check_holder(&log, *term, owner)?;
                if log.is_primary {
                    return Err(SqlError::new("55000", "the primary cannot follow"));
                }
                let upstream = Upstream { id: primary.clone(), address: address.clone() };
                if log.upstream.as_ref() != Some(&upstream) {
                    core.upstream_changed.notify_waiters();
                    log.upstream = Some(upstream);
                    log.primary_contact_at = Some(std::time::Instant::now());
                }
            }
            ContractCall::UseTerm { term } => {
                if *term != log.term {
                    return Err(term_conflict(log.term, &log.owner));
                }
                self.term = Some(*term);
            }
            ContractCall::RequirePosition { term, index } => {
                let applied = log.applied_position();
                if applied < Position::new(*term, *index) {
                    let message = format!("position {term}/{index} is not applied, {applied} is");
                    return Err(SqlError::new("CW002", message));
                }
                return Ok(position_row(applied));
            }
            ContractCall::Position => return Ok(position_row(log.applied_position())),
            ContractCall::Mark { number } => {
                let rows = vec![vec![integer(*number)]];
                return Ok(Rows { columns: contract_columns(call), rows });
            }
        }
        Ok(state_row(&log))
    }
}

/// The error of a call or session whose term or owner is not the server's, with SQLSTATE
/// CW001. Clients parse term and owner from the message, so its form is fixed.
fn term_conflict(term: u64, owner: &str) -> SqlError {
    SqlError::new("CW001", format!("term {term} is held by {owner}"))
}

/// Fails unless `owner` holds the server's current term, and it is `term`.
fn check_holder(
    log: &crate::target_log::ServerLog,
    term: u64,
    owner: &str,
) -> Result<(), SqlError> {
    if log.term != term || log.owner != owner {
        return Err(term_conflict(log.term, &log.owner));
    }
    Ok(())
}

const STATE_COLUMNS: [(&str, Type); 9] = [
    ("term", Type::INT8),
    ("owner", Type::TEXT),
    ("is_primary", Type::INT8),
    ("follows", Type::TEXT),
    ("received_term", Type::INT8),
    ("received_index", Type::INT8),
    ("applied_term", Type::INT8),
    ("applied_index", Type::INT8),
    ("primary_heard_ms", Type::INT8),
];

const MARK_COLUMNS: [(&str, Type); 1] = [("mark", Type::INT8)];

const POSITION_COLUMNS: [(&str, Type); 2] = [("term", Type::INT8), ("index", Type::INT8)];

fn contract_columns(call: &ContractCall) -> Vec<(String, Type)> {
    let columns: &[(&str, Type)] = match call {
        ContractCall::Promote { .. }
        | ContractCall::RequirePosition { .. }
        | ContractCall::Position => &POSITION_COLUMNS,
        ContractCall::Mark { .. } => &MARK_COLUMNS,
        _ => &STATE_COLUMNS,
    };
    columns.iter().map(|(name, kind)| ((*name).to_owned(), kind.clone())).collect()
}

fn integer(value: u64) -> Value {
    Value::Integer(i64::try_from(value).unwrap_or(i64::MAX))
}

fn position_row(position: Position) -> Rows {
    Rows {
        columns: contract_columns(&ContractCall::Position),
        rows: vec![vec![integer(position.term), integer(position.index)]],
    }
}

fn state_row(log: &crate::target_log::ServerLog) -> Rows {
    let follows = log.upstream.as_ref().map(|upstream| upstream.id.clone());
    let since_contact_ms = log.primary_contact_at.map(|at| at.elapsed().as_millis());
    let (received, applied) = (log.received(), log.applied_position());
    let row = vec![
        integer(log.term),
        Value::Text(log.owner.clone()),
        Value::Integer(i64::from(log.is_primary)),
        follows.map_or(Value::Null, Value::Text),
        integer(received.term),
        integer(received.index),
        integer(applied.term),
        integer(applied.index),
        since_contact_ms.map_or(Value::Null, |ms| integer(u64::try_from(ms).unwrap_or(u64::MAX))),
    ];
    Rows { columns: contract_columns(&ContractCall::State), rows: vec![row] }
}

fn columns_of(statement: &rusqlite::Statement<'_>) -> Vec<(String, Type)> {
    let columns = statement.columns();
    columns
        .iter()
        .map(|column| {
            let declared = column.decl_type().and_then(type_of);
            let name = column.name();
            let is_aggregate = name.starts_with("count(") || name.starts_with("sum(");
            let guessed = if is_aggregate { Type::INT8 } else { Type::TEXT };
            (name.to_owned(), declared.unwrap_or(guessed))
        })
        .collect()
}

fn first_word(sql: &str) -> String {
    let trimmed = sql.trim_start();
    let end = trimmed.find(|c: char| !c.is_ascii_alphabetic()).unwrap_or(trimmed.len());
    trimmed[..end].to_ascii_uppercase()
}

fn is_transaction_control(sql: &str) -> bool {
    let word = first_word(sql);
    matches!(word.as_str(), "BEGIN" | "START" | "COMMIT" | "END" | "ROLLBACK" | "ABORT" | "SET")
}

fn command_tag(sql: &str, count: usize) -> String {
    let word = first_word(sql);
    match word.as_str() {
        "INSERT" => format!("INSERT 0 {count}"),
        "UPDATE" | "DELETE" => format!("{word} {count}"),
        "CREATE" | "DROP" | "ALTER" => {
            let second = sql.split_whitespace().nth(1).unwrap_or("").to_ascii_uppercase();
            format!("{word} {second}")
        }
        _ => word,
    }
}
