//! When what ends during a planned stop.

use std::time::Duration;

use crate::moment::Moment;

/// Times of a planned stop, as shares of the time that the platform grants
/// between the request to stop and the kill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopPlan {
    began_at: Moment,
    grace: Duration,
}

/// Idle sessions stay open until the platform's balancer has taken the
/// instance out, which needs two of its questions, a second apart: a client
/// that is sent away earlier may come back here.
const CLOSING_BEGINS_PERCENT: u32 = 36;

/// The last idle session is closed at this time. They are spread out, so that
/// their clients do not all connect elsewhere at the same moment.
const CLOSING_ENDS_PERCENT: u32 = 60;

/// Transactions have at least half of the grace by the platform's rules.
const TRANSACTIONS_END_PERCENT: u32 = 75;

/// The program ends here at the latest, so that it is never killed while it
/// writes an answer.
const END_PERCENT: u32 = 92;

impl StopPlan {
    /// A stop that was asked for at `began_at`.
    #[must_use]
    pub fn new(began_at: Moment, grace: Duration) -> Self {
        Self { began_at, grace }
    }

    fn at(&self, percent: u32) -> Moment {
        self.began_at + self.grace * percent / 100
    }

    /// When an idle session is closed. `spread` (0 to 999) is drawn once for
    /// each session.
    #[must_use]
    pub fn close_at(&self, spread: u32) -> Moment {
        let first = self.at(CLOSING_BEGINS_PERCENT);
        let last = self.at(CLOSING_ENDS_PERCENT);
        first + last.saturating_sub(first) * spread.min(999) / 1000
    }

    /// From when on a session is closed as soon as its operation is over.
    #[must_use]
    pub fn closing_begins_at(&self) -> Moment {
        self.at(CLOSING_BEGINS_PERCENT)
    }

    /// When open transactions are rolled back.
    #[must_use]
    pub fn transactions_end_at(&self) -> Moment {
        self.at(TRANSACTIONS_END_PERCENT)
    }

    /// When the program ends at the latest.
    #[must_use]
    pub fn ends_at(&self) -> Moment {
        self.at(END_PERCENT)
    }
}
