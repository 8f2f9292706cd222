//! How soon an instance notices that the platform's store does not answer.
//!
//! A store can go silent, and so can a connection to it, without a reset: whoever waits
//! for an answer learns nothing. What an instance does not hear meanwhile must be known
//! within a bound, so the times of its questions are derived from that bound.

use std::time::Duration;

use crate::fleet::HEARTBEAT_INTERVAL;

/// Time in which an answer comes, beyond what the question itself waits. A store that
/// is eighty times as slow as usual needs 320 ms.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// While the store is silent it is asked again after this time, whether or not the
/// question before is still under way.
pub const STORE_RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// Part of the time to spare that a question waits, in eighths. The rest is for
/// processors that are slow to get to it.
const WAIT_EIGHTHS: u32 = 5;

const SHORTEST_WAIT: Duration = Duration::from_millis(200);
const LONGEST_WAIT: Duration = Duration::from_secs(4);

/// Times of the questions by which silence is noticed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreTimeouts {
    /// How long a question for a sign of life waits for something to tell.
    pub liveness_wait: Duration,
}

impl StoreTimeouts {
    /// The longest waits with which what the store tells after a silence is known by
    /// all instances within `bound`.
    #[must_use]
    pub fn within(bound: Duration) -> Self {
        let fixed = ANSWER_TIMEOUT + STORE_RETRY_INTERVAL + HEARTBEAT_INTERVAL;
        let wait = bound.saturating_sub(fixed) * WAIT_EIGHTHS / 8;
        Self { liveness_wait: wait.clamp(SHORTEST_WAIT, LONGEST_WAIT) }
    }

    /// Longest time from the beginning of a silence until it is noticed.
    #[must_use]
    pub fn detected_after(&self) -> Duration {
        self.liveness_wait + ANSWER_TIMEOUT
    }

    /// Longest time until what the store tells is known by all instances, from when it
    /// tells it or became silent: one more question to a store that is back, and a
    /// heartbeat to those who hear of it from others.
    #[must_use]
    pub fn propagated_after(&self) -> Duration {
        self.detected_after() + STORE_RETRY_INTERVAL + HEARTBEAT_INTERVAL
    }
}
