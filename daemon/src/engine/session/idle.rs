//! What ends a session, or its transaction, while its client rests.

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
    /// How long the session may rest before its transaction is ended.
    #[must_use]
    pub fn idle_time_left(&self) -> Option<Duration> {
        let transaction = self.transaction.as_ref()?;
        if !transaction.holds_connection() {
            return None;
        }
        let limit = self.engine.catalog().transaction_idle?;
        Some((transaction.active_at + limit).saturating_sub(now()))
    }

    /// Ends a transaction in which the client rested too long: its connection
    /// is one of few, and others wait for it.
    pub fn end_idle(&mut self) {
        if let Some(transaction) = &mut self.transaction {
            let event = Event::new(EventKind::TransactionRested).with("database", &self.database);
            event_log::emit(&event.with("last_id", &self.trace.id));
            transaction.end_idle();
        }
    }

    /// Waits until the session, at rest now, has to change by itself.
    pub async fn rest(&self, stop: &mut watch::Receiver<Option<StopPlan>>) -> IdleAction {
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
                    // Without an engine there is nothing to serve.
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
            return (Some(plan.close_at(self.spread)), IdleAction::Close);
        }
        let limit = self.idle_time_left().map(|limit| now() + limit);
        let stop = plan.map(|plan| plan.transactions_end_at()).filter(|_| self.holds_connection());
        let until = [limit, stop].into_iter().flatten().min();
        (until, IdleAction::RollBack)
    }

    pub(super) fn holds_connection(&self) -> bool {
        self.transaction.as_ref().is_some_and(Transaction::holds_connection)
    }

    /// Whether the session ends now that its operation is over: by a planned stop,
    /// or because another instance may serve what this one had to refuse.
    ///
    /// A client that stays connected comes back to the same instance: on a day
    /// with a partition nine of ten refused tries were of requests whose three
    /// tries were all refused by the same side, while the other side was well.
    #[must_use]
    pub fn is_over(&self, stop: &watch::Receiver<Option<StopPlan>>) -> bool {
        let closing = stop.borrow().is_some_and(|plan| plan.closing_begins_at() <= now());
        (closing || self.closes_after_failure) && self.state() == TransactionState::Idle
    }
}
