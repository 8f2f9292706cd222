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

/// Rounds of heartbeats in which news reach all instances of a fleet for which no other number
/// is set; see [`Fleet::heartbeat_rounds`](crate::fleet::Fleet::heartbeat_rounds).
const MIN_HEARTBEAT_ROUNDS: u32 = 2;

/// Interval in which an instance determines how current its own reads have to be.
pub const CURRENCY_CHECK_INTERVAL: Duration = Duration::from_millis(250);

const MIN_LIVENESS_WAIT: Duration = Duration::from_millis(200);
const MAX_LIVENESS_WAIT: Duration = Duration::from_secs(4);

/// Timeouts by which an instance detects that the store is unresponsive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreTimeouts {
    /// How long the store may hold a liveness check while there is no change to report.
    pub liveness_wait: Duration,
    bound: Duration,
    /// Rounds of heartbeats in which news reach all instances.
    heartbeat_rounds: u32,
}

impl StoreTimeouts {
    /// The longest timeouts with which a change in the store reaches all instances within
    /// `bound`, also when the store or the connections to it were unresponsive before.
    #[must_use]
    pub fn within(bound: Duration) -> Self {
        Self::for_rounds(bound, MIN_HEARTBEAT_ROUNDS)
    }

    /// The same timeouts in a fleet in which news reach all instances in this many rounds of
    /// heartbeats: the longer they take, the sooner an unresponsive store has to be detected.
    #[must_use]
    pub fn with_heartbeat_rounds(self, heartbeat_rounds: u32) -> Self {
        Self::for_rounds(self.bound, heartbeat_rounds.max(MIN_HEARTBEAT_ROUNDS))
    }

    fn for_rounds(bound: Duration, heartbeat_rounds: u32) -> Self {
        // The relays that have the news at once need no round.
        let spread = HEARTBEAT_INTERVAL * (heartbeat_rounds - 1);
        let fixed = ANSWER_TIMEOUT + STORE_RETRY_INTERVAL + spread;
        let wait = bound.saturating_sub(fixed) * LIVENESS_WAIT_EIGHTHS / 8;
        let liveness_wait = wait.clamp(MIN_LIVENESS_WAIT, MAX_LIVENESS_WAIT);
        Self { liveness_wait, bound, heartbeat_rounds }
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
        self.detected_after() + HEARTBEAT_INTERVAL * self.heartbeat_rounds
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
        let spread = HEARTBEAT_INTERVAL * (self.heartbeat_rounds - 1);
        self.detected_after() + STORE_RETRY_INTERVAL + spread
    }
}
