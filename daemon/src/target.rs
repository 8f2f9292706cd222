//! Control of a database server: fence, promote, follow and state.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use chervilwharf_lib::config::Database;
use chervilwharf_lib::config::Server;
use chervilwharf_lib::id::DatabaseId;
use chervilwharf_lib::id::HolderId;
use chervilwharf_lib::id::TargetId;
use chervilwharf_lib::id::Term;
use chervilwharf_lib::ownership_types::FenceFailure;
use chervilwharf_lib::ownership_types::ServerState;
use chervilwharf_lib::position::Position;
use chervilwharf_lib::protos::Result as StatementResult;
use tokio::sync::Mutex;

use crate::postgres::BatchError;
use crate::postgres::ServerAddress;
use crate::postgres::ServerConnection;
use crate::postgres::Step;
use crate::postgres::number_value;
use crate::postgres::row_values;
use crate::postgres::text_value;

/// SQLSTATE of a server that holds another term than the session.
pub const WRONG_TERM: &str = "CW001";

/// SQLSTATE of a server that has not applied a required position.
pub const NOT_APPLIED: &str = "CW002";

/// SQLSTATE of a write in a read-only transaction or at a replica.
pub const READ_ONLY: &str = "25006";

/// SQLSTATE of a row that exists already.
pub const UNIQUE_VIOLATION: &str = "23505";

/// Control functions of one server. See docs/TARGETS.md.
#[async_trait]
pub trait Target: Send + Sync {
    /// Asks for its state.
    async fn state(&self) -> Result<ServerState, FenceFailure>;

    /// Makes it refuse all terms below `term`.
    async fn fence(&self, term: Term, holder: &HolderId) -> Result<ServerState, FenceFailure>;

    /// Makes it the primary of `term`. Returns the first entry of the term.
    async fn promote(&self, term: Term, holder: &HolderId) -> Result<Position, FenceFailure>;

    /// Makes it follow a primary.
    async fn follow(
        &self,
        term: Term,
        holder: &HolderId,
        primary: &TargetId,
        primary_address: &str,
    ) -> Result<(), FenceFailure>;
}

/// A server controlled over its SQL functions.
pub struct PgTarget {
    address: ServerAddress,
    connection: Mutex<Option<ServerConnection>>,
    timeout: Duration,
}

impl PgTarget {
    /// Controls the server at `address`; each try takes at most `timeout`.
    #[must_use]
    pub fn new(address: ServerAddress, timeout: Duration) -> Self {
        Self { address, connection: Mutex::new(None), timeout }
    }

    /// Runs a control statement, on a new connection if the open one fails.
    ///
    /// An open connection can have gone silent while new ones work. Taking
    /// its silence for the server's would replace a healthy primary.
    async fn call(&self, sql: &str) -> Result<StatementResult, FenceFailure> {
        let mut slot = self.connection.lock().await;
        let steps = [Step::own(sql)];
        if let Some(mut connection) = slot.take() {
            match tokio::time::timeout(self.timeout, connection.run(&steps)).await {
                Ok(Ok(results)) => {
                    *slot = Some(connection);
                    return first(results);
                }
                Ok(Err(error @ BatchError::Refused { .. })) => {
                    *slot = Some(connection);
                    return Err(failure(&error));
                }
                _ => {}
            }
        }
        let opened = ServerConnection::open(&self.address, self.timeout).await;
        let mut connection = opened.map_err(|_| FenceFailure::Unreachable)?;
        let answer = tokio::time::timeout(self.timeout, connection.run(&steps)).await;
        match answer.map_err(|_| FenceFailure::Unreachable)? {
            Ok(results) => {
                *slot = Some(connection);
                first(results)
            }
            Err(error) => Err(failure(&error)),
        }
    }
}

fn first(results: Vec<StatementResult>) -> Result<StatementResult, FenceFailure> {
    results.into_iter().next().ok_or(FenceFailure::Unreachable)
}

/// Reads `term N is held by OWNER` out of a refusal.
#[must_use]
pub fn held_term(message: &str) -> Option<(Term, &str)> {
    let rest = message.strip_prefix("term ")?;
    let (term, owner) = rest.split_once(" is held by ")?;
    Some((term.parse().ok()?, owner))
}

fn failure(error: &BatchError) -> FenceFailure {
    let BatchError::Refused { sqlstate, message, .. } = error else {
        return FenceFailure::Unreachable;
    };
    match held_term(message) {
        Some((term, owner)) if sqlstate == WRONG_TERM => {
            FenceFailure::HigherTerm { term, owner: owner.into() }
        }
        _ => FenceFailure::Unreachable,
    }
}

fn quote(text: &str) -> String {
    text.replace('\'', "''")
}

#[async_trait]
impl Target for PgTarget {
    async fn state(&self) -> Result<ServerState, FenceFailure> {
        let result = self.call("SELECT * FROM chervilwharf_state()").await?;
        read_state(&result).ok_or(FenceFailure::Unreachable)
    }

    async fn fence(&self, term: Term, holder: &HolderId) -> Result<ServerState, FenceFailure> {
        let sql = format!("SELECT * FROM chervilwharf_fence({term}, '{}')", quote(holder));
        let result = self.call(&sql).await?;
        read_state(&result).ok_or(FenceFailure::Unreachable)
    }

    async fn promote(&self, term: Term, holder: &HolderId) -> Result<Position, FenceFailure> {
        let sql = format!("SELECT * FROM chervilwharf_promote({term}, '{}')", quote(holder));
        let result = self.call(&sql).await?;
        read_position(&result).ok_or(FenceFailure::Unreachable)
    }

    async fn follow(
        &self,
        term: Term,
        holder: &HolderId,
        primary: &TargetId,
        primary_address: &str,
    ) -> Result<(), FenceFailure> {
        let sql = format!(
            "SELECT * FROM chervilwharf_follow({term}, '{}', '{}', '{}')",
            quote(holder),
            quote(primary),
            quote(primary_address)
        );
        self.call(&sql).await.map(|_| ())
    }
}

/// Reads the row of `chervilwharf_position()` and its like.
#[must_use]
pub fn read_position(result: &StatementResult) -> Option<Position> {
    let values = row_values(result.rows.first()?);
    Some(Position::new(number_value(&values, 0)?, number_value(&values, 1)?))
}

fn read_state(result: &StatementResult) -> Option<ServerState> {
    let values = row_values(result.rows.first()?);
    let number = |index| number_value(&values, index);
    Some(ServerState {
        term: number(0)?,
        owner: text_value(&values, 1)?.into(),
        is_primary: number(2)? == 1,
        follows: text_value(&values, 3).map(Into::into),
        received: Position::new(number(4)?, number(5)?),
        applied: Position::new(number(6)?, number(7)?),
        since_primary_contact: number(8).map(Duration::from_millis),
    })
}

/// Address and login of a server of the configuration.
#[must_use]
pub fn address_of(
    database_id: &DatabaseId,
    database: &Database,
    server: &Server,
) -> Option<ServerAddress> {
    let address: SocketAddr = server.address.parse().ok()?;
    Some(ServerAddress {
        address,
        login: database.login.clone(),
        password: database.password.clone(),
        database: database_id.clone(),
    })
}

/// A server as trait object, shared by the tasks that control it.
pub type SharedTarget = Arc<dyn Target>;
