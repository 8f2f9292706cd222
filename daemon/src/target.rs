//! Control of a database server through the SQL functions
//! `chervilwharf_state`, `chervilwharf_fence`, `chervilwharf_promote` and
//! `chervilwharf_follow` that every server provides.
//!
//! A fence makes the server refuse all terms lower than the given one. A holder
//! is the incarnation of an instance that a term is granted to.

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

use crate::batch_reply::BatchError;
use crate::batch_reply::number_value;
use crate::batch_reply::row_values;
use crate::batch_reply::text_value;
use crate::postgres::ServerAddress;
use crate::postgres::ServerConnection;
use crate::postgres::Step;

/// SQLSTATE of a statement whose session declared another term than the server
/// holds.
pub const WRONG_TERM: &str = "CW001";

/// SQLSTATE of a read that requires a log position that the server has not
/// applied.
pub const NOT_APPLIED: &str = "CW002";

/// SQLSTATE of a write in a read-only transaction or at a replica; defined by
/// PostgreSQL.
pub const READ_ONLY: &str = "25006";

/// SQLSTATE of the insertion of a row that exists already; defined by PostgreSQL.
pub const UNIQUE_VIOLATION: &str = "23505";

/// Control functions of one server. See docs/TARGETS.md.
#[async_trait]
pub trait Target: Send + Sync {
    /// Returns the server's term, role and log positions.
    async fn state(&self) -> Result<ServerState, FenceFailure>;

    /// Makes the server refuse all terms below `term`. Returns its state.
    async fn fence(&self, term: Term, holder: &HolderId) -> Result<ServerState, FenceFailure>;

    /// Makes the server the primary of `term`. Returns the log position of the
    /// first entry of the term.
    async fn promote(&self, term: Term, holder: &HolderId) -> Result<Position, FenceFailure>;

    /// Makes the server replicate from a primary. `primary_address` is the
    /// replication address of the primary.
    async fn follow(
        &self,
        term: Term,
        holder: &HolderId,
        primary: &TargetId,
        primary_address: &str,
    ) -> Result<(), FenceFailure>;
}

/// A server that is controlled by SQL functions over a PostgreSQL connection.
pub struct PgTarget {
    address: ServerAddress,
    connection: Mutex<Option<ServerConnection>>,
    timeout: Duration,
}

impl PgTarget {
    /// Creates the control of the server at `address`. Each attempt of a call
    /// takes at most `timeout`.
    #[must_use]
    pub fn new(address: ServerAddress, timeout: Duration) -> Self {
        Self { address, connection: Mutex::new(None), timeout }
    }

    /// Runs a control statement, and repeats it on a new connection if the open
    /// one fails.
    ///
    /// An open connection can stop working while new ones work. If its timeout
    /// counted as a failure of the server, a healthy primary would be replaced.
    async fn call(&self, sql: &str) -> Result<StatementResult, FenceFailure> {
        let mut cached = self.connection.lock().await;
        let steps = [Step::internal(sql)];
        if let Some(mut connection) = cached.take() {
            match tokio::time::timeout(self.timeout, connection.run(&steps)).await {
                Ok(Ok(results)) => {
                    *cached = Some(connection);
                    return first_result(results);
                }
                Ok(Err(error @ BatchError::Refused { .. })) => {
                    *cached = Some(connection);
                    return Err(to_fence_failure(&error));
                }
                _ => {}
            }
        }
        let opened = ServerConnection::open(&self.address, self.timeout).await;
        let mut connection = opened.map_err(|_| FenceFailure::Unreachable)?;
        let answer = tokio::time::timeout(self.timeout, connection.run(&steps)).await;
        match answer.map_err(|_| FenceFailure::Unreachable)? {
            Ok(results) => {
                *cached = Some(connection);
                first_result(results)
            }
            Err(error) => Err(to_fence_failure(&error)),
        }
    }
}

fn first_result(results: Vec<StatementResult>) -> Result<StatementResult, FenceFailure> {
    results.into_iter().next().ok_or(FenceFailure::Unreachable)
}

/// Parses the message `term N is held by OWNER` of a refusal. Returns the term
/// and its holder.
#[must_use]
pub fn held_term(message: &str) -> Option<(Term, &str)> {
    let rest = message.strip_prefix("term ")?;
    let (term, owner) = rest.split_once(" is held by ")?;
    Some((term.parse().ok()?, owner))
}

fn to_fence_failure(error: &BatchError) -> FenceFailure {
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

/// Parses the term and the index of a log position from the first two columns of
/// a result, such as that of `chervilwharf_position()`.
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

/// Returns the address and login of a server of the configuration, or `None` if
/// its address is not an IP address with a port.
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

/// Control of a server, shared by tasks.
pub type SharedTarget = Arc<dyn Target>;
