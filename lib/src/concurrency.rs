//! How many statements an instance sends to one server at the same time.

use std::time::Duration;

use crate::moment::Moment;

/// A limit that follows what the server can take.
///
/// A server has a few slots and a queue that all instances share, first come
/// first served. What waits there cannot be overtaken by a more urgent
/// request, and once the queue is full every arrival is refused and comes
/// again. So each instance keeps most of what waits to itself, in order of
/// priority, and learns from slow and refused statements how much it may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConcurrencyLimit {
    limit: f64,
    cut_at: Moment,
}

/// Statements at once to a server of which nothing is known yet.
const INITIAL: f64 = 3.0;

/// At least one, or nothing would be learned any more.
const LEAST: f64 = 1.0;

/// More than any server has places in its queue.
const MOST: f64 = 24.0;

/// The limit falls by this factor when the server refuses a statement.
const REFUSED_FACTOR: f64 = 0.7;

/// And by this one when a statement takes too long.
const SLOW_FACTOR: f64 = 0.85;

/// Statements that answer in time raise the limit by this much when as many
/// as the limit have been answered.
const RISE: f64 = 0.5;

/// The limit falls once in this time: statements that were sent together
/// suffer from the same queue, and tell of it only once.
const CUT_INTERVAL: Duration = Duration::from_millis(100);

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        Self { limit: INITIAL, cut_at: Moment::ZERO }
    }
}

impl ConcurrencyLimit {
    /// Whether one more may be sent while `running` are at the server.
    #[must_use]
    pub fn allows(&self, running: usize) -> bool {
        to_f64(running) + 1.0 <= self.limit.max(LEAST)
    }

    /// Statements that may be at the server at once.
    #[must_use]
    pub fn value(&self) -> f64 {
        self.limit
    }

    /// A statement took `took` at the server while `running` others were there.
    /// `slow_threshold` is the time from which on it is a sign of a queue.
    pub fn answered(
        &mut self,
        now: Moment,
        running: usize,
        took: Duration,
        slow_threshold: Duration,
    ) {
        if took >= slow_threshold {
            self.cut(now, SLOW_FACTOR);
        } else if !self.allows(running + 1) {
            self.limit = (self.limit + RISE / self.limit).min(MOST);
        }
    }

    /// The server refused a statement since it has too many.
    pub fn refused(&mut self, now: Moment) {
        self.cut(now, REFUSED_FACTOR);
    }

    fn cut(&mut self, now: Moment, factor: f64) {
        if now < self.cut_at + CUT_INTERVAL {
            return;
        }
        self.cut_at = now;
        self.limit = (self.limit * factor).max(LEAST);
    }
}

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
