//! A connection to a server, lent to one request or transaction.

use std::sync::Arc;

use chervilwharf_lib::connection_setup::ConnectionSetup;
use chervilwharf_lib::connection_setup::SessionValues;
use chervilwharf_lib::id::AccountId;
use chervilwharf_lib::id::TargetId;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::statement::Prepared;

use crate::engine::clock::now;
use crate::engine::server_connection::ServerConnection;
use crate::engine::server_connection::Step;
use crate::engine::shard::Shard;

/// An open connection and what is set up on it.
pub struct PooledConnection {
    /// The account that it was opened for; `None` where clients have none.
    pub account: Option<AccountId>,
    /// The connection.
    pub connection: Box<dyn ServerConnection>,
    connection_setup: ConnectionSetup,
    /// Whether statements that the layout counts as done may not have run.
    unsettled: bool,
    /// When the server last answered on it.
    answered_at: Moment,
}

impl PooledConnection {
    /// A connection that was just opened.
    #[must_use]
    pub fn new(account: Option<AccountId>, connection: Box<dyn ServerConnection>) -> Self {
        let (connection_setup, answered_at) = (ConnectionSetup::default(), now());
        Self { account, connection, connection_setup, unsettled: false, answered_at }
    }

    /// How many statements it takes to set it up for a session.
    #[must_use]
    pub fn distance(&self, values: &SessionValues, prepared: Option<&Prepared>) -> usize {
        self.connection_setup.distance(values, prepared)
    }

    /// Statements that set it up for a session. They count as done, so they
    /// have to be sent, or the connection is of no use any more.
    pub fn adapt(&mut self, values: &SessionValues, prepared: Option<&Prepared>) -> Vec<Step> {
        let steps = self.connection_setup.adapt(values, prepared);
        self.unsettled |= !steps.is_empty();
        steps.into_iter().map(Step::own).collect()
    }

    /// All that was sent to the server has been answered.
    pub fn settle(&mut self) {
        self.unsettled = false;
        self.answered_at = now();
    }

    /// Whether the server has answered on it since a moment.
    #[must_use]
    pub fn has_answered_since(&self, moment: Moment) -> bool {
        self.answered_at >= moment
    }
}

/// A connection that nobody else uses while the lease lasts.
///
/// Dropped without [`Lease::give_back`] it closes the connection: whoever
/// gives up in the middle of an exchange leaves an answer behind that the
/// next user would take for its own. Closing also rolls back what is open.
pub struct Lease {
    shard: Arc<Shard>,
    server: TargetId,
    connection: Option<PooledConnection>,
    /// Whether a statement is at the server, or about to be.
    running: bool,
}

impl Lease {
    /// Lends a connection.
    #[must_use]
    pub(crate) fn new(shard: Arc<Shard>, server: TargetId, connection: PooledConnection) -> Self {
        Self { shard, server, connection: Some(connection), running: true }
    }

    /// The server at the other end.
    #[must_use]
    pub fn server(&self) -> &TargetId {
        &self.server
    }

    /// The connection.
    ///
    /// # Panics
    ///
    /// Never: it is taken out only when the lease ends.
    pub fn connection(&mut self) -> &mut PooledConnection {
        self.connection.as_mut().expect("present until the lease ends")
    }

    /// No statement is at the server until [`Lease::resume`]: the client
    /// rests in its transaction.
    pub fn rest(&mut self) {
        if std::mem::take(&mut self.running) {
            self.shard.end_running(&self.server);
            self.shard.pump();
        }
    }

    /// The next statement of the transaction goes to the server. It does not
    /// wait for its turn: others wait for the locks and the connection that
    /// the transaction holds.
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

    /// Ends the lease of a connection that is idle and whole.
    ///
    /// One that was to be set up, and for which that was not sent, is closed. It
    /// would count as set up for a session whose values it does not have, and
    /// run that session's statements with the values of another one: seen where
    /// the right to use the primary ended between the two.
    pub fn give_back(mut self) {
        self.stop_running();
        let whole = self.connection.as_ref().is_some_and(|connection| !connection.unsettled);
        if !whole {
            return;
        }
        if let Some(connection) = self.connection.take() {
            self.shard.take_back(&self.server, connection);
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
