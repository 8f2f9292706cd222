//! Idle sessions: when a session, or its transaction, is ended while the client sends
//! no statement.

use std::time::Duration;

use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::statement::TransactionState;
use chervilwharf_lib::stop_plan::StopPlan;
use tokio::sync::watch;

use crate::engine::clock::now;
use crate::engine::event_log;
use crate::engine::session::IdleAction;
use crate::engine::session::Session;
use crate::engine::transaction::Transaction;

impl Session {
    /// Time left until the transaction is rolled back for being idle; `None` if it holds no
    /// connection, or the configuration sets no limit.
    #[must_use]
    pub fn idle_time_left(&self) -> Option<Duration> {
        let transaction = self.transaction.as_ref()?;
        if !transaction.holds_connection() {
            return None;
        }
        let limit = self.engine.catalog().transaction_idle?;
        Some((transaction.active_at + limit).saturating_sub(now()))
    }

    /// Rolls back a transaction that was idle for too long. It holds one of few
    /// connections, which other requests wait for.
    pub fn end_idle(&mut self) {
        if let Some(transaction) = &mut self.transaction {
            let event = Event::new(EventKind::TransactionRested).with("database", &self.database);
            event_log::emit(&event.with("last_id", &self.trace.id));
            transaction.end_idle();
        }
    }

    /// Waits while the session is idle, until its transaction has to be rolled back or the
    /// session closed. `stop` carries the plan of a planned stop once there is one.
    pub async fn wait_while_idle(
        &self,
        stop: &mut watch::Receiver<Option<StopPlan>>,
    ) -> IdleAction {
        loop {
            let plan = *stop.borrow_and_update();
            let (until, end) = self.idle_action(plan);
            let wait = async {
                match until {
                    Some(until) => tokio::time::sleep(until.saturating_sub(now())).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = wait => return end,
                changed = stop.changed() => {
                    // The sender is dropped with the engine: nothing is left to serve.
                    if changed.is_err() {
                        return IdleAction::Close;
                    }
                }
            }
        }
    }

    pub(super) fn idle_action(&self, plan: Option<StopPlan>) -> (Option<Moment>, IdleAction) {
        let idle = self.state() == TransactionState::Idle;
        if let (Some(plan), true) = (plan, idle) {
            return (Some(plan.close_at(self.random_number)), IdleAction::Close);
        }
        let limit = self.idle_time_left().map(|limit| now() + limit);
        let stop = plan.map(|plan| plan.transactions_end_at()).filter(|_| self.holds_connection());
        let until = [limit, stop].into_iter().flatten().min();
        (until, IdleAction::RollBack)
    }

    pub(super) fn holds_connection(&self) -> bool {
        self.transaction.as_ref().is_some_and(Transaction::holds_connection)
    }

    /// Whether the session ends now that its operation is over: because of a planned
    /// stop, or after a failure that ends sessions, which another instance may be able
    /// to avoid.
    ///
    /// A client that stays connected retries at the same instance. During a partition,
    /// nine of ten refused attempts belonged to requests that were refused three times
    /// on the same side, while the other side could have served them.
    #[must_use]
    pub fn is_over(&self, stop: &watch::Receiver<Option<StopPlan>>) -> bool {
        let closing = stop.borrow().is_some_and(|plan| plan.closing_begins_at() <= now());
        (closing || self.closes_after_failure) && self.state() == TransactionState::Idle
    }
}
