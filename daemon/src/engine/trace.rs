//! What happened to one statement on its way, for logs and metrics.

use std::sync::Arc;
use std::time::Duration;

use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::id::AccountId;
use chervilwharf_lib::id::RequestId;
use chervilwharf_lib::id::TargetId;
use chervilwharf_lib::position::Position;

use crate::engine::event_log;
use crate::engine::request::Failure;

/// What happened to one statement so far.
#[derive(Clone, Debug, Default)]
pub struct StatementTrace {
    /// The statement's id.
    pub id: RequestId,
    /// Database name of its session.
    pub database: Arc<str>,
    /// Account of its session; `None` where clients have none.
    pub account: Option<AccountId>,
    /// Tries that reached a server.
    pub tries: usize,
    /// The last server.
    pub server: Option<TargetId>,
    /// Time spent waiting for connections.
    pub waited: Duration,
    /// Time spent at servers.
    pub at_server: Duration,
    /// Position that the last server had to have applied.
    pub floor: Option<Position>,
}

impl StatementTrace {
    /// It was sent to a server, which took this long.
    pub fn sent(&mut self, server: TargetId, took: Duration) {
        self.tries += 1;
        self.server = Some(server);
        self.at_server += took;
    }

    /// A try failed, and another one follows.
    pub fn moved(&self, group: &str, failure: &Failure) {
        let event = self.event(EventKind::RequestMoved, group);
        event_log::emit(&event.with("reason", failure.kind.name()).with("text", &failure.text));
    }

    /// It failed for good.
    pub fn failed(&self, group: &str, failure: &Failure, took: Duration, waiting: usize) {
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
        let event = match failure.retry_after {
            Some(after) => event.with_ms("retry_after_ms", after),
            None => event,
        };
        event_log::emit(&event);
    }

    /// It was served later than its objective.
    pub fn late(&self, group: &str, took: Duration, objective: Duration) {
        let event = self.event(EventKind::RequestLate, group).with_ms("took_ms", took);
        event_log::emit(&event.with_ms("objective_ms", objective));
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
