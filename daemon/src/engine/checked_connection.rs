//! A connection to a server whose replies are checked to be those of the statements that were
//! sent. [`chervilwharf_lib::reply_check`] has the rules.

use chervilwharf_lib::group::ServerStatus;
use chervilwharf_lib::reply_check;
use chervilwharf_lib::reply_check::ReceivedReply;
use chervilwharf_lib::reply_check::ReplyCheck;
use chervilwharf_lib::reply_check::ReplyFault;
use chervilwharf_lib::reply_check::SentStatement;
use chervilwharf_lib::server_refusal::ServerRefusal;
use chervilwharf_lib::statement::Statement;

use crate::engine::server_connection::ExchangeError;
use crate::engine::server_connection::IdleState;
use crate::engine::server_connection::ServerConnection;
use crate::engine::server_connection::Step;
use crate::engine::server_connection::StepReply;

/// A connection to a server that checks each reply.
pub struct CheckedConnection {
    connection: Box<dyn ServerConnection>,
    check: ReplyCheck,
}

impl CheckedConnection {
    /// Wraps a connection on which no statement was sent yet.
    #[must_use]
    pub fn new(connection: Box<dyn ServerConnection>) -> Self {
        Self { connection, check: ReplyCheck::default() }
    }

    /// Sends all steps at once and returns one reply for each. If the server refused one of
    /// them, a second exchange confirms that the refusal is not a repeated one.
    ///
    /// # Errors
    ///
    /// When the answer is not complete, or not certain to be the answer to these steps.
    pub async fn run(&mut self, steps: &[Step]) -> Result<Vec<StepReply>, ExchangeError> {
        let began_in = self.check.state();
        let mut replies = self.run_unchecked(steps).await?;
        for (step, reply) in steps.iter().zip(&mut replies) {
            let sent = SentStatement { statement: &step.statement, purpose: step.purpose };
            let checked = self.check.check(sent, received(reply));
            reply.rows = checked.map_err(ExchangeError::WrongReply)?;
        }
        if replies.iter().any(|reply| reply.result.is_err()) {
            let commits = steps.iter().any(|step| step.statement == Statement::Commit);
            let statements = self.check.confirmation(began_in, commits, rand::random());
            self.test_order(statements).await?;
            if let (Some(last), true) = (replies.last_mut(), commits) {
                // The confirmation has rolled back the transaction of a refused COMMIT.
                last.state = self.check.state();
            }
        }
        Ok(replies)
    }

    /// Sends steps, unless data has arrived that can only be a repetition: all earlier statements
    /// are answered.
    async fn run_unchecked(&mut self, steps: &[Step]) -> Result<Vec<StepReply>, ExchangeError> {
        if self.connection.idle_state() == IdleState::UnexpectedData {
            return Err(ExchangeError::WrongReply(ReplyFault::DataWithoutRequest));
        }
        self.connection.run(steps).await
    }

    /// Runs statements of the proxy, whose replies show whether those before were in order.
    async fn test_order(&mut self, statements: Vec<Statement>) -> Result<(), ExchangeError> {
        let steps: Vec<_> = statements.into_iter().map(Step::internal).collect();
        if steps.is_empty() {
            return Ok(());
        }
        let replies = self.run_unchecked(&steps).await?;
        for (step, reply) in steps.iter().zip(&replies) {
            let checked = self.check.check_confirmation(&step.statement, received(reply));
            checked.map_err(ExchangeError::WrongReply)?;
        }
        Ok(())
    }

    /// Queries the server's role, term and log position.
    ///
    /// # Errors
    ///
    /// When the answer is not complete, or not certain to be the answer to this query.
    pub async fn status(&mut self) -> Result<Result<ServerStatus, ServerRefusal>, ExchangeError> {
        let status = self.connection.status().await?;
        // The answer names no query, and may be the repeated one to an earlier query.
        self.test_order(reply_check::confirmation_of_status(rand::random())).await?;
        Ok(status)
    }

    /// What the replies on this connection have shown.
    pub fn check_mut(&mut self) -> &mut ReplyCheck {
        &mut self.check
    }

    /// Whether the idle connection can be used, as far as the local socket shows it.
    pub fn idle_state(&mut self) -> IdleState {
        self.connection.idle_state()
    }
}

fn received(reply: &StepReply) -> ReceivedReply<'_> {
    ReceivedReply { result: &reply.result, state: reply.state, rows: reply.rows }
}
