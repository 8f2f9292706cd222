//! All kinds of errors that a request can end with, and the properties of the
//! answer for each: SQLSTATE, whether the request may have run, and when to retry.

use std::time::Duration;

use displaydoc::Display;

/// Whether a request that ended with an error may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request did not run, and does not run unless it is sent again.
    NotRun,
    /// The request may have run. The client can inquire, or send it again with the
    /// same request id.
    Unknown,
}

/// Kind of an error that a request can end with. The text of each kind is the
/// message that clients get.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Display)]
pub enum ErrorKind {
    /// the database server refused the statement
    ServerRefused,
    /// this instance does not own the database
    NotOwner,
    /// the database has no primary now
    NoPrimary,
    /// too many requests are waiting for the database
    Overloaded,
    /// the deadline passed before the request was started
    DeadlineBeforeStart,
    /// the result of the request could not be learned in time
    OutcomeUnknown,
    /// the request was cancelled before it ran
    Cancelled,
    /// the request id was used before for another statement
    RequestIdReused,
    /// the request id is older than the retention of the ledger
    RequestIdExpired,
    /// the answer recorded for this request is too large to be kept
    AnswerNotKept,
    /// no such database
    UnknownDatabase,
    /// the account may not use this database or service
    NotAllowed,
    /// the account has too many connections
    TooManyConnections,
    /// the account sends requests faster than it may
    RateLimited,
    /// the statement is too large
    StatementTooLarge,
    /// the result is too large
    ResultTooLarge,
    /// the statement could not be understood
    BadStatement,
    /// the transaction was lost and has been rolled back
    TransactionLost,
    /// the transaction is aborted, only ROLLBACK is accepted
    TransactionAborted,
    /// the feature is not supported through the proxy
    Unsupported,
    /// the instance is stopping
    Stopping,
    /// an earlier request of this account with the same id is in flight
    InFlight,
    /// the server ran the statement and it failed
    ServerFailed,
    /// the server ran the statement and it took too long
    ServerTimedOut,
    /// no statement is prepared under this name
    UnknownPreparedName,
    /// no server has applied what the read has to see
    ReplicasBehind,
    /// this instance has no configuration yet
    NotConfigured,
    /// this instance is cut off from the others and may not use the primary
    CutOff,
    /// no instance that holds connections to the database answers
    HolderSilent,
    /// no account has this key
    UnknownKey,
    /// nobody can tell now how much the account may still ask for
    QuotaUnknown,
}

/// Properties of the answer for one error kind.
#[derive(Clone, Copy, Debug)]
pub struct AnswerRule {
    /// SQLSTATE that the client gets.
    pub sqlstate: &'static str,
    /// Whether the request may have run.
    pub outcome: Outcome,
    /// Default delay before a retry, used if there is no better estimate. `None`
    /// means that the same request would fail in the same way.
    pub retry_after: Option<Duration>,
    /// Whether the error counts against the error budget of the service.
    pub burns_budget: bool,
}

const RETRY_SOON: Option<Duration> = Some(Duration::from_millis(100));
const RETRY_AFTER_FAILOVER: Option<Duration> = Some(Duration::from_secs(1));
const RETRY_LATER: Option<Duration> = Some(Duration::from_secs(5));

impl ErrorKind {
    /// Every kind, in the order of the table in the documentation.
    pub const ALL: [Self; 31] = [
        Self::ServerRefused,
        Self::NotOwner,
        Self::NoPrimary,
        Self::Overloaded,
        Self::DeadlineBeforeStart,
        Self::OutcomeUnknown,
        Self::Cancelled,
        Self::RequestIdReused,
        Self::RequestIdExpired,
        Self::AnswerNotKept,
        Self::UnknownDatabase,
        Self::NotAllowed,
        Self::TooManyConnections,
        Self::RateLimited,
        Self::StatementTooLarge,
        Self::ResultTooLarge,
        Self::BadStatement,
        Self::TransactionLost,
        Self::TransactionAborted,
        Self::Unsupported,
        Self::Stopping,
        Self::InFlight,
        Self::ServerFailed,
        Self::ServerTimedOut,
        Self::UnknownPreparedName,
        Self::ReplicasBehind,
        Self::NotConfigured,
        Self::CutOff,
        Self::HolderSilent,
        Self::UnknownKey,
        Self::QuotaUnknown,
    ];

