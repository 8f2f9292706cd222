//! Traces of statements: the attempts and times of one statement, for logs and metrics.

use std::sync::Arc;
use std::time::Duration;

use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::id::AccountId;
use chervilwharf_lib::id::RequestId;
use chervilwharf_lib::id::TargetId;
use chervilwharf_lib::operation_clock::TimeParts;
use chervilwharf_lib::position::Position;

use crate::engine::event_log;
use crate::engine::request::Failure;

/// What has happened to one statement so far.
#[derive(Clone, Debug, Default)]
pub struct StatementTrace {
    /// The statement's id.
    pub id: RequestId,
    /// Database name of its session.
    pub database: Arc<str>,
    /// Account of its session; `None` if clients have no accounts.
    pub account: Option<AccountId>,
    /// Number of times it was sent to a server or to another instance.
    pub tries: usize,
    /// The server or instance that it was last sent to.
    pub server: Option<TargetId>,
    /// Total time spent waiting for connections.
    pub waited: Duration,
    /// Total time between sending it and the replies.
    pub at_server: Duration,
    /// How its time was spent, with the parts that holders reported.
    pub parts: TimeParts,
    /// Lowest position that the last server had to have applied; `None` if the statement
    /// needed the primary.
    pub floor: Option<Position>,
    /// Number of holders that were expected to refuse the statement, if it was refused at
    /// once for that; 0 otherwise.
    pub holders_refusing: usize,
}

impl StatementTrace {
    /// Records that it was sent to a server, and how long the exchange took.
    pub fn record_attempt(&mut self, server: TargetId, took: Duration) {
        self.record_exchange(server, took, &TimeParts { at_server: took, ..TimeParts::default() });
    }

    /// Records that it was sent to a server or another instance, how long the exchange took, and
    /// how that time was spent.
    pub fn record_exchange(&mut self, server: TargetId, took: Duration, parts: &TimeParts) {
        self.tries += 1;
        self.server = Some(server);
        self.at_server += took;
        self.parts.add(parts);
    }

    /// Records a wait for a connection. For the time `opening` of it, the connection was being
    /// opened.
    pub fn record_wait(&mut self, waited: Duration, opening: Duration) {
        self.waited += waited;
        let opening = opening.min(waited);
        self.parts.opening += opening;
        self.parts.waited += waited.saturating_sub(opening);
    }

    /// Logs that an attempt failed and another one follows.
    pub fn log_retry(&self, group: &str, failure: &Failure) {
        let event = self.event(EventKind::RequestMoved, group);
        event_log::emit(&event.with("reason", failure.kind.name()).with("text", &failure.text));
    }

    /// Logs that the statement failed. `waiting` is the number of requests that wait for a
    /// connection to the group.
    pub fn log_failure(&self, group: &str, failure: &Failure, took: Duration, waiting: usize) {
        let unknown = matches!(
            failure.kind,
            ErrorKind::OutcomeUnknown | ErrorKind::ServerFailed | ErrorKind::ServerTimedOut
        );
        let kind = if unknown { EventKind::RequestUnknown } else { EventKind::RequestRefused };
        let event = self
            .event(kind, group)
            .with("reason", failure.kind.name())
            .with("text", &failure.text)
            .with_ms("took_ms", took)
            .with_count("waiting", waiting);
        let event = match self.holders_refusing {
            0 => event,
            holders => event.with_count("holders_refusing", holders),
        };
        let event = match failure.retry_after {
            Some(after) => event.with_ms("retry_after_ms", after),
            None => event,
        };
        event_log::emit(&event);
    }

    fn event(&self, kind: EventKind, group: &str) -> Event {
        Event::new(kind)
            .with("id", &self.id)
            .with("database", &self.database)
            .with_some("account", self.account.as_ref())
            .with("group", group)
            .with_count("tries", self.tries)
            .with_some("server", self.server.as_ref())
            .with_some("floor", self.floor)
            .with_ms("waited_ms", self.waited)
            .with_ms("at_server_ms", self.at_server)
    }
}
