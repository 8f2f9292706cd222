//! Decides whether a request for which no connection is free is queued or refused.
//!
//! Each request has a latency objective and a later deadline. Waiting requests are
//! divided into two tiers: those that can still meet their objective, and late ones
//! that can only be answered before their deadline.

use std::time::Duration;

use crate::wait_queue::Tier;

/// Expected waits of a request, on which the decision rests. It is made when the
/// request arrives, and again when it has waited too long to meet its objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitForecast {
    /// Expected wait in the tier [`Tier::InTime`]; `None` if it is unknown. Ignored if
    /// `max_wait` is zero.
    pub in_time: Option<Duration>,
    /// Measured wait in the tier [`Tier::Late`]; `None` if no request has waited there
    /// recently.
    pub late: Option<Duration>,
    /// Requests that wait in the tier [`Tier::Late`] now.
    pub late_waiting: usize,
    /// Longest wait after which the request still meets its objective.
    pub max_wait: Duration,
    /// Longest wait after which the request can still be answered before its deadline.
    pub time_left: Duration,
}

/// What happens to a request for which no connection is free.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueDecision {
    /// It waits in this tier.
    Wait(Tier),
    /// It is refused and can be sent again after this time.
    Refuse(Duration),
}

/// Requests that may wait in the late tier while its wait is unknown. They are enough
/// to measure the wait, and few of them wait in vain if it is too long.
const MAX_UNMEASURED_LATE: usize = 2;

impl WaitForecast {
    /// Decides whether the request waits, and in which tier, or is refused.
    ///
    /// During an overload, a single queue in order of arrival would make every request
    /// late. So a request that would miss its objective waits behind all those that can
    /// still meet theirs. If it cannot meet its deadline either, it is refused at once,
    /// so that the client can use the remaining time at another instance.
    #[must_use]
    pub fn decide(&self) -> QueueDecision {
        let in_time = self.in_time.unwrap_or_default();
        if self.max_wait > Duration::ZERO && in_time <= self.max_wait {
            return QueueDecision::Wait(Tier::InTime);
        }
        let can_be_late = match self.late {
            Some(late) => late < self.time_left,
            None => self.time_left > Duration::ZERO && self.late_waiting < MAX_UNMEASURED_LATE,
        };
        if can_be_late {
            return QueueDecision::Wait(Tier::Late);
        }
        QueueDecision::Refuse(in_time.saturating_sub(self.max_wait))
    }
}
