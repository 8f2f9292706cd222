//! Errors that a server answers a statement with.

use std::sync::Arc;

use crate::error_kind::ErrorKind;

/// An error answer of a server, decoded once at the border.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerRefusal {
    /// What it means.
    pub kind: RefusalKind,
    /// What the server wrote besides.
    pub text: Arc<str>,
}

/// What an error answer of a server means.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalKind {
    /// Too much work at the server; not run.
    Busy,
    /// No such prepared name; not run.
    UnknownPreparedName,
    /// The log lacks the position that was required; not run.
    Lagging,
    /// The server does not lead; not run.
    NotLeading,
    /// The server is another one than was expected; not run.
    WrongServer,
    /// No more connections; not run.
    TooManyConnections,
    /// The transaction was rolled back; nothing of it is kept.
    RolledBack,
    /// The statement does not fit the state of the connection; not run.
    Malformed,
    /// It was run and failed.
    Failed,
    /// It was run and took too long.
    TimedOut,
    /// The server promises nothing.
    Unknown,
}

impl RefusalKind {
    /// Whether the server promises that the statement did not run.
    #[must_use]
    pub fn guarantees_not_run(self) -> bool {
        match self {
            Self::Busy
            | Self::UnknownPreparedName
            | Self::Lagging
            | Self::NotLeading
            | Self::WrongServer
            | Self::TooManyConnections
            | Self::RolledBack
            | Self::Malformed => true,
            Self::Failed | Self::TimedOut | Self::Unknown => false,
        }
    }

    /// What a client is told when the refusal ends its request.
    #[must_use]
    pub fn error_kind(self) -> ErrorKind {
        match self {
            Self::Busy | Self::TooManyConnections => ErrorKind::Overloaded,
            Self::UnknownPreparedName => ErrorKind::UnknownPreparedName,
            Self::Lagging => ErrorKind::ReplicasBehind,
            Self::NotLeading | Self::WrongServer => ErrorKind::NoPrimary,
            Self::RolledBack => ErrorKind::TransactionLost,
            Self::Malformed => ErrorKind::BadStatement,
            Self::Failed => ErrorKind::ServerFailed,
            Self::TimedOut => ErrorKind::ServerTimedOut,
            Self::Unknown => ErrorKind::OutcomeUnknown,
        }
    }
}
