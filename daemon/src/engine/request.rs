//! What a request brings with it, and how it ends.

use std::sync::Arc;
use std::time::Duration;

use chervilwharf_lib::catalog::Route;
use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::id::RequestId;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::position::Position;
use chervilwharf_lib::server_refusal::ServerRefusal;
use chervilwharf_lib::statement::Answer;
use chervilwharf_lib::waits;

/// One statement of a client that needs a server.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// The route it came by.
    pub route: Arc<Route>,
    /// When it was read from the client.
    pub arrived_at: Moment,
    /// When it has to be answered.
    pub deadline: Moment,
}

impl Request {
    /// Until when a wait for a server that begins now is worth its time.
    ///
    /// The first wait must leave time to meet the objective. A request whose
    /// server did not answer is late already when it tries another one; it
    /// still has to be given time for a new connection there.
    #[must_use]
    pub fn in_time_until(&self, now: Moment) -> Moment {
        let max_wait = waits::max_wait(self.route.objective);
        (self.arrived_at + max_wait).max(now + max_wait / 2).min(self.deadline)
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
    /// What happened.
    pub kind: ErrorKind,
    /// Details for a reader.
    pub text: Arc<str>,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

impl Failure {
    /// A failure with the retry time of its kind.
    #[must_use]
    pub fn new(kind: ErrorKind) -> Self {
        Self { kind, text: kind.to_string().into(), retry_after: kind.rule().retry_after }
    }

    /// The same failure with a better estimate of when to come back.
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

/// A result, with the position that the server had reached.
#[derive(Clone, Debug)]
pub struct Served {
    /// Rows and signature.
    pub answer: Answer,
    /// The server's position.
    pub position: Option<Position>,
}
