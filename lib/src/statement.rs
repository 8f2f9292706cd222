//! Statements of a client session in the session engine, independent of the wire
//! protocol of the client.

use std::sync::Arc;

use sha2::Digest;
use sha2::Sha256;

/// Maximum length of a shape that is part of a name, in bytes. It is that of a digest in hex.
const MAX_SHAPE_BYTES_IN_NAME: usize = 64;

/// Whether a prepared statement reads or writes the item that it is executed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Access {
    /// Reads the item.
    Read,
    /// Changes the item.
    Write,
}

/// A statement, as decoded from the wire protocol.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Statement {
    /// Begins a transaction.
    Begin {
        /// Whether the transaction is read-only and so may run at a replica.
        read_only: bool,
    },
    /// Commits a transaction.
    Commit,
    /// Rolls a transaction back.
    Rollback,
    /// Reads an item.
    Read {
        /// The item, in the notation of the client.
        item: Arc<str>,
    },
    /// Writes an item.
    Write {
        /// The item and its new data, in the notation of the client.
        item_and_data: Arc<str>,
    },
    /// Sets a session value.
    Set {
        /// Name of the value.
        name: Arc<str>,
        /// The value.
        value: Arc<str>,
    },
    /// Prepares a statement under a name that is local to the session.
    Prepare {
        /// The name.
        name: Arc<str>,
        /// The prepared statement.
        prepared: Prepared,
    },
    /// Executes a prepared statement.
    Execute {
        /// Its name.
        name: Arc<str>,
        /// Item and data, in the notation of the client.
        arguments: Arc<str>,
    },
    /// Discards a prepared statement.
    Deallocate {
        /// Its name.
        name: Arc<str>,
    },
    /// Clears all session values and prepared statements of a connection to a
    /// server.
    Reset,
}

/// A prepared statement, without its name.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Prepared {
    /// Whether it reads or writes the item.
    pub access: Access,
    /// What the statement does, without item and data. Prepared statements of
    /// the same shape and access are interchangeable.
    pub shape: Arc<str>,
}

impl Prepared {
    /// Name under which the statement is prepared at servers. It consists of ASCII letters,
    /// digits and underscores, and has at most 66 bytes.
    ///
    /// The name depends on the access and the shape and not on the name that a client chose:
    /// client names would collide on a shared connection, and a statement that is prepared once
    /// serves all clients. Another shape or access has another name. A shape may contain
    /// anything, so only one that is a short word is part of the name. Of any other the name has
    /// the whole SHA-256 digest, which no underscore precedes.
    #[must_use]
    pub fn shared_name(&self) -> Arc<str> {
        let prefix = match self.access {
            Access::Read => 'r',
            Access::Write => 'w',
        };
        let is_short_word = self.shape.len() <= MAX_SHAPE_BYTES_IN_NAME
            && self.shape.bytes().all(|byte| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'_'));
        if is_short_word {
            return format!("{prefix}_{}", self.shape).into();
        }
        let digest = Sha256::digest(self.shape.as_bytes());
        format!("{prefix}{digest:x}").into()
    }
}

/// A server's answer to one statement that it ran.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// Rows, in order.
    pub rows: Vec<Arc<str>>,
    /// The signature with which the server proves that it ran this statement. Empty for
    /// statements that the proxy issues itself.
    pub signature: Arc<str>,
}

/// Whether a transaction is open on a session or connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TransactionState {
    /// No transaction is open.
    #[default]
    Idle,
    /// A transaction is open.
    Open,
    /// The open transaction has failed and can only be ended.
    Failed,
}
