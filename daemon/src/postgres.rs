//! Connections to database servers, with the PostgreSQL protocol at the level of
//! its messages.
//!
//! A batch is a sequence of statements that is sent in one round trip. Its first
//! refused step ends it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chervilwharf_lib::protos::Result as StatementResult;
use futures::SinkExt;
use futures::StreamExt;
use pgwire::api::client::Config;
use pgwire::api::client::auth::DefaultStartupHandler;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::extendedquery::Bind;
use pgwire::messages::extendedquery::Describe;
use pgwire::messages::extendedquery::Execute;
use pgwire::messages::extendedquery::Parse;
use pgwire::messages::extendedquery::Sync;
use pgwire::messages::extendedquery::TARGET_TYPE_BYTE_PORTAL;
use pgwire::messages::extendedquery::TARGET_TYPE_BYTE_STATEMENT;
use pgwire::messages::response::ErrorResponse;
use pgwire::messages::response::TransactionStatus;
use pgwire::tokio::client::PgWireClient;

use crate::batch_reply::BatchError;
use crate::batch_reply::BatchReply;
use crate::batch_reply::CompleteReply;
use crate::batch_reply::Refusal;
use crate::batch_reply::StepReply;
use crate::batch_reply::unexpected;

/// One statement of a batch.
#[derive(Clone, Debug, Default)]
pub struct Step {
    /// SQL text.
    pub sql: String,
    /// Parameters as the client encoded them; `None` is NULL.
    pub parameters: Vec<Option<Bytes>>,
    /// Type object ids that the client gave; 0 where it gave none.
    pub parameter_types: Vec<u32>,
    /// Formats of the parameters, by the rules of the Bind message.
    pub parameter_formats: Vec<i16>,
    /// Formats requested for the columns, by the rules of the Bind message.
    pub result_formats: Vec<i16>,
    /// Whether to leave out the description of the columns, because they are known.
    /// The description is most of the answer to a small statement.
    pub skip_columns: bool,
}

impl Step {
    /// Creates a step without parameters.
    #[must_use]
    pub fn new(sql: impl Into<String>) -> Self {
        Self { sql: sql.into(), ..Self::default() }
    }

    /// Creates a step without parameters for a statement of the proxy itself. The
    /// columns of its result are fixed, so their description is left out.
    #[must_use]
    pub fn internal(sql: impl Into<String>) -> Self {
        Self { sql: sql.into(), skip_columns: true, ..Self::default() }
    }

    /// Adds a parameter in text form.
    #[must_use]
    pub fn with_text(mut self, value: impl Into<Bytes>) -> Self {
        self.parameters.push(Some(value.into()));
        self.parameter_formats.push(0);
        self
    }

    /// Adds a parameter in binary form; `None` is NULL.
    #[must_use]
    pub fn with_bytes(mut self, value: Option<Bytes>) -> Self {
        self.parameters.push(value);
        self.parameter_formats.push(1);
        self
    }

    /// Sets the object ids of the parameters' types.
    #[must_use]
    pub fn with_types(mut self, types: &[u32]) -> Self {
        self.parameter_types = types.to_vec();
        self
    }
}

/// Address and login of a database server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerAddress {
    /// IP address and port.
    pub address: SocketAddr,
    /// Login name.
    pub login: Arc<str>,
    /// Password.
    pub password: Arc<str>,
    /// Database name at the server.
    pub database: Arc<str>,
}

/// An open connection to a database server.
pub struct ServerConnection {
    client: PgWireClient,
    /// Whether a batch was started whose answer is incomplete. Nothing may be sent
    /// after that: the next answer could belong to the unfinished batch.
    unfinished: bool,
    idle: bool,
    /// Term declared on this connection; 0 for none.
    pub term: u64,
}

