//! Error replies of database servers.

use std::sync::Arc;

use crate::error_kind::ErrorKind;

/// An error reply of a server to a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerRefusal {
    /// Meaning of the reply.
    pub kind: RefusalKind,
    /// Text of the reply.
    pub text: Arc<str>,
}

/// Meaning of an error reply of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalKind {
    /// The server is overloaded. The statement did not run.
    Busy,
    /// No statement is prepared under the name. The statement did not run.
    UnknownPreparedName,
    /// The server's log has not reached the required position. The statement did
    /// not run.
    Lagging,
    /// The server is not the primary. The statement did not run.
    NotLeading,
    /// The server is not the one that was addressed. The statement did not run.
    WrongServer,
    /// The server accepts no more connections. The statement did not run.
    TooManyConnections,
    /// The server rolled the transaction back, and none of its changes are kept.
    RolledBack,
    /// The statement is not valid in the state of the connection. It did not run.
    Malformed,
    /// The statement ran and failed.
    Failed,
    /// The statement ran and exceeded the server's time limit.
    TimedOut,
    /// The reply does not show whether the statement ran.
    Unknown,
}

impl RefusalKind {
    /// Whether the server guarantees that the statement did not run, or that it was
    /// rolled back.
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

    /// Error that the client gets if the refusal ends its request.
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
