//! Checks that the replies on a connection to a server belong to the statements that were
//! sent on it.
//!
//! A reply names no statement: it belongs to one by its place on the connection. A server
//! that repeats a reply, whole or cut off and possibly much later, shifts all replies after
//! it. So a reply counts as that of a statement only if it cannot be a repetition:
//!
//! - A statement of a client is answered with a signature that this connection has not
//!   delivered before, a statement of the proxy without one.
//! - The state of the connection after a reply is the one that its statement leads to.
//! - A refusal carries no signature, so nothing distinguishes it from a repeated one. It counts
//!   only after further statements of the proxy got the replies that follow it in order
//!   ([`ReplyCheck::confirmation`]).
//! - The rows of a reply that was cut off precede those of the next reply, under the next
//!   signature. Rows that may begin with such rows are in doubt, and the read is tried again
//!   until the replies agree ([`RowAgreement`]).
//!
//! Up to two repetitions at any place are covered, also next to each other. Not covered are a
//! longer burst that arrives between a statement and its own reply and happens to fit the
//! statements of the proxy, a lost reply with a repeated refusal in its place, a repetition of a
//! reply that is no longer remembered, and the first read without rows of a server.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::hash::BuildHasher;
use std::hash::Hash;
use std::hash::RandomState;
use std::sync::Arc;

use displaydoc::Display;

use crate::server_refusal::ServerRefusal;
use crate::statement::Access;
use crate::statement::Answer;
use crate::statement::Prepared;
use crate::statement::Statement;
use crate::statement::TransactionState;

/// How many of the latest signatures of a connection are remembered, to recognise repetitions,
/// and how many of its latest rows: two entries a reply.
const REMEMBERED_ENTRIES: usize = 4096;

/// Name of the prepared statement that the proxy prepares and discards to test the order of
/// replies. It is never executed.
const ORDER_TEST_NAME: &str = "order_test";

/// Number of independent choices in the confirmation of a refusal. A repeated burst of replies
/// of an earlier confirmation fits only if all choices are the same.
const CONFIRMATION_CHOICES: u8 = 7;

/// Number of independent choices in the test after a request for the state of a server, which
/// healthy connections run regularly.
const STATUS_CHOICES: u8 = 3;

/// Least number of tests that confirm a refusal in a transaction.
const MIN_TESTS_IN_TRANSACTION: usize = 2;

/// Among how many numbers of tests in a transaction is chosen at random. Their replies are all
/// equal, so a repeated burst of replies of an earlier confirmation fits only if it has the
/// same number of them.
const TEST_COUNTS: usize = 8;

/// How many tries of a read in a row have to return the same rows if these are in doubt. Each
/// of them could begin with a repetition of the same rows.
const AGREEING_TRIES: usize = 3;

/// Why a reply is not that of the statement in whose place it arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display)]
pub enum ReplyFault {
    /// the signature was delivered before on this connection
    RepeatedSignature,
    /// a statement of the proxy was answered with a signature
    UnexpectedSignature,
    /// a client's statement was answered without a signature
    MissingSignature,
    /// the state of the connection is not the one after the statement
    UnexpectedState,
    /// a statement of the proxy was answered with rows
    UnexpectedRows,
    /// a statement of the proxy that confirms a refusal was refused
    UnexpectedRefusal,
    /// data arrived while no statement was outstanding
    DataWithoutRequest,
    /// the data is not a valid reply
    Malformed,
    /// the rows may begin with those of a reply that was cut off; the statement is tried again
    RowsInDoubt,
}

impl ReplyFault {
    /// Name in metrics and logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::RepeatedSignature => "repeated_signature",
            Self::UnexpectedSignature => "unexpected_signature",
            Self::MissingSignature => "missing_signature",
            Self::UnexpectedState => "unexpected_state",
            Self::UnexpectedRows => "unexpected_rows",
            Self::UnexpectedRefusal => "unexpected_refusal",
            Self::DataWithoutRequest => "data_without_request",
            Self::Malformed => "malformed",
            Self::RowsInDoubt => "rows_in_doubt",
        }
    }
}

/// A reply as it is checked.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedReply<'a> {
    /// Rows and signature, or the refusal.
    pub result: &'a Result<Answer, ServerRefusal>,
    /// State of the connection after the reply.
    pub state: TransactionState,
    /// Whether the text of a row shows that it may begin with a reply that was cut off.
    pub rows: Rows,
}

/// A statement as its reply is checked.
#[derive(Clone, Copy, Debug)]
pub struct SentStatement<'a> {
    /// The statement.
    pub statement: &'a Statement,
    /// Whose statement it is, and whether it reads.
    pub purpose: Purpose,
}

