//! Session of a client at its entry instance, the instance that the client is
//! connected to.
//!
//! A session interprets `SET`, `SHOW` and transaction control itself. It forwards
//! reads and writes to the owner of the database, the one instance that serves
//! it.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chervilwharf_lib::classify;
use chervilwharf_lib::classify::CommentHints;
use chervilwharf_lib::classify::StatementClass;
use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::floors::Freshness;
use chervilwharf_lib::ledger;
use chervilwharf_lib::protos::Describe;
use chervilwharf_lib::protos::Failure;
use chervilwharf_lib::protos::Result as StatementResult;
use chervilwharf_lib::protos::StatementKind;
use chervilwharf_lib::protos::Submit;
use uuid::Uuid;

use crate::answer::failure;
use crate::answer::failure_with;
use crate::answer::kind_of;
use crate::context::Context;
use crate::context::Shared;
use crate::filter::FilterChain;
use crate::forward;
use crate::write;

/// Prefix of the session variables that the proxy defines.
const VARIABLE_PREFIX: &str = "chervilwharf.";

/// Timeout for describing the parameter and column types of a statement.
const DESCRIBE_TIMEOUT: Duration = Duration::from_secs(5);

/// State of an interactive transaction at its entry instance.
#[derive(Clone, Debug)]
struct Transaction {
    id: String,
    request_id: String,
    /// Chained digest of the statements sent so far.
    digest: Vec<u8>,
    /// Whether a statement has been sent to the owner.
    started: bool,
    /// Whether a statement failed, so that only `ROLLBACK` or `COMMIT` is
    /// accepted.
    aborted: bool,
}

/// Values that the client has set for its session.
#[derive(Clone, Debug, Default)]
struct SessionVariables {
    service: String,
    request_id: String,
    freshness: Option<Freshness>,
    deadline: Option<Duration>,
}

/// Outcome of one statement, to be encoded for the client.
#[derive(Debug)]
pub enum Reply {
    /// Rows or a command tag.
    Result(StatementResult),
    /// A transaction has begun.
    Begun,
    /// A transaction has ended, with this command tag.
    Ended(&'static str),
    /// Name and text value of a variable, for `SHOW`.
    Value(String, String),
    /// The statement was empty.
    Empty,
}

/// A statement with the data that the client's protocol messages carried.
#[derive(Clone, Debug, Default)]
pub struct Statement {
    /// SQL text.
    pub sql: String,
    /// Class, if the statement has been classified already.
    pub class: Option<StatementClass>,
    /// Message in which the statement is sent to the owner, with its parameters.
    pub submit: Submit,
}

/// Counts a client's request as in progress, so that a planned stop waits for it.
struct ActiveRequest<'a>(&'a Context);

impl<'a> ActiveRequest<'a> {
    fn new(context: &'a Context) -> Self {
        context.active_requests.fetch_add(1, Ordering::SeqCst);
        Self(context)
    }
}

