//! Limits how many statements an instance sends to one server at the same time.

use std::time::Duration;

use crate::moment::Moment;

/// Adaptive concurrency limit for one server: additive increase while statements are
/// fast, multiplicative decrease after a slow or refused one.
///
/// A server has a few slots and a first-come, first-served queue that all instances
/// share. An urgent request cannot overtake what waits there, and once the queue is full
/// the server refuses each new statement, which is then sent again. So each instance
/// keeps most waiting requests in its own queue, in order of priority, and derives from
/// slow and refused statements how many it may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConcurrencyLimit {
    limit: f64,
    decreased_at: Moment,
}

/// Limit for a server from which no answer has been observed.
const INITIAL_LIMIT: f64 = 3.0;

/// Lowest limit. With less than one statement the limit could never rise again.
const MIN_LIMIT: f64 = 1.0;

/// Highest limit, more than the length of any server's queue.
const MAX_LIMIT: f64 = 24.0;

/// The limit falls by this factor when the server refuses a statement.
const REFUSED_DECREASE_FACTOR: f64 = 0.7;

/// The limit falls by this factor when a statement is slow.
const SLOW_DECREASE_FACTOR: f64 = 0.85;

/// The limit rises by this much when as many fast statements as the limit have been
/// answered.
const ADDITIVE_INCREASE: f64 = 0.5;

/// Shortest time between two decreases. Statements that were sent together wait in the
/// same queue and indicate it only once.
const DECREASE_INTERVAL: Duration = Duration::from_millis(100);

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        Self { limit: INITIAL_LIMIT, decreased_at: Moment::ZERO }
    }
}

impl ConcurrencyLimit {
    /// Whether one more statement may be sent while `running` are at the server.
    #[must_use]
    pub fn allows(&self, running: usize) -> bool {
        to_f64(running) + 1.0 <= self.limit.max(MIN_LIMIT)
    }

    /// Number of statements that may be at the server at once.
    #[must_use]
    pub fn value(&self) -> f64 {
        self.limit
    }

    /// Records that a statement took `took` at the server while `running` others were
    /// there. From `slow_threshold` on it indicates a queue and lowers the limit.
    pub fn answered(
        &mut self,
        now: Moment,
        running: usize,
        took: Duration,
        slow_threshold: Duration,
    ) {
        if took >= slow_threshold {
            self.decrease(now, SLOW_DECREASE_FACTOR);
        } else if !self.allows(running + 1) {
            self.limit = (self.limit + ADDITIVE_INCREASE / self.limit).min(MAX_LIMIT);
        }
    }

    /// Records that the server refused a statement because it has too many.
    pub fn refused(&mut self, now: Moment) {
        self.decrease(now, REFUSED_DECREASE_FACTOR);
    }

    fn decrease(&mut self, now: Moment, factor: f64) {
        if now < self.decreased_at + DECREASE_INTERVAL {
            return;
        }
        self.decreased_at = now;
        self.limit = (self.limit * factor).max(MIN_LIMIT);
    }
}

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
