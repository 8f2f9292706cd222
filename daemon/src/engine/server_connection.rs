//! The border to the servers of a group.

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

/// One statement for a server.
#[derive(Clone, Debug)]
pub struct Step {
    /// Id of the client's request; `None` for statements of our own.
    pub id: Option<RequestId>,
    /// Position that the server's log must hold.
    pub floor: Option<Position>,
    /// What to run.
    pub statement: Statement,
}

impl Step {
    /// A statement of our own.
    #[must_use]
    pub fn own(statement: Statement) -> Self {
        Self { id: None, floor: None, statement }
    }
}

/// A server's whole answer to one step.
#[derive(Clone, Debug)]
pub struct StepReply {
    /// Rows and signature, or why not.
    pub result: Result<Answer, ServerRefusal>,
    /// State of the connection after the step.
    pub state: TransactionState,
    /// Position that the server's log had reached.
    pub position: Option<Position>,
}

/// Why an exchange with a server gave no whole answer. The connection is
/// useless afterwards, and what was sent may have run.
#[derive(Clone, Debug)]
#[derive(Display)]
pub enum ExchangeError {
    /// the connection ended: {0}
    Ended(String),
    /// the server does not keep to the protocol: {0}
    Protocol(String),
    /// no whole answer came in time
    Silent,
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

/// A connection to one server.
#[async_trait]
pub trait ServerConnection: Send + Sync {
    /// Runs steps, sent together, and returns one reply for each.
    ///
    /// A future that is dropped early leaves the connection in an unknown
    /// state: it has to be closed then.
    async fn run(&mut self, steps: &[Step]) -> Result<Vec<StepReply>, ExchangeError>;

    /// Asks the server for its state.
    async fn status(&mut self) -> Result<Result<ServerStatus, ServerRefusal>, ExchangeError>;

    /// Stops a replica from receiving, until it is promoted or resumed.
    async fn pause(
        &mut self,
        term: u64,
    ) -> Result<Result<ServerStatus, ServerRefusal>, ExchangeError>;

    /// Makes a primary of a term below `term` a replica.
    async fn demote(
        &mut self,
        term: u64,
    ) -> Result<Result<ServerStatus, ServerRefusal>, ExchangeError>;

    /// Whether the server has closed an idle connection, as far as can be
    /// told without asking it.
    fn is_closed(&mut self) -> bool;
}

/// Begins sessions with servers.
#[async_trait]
pub trait Connector: Send + Sync {
    /// Begins a session with a server of a group over an open stream, for an
    /// account where clients have some. The server refuses when it is not the one
    /// that `server` names.
    async fn start(
        &self,
        stream: TcpStream,
        group: &GroupId,
        account: Option<&AccountId>,
        server: &ServerInfo,
    ) -> Result<Box<dyn ServerConnection>, ConnectError>;
}