/// What a statement is sent for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// The proxy needs it to serve a client.
    Internal,
    /// It is a client's and returns rows.
    ClientRead,
    /// It is a client's and returns no rows.
    ClientWrite,
}

/// Whether the rows of a reply are those that its statement returned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Rows {
    /// They are.
    #[default]
    Certain,
    /// They may begin with rows of an earlier reply that was repeated and cut off.
    InDoubt,
}

/// The latest values of a sequence, as hashes.
#[derive(Debug, Default)]
struct RecentHashes {
    hashes: HashSet<u64>,
    order: VecDeque<u64>,
}

impl RecentHashes {
    fn contains(&self, hash: u64) -> bool {
        self.hashes.contains(&hash)
    }

    fn insert(&mut self, hash: u64) {
        if !self.hashes.insert(hash) {
            return;
        }
        self.order.push_back(hash);
        if self.order.len() > REMEMBERED_ENTRIES {
            if let Some(oldest) = self.order.pop_front() {
                self.hashes.remove(&oldest);
            }
        }
    }
}

/// What is known of the replies on one connection.
#[derive(Debug, Default)]
pub struct ReplyCheck {
    state: TransactionState,
    hasher: RandomState,
    signatures: RecentHashes,
    /// First rows of answers, and whole answers with their statements.
    rows: RecentHashes,
    /// Whether the server has answered a read without rows.
    reads_may_be_empty: bool,
    /// Whether the server has answered a write with rows.
    had_write_with_rows: bool,
}

impl ReplyCheck {
    /// State of the connection after the last reply that was checked.
    #[must_use]
    pub fn state(&self) -> TransactionState {
        self.state
    }

    /// Whether the server has answered a read without rows, on this connection or on another
    /// one before [`Self::expect_empty_reads`].
    #[must_use]
    pub fn reads_may_be_empty(&self) -> bool {
        self.reads_may_be_empty
    }

    /// Expects reads without rows from now on: the server has answered one so on another
    /// connection.
    pub fn expect_empty_reads(&mut self) {
        self.reads_may_be_empty = true;
    }

    /// Checks the next reply, in the place of the reply to the statement.
    ///
    /// # Errors
    ///
    /// If the reply is not that of the statement. The connection cannot be used any more.
    pub fn check(
        &mut self,
        sent: SentStatement<'_>,
        reply: ReceivedReply<'_>,
    ) -> Result<Rows, ReplyFault> {
        let before = std::mem::replace(&mut self.state, reply.state);
        let Ok(answer) = reply.result else {
            return Ok(Rows::Certain);
        };
        if reply.state != state_after(before, sent.statement) {
            return Err(ReplyFault::UnexpectedState);
        }
        let is_signed = !answer.signature.is_empty();
        if sent.purpose == Purpose::Internal {
            return match (is_signed, answer.rows.is_empty()) {
                (true, _) => Err(ReplyFault::UnexpectedSignature),
                (false, false) => Err(ReplyFault::UnexpectedRows),
                (false, true) => Ok(Rows::Certain),
            };
        }
        if !is_signed {
            return Err(ReplyFault::MissingSignature);
        }
        let signature = self.hash(&answer.signature);
        if self.signatures.contains(signature) {
            return Err(ReplyFault::RepeatedSignature);
        }
        self.signatures.insert(signature);
        Ok(self.check_rows(sent, answer, reply.rows))
    }

    /// Whether the rows may be those of an earlier reply that was cut off, followed by the
    /// statement's own rows. A read is taken to have a row of its own until the server has
    /// answered one without, and a write to have none until the server has answered one with
    /// rows. Rows that the same statement returned before are its own.
    fn check_rows(&mut self, sent: SentStatement<'_>, answer: &Answer, rows: Rows) -> Rows {
        let Some(first) = answer.rows.first() else {
            self.reads_may_be_empty |= sent.purpose == Purpose::ClientRead;
            return rows;
        };
        let (first, whole) = (self.hash(first), self.hash((sent.statement, &answer.rows)));
        let is_write = sent.purpose == Purpose::ClientWrite;
        let has_own_row =
            if is_write { self.had_write_with_rows } else { !self.reads_may_be_empty };
        let own_rows = usize::from(has_own_row);
        let may_begin_with_other_rows =
            answer.rows.len() > own_rows && self.rows.contains(first) && !self.rows.contains(whole);
        if rows == Rows::InDoubt || may_begin_with_other_rows {
            // Any of them may be the first one of the statement's own.
            for row in &answer.rows {
                let row = self.hash(row);
                self.rows.insert(row);
            }
            return Rows::InDoubt;
        }
        self.had_write_with_rows |= is_write;
        self.rows.insert(first);
        self.rows.insert(whole);
        Rows::Certain
    }

