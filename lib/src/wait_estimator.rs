//! Estimates how long a request will wait for a connection, from measured waits.

use std::collections::HashMap;
use std::time::Duration;

use crate::admission::Priority;
use crate::moment::Moment;
use crate::wait_queue::Tier;

/// What a request waits for. Different connections serve requests of different
/// classes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WaitClass {
    /// A connection to the primary.
    Leader,
    /// A connection to any server that has applied a given log position.
    Reader,
    /// A connection to one given server, the primary or a replica.
    Server,
}

/// Identifies the waiting requests of one class, tier and priority. Within such a
/// sub-queue requests are served in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SubQueue {
    /// What the requests wait for.
    pub class: WaitClass,
    /// Whether the requests can still meet their objective.
    pub tier: Tier,
    /// Priority of their service.
    pub priority: Priority,
}

/// Estimates of the wait for a connection to one group, by sub-queue.
///
/// The wait of a request cannot be computed from the running statements:
/// transactions hold connections while they are idle, requests of higher priority go
/// first, and other instances share the servers. The computed wait was half of the
/// actual one; under overload, most refused requests were refused only after three
/// quarters of their objective. So the wait per place in the queue is measured.
#[derive(Clone, Debug, Default)]
pub struct WaitEstimator {
    estimates: HashMap<SubQueue, Estimate>,
}

#[derive(Clone, Copy, Debug)]
struct Estimate {
    wait_per_place: Duration,
    observed_at: Moment,
}

/// The newest wait has a weight of one over this. The estimate then follows a change
/// within about ten waits, which a busy queue has in a quarter of a second.
const SMOOTHING: u32 = 4;

/// An estimate is used for this long after its last measurement. Without a measurement
/// in this time either no request has waited or none has been served, and the estimate
/// says nothing about the present wait.
const MAX_ESTIMATE_AGE: Duration = Duration::from_millis(500);

impl WaitEstimator {
    /// Records that a request with `ahead` others before it waited for `waited` until
    /// it got a connection or gave up.
    pub fn observe(&mut self, now: Moment, sub_queue: SubQueue, ahead: usize, waited: Duration) {
        let wait_per_place = waited / places(ahead);
        let estimate = self
            .estimates
            .entry(sub_queue)
            .or_insert(Estimate { wait_per_place, observed_at: now });
        if estimate.observed_at + MAX_ESTIMATE_AGE < now {
            estimate.wait_per_place = wait_per_place;
        }
        let kept = estimate.wait_per_place * (SMOOTHING - 1);
        estimate.wait_per_place = (kept + wait_per_place) / SMOOTHING;
        estimate.observed_at = now;
    }

    /// Expected wait of a request with `ahead` others before it; `None` if there is no
    /// recent measurement.
    ///
    /// `None` also for the first in the queue, so that it is always admitted: only
    /// admitted requests measure how the wait changes.
    #[must_use]
    pub fn expected_wait(
        &self,
        now: Moment,
        sub_queue: SubQueue,
        ahead: usize,
    ) -> Option<Duration> {
        let wait_per_place = self.wait_per_place(now, sub_queue)?;
        (ahead > 0).then(|| wait_per_place * places(ahead))
    }

    /// Present wait for each place in the queue; `None` if there is no recent measurement.
    #[must_use]
    pub fn wait_per_place(&self, now: Moment, sub_queue: SubQueue) -> Option<Duration> {
        let estimate = self.estimates.get(&sub_queue)?;
        let fresh = estimate.observed_at + MAX_ESTIMATE_AGE >= now;
        fresh.then_some(estimate.wait_per_place)
    }
}

/// The place of a request with `ahead` others before it, counted from one.
fn places(ahead: usize) -> u32 {
    u32::try_from(ahead).unwrap_or(u32::MAX).saturating_add(1)
}
