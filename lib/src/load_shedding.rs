//! What becomes of a request for which no connection is free.

use std::time::Duration;

use crate::wait_queue::Tier;

/// What a request can expect when it comes, or when its patience is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitForecast {
    /// Expected wait among those that can meet their objective; `None` if
    /// nobody can tell. Zero patience makes it worthless.
    pub in_time: Option<Duration>,
    /// Measured wait among those that cannot any more; `None` if nobody waited
    /// there lately.
    pub late: Option<Duration>,
    /// Requests that wait there now.
    pub late_waiting: usize,
    /// How long it can wait and still meet its objective.
    pub max_wait: Duration,
    /// How long it can wait and still be answered before its deadline.
    pub time_left: Duration,
}

/// What is decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueDecision {
    /// It waits.
    Wait(Tier),
    /// It is refused, and may come again after this time.
    Refuse(Duration),
}

/// Requests that may wait late where nothing is known of the wait: enough to
/// measure it, few enough that those who hope in vain are few.
const UNMEASURED: usize = 2;

impl WaitForecast {
    /// Decides.
    ///
    /// While more comes than the servers can take, a queue served in order
    /// makes everybody late. So who would miss the objective waits behind all
    /// who can still meet it, and is refused at once when even the deadline
    /// cannot be met: held in vain, it could not use its time elsewhere.
    #[must_use]
    pub fn decide(&self) -> QueueDecision {
        let in_time = self.in_time.unwrap_or_default();
        if self.max_wait > Duration::ZERO && in_time <= self.max_wait {
            return QueueDecision::Wait(Tier::InTime);
        }
        let can_be_late = match self.late {
            Some(late) => late < self.time_left,
            None => self.time_left > Duration::ZERO && self.late_waiting < UNMEASURED,
        };
        if can_be_late {
            return QueueDecision::Wait(Tier::Late);
        }
        QueueDecision::Refuse(in_time.saturating_sub(self.max_wait))
    }
}