    /// Returns the properties of the answer for this kind.
    #[must_use]
    #[allow(clippy::match_same_arms, reason = "a table with one row for each kind")]
    pub fn rule(self) -> AnswerRule {
        use Outcome::NotRun;
        use Outcome::Unknown;
        let (sqlstate, outcome, retry_after, burns_budget) = match self {
            Self::ServerRefused => ("XX000", NotRun, None, false),
            Self::NotOwner => ("57P03", NotRun, RETRY_SOON, true),
            Self::NoPrimary => ("57P03", NotRun, RETRY_AFTER_FAILOVER, true),
            Self::Overloaded => ("53300", NotRun, RETRY_SOON, true),
            Self::DeadlineBeforeStart => ("57014", NotRun, RETRY_SOON, true),
            Self::OutcomeUnknown => ("40003", Unknown, RETRY_SOON, true),
            Self::Cancelled => ("57014", NotRun, None, true),
            Self::RequestIdReused => ("22023", NotRun, None, false),
            Self::RequestIdExpired => ("22023", NotRun, None, false),
            Self::AnswerNotKept => ("54000", NotRun, None, false),
            Self::UnknownDatabase => ("3D000", NotRun, None, false),
            Self::NotAllowed => ("42501", NotRun, None, false),
            Self::TooManyConnections => ("53300", NotRun, RETRY_LATER, false),
            Self::RateLimited => ("53400", NotRun, RETRY_SOON, false),
            Self::StatementTooLarge => ("54000", NotRun, None, false),
            Self::ResultTooLarge => ("54000", NotRun, None, false),
            Self::BadStatement => ("42601", NotRun, None, false),
            Self::TransactionLost => ("40001", NotRun, RETRY_SOON, true),
            Self::TransactionAborted => ("25P02", NotRun, None, false),
            Self::Unsupported => ("0A000", NotRun, None, false),
            Self::Stopping => ("57P01", NotRun, RETRY_SOON, true),
            Self::InFlight => ("55006", Unknown, RETRY_SOON, false),
            Self::ServerFailed => ("XX000", Unknown, None, true),
            Self::ServerTimedOut => ("57014", Unknown, None, true),
            Self::UnknownPreparedName => ("26000", NotRun, None, false),
            Self::ReplicasBehind => ("57P03", NotRun, RETRY_SOON, true),
            Self::NotConfigured => ("57P03", NotRun, RETRY_SOON, true),
            Self::CutOff => ("57P03", NotRun, RETRY_SOON, true),
            Self::HolderSilent => ("57P03", NotRun, RETRY_SOON, true),
            Self::UnknownKey => ("28000", NotRun, None, false),
            Self::QuotaUnknown => ("57P03", NotRun, RETRY_SOON, true),
        };
        AnswerRule { sqlstate, outcome, retry_after, burns_budget }
    }

    /// Stable name of the kind, used in messages between instances, in metrics and in
    /// reports.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::ServerRefused => "server_refused",
            Self::NotOwner => "not_owner",
            Self::NoPrimary => "no_primary",
            Self::Overloaded => "overloaded",
            Self::DeadlineBeforeStart => "deadline_before_start",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::Cancelled => "cancelled",
            Self::RequestIdReused => "request_id_reused",
            Self::RequestIdExpired => "request_id_expired",
            Self::AnswerNotKept => "answer_not_kept",
            Self::UnknownDatabase => "unknown_database",
            Self::NotAllowed => "not_allowed",
            Self::TooManyConnections => "too_many_connections",
            Self::RateLimited => "rate_limited",
            Self::StatementTooLarge => "statement_too_large",
            Self::ResultTooLarge => "result_too_large",
            Self::BadStatement => "bad_statement",
            Self::TransactionLost => "transaction_lost",
            Self::TransactionAborted => "transaction_aborted",
            Self::Unsupported => "unsupported",
            Self::Stopping => "stopping",
            Self::InFlight => "in_flight",
            Self::ServerFailed => "server_failed",
            Self::ServerTimedOut => "server_timed_out",
            Self::UnknownPreparedName => "unknown_prepared_name",
            Self::ReplicasBehind => "replicas_behind",
            Self::NotConfigured => "not_configured",
            Self::CutOff => "cut_off",
            Self::HolderSilent => "holder_silent",
            Self::UnknownKey => "unknown_key",
            Self::QuotaUnknown => "quota_unknown",
        }
    }

    /// Whether another instance, on the other side of a network partition, may be
    /// able to serve the request.
    #[must_use]
    pub fn may_be_served_elsewhere(self) -> bool {
        matches!(self, Self::CutOff | Self::HolderSilent | Self::NotOwner)
    }

    /// Whether the session should end after the client got the error: another
    /// instance may be able to serve the client, or no instance accepts its key.
    #[must_use]
    pub fn ends_session(self) -> bool {
        self.may_be_served_elsewhere() || self == Self::UnknownKey
    }

    /// Returns the kind with a name. An unknown name, from an instance of a newer
    /// version, gives [`ErrorKind::OutcomeUnknown`], since the request may have run.
    #[must_use]
    pub fn from_name(name: &str) -> Self {
        Self::ALL.into_iter().find(|kind| kind.name() == name).unwrap_or(Self::OutcomeUnknown)
    }
}
