//! Positions that a primary is known to have reached, with the time at which
//! it was asked.

use std::collections::VecDeque;
use std::time::Duration;

use crate::moment::Moment;
use crate::position::Position;

/// Spacing of samples: finer ones would not let a replica qualify earlier by
/// an amount that matters against a replication delay of 60 ms and more.
const SPACING: Duration = Duration::from_millis(20);

/// Longest staleness that samples are kept for; far above any configured one.
const KEPT_FOR: Duration = Duration::from_secs(30);

/// A sample: every commit acknowledged before `asked_at` is at or before
/// `position`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Sample {
    asked_at: Moment,
    position: Position,
}

/// Samples of one group, oldest first.
#[derive(Clone, Debug, Default)]
pub struct Samples {
    samples: VecDeque<Sample>,
}

impl Samples {
    /// A server answered with `position` to something sent at `asked_at`, and
    /// proved that it was the primary.
    pub fn record(&mut self, asked_at: Moment, position: Position) {
        if let Some(last) = self.samples.back() {
            if asked_at < last.asked_at + SPACING || position < last.position {
                return;
            }
        }
        self.samples.push_back(Sample { asked_at, position });
        while self.samples.front().is_some_and(|first| first.asked_at + KEPT_FOR < asked_at) {
            self.samples.pop_front();
        }
    }

    /// The lowest position that satisfies a read which may miss commits
    /// acknowledged in the last `max_staleness`.
    ///
    /// The oldest sample that is young enough, not the newest: it is the one
    /// that most replicas have applied.
    #[must_use]
    pub fn floor(&self, now: Moment, max_staleness: Duration) -> Option<Position> {
        let index = self.samples.partition_point(|sample| sample.asked_at + max_staleness < now);
        self.samples.get(index).map(|sample| sample.position)
    }

    /// When the primary is known to have reached a position: at the latest
    /// when it was asked and had it. `None` if no sample goes that far.
    #[must_use]
    pub fn reached_at(&self, position: Position) -> Option<Moment> {
        let index = self.samples.partition_point(|sample| sample.position < position);
        self.samples.get(index).map(|sample| sample.asked_at)
    }

    /// When the primary is first known to have gone beyond a position.
    #[must_use]
    pub fn passed_at(&self, position: Position) -> Option<Moment> {
        let index = self.samples.partition_point(|sample| sample.position <= position);
        self.samples.get(index).map(|sample| sample.asked_at)
    }

    /// The newest sample: when the primary was asked, and what it had reached.
    #[must_use]
    pub fn newest(&self) -> Option<(Moment, Position)> {
        self.samples.back().map(|sample| (sample.asked_at, sample.position))
    }

    /// Age of the newest sample.
    #[must_use]
    pub fn newest_age(&self, now: Moment) -> Option<Duration> {
        self.samples.back().map(|sample| now.saturating_sub(sample.asked_at))
    }

    /// Forgets all samples, when the log they belong to was cut back.
    pub fn clear(&mut self) {
        self.samples.clear();
    }
}
