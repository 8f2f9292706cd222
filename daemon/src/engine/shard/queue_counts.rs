//! Counts of the requests that wait for a connection to a shard, and of refused ones.

use chervilwharf_lib::admission::Priority;
use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::server_choice::ConnectionOwner;

use crate::engine::queue_metrics::QueueCounts;
use crate::engine::shard::Shard;

impl Shard {
    /// The requests of clients that wait or were refused, without the instance's own requests
    /// for the state of servers.
    #[must_use]
    pub fn queue_counts(&self, now: Moment) -> QueueCounts {
        let inner = self.lock();
        let mut counts = QueueCounts { refused: inner.refused.clone(), ..QueueCounts::default() };
        for (priority, waiter) in inner.queue.by_priority() {
            let ConnectionOwner::Account(account) = &waiter.owner else {
                continue;
            };
            let waiting = counts.by_priority.entry(priority).or_default();
            waiting.count += 1;
            waiting.longest_wait = waiting.longest_wait.max(now.saturating_sub(waiter.since));
            if let Some(account) = account {
                *counts.by_account.entry(account.clone()).or_default() += 1;
            }
        }
        counts
    }

    /// Counts a request of a client that was refused.
    pub fn record_refusal(&self, priority: Priority, kind: ErrorKind) {
        *self.lock().refused.entry((priority, kind)).or_default() += 1;
    }
}
