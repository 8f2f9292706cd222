//! Interface to the database servers of a group. A platform implements these traits
//! in the protocol of its servers.

use async_trait::async_trait;
use chervilwharf_lib::group::ServerInfo;
use chervilwharf_lib::group::ServerStatus;
use chervilwharf_lib::id::AccountId;
use chervilwharf_lib::id::GroupId;
use chervilwharf_lib::id::RequestId;
use chervilwharf_lib::position::Position;
use chervilwharf_lib::server_refusal::ServerRefusal;
use chervilwharf_lib::statement::Answer;
use chervilwharf_lib::statement::Statement;
use chervilwharf_lib::statement::TransactionState;
use displaydoc::Display;
use tokio::net::TcpStream;

/// One statement to be run by a server, with the conditions under which it may run.
#[derive(Clone, Debug)]
pub struct Step {
    /// Id of the client's request; `None` for statements that the proxy issues itself.
    pub id: Option<RequestId>,
    /// Position up to which the server must have applied its log before it runs the
    /// statement.
    pub floor: Option<Position>,
    /// The statement to run.
    pub statement: Statement,
}

impl Step {
    /// A statement that the proxy issues itself, without a request id or a position.
    #[must_use]
    pub fn internal(statement: Statement) -> Self {
        Self { id: None, floor: None, statement }
    }
}

/// A server's complete answer to one step.
#[derive(Clone, Debug)]
pub struct StepReply {
    /// Rows and signature, or the reason why the server refused the step.
    pub result: Result<Answer, ServerRefusal>,
    /// State of the connection after the step.
    pub state: TransactionState,
    /// Position that the server's log had reached, if the server reported it.
    pub position: Option<Position>,
}

/// Why an exchange with a server gave no complete answer. The connection cannot be
/// used afterwards, and the statements that were sent may have run.
#[derive(Clone, Debug)]
#[derive(Display)]
pub enum ExchangeError {
    /// the connection ended: {0}
    Ended(String),
    /// the server does not keep to the protocol: {0}
    Protocol(String),
    /// no whole answer came in time
    TimedOut,
}

/// Why no connection could be opened.
#[derive(Clone, Debug)]
#[derive(Display)]
pub enum ConnectError {
    /// the server cannot be reached: {0}
    Unreachable(String),
    /// the server refused the connection: {0:?}
    Refused(ServerRefusal),
}

/// An open session with one server.
#[async_trait]
pub trait ServerConnection: Send + Sync {
    /// Sends all steps at once and returns one reply for each.
    ///
    /// Dropping the future before it completes leaves the connection in an unknown
    /// state; the caller has to close it then.
    ///
    /// # Errors
    ///
    /// When the answer is not complete.
    async fn run(&mut self, steps: &[Step]) -> Result<Vec<StepReply>, ExchangeError>;

    /// Queries the server's role, term and log position.
    async fn status(&mut self) -> Result<Result<ServerStatus, ServerRefusal>, ExchangeError>;

    /// Stops a replica from receiving the log of its primary until it is promoted or
    /// resumed.
    async fn pause(
        &mut self,
        term: u64,
    ) -> Result<Result<ServerStatus, ServerRefusal>, ExchangeError>;

    /// Makes a primary whose term is below `term` a replica.
    async fn demote(
        &mut self,
        term: u64,
    ) -> Result<Result<ServerStatus, ServerRefusal>, ExchangeError>;

    /// Whether the server has closed this idle connection, as far as the local socket
    /// shows it; sends nothing.
    fn is_closed(&mut self) -> bool;
}

/// Opens sessions with servers.
#[async_trait]
pub trait Connector: Send + Sync {
    /// Opens a session with a server of a group over a connected stream. `account` is
    /// the client account that the session is for, where clients have accounts. The
    /// server refuses the session when its id is not that of `server`.
    ///
    /// # Errors
    ///
    /// When the server cannot be reached over the stream, or refuses the session.
    async fn start(
        &self,
        stream: TcpStream,
        group: &GroupId,
        account: Option<&AccountId>,
        server: &ServerInfo,
    ) -> Result<Box<dyn ServerConnection>, ConnectError>;
}
