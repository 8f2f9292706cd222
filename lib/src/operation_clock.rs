//! The clock of an operation: how much of the latency objective an operation has used, and how
//! its time was spent.
//!
//! An operation is a single statement outside of a transaction, or a transaction from its BEGIN
//! to its COMMIT or ROLLBACK. Its clock runs while the instance processes a statement, and is
//! paused while the instance waits for the client's next statement. It adds one round trip to
//! the client for each statement, since the client waits that long as well.
//!
//! A client that opens a session for an operation, or sets values and prepares statements for it,
//! waits for that too. The beginning of the session and the statements that the instance answers
//! itself are the *preparation* of the operation that follows, if the client continues immediately.

use std::time::Duration;

use crate::moment::Moment;
use crate::statement_timing;

/// Round trip to a client that is assumed until one is observed: the longest in use, 3 ms one way.
pub const CLIENT_ROUND_TRIP: Duration = Duration::from_millis(6);

/// Longest gap between a reply and the next message of a client that continues immediately: three
/// round trips of [`CLIENT_ROUND_TRIP`], and 2 ms for the client to be scheduled. After a longer
/// gap, the client did not wait for the messages before it.
pub const PREPARATION_GAP: Duration = Duration::from_millis(20);

/// The newest transaction has a weight of one over this in the figures of its route. The figures
/// then follow a change within about 20 transactions, and a single long one changes them little.
const SMOOTHING: u32 = 8;

/// What the first statement of a transaction may wait at least, as a divisor of what a single
/// statement may wait. Without a minimum, transactions on a slow route would all be late.
const MIN_WAIT_DIVISOR: u32 = 4;

/// How long a request may wait for a connection and still be in time, if `left` of the objective
/// is left for it when its wait begins.
///
/// With the whole objective left, this is what a single statement may wait
/// ([`statement_timing::max_wait`]).
#[must_use]
pub fn wait_limit(objective: Duration, left: Duration) -> Duration {
    let max_wait = statement_timing::max_wait(objective);
    let reserve = objective.saturating_sub(max_wait);
    left.saturating_sub(reserve).clamp(max_wait / MIN_WAIT_DIVISOR, max_wait)
}

/// How the processing of one or more statements was spent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TimeParts {
    /// Time in the queue for a connection.
    pub waited: Duration,
    /// Time in which a connection was opened for it.
    pub opening: Duration,
    /// Time between sending statements to servers and the replies.
    pub at_server: Duration,
    /// Time of exchanges with other instances that none of the other parts covers.
    pub way: Duration,
}

impl TimeParts {
    /// The parts of an exchange with a holder that took `exchange` here. `waited`, `opening` and
    /// `at_server` are what the holder reported, zero if it did not. The rest is the way.
    ///
    /// Parts beyond the whole are cut, so that the parts always add up to it.
    #[must_use]
    pub fn of_exchange(
        exchange: Duration,
        waited: Duration,
        opening: Duration,
        at_server: Duration,
    ) -> Self {
        let mut left = exchange;
        let mut take = |part: Duration| {
            let part = part.min(left);
            left -= part;
            part
        };
        let (at_server, waited, opening) = (take(at_server), take(waited), take(opening));
        Self { waited, opening, at_server, way: left }
    }

    /// Sum of all parts.
    #[must_use]
    pub fn total(&self) -> Duration {
        self.waited + self.opening + self.at_server + self.way
    }

    /// Adds the parts of another statement or attempt.
    pub fn add(&mut self, other: &Self) {
        self.waited += other.waited;
        self.opening += other.opening;
        self.at_server += other.at_server;
        self.way += other.way;
    }
}

/// What an operation spent its time on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperationPart {
    /// The queue for a connection.
    Waited,
    /// The opening of a connection.
    Opening,
    /// Servers.
    AtServer,
    /// The way between instances.
    Way,
    /// Round trips to the client.
    Client,
    /// The instance of the client itself.
    Own,
}

impl OperationPart {
    /// All parts.
    pub const ALL: [Self; 6] =
        [Self::Waited, Self::Opening, Self::AtServer, Self::Way, Self::Client, Self::Own];

    /// Its name as a metric label.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Waited => "waited",
            Self::Opening => "opening",
            Self::AtServer => "at_server",
            Self::Way => "way",
            Self::Client => "client",
            Self::Own => "own",
        }
    }

    /// Its field in log lines.
    #[must_use]
    pub fn field(self) -> &'static str {
        match self {
            Self::Waited => "waited_ms",
            Self::Opening => "opening_ms",
            Self::AtServer => "at_server_ms",
            Self::Way => "way_ms",
            Self::Client => "client_ms",
            Self::Own => "own_ms",
        }
    }

    /// A description for people, to follow "spent".
    #[must_use]
    pub fn description(self) -> &'static str {
        match self {
            Self::Waited => "waiting for a connection",
            Self::Opening => "opening a connection",
            Self::AtServer => "at servers",
            Self::Way => "between instances",
            Self::Client => "on round trips to the client",
            Self::Own => "at the instance of the client",
        }
    }
}

