//! Pooled connections, and leases, which lend a connection to one request or transaction.

use std::sync::Arc;
use std::time::Duration;

use chervilwharf_lib::connection_setup::ConnectionSetup;
use chervilwharf_lib::connection_setup::SessionValues;
use chervilwharf_lib::group::ServerStatus;
use chervilwharf_lib::id::AccountId;
use chervilwharf_lib::id::TargetId;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::reply_check::ReplyFault;
use chervilwharf_lib::reply_check::Rows;
use chervilwharf_lib::server_refusal::ServerRefusal;
use chervilwharf_lib::statement::Prepared;

use crate::engine::checked_connection::CheckedConnection;
use crate::engine::clock::now;
use crate::engine::server_connection::ExchangeError;
use crate::engine::server_connection::IdleState;
use crate::engine::server_connection::ServerConnection;
use crate::engine::server_connection::Step;
use crate::engine::server_connection::StepReply;
use crate::engine::shard::Shard;

/// An open connection to a server, with the session values and prepared statements that
/// are set up on it.
pub struct PooledConnection {
    /// The account that it was opened for; `None` if clients have no accounts.
    pub account: Option<AccountId>,
    connection: CheckedConnection,
    connection_setup: ConnectionSetup,
    /// Whether setup statements that `connection_setup` counts as run may not have run.
    setup_pending: bool,
    /// When the server last answered on it.
    answered_at: Moment,
    /// When its opening began; `None` once a request has used it.
    opening_began_at: Option<Moment>,
}

impl PooledConnection {
    /// Wraps a connection that was just opened. `began_at` is when its opening began.
    #[must_use]
    pub fn new(
        account: Option<AccountId>,
        connection: Box<dyn ServerConnection>,
        began_at: Moment,
    ) -> Self {
        Self {
            account,
            connection: CheckedConnection::new(connection),
            connection_setup: ConnectionSetup::default(),
            setup_pending: false,
            answered_at: now(),
            opening_began_at: Some(began_at),
        }
    }

    /// Exchanges with the other connections to the server whether it answers reads without rows.
    pub fn share_empty_reads(&mut self, reads_may_be_empty: &mut bool) {
        let check = self.connection.check_mut();
        *reads_may_be_empty |= check.reads_may_be_empty();
        if *reads_may_be_empty {
            check.expect_empty_reads();
        }
    }

    /// Whether the idle connection can be used, as far as the local socket shows it.
    pub fn idle_state(&mut self) -> IdleState {
        self.connection.idle_state()
    }

    /// For how long after `since` it was being opened, for its first user; zero for later ones.
    pub fn take_opening_time(&mut self, since: Moment) -> Duration {
        let began_at = self.opening_began_at.take();
        began_at.map_or(Duration::ZERO, |at| self.answered_at.saturating_sub(at.max(since)))
    }

    /// How many statements it takes to set the connection up for a session.
    #[must_use]
    pub fn setup_cost(&self, values: &SessionValues, prepared: Option<&Prepared>) -> usize {
        self.connection_setup.setup_cost(values, prepared)
    }

    /// Statements that set the connection up for a session. They count as run from now on,
    /// so the caller has to send them; otherwise the connection cannot be reused.
    pub fn begin_setup(
        &mut self,
        values: &SessionValues,
        prepared: Option<&Prepared>,
    ) -> Vec<Step> {
        let steps = self.connection_setup.begin_setup(values, prepared);
        self.setup_pending |= !steps.is_empty();
        steps.into_iter().map(Step::internal).collect()
    }

    /// Records that everything that was sent to the server has been answered.
    pub fn record_all_answered(&mut self) {
        self.setup_pending = false;
        self.answered_at = now();
    }

    /// Whether the server has answered on this connection since `moment`.
    #[must_use]
    pub fn has_answered_since(&self, moment: Moment) -> bool {
        self.answered_at >= moment
    }
}

