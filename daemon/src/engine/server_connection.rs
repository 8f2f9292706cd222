//! Interface to the database servers of a group. A platform implements these traits
//! in the protocol of its servers.

use async_trait::async_trait;
use chervilwharf_lib::group::ServerInfo;
use chervilwharf_lib::group::ServerStatus;
use chervilwharf_lib::id::AccountId;
use chervilwharf_lib::id::GroupId;
use chervilwharf_lib::id::RequestId;
use chervilwharf_lib::position::Position;
use chervilwharf_lib::reply_check::Purpose;
use chervilwharf_lib::reply_check::ReplyFault;
use chervilwharf_lib::reply_check::Rows;
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
    /// What the statement is sent for.
    pub purpose: Purpose,
}

impl Step {
    /// A statement that the proxy issues itself, without a request id or a position.
    #[must_use]
    pub fn internal(statement: Statement) -> Self {
        Self { id: None, floor: None, statement, purpose: Purpose::Internal }
    }

    /// A client's statement.
    #[must_use]
    pub fn of_client(id: RequestId, statement: Statement, writes: bool) -> Self {
        let purpose = if writes { Purpose::ClientWrite } else { Purpose::ClientRead };
        Self { id: Some(id), floor: None, statement, purpose }
    }

    /// Sets the position up to which the server must have applied its log.
    #[must_use]
    pub fn with_floor(self, floor: Option<Position>) -> Self {
        Self { floor, ..self }
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
    /// Whether the rows are those that the statement returned.
    pub rows: Rows,
}

/// What an idle connection shows without an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleState {
    /// It can be used.
    Open,
    /// The server has closed it, or it failed.
    Closed,
    /// The server sent data although no statement is outstanding.
    UnexpectedData,
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
    /// the reply is not that of the statement: {0}
    WrongReply(ReplyFault),
    /// no whole answer came in time
    TimedOut,
}

impl ExchangeError {
    /// The fault of the reply, if the server answered with something else than the reply to the
    /// statement.
    #[must_use]
    pub fn reply_fault(&self) -> Option<ReplyFault> {
        match self {
            Self::WrongReply(fault) => Some(*fault),
            Self::Protocol(_) => Some(ReplyFault::Malformed),
            Self::Ended(_) | Self::TimedOut => None,
        }
    }
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

    /// Whether this idle connection can be used, as far as the local socket shows it; sends
    /// nothing.
    fn idle_state(&mut self) -> IdleState;
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
