//! Statements of a client session, independent of the protocol they came in.

use std::sync::Arc;

/// What a prepared statement does with the item it is executed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Access {
    /// Reads the item.
    Read,
    /// Changes the item.
    Write,
}

/// A statement, decoded once at the border.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Statement {
    /// Begins a transaction.
    Begin {
        /// Whether the transaction may only read, and so run at a replica.
        read_only: bool,
    },
    /// Ends a transaction and keeps its changes.
    Commit,
    /// Ends a transaction and drops its changes.
    Rollback,
    /// Reads an item.
    Read {
        /// The item, as the client wrote it.
        item: Arc<str>,
    },
    /// Writes an item.
    Write {
        /// The item and its new data, as the client wrote them.
        item_and_data: Arc<str>,
    },
    /// Sets a value of the session.
    Set {
        /// Name of the value.
        name: Arc<str>,
        /// The value.
        value: Arc<str>,
    },
    /// Prepares a statement under a name of the session.
    Prepare {
        /// The name.
        name: Arc<str>,
        /// What it will be executed for.
        prepared: Prepared,
    },
    /// Executes a prepared statement.
    Execute {
        /// Its name.
        name: Arc<str>,
        /// Item and data, as the client wrote them.
        arguments: Arc<str>,
    },
    /// Forgets a prepared statement.
    Deallocate {
        /// Its name.
        name: Arc<str>,
    },
    /// Clears values and prepared names of a connection to a server.
    Reset,
}

/// What a prepared name stands for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Prepared {
    /// Whether it reads or writes.
    pub access: Access,
    /// Its shape: two names of the same shape are interchangeable.
    pub shape: Arc<str>,
}

impl Prepared {
    /// Name under which this shape is prepared at servers.
    ///
    /// One name a shape instead of one a client: names of clients collide on
    /// a shared connection, and a shape prepared once serves all of them.
    #[must_use]
    pub fn shared_name(&self) -> Arc<str> {
        let prefix = match self.access {
            Access::Read => "r",
            Access::Write => "w",
        };
        format!("{prefix}_{}", self.shape).into()
    }
}

/// What a server said to one statement that it ran.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// Rows, in order.
    pub rows: Vec<Arc<str>>,
    /// The server's proof that it ran this statement.
    pub signature: Arc<str>,
}

/// Whether a session or connection is inside a transaction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TransactionState {
    /// Outside.
    #[default]
    Idle,
    /// Inside.
    Open,
    /// Inside one that failed: only ending it is left.
    Failed,
}
