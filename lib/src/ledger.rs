//! The ledger: a table with one row for each write request, in the database that
//! is written. It shows whether a request ran, so that a repeated request does
//! not run twice.
//!
//! The row is inserted in the transaction of the write, so it commits,
//! replicates and fails over together with the data. Its key is the account
//! and the request id, so that no account can see or block ids of another one.

use std::time::Duration;

use sha2::Digest;
use sha2::Sha256;

/// Largest answer that the ledger stores for a repeated request, in bytes. If the
/// answer was larger, the answer to a repeated request shows that the request ran, but
/// does not contain the rows.
pub const KEPT_ANSWER_LIMIT_BYTES: usize = 64 * 1024;

/// How long the ledger keeps a row. Older request ids are refused.
pub const RETENTION: Duration = Duration::from_secs(7 * 24 * 3600);

/// Largest accepted request id, in bytes.
pub const REQUEST_ID_LIMIT_BYTES: usize = 200;

/// Creates the ledger table. An owner runs it before it serves a database.
pub const CREATE_SQL: &str = "CREATE TABLE IF NOT EXISTS chervilwharf_ledger (\
    account TEXT NOT NULL, request_id TEXT NOT NULL, outcome TEXT NOT NULL, \
    digest BYTEA NOT NULL, answer BYTEA, term BIGINT NOT NULL, \
    position BIGINT NOT NULL, at_ms BIGINT NOT NULL, \
    PRIMARY KEY (account, request_id))";

/// Selects the row of a request. Parameters: account, request id.
pub const SELECT_SQL: &str = "SELECT outcome, digest, answer, term, position \
    FROM chervilwharf_ledger WHERE account = $1 AND request_id = $2";

/// Inserts the row of a request. Parameters: account, request id, outcome,
/// digest, answer, term, time in milliseconds. The server adds the position.
pub const INSERT_SQL: &str = "INSERT INTO chervilwharf_ledger \
    (account, request_id, outcome, digest, answer, term, position, at_ms) \
    VALUES ($1, $2, $3, $4, $5, $6::bigint, chervilwharf_next_position(), $7::bigint)";

/// Deletes rows that are older than the time in the parameter, in milliseconds.
/// A limit of 1000 rows keeps one clean-up from occupying the primary for long.
pub const EXPIRE_SQL: &str = "DELETE FROM chervilwharf_ledger WHERE at_ms < $1::bigint \
    AND request_id IN (SELECT request_id FROM chervilwharf_ledger \
    WHERE at_ms < $1::bigint LIMIT 1000)";

/// Outcome of a request, as recorded in the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LedgerOutcome {
    /// The request ran: its write committed together with the row.
    Ran,
    /// A tombstone: the request did not run, and the row prevents it from running
    /// later.
    Cancelled,
}

impl LedgerOutcome {
    /// The text that is stored in the row.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::Cancelled => "cancelled",
        }
    }

    /// Parses the stored text; `None` if it is unknown.
    #[must_use]
    pub fn from_text(text: &str) -> Option<Self> {
        match text {
            "ran" => Some(Self::Ran),
            "cancelled" => Some(Self::Cancelled),
            _ => None,
        }
    }
}

/// SHA-256 digest of a statement and its parameters.
///
/// It detects a caller that uses a request id again for another statement. Without
/// it, the caller would get the answer of the first statement.
#[must_use]
pub fn digest<'a>(sql: &str, parameters: impl Iterator<Item = Option<&'a [u8]>>) -> Vec<u8> {
    let mut hasher = Sha256::new();
    hasher.update((sql.len() as u64).to_be_bytes());
    hasher.update(sql.as_bytes());
    for parameter in parameters {
        match parameter {
            None => hasher.update([0]),
            Some(value) => {
                hasher.update([1]);
                hasher.update((value.len() as u64).to_be_bytes());
                hasher.update(value);
            }
        }
    }
    hasher.finalize().to_vec()
}

/// Extends the digest of a transaction, `previous`, by the digest of its next
/// statement.
#[must_use]
pub fn chain_digest(previous: &[u8], next: &[u8]) -> Vec<u8> {
    let mut hasher = Sha256::new();
    hasher.update(previous);
    hasher.update(next);
    hasher.finalize().to_vec()
}

/// Creation time of a request id since the Unix epoch; `None` if the id is not a
/// UUID with a timestamp, such as UUIDv7.
#[must_use]
pub fn made_at(request_id: &str) -> Option<Duration> {
    let uuid = uuid::Uuid::parse_str(request_id).ok()?;
    let (seconds, nanoseconds) = uuid.get_timestamp()?.to_unix();
    Some(Duration::new(seconds, nanoseconds))
}

/// Whether a request id is so old that its ledger row may be deleted. `now` is the
/// time since the Unix epoch. Ids without a timestamp never expire.
#[must_use]
pub fn is_expired(request_id: &str, now: Duration) -> bool {
    made_at(request_id).is_some_and(|made| made + RETENTION < now)
}