impl ServerConnection {
    /// Connects to a server and logs in.
    ///
    /// # Errors
    ///
    /// When this takes longer than `timeout` or the server refuses.
    pub async fn open(server: &ServerAddress, timeout: Duration) -> Result<Self, BatchError> {
        let broken = |error: &dyn std::fmt::Display| BatchError::Broken(error.to_string());
        let mut config: Config = "sslmode=disable".parse().map_err(|e| broken(&e))?;
        config
            .host(server.address.ip().to_string())
            .port(server.address.port())
            .user(&*server.login)
            .password(server.password.as_bytes())
            .dbname(&*server.database)
            .connect_timeout(timeout);
        let connect = PgWireClient::connect(Arc::new(config), DefaultStartupHandler::new(), None);
        let client = match tokio::time::timeout(timeout, connect).await {
            Ok(Ok(client)) => client,
            Ok(Err(error)) => return Err(broken(&error)),
            Err(_) => return Err(BatchError::Broken("no answer to the login".into())),
        };
        Ok(Self { client, unfinished: false, idle: true, term: 0 })
    }

    /// Whether the connection can be used for another request: the last answer is
    /// complete and no transaction is open.
    #[must_use]
    pub fn is_reusable(&self) -> bool {
        !self.unfinished && self.idle
    }

    /// Whether the answer to the last batch is complete.
    #[must_use]
    pub fn is_answer_complete(&self) -> bool {
        !self.unfinished
    }

    /// Runs a batch in one round trip. The first refused step ends it. Returns one
    /// result per step.
    ///
    /// If the future is dropped before its end, the connection stays marked as
    /// unfinished, so that a late answer cannot reach the next request.
    ///
    /// # Errors
    ///
    /// When a step is refused, the connection breaks, or the result exceeds
    /// [`RESULT_LIMIT_BYTES`](crate::batch_reply::RESULT_LIMIT_BYTES).
    pub async fn run(&mut self, steps: &[Step]) -> Result<Vec<StatementResult>, BatchError> {
        self.start()?;
        for step in steps {
            self.feed_step(step).await?;
        }
        let kinds = steps.iter().map(|step| {
            if step.skip_columns { StepReply::Undescribed } else { StepReply::Described }
        });
        self.finish(kinds.collect()).await
    }

    /// Marks the connection as unfinished, so that it is closed if the reply does not arrive
    /// as a whole.
    fn start(&mut self) -> Result<(), BatchError> {
        if self.unfinished {
            return Err(BatchError::Broken("an earlier answer is missing".into()));
        }
        self.unfinished = true;
        Ok(())
    }

    async fn feed_step(&mut self, step: &Step) -> Result<(), BatchError> {
        let parse = Parse::new(None, step.sql.clone(), step.parameter_types.clone());
        let bind = Bind::new(
            None,
            None,
            step.parameter_formats.clone(),
            step.parameters.clone(),
            step.result_formats.clone(),
        );
        self.feed(PgWireFrontendMessage::Parse(parse)).await?;
        self.feed(PgWireFrontendMessage::Bind(bind)).await?;
        if !step.skip_columns {
            let describe = Describe::new(TARGET_TYPE_BYTE_PORTAL, None);
            self.feed(PgWireFrontendMessage::Describe(describe)).await?;
        }
        self.feed(PgWireFrontendMessage::Execute(Execute::new(None, 0))).await
    }

    /// Sends the end of a batch and receives the reply to it.
    async fn finish(&mut self, kinds: Vec<StepReply>) -> Result<Vec<StatementResult>, BatchError> {
        let reply = self.receive_marked(kinds).await?;
        if let Err(refusal) = &reply.result {
            self.confirm_refusal(reply.status, refusal).await?;
        }
        self.unfinished = false;
        self.idle = reply.status == TransactionStatus::Idle;
        reply.result.map_err(refused)
    }

    /// Sends a mark after the fed steps, and receives the reply up to its end.
    async fn receive_marked(&mut self, kinds: Vec<StepReply>) -> Result<CompleteReply, BatchError> {
        let mark = new_mark();
        let step = Step::internal(format!("SELECT * FROM chervilwharf_mark({mark})"));
        self.feed_step(&step).await?;
        self.finish_sending().await?;
        let mut reply = BatchReply::new(kinds, mark);
        loop {
            let message = self.next().await?;
            if let Some(complete) = reply.accept(message)? {
                return Ok(complete);
            }
        }
    }

