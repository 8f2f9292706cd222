//! How fast those who wait for a connection get one, as measured.

use std::collections::HashMap;
use std::time::Duration;

use crate::admission::Priority;
use crate::moment::Moment;
use crate::wait_queue::Tier;

/// What a request waits for. Those of different classes are served by
/// different connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WaitClass {
    /// A connection to the primary.
    Leader,
    /// A connection to a server that has applied a position.
    Reader,
    /// A connection to one server, whichever it is.
    Server,
}

/// Requests that wait for the same and are served in turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SubQueue {
    /// What they wait for.
    pub class: WaitClass,
    /// Whether they can meet their objective.
    pub tier: Tier,
    /// The priority of their service.
    pub priority: Priority,
}

/// Measured waits for connections to one group.
///
/// What a request will wait cannot be computed from the statements that run:
/// transactions rest on connections, more urgent requests go first, and other
/// instances share the servers. Computed, it was half of what came about, and
/// under overload most of the refused had waited for three quarters of their
/// objective first. So the wait for each place in the queue is measured.
#[derive(Clone, Debug, Default)]
pub struct WaitEstimator {
    paces: HashMap<SubQueue, Pace>,
}

#[derive(Clone, Copy, Debug)]
struct Pace {
    wait_per_place: Duration,
    observed_at: Moment,
}

/// Weight of the newest wait, as one over this: some ten waits settle it, a
/// quarter of a second of a busy queue.
const SMOOTHING: u32 = 4;

/// A measured pace counts for this long. Afterwards nobody waited, or nobody
/// was served: both make it worthless.
const FRESH_FOR: Duration = Duration::from_millis(500);

impl WaitEstimator {
    /// A request that had `ahead` others before it waited so long until it got
    /// a connection, or gave up.
    pub fn observe(&mut self, now: Moment, line: SubQueue, ahead: usize, waited: Duration) {
        let wait_per_place = waited / places(ahead);
        let pace = self.paces.entry(line).or_insert(Pace { wait_per_place, observed_at: now });
        if pace.observed_at + FRESH_FOR < now {
            pace.wait_per_place = wait_per_place;
        }
        let kept = pace.wait_per_place * (SMOOTHING - 1);
        pace.wait_per_place = (kept + wait_per_place) / SMOOTHING;
        pace.observed_at = now;
    }

    /// How long a request will wait that has `ahead` others before it; `None`
    /// if that was not measured lately.
    ///
    /// Whoever is next is never told a wait: only those that are let in
    /// measure how it changes.
    #[must_use]
    pub fn expected_wait(&self, now: Moment, line: SubQueue, ahead: usize) -> Option<Duration> {
        let pace = self.paces.get(&line)?;
        let fresh = pace.observed_at + FRESH_FOR >= now;
        (fresh && ahead > 0).then(|| pace.wait_per_place * places(ahead))
    }
}

/// A request's place, counted from one.
fn places(ahead: usize) -> u32 {
    u32::try_from(ahead).unwrap_or(u32::MAX).saturating_add(1)
}