/// An operation that was served to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedOperation {
    /// Number of its statements, including BEGIN and COMMIT or ROLLBACK.
    pub statements: u32,
    /// Its whole time with its preparation, without pauses of the client.
    pub took: Duration,
    /// How the processing of its statements was spent.
    pub parts: TimeParts,
    /// Round trips to the client, including those of its preparation.
    pub client: Duration,
    /// Time of its preparation: round trips to the client, which `client` contains, and the work
    /// of the instance, which is part of [`OperationPart::Own`].
    pub preparation: Duration,
}

impl EndedOperation {
    /// Whether it took longer than its objective.
    #[must_use]
    pub fn is_late(&self, objective: Duration) -> bool {
        self.took > objective
    }

    /// Whether it was a transaction.
    #[must_use]
    pub fn is_transaction(&self) -> bool {
        self.statements > 1
    }

    /// Time that an idle system would have needed at most: round trips to the client and the
    /// time at servers. The latter contains the servers' own queues, which are not visible from
    /// outside.
    #[must_use]
    pub fn unavoidable(&self) -> Duration {
        self.client + self.parts.at_server
    }

    /// Time of one of its parts.
    #[must_use]
    pub fn time_of(&self, part: OperationPart) -> Duration {
        match part {
            OperationPart::Waited => self.parts.waited,
            OperationPart::Opening => self.parts.opening,
            OperationPart::AtServer => self.parts.at_server,
            OperationPart::Way => self.parts.way,
            OperationPart::Client => self.client,
            OperationPart::Own => self.took.saturating_sub(self.client + self.parts.total()),
        }
    }

    /// The part that took longest.
    #[must_use]
    pub fn largest_part(&self) -> OperationPart {
        let largest = OperationPart::ALL.into_iter().max_by_key(|part| self.time_of(*part));
        largest.unwrap_or(OperationPart::Own)
    }
}

/// What a client waited for immediately before an operation.
#[derive(Clone, Copy, Debug, Default)]
struct Preparation {
    /// Whether anything was done for the operation.
    has_begun: bool,
    /// Whether the client waited for its connection.
    has_connection: bool,
    /// Time from each reply to the next message: a round trip, and the client's own work.
    gaps: Duration,
    /// Time in which the instance worked on it.
    processing: Duration,
}

impl Preparation {
    /// Adds a message on which the instance worked for `processing`.
    fn add(&mut self, processing: Duration) {
        self.has_begun = true;
        self.processing += processing;
    }

    /// Time that the client and the way to it took, if a round trip takes `client_round_trip`.
    fn client(&self, client_round_trip: Duration) -> Duration {
        self.gaps + if self.has_connection { client_round_trip } else { Duration::ZERO }
    }

    /// Its whole time.
    fn time(&self, client_round_trip: Duration) -> Duration {
        self.processing + self.client(client_round_trip)
    }
}

/// The clock of a session's current operation.
#[derive(Clone, Debug)]
pub struct OperationClock {
    /// Upper bound of the round trip to the session's client; `None` if none was observed.
    observed_round_trip: Option<Duration>,
    /// Number of statements of the operation, including the current one.
    statements: u32,
    statement_began_at: Moment,
    /// When the previous reply was ready: to a statement, or to the beginning of the session.
    replied_at: Moment,
    /// What was done for the operation before its first statement.
    preparation: Preparation,
    /// Time of the statements that have ended.
    processing: Duration,
    parts: TimeParts,
    /// Whether any of its statements was sent to a server or another instance.
    was_sent: bool,
    failed: bool,
}

impl Default for OperationClock {
    fn default() -> Self {
        Self {
            observed_round_trip: None,
            statements: 0,
            statement_began_at: Moment::ZERO,
            replied_at: Moment::ZERO,
            preparation: Preparation::default(),
            processing: Duration::ZERO,
            parts: TimeParts::default(),
            was_sent: false,
            failed: false,
        }
    }
}

impl OperationClock {
    /// The clock of a session whose client connected for it. The connection was accepted at
    /// `accepted_at`, the message that begins the session arrived at `arrived_at`, and its reply
    /// was ready at `replied_at`.
    ///
    /// The client waited for one round trip until it was connected, and for another one until it
    /// received the reply. It did not wait for the connection if it then paused.
    #[must_use]
    pub fn of_new_session(accepted_at: Moment, arrived_at: Moment, replied_at: Moment) -> Self {
        let has_connection = arrived_at.saturating_sub(accepted_at) <= PREPARATION_GAP;
        let mut preparation = Preparation { has_connection, ..Preparation::default() };
        preparation.add(replied_at.saturating_sub(arrived_at));
        Self { replied_at, preparation, ..Self::default() }
    }

