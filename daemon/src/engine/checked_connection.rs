//! A connection to a server whose replies are checked to be those of the statements that were
//! sent. [`chervilwharf_lib::reply_check`] has the rules.

use chervilwharf_lib::group::ServerStatus;
use chervilwharf_lib::reply_check::ReceivedReply;
use chervilwharf_lib::reply_check::ReplyCheck;
use chervilwharf_lib::reply_check::ReplyFault;
use chervilwharf_lib::reply_check::Rows;
use chervilwharf_lib::reply_check::SentStatement;
use chervilwharf_lib::server_refusal::ServerRefusal;

use crate::engine::server_connection::ExchangeError;
use crate::engine::server_connection::IdleState;
use crate::engine::server_connection::ServerConnection;
use crate::engine::server_connection::Step;
use crate::engine::server_connection::StepReply;

/// A connection to a server that checks each reply.
pub struct CheckedConnection {
    connection: Box<dyn ServerConnection>,
    check: ReplyCheck,
    /// The first wrong reply since the last call of [`Self::take_fault`].
    fault: Option<ReplyFault>,
}

impl CheckedConnection {
    /// Wraps a connection on which no statement was sent yet.
    #[must_use]
    pub fn new(connection: Box<dyn ServerConnection>) -> Self {
        Self { connection, check: ReplyCheck::default(), fault: None }
    }

    /// Sends all steps at once and returns one reply for each.
    ///
    /// # Errors
    ///
    /// When the answer is not complete.
    pub async fn run(&mut self, steps: &[Step]) -> Result<Vec<StepReply>, ExchangeError> {
        let mut replies = self.connection.run(steps).await?;
        for (step, reply) in steps.iter().zip(&mut replies) {
            match self.check_reply(step, reply) {
                Ok(rows) => reply.rows = rows,
                Err(fault) => self.fault = self.fault.or(Some(fault)),
            }
        }
        Ok(replies)
    }

    fn check_reply(&mut self, step: &Step, reply: &StepReply) -> Result<Rows, ReplyFault> {
        let sent = SentStatement { statement: &step.statement, purpose: step.purpose };
        let received =
            ReceivedReply { result: &reply.result, state: reply.state, rows: reply.rows };
        self.check.check(sent, received)
    }

    /// Queries the server's role, term and log position.
    ///
    /// # Errors
    ///
    /// When the answer is not complete.
    pub async fn status(&mut self) -> Result<Result<ServerStatus, ServerRefusal>, ExchangeError> {
        self.connection.status().await
    }

    /// The first wrong reply since the last call of this method.
    pub fn take_fault(&mut self) -> Option<ReplyFault> {
        self.fault.take()
    }

    /// Whether the idle connection can be used, as far as the local socket shows it.
    pub fn idle_state(&mut self) -> IdleState {
        self.connection.idle_state()
    }
}
