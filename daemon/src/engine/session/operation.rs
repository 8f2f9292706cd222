//! The clock of a session's operation: what it leaves for a wait, and what is counted and logged
//! when the operation ends.

use std::time::Duration;

use chervilwharf_lib::catalog::Route;
use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::id::GroupId;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::operation_clock::EndedOperation;
use chervilwharf_lib::operation_clock::OperationClock;
use chervilwharf_lib::operation_clock::OperationPart;
use chervilwharf_lib::statement::TransactionState;
use prometheus_client::metrics::counter::Counter;

use crate::engine::clock::now;
use crate::engine::event_log;
use crate::engine::session::Session;

/// The clock of the current operation of a session, and what the session needs to count it.
#[derive(Default)]
pub(super) struct SessionOperation {
    pub(super) clock: OperationClock,
    /// Counter of the operations of the group that the session used last. A look-up for each
    /// operation would allocate the label.
    counter: Option<(GroupId, Counter)>,
}

impl SessionOperation {
    /// The first operation of a session that has just begun: its client's connection was accepted
    /// at `accepted_at`, and the message that begins the session arrived at `arrived_at`.
    pub(super) fn new(accepted_at: Moment, arrived_at: Moment) -> Self {
        let clock = OperationClock::of_new_session(accepted_at, arrived_at, now());
        Self { clock, counter: None }
    }
}

impl Session {
    /// What is left of the objective for a statement that needs a connection: after the
    /// preparation of its operation and, in a transaction, without the expected time of the
    /// statements that follow it. `None` if the statement may use the whole objective, or has a
    /// connection.
    ///
    /// Where all instances hold connections to the group, all statements may use the whole
    /// objective.
    pub(super) fn objective_left(&self, now: Moment, route: &Route) -> Option<Duration> {
        let clock = &self.operation.clock;
        let following = match &self.transaction {
            Some(transaction) if transaction.holds_connection() => return None,
            None if !clock.has_preparation() => return None,
            Some(_) => self.engine.transaction_times().following(route, clock.statements()),
            None => Duration::ZERO,
        };
        if self.engine.is_held_by_all(&route.group) {
            return None;
        }
        Some(clock.left(now, route.objective).saturating_sub(following))
    }

    /// Records that the current statement was answered. If that ends the operation, counts it,
    /// and logs it if it was late.
    pub(super) fn end_statement(&mut self, now: Moment, failed: bool) {
        let was_sent = self.trace.tries > 0;
        self.operation.clock.end_statement(now, &self.trace.parts, was_sent, failed);
        if self.state() != TransactionState::Idle {
            return;
        }
        let Some(ended) = self.operation.clock.end_operation() else {
            return;
        };
        self.count_ended();
        let Some(route) = self.engine.route(&self.database) else {
            return;
        };
        if ended.is_transaction() {
            self.engine.transaction_times().observe(&route, &ended);
        }
        if ended.is_late(route.objective) {
            self.report_late(&ended, route.objective);
        }
    }

    fn count_ended(&mut self) {
        let group = self.shard.id();
        match &self.operation.counter {
            Some((of, counter)) if of == group => _ = counter.inc(),
            _ => {
                let counter = self.engine.metrics().operations_of(group);
                counter.inc();
                self.operation.counter = Some((group.clone(), counter));
            }
        }
    }

    fn report_late(&self, ended: &EndedOperation, objective: Duration) {
        let group = self.shard.id();
        self.engine.metrics().record_late_operation(group, ended.largest_part());
        let statements = usize::try_from(ended.statements).unwrap_or(usize::MAX);
        let mut event = Event::new(EventKind::OperationLate)
            .with("id", &self.trace.id)
            .with("database", &self.database)
            .with_some("account", self.caller.account.as_ref())
            .with("group", group)
            .with_count("statements", statements)
            .with_some("server", self.trace.server.as_ref())
            .with_ms("took_ms", ended.took)
            .with_ms("objective_ms", objective);
        for part in OperationPart::ALL {
            event = event.with_ms(part.field(), ended.time_of(part));
        }
        let event = event.with_ms("unavoidable_ms", ended.unavoidable());
        event_log::emit(&event.with_ms("preparation_ms", ended.preparation));
    }
}