impl Drop for ActiveRequest<'_> {
    fn drop(&mut self) {
        self.0.active_requests.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Session of one client.
pub struct Session {
    context: Shared,
    account: Arc<str>,
    database: Arc<str>,
    variables: SessionVariables,
    transaction: Option<Transaction>,
    filters: Arc<FilterChain>,
    /// Id of the last request, which errors report to the client.
    last_request_id: Option<String>,
}

impl Session {
    /// Creates a session for an account that has authenticated.
    #[must_use]
    pub fn new(
        context: Shared,
        filters: Arc<FilterChain>,
        account: Arc<str>,
        database: Arc<str>,
    ) -> Self {
        Self {
            context,
            account,
            database,
            variables: SessionVariables::default(),
            transaction: None,
            filters,
            last_request_id: None,
        }
    }

    /// Returns the id of the last request.
    #[must_use]
    pub fn last_request_id(&self) -> Option<&str> {
        self.last_request_id.as_deref()
    }

    /// Runs a text of one or more statements.
    ///
    /// # Errors
    ///
    /// The failure that ended the text, next to the replies of the statements
    /// before it. There are no replies if the implicit commit failed.
    pub async fn run_text(&mut self, sql: &str) -> (Vec<Reply>, Option<Failure>) {
        let statements = match classify::split(sql) {
            Ok(statements) => statements,
            Err(message) => {
                self.mark_aborted();
                return (Vec::new(), Some(failure_with(ErrorKind::BadStatement, message)));
            }
        };
        // As in PostgreSQL, several statements in one text form one transaction.
        // Otherwise some of them could take effect although another one failed.
        let has_transaction_control = statements.iter().any(|(_, class)| {
            matches!(
                class,
                StatementClass::Begin | StatementClass::Commit | StatementClass::Rollback
            )
        });
        let has_write = statements.iter().any(|(_, class)| *class == StatementClass::Write);
        let implicit = statements.len() > 1
            && has_write
            && !has_transaction_control
            && self.transaction.is_none();
        let hints = classify::comment_hints(sql);
        if implicit {
            self.begin(&hints);
        }
        let mut replies = Vec::new();
        for (text, class) in statements {
            let statement = Statement { sql: text, class: Some(class), submit: Submit::default() };
            match self.run(statement).await {
                Ok(reply) => replies.push(reply),
                Err(failure) => {
                    if implicit {
                        self.roll_back().await;
                    }
                    return (replies, Some(failure));
                }
            }
        }
        if implicit {
            if let Err(failure) = self.commit(&hints).await {
                return (Vec::new(), Some(failure));
            }
        }
        (replies, None)
    }

    /// Runs one statement.
    ///
    /// # Errors
    ///
    /// The failure for the client.
    pub async fn run(&mut self, statement: Statement) -> Result<Reply, Failure> {
        let hints = classify::comment_hints(&statement.sql);
        let class = match statement.class.clone() {
            Some(class) => class,
            None => Self::classify(&statement.sql)?,
        };
        if self.transaction.is_none() && self.context.refuses_requests.load(Ordering::SeqCst) {
            return Err(failure(ErrorKind::Stopping));
        }
        let aborted = self.transaction.as_ref().is_some_and(|transaction| transaction.aborted);
        let ends_transaction = matches!(class, StatementClass::Rollback | StatementClass::Commit);
        if aborted && !ends_transaction {
            return Err(failure(ErrorKind::TransactionAborted));
        }
        let result = self.dispatch(statement, class, &hints).await;
        if result.is_err() {
            self.mark_aborted();
        }
        result
    }

    fn classify(sql: &str) -> Result<StatementClass, Failure> {
        let mut statements = classify::split(sql)
            .map_err(|message| failure_with(ErrorKind::BadStatement, message))?;
        if statements.len() > 1 {
            let message = "cannot insert multiple commands into a prepared statement";
            return Err(failure_with(ErrorKind::BadStatement, message));
        }
        Ok(statements.pop().map_or(StatementClass::Empty, |(_, class)| class))
    }

    async fn dispatch(
        &mut self,
        statement: Statement,
        class: StatementClass,
        hints: &CommentHints,
    ) -> Result<Reply, Failure> {
        match class {
            StatementClass::Empty => Ok(Reply::Empty),
            StatementClass::Unsupported(what) => {
                let message = format!("{what} cannot be used through chervilwharf");
                Err(failure_with(ErrorKind::Unsupported, message))
            }
            StatementClass::Set { variable, value } => self.set(&variable, &value),
            StatementClass::Show { variable } => Ok(self.show(&variable)),
            StatementClass::Begin => {
                if self.transaction.is_none() {
                    self.begin(hints);
                }
                Ok(Reply::Begun)
            }
            StatementClass::Rollback => {
                self.roll_back().await;
                Ok(Reply::Ended("ROLLBACK"))
            }
            StatementClass::Commit => self.commit(hints).await,
            StatementClass::Read => self.forward(statement, StatementKind::Read, hints).await,
            StatementClass::Write => self.forward(statement, StatementKind::Write, hints).await,
        }
    }

    fn begin(&mut self, hints: &CommentHints) {
        self.transaction = Some(Transaction {
            id: Uuid::now_v7().to_string(),
            request_id: self.take_request_id(hints),
            digest: Vec::new(),
            started: false,
            aborted: false,
        });
    }

    /// Returns the id of the next request: from the comment of the statement, from
    /// the session variable, or a new UUID. The variable applies to one request.
    fn take_request_id(&mut self, hints: &CommentHints) -> String {
        let session_value = std::mem::take(&mut self.variables.request_id);
        let request_id = hints.request_id.clone().unwrap_or(session_value);
        if request_id.is_empty() { Uuid::now_v7().to_string() } else { request_id }
    }

    async fn roll_back(&mut self) {
        let Some(transaction) = self.transaction.take() else {
            return;
        };
        if transaction.started {
            forward::roll_back(&self.context, &self.database, &transaction.id).await;
        }
    }

    async fn commit(&mut self, hints: &CommentHints) -> Result<Reply, Failure> {
        let Some(mut transaction) = self.transaction.take() else {
            return Ok(Reply::Ended("COMMIT"));
        };
        if transaction.aborted {
            forward::roll_back(&self.context, &self.database, &transaction.id).await;
            return Ok(Reply::Ended("ROLLBACK"));
        }
        if !transaction.started {
            return Ok(Reply::Ended("COMMIT"));
        }
        if let Some(request_id) = &hints.request_id {
            transaction.request_id.clone_from(request_id);
        }
        let submit = Submit {
            transaction_id: transaction.id,
            request_id: transaction.request_id,
            digest: transaction.digest,
            kind: StatementKind::Commit.into(),
            ..Submit::default()
        };
        self.submit(submit, hints).await.map(|_| Reply::Ended("COMMIT"))
    }

    async fn forward(
        &mut self,
        statement: Statement,
        kind: StatementKind,
        hints: &CommentHints,
    ) -> Result<Reply, Failure> {
        let mut submit = Submit { sql: statement.sql, ..statement.submit };
        if let Some(transaction) = &mut self.transaction {
            let digest = write::digest_of(&submit);
            transaction.digest = ledger::chain_digest(&transaction.digest, &digest);
            submit.transaction_id.clone_from(&transaction.id);
            submit.request_id.clone_from(&transaction.request_id);
            submit.kind = StatementKind::InTransaction.into();
            submit.continues = transaction.started;
            transaction.started = true;
        } else {
            submit.request_id = self.take_request_id(hints);
            submit.kind = kind.into();
        }
        self.submit(submit, hints).await.map(Reply::Result)
    }

    async fn submit(
        &mut self,
        mut submit: Submit,
        hints: &CommentHints,
    ) -> Result<StatementResult, Failure> {
        submit.database = self.database.to_string();
        submit.account = self.account.to_string();
        submit.service.clone_from(&self.variables.service);
        let freshness = hints.freshness.or(self.variables.freshness);
        submit.freshness = freshness.map(forward::freshness_to_wire);
        let deadline = hints.deadline.or(self.variables.deadline);
        submit.deadline_ms = deadline
            .map_or(0, |deadline| u64::try_from(deadline.as_millis()).unwrap_or(u64::MAX).max(1));
        let filtered = self.filters.apply(&self.context, &mut submit);
        self.last_request_id = Some(submit.request_id.clone());
        let service: Arc<str> = submit.service.as_str().into();
        let result = match filtered {
            Ok(()) => {
                let _active = ActiveRequest::new(&self.context);
                forward::submit(&self.context, submit).await
            }
            Err(failure) => Err(failure),
        };
        let kind = result.as_ref().err().map(kind_of);
        self.context.metrics.record_request(&service, kind, &self.database);
        result
    }

    fn mark_aborted(&mut self) {
        if let Some(transaction) = &mut self.transaction {
            transaction.aborted = true;
        }
    }

    /// Asks a database server for the parameter and column types of a statement.
    ///
    /// # Errors
    ///
    /// The failure for the client.
    pub async fn describe(
        &self,
        sql: &str,
        parameter_type_oids: Vec<u32>,
    ) -> Result<StatementResult, Failure> {
        let describe = Describe {
            database: self.database.to_string(),
            account: self.account.to_string(),
            sql: sql.to_owned(),
            parameter_type_oids,
            deadline_ms: u64::try_from(DESCRIBE_TIMEOUT.as_millis()).unwrap_or(u64::MAX),
        };
        let mut filter_input = Submit {
            database: self.database.to_string(),
            account: self.account.to_string(),
            service: self.variables.service.clone(),
            sql: sql.to_owned(),
            ..Submit::default()
        };
        self.filters.apply(&self.context, &mut filter_input)?;
        forward::describe(&self.context, describe).await
    }

    fn set(&mut self, variable: &str, value: &str) -> Result<Reply, Failure> {
        let set_reply = || {
            Ok(Reply::Result(StatementResult {
                command_tag: "SET".into(),
                ..StatementResult::default()
            }))
        };
        let Some(name) = variable.strip_prefix(VARIABLE_PREFIX) else {
            // Variables of the database server are not passed on, since the next
            // statement may run on another connection. Those that drivers usually
            // set are accepted without effect; ignoring them is harmless.
            return match variable {
                "client_encoding"
                | "application_name"
                | "datestyle"
                | "timezone"
                | "extra_float_digits"
                | "standard_conforming_strings" => set_reply(),
                _ => Err(failure_with(
                    ErrorKind::Unsupported,
                    format!("variable \"{variable}\" cannot be set through chervilwharf"),
                )),
            };
        };
        let invalid = |expected: &str| {
            let message = format!("bad value \"{value}\" for {variable}, expected {expected}");
            failure_with(ErrorKind::BadStatement, message)
        };
        match name {
            "service" => value.clone_into(&mut self.variables.service),
            "request_id" => value.clone_into(&mut self.variables.request_id),
            "freshness" | "max_age_ms" => {
                let freshness = classify::parse_freshness(value);
                let expected = "own_writes, fresh or a number of milliseconds";
                self.variables.freshness = Some(freshness.ok_or_else(|| invalid(expected))?);
            }
            "deadline_ms" => {
                let deadline_ms = value.parse().map_err(|_| invalid("a number of milliseconds"))?;
                self.variables.deadline = Some(Duration::from_millis(deadline_ms));
            }
            _ => {
                let message = format!(
                    "unknown variable \"{variable}\", expected service, request_id, freshness, \
                     max_age_ms or deadline_ms"
                );
                return Err(failure_with(ErrorKind::BadStatement, message));
            }
        }
        set_reply()
    }

    fn show(&self, variable: &str) -> Reply {
        let value = match variable {
            "chervilwharf.request_id" => self.last_request_id.clone().unwrap_or_default(),
            "chervilwharf.instance" => self.context.settings.instance.to_string(),
            "chervilwharf.service" => self.variables.service.clone(),
            "transaction_isolation" | "transaction.isolation.level" => "read committed".into(),
            "server_version" => "16.0".into(),
            _ => String::new(),
        };
        Reply::Value(variable.to_owned(), value)
    }

    /// Rolls back the open transaction, if any, when the client has disconnected.
    pub async fn close(&mut self) {
        self.roll_back().await;
    }
}