    fn hash(&self, text: impl Hash) -> u64 {
        self.hasher.hash_one(text)
    }

    /// The statements whose replies confirm that a refusal belongs to its statement. To be sent
    /// after the replies to an exchange that began in the state `began_in`, if one of them was a
    /// refusal. Empty if the connection can only be rolled back or closed, which makes any
    /// refusal true, except that of a COMMIT: the transaction may have ended. `commits` is
    /// whether the exchange has one. `nonce` is a random number.
    #[must_use]
    pub fn confirmation(
        &self,
        began_in: TransactionState,
        commits: bool,
        nonce: u8,
    ) -> Vec<Statement> {
        match (began_in, self.state) {
            (_, TransactionState::Open) => {
                let count = MIN_TESTS_IN_TRANSACTION + usize::from(nonce) % TEST_COUNTS;
                vec![order_test_in_transaction(); count].concat()
            }
            (_, TransactionState::Idle) => order_test(CONFIRMATION_CHOICES, nonce),
            (began_in, TransactionState::Failed)
                if commits || began_in == TransactionState::Idle =>
            {
                let mut statements = vec![Statement::Rollback];
                statements.extend(order_test(CONFIRMATION_CHOICES, nonce));
                statements
            }
            (_, TransactionState::Failed) => Vec::new(),
        }
    }

    /// Checks a reply to a statement of [`Self::confirmation`], none of which a server refuses.
    ///
    /// # Errors
    ///
    /// If the reply is not that of the statement. The refusal that was to be confirmed may then
    /// be that of an earlier statement.
    pub fn check_confirmation(
        &mut self,
        statement: &Statement,
        reply: ReceivedReply<'_>,
    ) -> Result<(), ReplyFault> {
        if reply.result.is_err() {
            return Err(ReplyFault::UnexpectedRefusal);
        }
        self.check(SentStatement { statement, purpose: Purpose::Internal }, reply).map(|_| ())
    }
}

/// Decides when the rows of a read count although they are in doubt.
#[derive(Debug, Default)]
pub struct RowAgreement {
    /// The rows of the last tries, and the number of tries in a row that had them.
    doubtful: Option<(Vec<Arc<str>>, usize)>,
}

impl RowAgreement {
    /// Whether the rows of an answer count: they are certain, or enough tries in a row returned
    /// the same. If not, the read has to be tried again.
    pub fn accepts(&mut self, answer: &Answer, rows: Rows) -> bool {
        if rows == Rows::Certain {
            return true;
        }
        let tries = match self.doubtful.take() {
            Some((known, tries)) if known == answer.rows => tries + 1,
            _ => 1,
        };
        self.doubtful = Some((answer.rows.clone(), tries));
        tries >= AGREEING_TRIES
    }
}

/// The statements whose replies show that the reply before them is the answer to a request for
/// the state of a server. `nonce` is a random number.
#[must_use]
pub fn confirmation_of_status(nonce: u8) -> Vec<Statement> {
    order_test(STATUS_CHOICES, nonce)
}

/// Statements without an effect that a connection in any state without a transaction accepts.
/// Their replies differ by the state that they report, in an order that depends on `nonce`.
fn order_test(choices: u8, nonce: u8) -> Vec<Statement> {
    let choice = |bit| match nonce >> bit & 1 {
        0 => [Statement::Begin { read_only: true }, Statement::Rollback],
        _ => order_test_in_transaction(),
    };
    // Without a change of state in it, a test could be passed by repetitions of a single reply.
    let last = [Statement::Begin { read_only: true }, Statement::Rollback];
    (0..choices - 1).flat_map(choice).chain(last).collect()
}

/// Statements without an effect that a connection accepts inside and outside of a transaction.
/// They follow BEGIN, so that a reply that precedes the one to BEGIN is noticed.
#[must_use]
pub fn order_test_in_transaction() -> [Statement; 2] {
    let name: Arc<str> = ORDER_TEST_NAME.into();
    let prepared = Prepared { access: Access::Read, shape: name.clone() };
    [Statement::Prepare { name: name.clone(), prepared }, Statement::Deallocate { name }]
}

/// State that a statement leads to if it succeeds.
fn state_after(before: TransactionState, statement: &Statement) -> TransactionState {
    match statement {
        Statement::Begin { .. } => TransactionState::Open,
        Statement::Commit | Statement::Rollback => TransactionState::Idle,
        _ => before,
    }
}
