//! Timeouts that detect an unresponsive store of the platform.
//!
//! A store or a connection to it can stop responding without a connection reset, so that
//! calls stay unanswered. An instance detects this with liveness checks: long polls that
//! the store has to answer within a known time. Changes in the store must
//! reach all instances within a bound, from which the timeouts are derived.

use std::time::Duration;

use crate::fleet::HEARTBEAT_INTERVAL;

/// Time for the store to answer a request, in addition to the time that the request asks
/// the store to wait. A store that is eighty times as slow as usual needs 320 ms.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between two requests to an unresponsive store, whether or not the earlier one is
/// still in progress.
pub const STORE_RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// Share of the available time that a liveness check waits, in eighths. The rest allows
/// for processes that are scheduled late.
const LIVENESS_WAIT_EIGHTHS: u32 = 5;

/// Heartbeats in which the time of a reading reaches an instance through others.
const READING_HEARTBEATS: u32 = 2;

/// Interval in which an instance determines how current its own reads have to be.
pub const CURRENCY_CHECK_INTERVAL: Duration = Duration::from_millis(250);

const MIN_LIVENESS_WAIT: Duration = Duration::from_millis(200);
const MAX_LIVENESS_WAIT: Duration = Duration::from_secs(4);

/// Timeouts by which an instance detects that the store is unresponsive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreTimeouts {
    /// How long the store may hold a liveness check while there is no change to report.
    pub liveness_wait: Duration,
}

impl StoreTimeouts {
    /// The longest timeouts with which a change in the store reaches all instances within
    /// `bound`, also when the store or the connections to it were unresponsive before.
    #[must_use]
    pub fn within(bound: Duration) -> Self {
        let fixed = ANSWER_TIMEOUT + STORE_RETRY_INTERVAL + HEARTBEAT_INTERVAL;
        let wait = bound.saturating_sub(fixed) * LIVENESS_WAIT_EIGHTHS / 8;
        Self { liveness_wait: wait.clamp(MIN_LIVENESS_WAIT, MAX_LIVENESS_WAIT) }
    }

    /// Longest time from when the store stops responding until an instance detects it.
    #[must_use]
    pub fn detected_after(&self) -> Duration {
        self.liveness_wait + ANSWER_TIMEOUT
    }

    /// Longest age of the latest reading of the current state that an instance knows of, while
    /// some relay reads it.
    #[must_use]
    pub fn reading_known_after(&self) -> Duration {
        self.detected_after() + HEARTBEAT_INTERVAL * READING_HEARTBEATS
    }

    /// Longest time until an instance reads the current state itself, counted from the last
    /// reading of a relay.
    #[must_use]
    pub fn relays_replaced_after(&self) -> Duration {
        self.reading_known_after() + CURRENCY_CHECK_INTERVAL
    }

    /// Longest time until all instances have a change, counted from when the store reports
    /// it or stopped responding. After the detection this includes one more request to a
    /// store that is back, and a heartbeat to instances that get the change from others.
    #[must_use]
    pub fn propagated_after(&self) -> Duration {
        self.detected_after() + STORE_RETRY_INTERVAL + HEARTBEAT_INTERVAL
    }
}