    /// Records that a statement arrived: the first one of an operation, or the next one of the
    /// operation in progress.
    ///
    /// A client sends the next statement of a transaction or of a preparation after it has
    /// received the response to the previous one, so the gap between them is at least one round
    /// trip. Within a preparation the client waits for the whole gap: with assumed round trips
    /// alone, the logs named a quarter of the operations that clients count as late.
    pub fn begin_statement(&mut self, now: Moment) {
        let gap = now.saturating_sub(self.replied_at);
        if self.statements == 0 && gap > PREPARATION_GAP {
            self.preparation = Preparation::default();
        }
        if self.statements > 0 {
            // The client may have paused.
            self.observed_round_trip = Some(self.client_round_trip().min(gap));
        } else if self.preparation.has_begun {
            self.preparation.gaps += gap;
            let shortest = self.observed_round_trip.map_or(gap, |shortest| shortest.min(gap));
            self.observed_round_trip = Some(shortest);
        }
        self.statements += 1;
        self.statement_began_at = now;
    }

    /// Records the response to the current statement. `was_sent` is whether the statement was
    /// sent to a server or another instance.
    pub fn end_statement(&mut self, now: Moment, parts: &TimeParts, was_sent: bool, failed: bool) {
        self.processing += now.saturating_sub(self.statement_began_at);
        self.replied_at = now;
        self.parts.add(parts);
        self.was_sent |= was_sent;
        self.failed |= failed;
    }

    /// The round trip to the session's client.
    fn client_round_trip(&self) -> Duration {
        self.observed_round_trip.unwrap_or(CLIENT_ROUND_TRIP)
    }

    /// Number of statements of the operation in progress, including the current one.
    #[must_use]
    pub fn statements(&self) -> u32 {
        self.statements
    }

    /// Whether the operation in progress has a preparation that counts.
    #[must_use]
    pub fn has_preparation(&self) -> bool {
        self.preparation.has_begun
    }

    /// What is left of the objective, during a statement. The round trip of the current statement
    /// is not subtracted: as for a single statement, it is part of what
    /// [`statement_timing::max_wait`] reserves.
    #[must_use]
    pub fn left(&self, now: Moment, objective: Duration) -> Duration {
        let running = now.saturating_sub(self.statement_began_at);
        let client = self.client_round_trip() * self.statements.saturating_sub(1);
        let preparation = self.preparation.time(self.client_round_trip());
        objective.saturating_sub(preparation + self.processing + running + client)
    }

    /// Ends the operation. Returns `None` if it was not served to its end, or was answered
    /// without any server.
    ///
    /// A single statement that was answered without any server belongs to the preparation of the
    /// next operation.
    pub fn end_operation(&mut self) -> Option<EndedOperation> {
        let round_trip = self.client_round_trip();
        let preparation = self.preparation.time(round_trip);
        let statements = round_trip * self.statements;
        let ended = EndedOperation {
            statements: self.statements,
            took: preparation + self.processing + statements,
            parts: self.parts,
            client: self.preparation.client(round_trip) + statements,
            preparation,
        };
        let is_served = self.was_sent && !self.failed;
        let is_preparation = !self.was_sent && !self.failed && self.statements == 1;
        let mut next = Self {
            observed_round_trip: self.observed_round_trip,
            replied_at: self.replied_at,
            ..Self::default()
        };
        if is_preparation {
            next.preparation = self.preparation;
            next.preparation.add(self.processing);
        }
        *self = next;
        is_served.then_some(ended)
    }
}

/// Smoothed figures of the transactions on one route.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TransactionFigures {
    /// Number of statements of a transaction, including BEGIN and COMMIT or ROLLBACK.
    statements: f64,
    /// Time per statement with its round trip to the client. Waits for a connection and
    /// the opening of one are left out, since the statements that follow the first one have a
    /// connection, and so is the preparation, which comes before the first one.
    per_statement: Duration,
}

impl TransactionFigures {
    /// The figures after a first transaction.
    #[must_use]
    pub fn new(transaction: &EndedOperation) -> Self {
        let per_statement = per_statement(transaction);
        Self { statements: f64::from(transaction.statements), per_statement }
    }

    /// Adds a transaction that was served.
    pub fn observe(&mut self, transaction: &EndedOperation) {
        let weight = f64::from(SMOOTHING);
        self.statements += (f64::from(transaction.statements) - self.statements) / weight;
        let kept = self.per_statement * (SMOOTHING - 1);
        self.per_statement = (kept + per_statement(transaction)) / SMOOTHING;
    }

    /// Expected time of the statements that follow statement number `current` of a transaction.
    #[must_use]
    pub fn following(&self, current: u32) -> Duration {
        self.per_statement.mul_f64((self.statements - f64::from(current)).max(0.0))
    }
}

fn per_statement(transaction: &EndedOperation) -> Duration {
    let once = transaction.parts.waited + transaction.parts.opening + transaction.preparation;
    transaction.took.saturating_sub(once) / transaction.statements.max(1)
}
