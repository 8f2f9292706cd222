//! A connection to a server, lent to one request or transaction.

use std::sync::Arc;

use chervilwharf_lib::id::TargetId;
use chervilwharf_lib::layout::ConnectionLayout;

use crate::engine::border::ServerConnection;
use crate::engine::shard::Shard;

/// An open connection and what is set up on it.
pub struct PooledConnection {
    /// The connection.
    pub connection: Box<dyn ServerConnection>,
    /// What is set up on it.
    pub layout: ConnectionLayout,
}

impl PooledConnection {
    /// A connection that was just opened.
    #[must_use]
    pub fn new(connection: Box<dyn ServerConnection>) -> Self {
        Self { connection, layout: ConnectionLayout::default() }
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
    pub fn give_back(mut self) {
        self.stop_running();
        if let Some(connection) = self.connection.take() {
            self.shard.take_back(&self.server, connection);
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.stop_running();
        if let Some(connection) = self.connection.take() {
            drop(connection);
            self.shard.closed(&self.server);
        }
    }
}