/// The exclusive use of a pooled connection.
///
/// A lease that is dropped without [`Lease::give_back`] closes the connection. An exchange
/// that is abandoned midway leaves a reply on the connection, which the next user would
/// take for the reply to its own statement. Closing also rolls back an open transaction.
pub struct Lease {
    shard: Arc<Shard>,
    server: TargetId,
    connection: Option<PooledConnection>,
    /// Whether the lease counts as a statement that runs at the server.
    running: bool,
}

impl Lease {
    /// Creates a lease of a connection that was taken out of the pool.
    #[must_use]
    pub(crate) fn new(shard: Arc<Shard>, server: TargetId, connection: PooledConnection) -> Self {
        Self { shard, server, connection: Some(connection), running: true }
    }

    /// The server of the connection.
    #[must_use]
    pub fn server(&self) -> &TargetId {
        &self.server
    }

    /// The leased connection.
    ///
    /// # Panics
    ///
    /// Never: the connection is taken out only when the lease ends.
    pub fn connection(&mut self) -> &mut PooledConnection {
        self.connection.as_mut().expect("present until the lease ends")
    }

    /// Sends all steps at once and returns one reply for each.
    ///
    /// Dropping the future before it completes leaves the connection in an unknown state; the
    /// lease has to be dropped then.
    ///
    /// # Errors
    ///
    /// When the answer is not complete.
    pub async fn run(&mut self, steps: &[Step]) -> Result<Vec<StepReply>, ExchangeError> {
        let result = self.connection().connection.run(steps).await;
        let fault = match &result {
            Ok(replies) => {
                let in_doubt = replies.iter().any(|reply| reply.rows == Rows::InDoubt);
                in_doubt.then_some(ReplyFault::RowsInDoubt)
            }
            Err(error) => error.reply_fault(),
        };
        if let Some(fault) = fault {
            let request = steps.iter().find_map(|step| step.id.as_ref());
            self.shard.record_wrong_reply(&self.server, fault, request);
        }
        result
    }

    /// Queries the server's role, term and log position.
    ///
    /// # Errors
    ///
    /// When the answer is not complete.
    pub async fn status(&mut self) -> Result<Result<ServerStatus, ServerRefusal>, ExchangeError> {
        let result = self.connection().connection.status().await;
        if let Some(fault) = result.as_ref().err().and_then(ExchangeError::reply_fault) {
            self.shard.record_wrong_reply(&self.server, fault, None);
        }
        result
    }

    /// Stops counting a running statement until [`Lease::resume`]: the client's transaction
    /// is idle.
    pub fn pause(&mut self) {
        if std::mem::take(&mut self.running) {
            self.shard.end_running(&self.server);
            self.shard.assign_connections();
        }
    }

    /// Counts the next statement of the transaction as running. It does not wait in the
    /// queue, since other requests wait for the locks and the connection that the
    /// transaction holds.
    pub fn resume(&mut self) {
        if !std::mem::replace(&mut self.running, true) {
            self.shard.begin_running(&self.server);
        }
    }

    fn stop_running(&mut self) {
        if std::mem::take(&mut self.running) {
            self.shard.end_running(&self.server);
        }
    }

    /// Ends the lease and returns the connection to the pool. No transaction may be open
    /// on it, and no reply outstanding.
    ///
    /// The connection is closed instead if its setup statements were created but not
    /// sent, which happens if the primary lease ends in between. It would count as set up
    /// for a session whose values it does not have, and would run that session's
    /// statements with the values of another one.
    pub fn give_back(mut self) {
        self.stop_running();
        let reusable = self.connection.as_ref().is_some_and(|connection| !connection.setup_pending);
        if !reusable {
            return;
        }
        if let Some(connection) = self.connection.take() {
            self.shard.return_to_pool(&self.server, connection);
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.stop_running();
        if let Some(connection) = self.connection.take() {
            let account = connection.account.clone();
            drop(connection);
            self.shard.closed(&self.server, account.as_ref());
        }
    }
}