    /// Checks that a refusal was the whole reply to the batch. If it was the repetition of an
    /// earlier one, the batch may have run, and its own reply follows.
    async fn confirm_refusal(
        &mut self,
        status: TransactionStatus,
        refusal: &Refusal,
    ) -> Result<(), BatchError> {
        let is_marked = match status {
            TransactionStatus::Idle => {
                let reply = self.receive_marked(Vec::new()).await?;
                reply.result.is_ok() && reply.status == status
            }
            TransactionStatus::Error => self.is_missing_name_returned().await?,
            // A refusal aborts the open transaction.
            TransactionStatus::Transaction => false,
        };
        if is_marked {
            return Ok(());
        }
        let text = field(&refusal.error, b'M');
        Err(unexpected(&format!("a refusal that may be another statement's: {text}")))
    }

    /// Asks for a prepared statement that does not exist. An aborted transaction refuses all
    /// statements with the same message, but this refusal has the name in its message.
    async fn is_missing_name_returned(&mut self) -> Result<bool, BatchError> {
        let name = format!("chervilwharf_mark_{}", new_mark());
        let describe = Describe::new(TARGET_TYPE_BYTE_STATEMENT, Some(name.clone()));
        self.feed(PgWireFrontendMessage::Describe(describe)).await?;
        self.finish_sending().await?;
        let mut reply = BatchReply::new(Vec::new(), 0);
        loop {
            let message = self.next().await?;
            if let Some(complete) = reply.accept(message)? {
                let refusal = complete.result.err();
                let has_name =
                    refusal.is_some_and(|refusal| field(&refusal.error, b'M').contains(&name));
                return Ok(has_name && complete.status == TransactionStatus::Error);
            }
        }
    }

    async fn finish_sending(&mut self) -> Result<(), BatchError> {
        self.feed(PgWireFrontendMessage::Sync(Sync::new())).await?;
        self.client.flush().await.map_err(|e| BatchError::Broken(e.to_string()))
    }

    async fn feed(&mut self, message: PgWireFrontendMessage) -> Result<(), BatchError> {
        self.client.feed(message).await.map_err(|e| BatchError::Broken(e.to_string()))
    }

    async fn next(&mut self) -> Result<PgWireBackendMessage, BatchError> {
        match self.client.next().await {
            Some(Ok(message)) => Ok(message),
            Some(Err(error)) => Err(BatchError::Broken(error.to_string())),
            None => Err(BatchError::Broken("the server closed the connection".into())),
        }
    }

    /// Asks the server for the types of the parameters and columns of a statement.
    ///
    /// # Errors
    ///
    /// When the statement is refused or the connection breaks.
    pub async fn describe(
        &mut self,
        sql: &str,
        parameter_types: &[u32],
    ) -> Result<StatementResult, BatchError> {
        self.start()?;
        let parse = Parse::new(None, sql.to_owned(), parameter_types.to_vec());
        let describe = Describe::new(TARGET_TYPE_BYTE_STATEMENT, None);
        self.feed(PgWireFrontendMessage::Parse(parse)).await?;
        self.feed(PgWireFrontendMessage::Describe(describe)).await?;
        let results = self.finish(vec![StepReply::Description]).await?;
        results.into_iter().next().ok_or_else(|| unexpected("no description"))
    }
}

/// Returns a number that no earlier batch used, so that no earlier reply contains it. It
/// fits into the type `bigint`.
fn new_mark() -> u64 {
    rand::random::<u64>() >> 1
}

fn field(error: &ErrorResponse, code: u8) -> String {
    let found = error.fields.iter().find(|(field, _)| *field == code);
    found.map(|(_, text)| text.clone()).unwrap_or_default()
}

fn refused(refusal: Refusal) -> BatchError {
    let (sqlstate, message) = (field(&refusal.error, b'C'), field(&refusal.error, b'M'));
    BatchError::Refused { step: refusal.done.len(), done: refusal.done, sqlstate, message }
}
