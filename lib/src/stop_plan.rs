//! Schedule of a planned stop of an instance: when sessions are closed, transactions
//! are rolled back and the process ends.

use std::time::Duration;

use crate::moment::Moment;

/// Schedule of one planned stop. Its times are fractions of the grace period, the time
/// that the platform allows between the request to stop and the kill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopPlan {
    began_at: Moment,
    grace: Duration,
}

/// Idle sessions stay open until the platform's load balancer has removed the instance,
/// which takes two of its health checks, one second apart. A client whose session is
/// closed earlier may be connected to this instance again.
const CLOSING_BEGINS_PERCENT: u32 = 36;

/// The last idle session is closed at this time. The sessions are closed at different
/// times, so that their clients do not all reconnect at the same moment.
const CLOSING_ENDS_PERCENT: u32 = 60;

/// Open transactions are rolled back at this time. The platform requires that they get
/// at least half of the grace period.
const TRANSACTIONS_END_PERCENT: u32 = 75;

/// The process ends at this time at the latest, so that it is never killed while it
/// writes an answer.
const END_PERCENT: u32 = 92;

impl StopPlan {
    /// Creates the schedule of a stop that was requested at `began_at`.
    #[must_use]
    pub fn new(began_at: Moment, grace: Duration) -> Self {
        Self { began_at, grace }
    }

    fn at(&self, percent: u32) -> Moment {
        self.began_at + self.grace * percent / 100
    }

    /// When an idle session is closed. `random_number` is a number from 0 to 999, drawn
    /// once for each session, that distributes the closing times.
    #[must_use]
    pub fn close_at(&self, random_number: u32) -> Moment {
        let first = self.at(CLOSING_BEGINS_PERCENT);
        let last = self.at(CLOSING_ENDS_PERCENT);
        first + last.saturating_sub(first) * random_number.min(999) / 1000
    }

    /// From when on a session is closed as soon as its operation has ended.
    #[must_use]
    pub fn closing_begins_at(&self) -> Moment {
        self.at(CLOSING_BEGINS_PERCENT)
    }

    /// When open transactions are rolled back.
    #[must_use]
    pub fn transactions_end_at(&self) -> Moment {
        self.at(TRANSACTIONS_END_PERCENT)
    }

    /// When the process ends at the latest.
    #[must_use]
    pub fn ends_at(&self) -> Moment {
        self.at(END_PERCENT)
    }
}
