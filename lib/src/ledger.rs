//! The ledger of requests: one row for each write, in the written database.
//!
//! The row is inserted in the transaction of the write, so it commits,
//! replicates and fails over together with the data. Its key is the account
//! and the request id, so that no account can see or block another's id.

use std::time::Duration;

use sha2::Digest;
use sha2::Sha256;

/// Largest answer kept for a repeated request. A larger one is answered by
/// the fact that the request ran, without its rows.
pub const KEPT_ANSWER_LIMIT_BYTES: usize = 64 * 1024;

/// How long an id is remembered. Ids made before are refused.
pub const RETENTION: Duration = Duration::from_secs(7 * 24 * 3600);

/// Largest accepted request id.
pub const REQUEST_ID_LIMIT_BYTES: usize = 200;

/// Creates the ledger. Run by an owner before it serves a database.
pub const CREATE_SQL: &str = "CREATE TABLE IF NOT EXISTS chervilwharf_ledger (\
    account TEXT NOT NULL, request_id TEXT NOT NULL, outcome TEXT NOT NULL, \
    digest BYTEA NOT NULL, answer BYTEA, term BIGINT NOT NULL, \
    position BIGINT NOT NULL, at_ms BIGINT NOT NULL, \
    PRIMARY KEY (account, request_id))";

/// Looks one request up: parameters account, request id.
pub const SELECT_SQL: &str = "SELECT outcome, digest, answer, term, position \
    FROM chervilwharf_ledger WHERE account = $1 AND request_id = $2";

/// Records an outcome: account, request id, outcome, digest, answer, term,
/// time. The server fills in the position.
pub const INSERT_SQL: &str = "INSERT INTO chervilwharf_ledger \
    (account, request_id, outcome, digest, answer, term, position, at_ms) \
    VALUES ($1, $2, $3, $4, $5, $6::bigint, chervilwharf_next_position(), $7::bigint)";

/// Deletes what is past its retention: parameter time, with a limit so that
/// one clean-up never holds the primary for long.
pub const EXPIRE_SQL: &str = "DELETE FROM chervilwharf_ledger WHERE at_ms < $1::bigint \
    AND request_id IN (SELECT request_id FROM chervilwharf_ledger \
    WHERE at_ms < $1::bigint LIMIT 1000)";

/// What a ledger row says about its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LedgerOutcome {
    /// The write committed together with this row.
    Ran,
    /// A tombstone: the request did not run and the row keeps it from running.
    Cancelled,
}

impl LedgerOutcome {
    /// The text stored in the row.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::Cancelled => "cancelled",
        }
    }

    /// Reads the stored text.
    #[must_use]
    pub fn from_text(text: &str) -> Option<Self> {
        match text {
            "ran" => Some(Self::Ran),
            "cancelled" => Some(Self::Cancelled),
            _ => None,
        }
    }
}

/// Fingerprint of a statement and its parameters.
///
/// The same id with another statement is a mistake of the caller. Without
/// the digest it would get the answer of a request it never made.
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

/// Adds one more statement to the digest of a transaction.
#[must_use]
pub fn chain_digest(previous: &[u8], next: &[u8]) -> Vec<u8> {
    let mut hasher = Sha256::new();
    hasher.update(previous);
    hasher.update(next);
    hasher.finalize().to_vec()
}

/// Time at which a UUIDv7 request id was made, if the id is one.
#[must_use]
pub fn made_at(request_id: &str) -> Option<Duration> {
    let uuid = uuid::Uuid::parse_str(request_id).ok()?;
    let (seconds, nanoseconds) = uuid.get_timestamp()?.to_unix();
    Some(Duration::new(seconds, nanoseconds))
}

/// Whether an id is so old that its ledger row may be gone. `now` is the time
/// since the Unix epoch. Ids that carry no time never expire by themselves.
#[must_use]
pub fn is_expired(request_id: &str, now: Duration) -> bool {
    made_at(request_id).is_some_and(|made| made + RETENTION < now)
}
