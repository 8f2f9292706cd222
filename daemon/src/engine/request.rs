//! A request: one statement on its way to a server, with its deadline, and its result
//! or failure.

use std::sync::Arc;
use std::time::Duration;

use chervilwharf_lib::catalog::Route;
use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::id::RequestId;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::operation_clock;
use chervilwharf_lib::position::Position;
use chervilwharf_lib::reply_check::Rows;
use chervilwharf_lib::server_refusal::ServerRefusal;
use chervilwharf_lib::statement::Answer;
use chervilwharf_lib::statement_timing;

/// One statement of a client that needs a server.
#[derive(Clone, Debug)]
pub struct Request {
    /// The request's id.
    pub id: RequestId,
    /// The route of its database name.
    pub route: Arc<Route>,
    /// When the instance read it from the client, or received it from another instance.
    pub arrived_at: Moment,
    /// When its result has to be ready.
    pub deadline: Moment,
    /// What was left of the objective for it when it arrived; `None` for the whole objective of
    /// the route.
    pub objective_left: Option<Duration>,
}

impl Request {
    /// Latest moment until which a wait for a connection that begins now takes precedence
    /// over requests that are late already.
    ///
    /// The first wait ends early enough to meet the objective. A request whose server did
    /// not answer is already late when it tries another server; it still gets enough time
    /// for a new connection there.
    #[must_use]
    pub fn in_time_until(&self, now: Moment) -> Moment {
        let objective = self.route.objective;
        let max_wait = statement_timing::max_wait(objective);
        let left = self.objective_left;
        let limit = left.map_or(max_wait, |left| operation_clock::wait_limit(objective, left));
        (self.arrived_at + limit).max(now + limit.min(max_wait / 2)).min(self.deadline)
    }

    /// What is left of the objective for the statement, if that is at least a millisecond less
    /// than the whole.
    #[must_use]
    pub fn objective_left_at(&self, now: Moment) -> Option<Duration> {
        let objective = self.route.objective;
        let left = self.objective_left.unwrap_or(objective);
        let left = left.saturating_sub(now.saturating_sub(self.arrived_at));
        (left + Duration::from_millis(1) <= objective).then_some(left)
    }

    /// Time left until the deadline.
    #[must_use]
    pub fn time_left(&self, now: Moment) -> Duration {
        self.deadline.saturating_sub(now)
    }
}

/// Why a request got no result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// The kind of the failure.
    pub kind: ErrorKind,
    /// A description for people.
    pub text: Arc<str>,
    /// How long the client should wait before it retries; `None` if the kind of failure
    /// gives no time.
    pub retry_after: Option<Duration>,
}

impl Failure {
    /// A failure with the text and the retry time of its kind.
    #[must_use]
    pub fn new(kind: ErrorKind) -> Self {
        Self { kind, text: kind.to_string().into(), retry_after: kind.rule().retry_after }
    }

    /// The same failure with another retry time.
    #[must_use]
    pub fn with_retry_after(self, retry_after: Duration) -> Self {
        Self { retry_after: Some(retry_after), ..self }
    }
}

impl From<ServerRefusal> for Failure {
    fn from(refusal: ServerRefusal) -> Self {
        let kind = refusal.kind.error_kind();
        Self { kind, text: refusal.text, retry_after: kind.rule().retry_after }
    }
}

/// The result of a request that a server ran.
#[derive(Clone, Debug)]
pub struct Served {
    /// Rows and the server's signature.
    pub answer: Answer,
    /// The server's log position after the statement; `None` if it sent none.
    pub position: Option<Position>,
    /// Whether the rows are those that the statement returned.
    pub rows: Rows,
}
