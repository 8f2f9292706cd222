//! When the current state of the platform's store was last read, as far as an instance
//! knows.
//!
//! Most instances of a large fleet read answers that may be stale, and depend on a few
//! relays for the current state. Heartbeats tell how long ago a relay read it, so that
//! the others notice when none does.

use std::time::Duration;

use crate::moment::Moment;
use crate::store_timeouts::StoreTimeouts;

/// The latest time at which some instance is known to have read the current state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreReading {
    read_at: Moment,
}

impl StoreReading {
    /// Creates the state of an instance that starts at `now`, and gives the relays as much time
    /// as after a reading.
    #[must_use]
    pub fn new(now: Moment) -> Self {
        Self { read_at: now }
    }

    /// Records that an instance read the current state at `read_at`.
    pub fn note(&mut self, read_at: Moment) {
        self.read_at = self.read_at.max(read_at);
    }

    /// How long ago the current state was last read.
    #[must_use]
    pub fn age(&self, now: Moment) -> Duration {
        now.saturating_sub(self.read_at)
    }

    /// Whether no relay seems to read the current state.
    #[must_use]
    pub fn is_overdue(&self, now: Moment, timeouts: StoreTimeouts) -> bool {
        self.age(now) > timeouts.reading_known_after()
    }
}

/// How long an instance relies on others for later records that they told of and that it could
/// not get from them: as long as two heartbeats.
const LATER_RECORDS_TIMEOUT: Duration = Duration::from_secs(1);

/// Since when an instance knows that others have later records than it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LaterRecords {
    known_since: Option<Moment>,
}

impl LaterRecords {
    /// Records that another instance told of later records.
    pub fn note(&mut self, now: Moment) {
        self.known_since.get_or_insert(now);
    }

    /// Records that later records arrived.
    pub fn received(&mut self) {
        self.known_since = None;
    }

    /// Whether the others fail to send the later records.
    #[must_use]
    pub fn are_overdue(&self, now: Moment) -> bool {
        self.known_since.is_some_and(|since| since + LATER_RECORDS_TIMEOUT < now)
    }
}
