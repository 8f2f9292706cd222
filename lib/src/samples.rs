//! Samples of a primary's log position over time, from which the floors of reads with
//! bounded staleness are computed.

use std::collections::VecDeque;
use std::time::Duration;

use crate::moment::Moment;
use crate::position::Position;

/// Shortest time between two samples that are kept. With a finer spacing a replica would
/// not qualify for a read noticeably earlier, since the replication delay is 60 ms or
/// more.
const MIN_SPACING: Duration = Duration::from_millis(20);

/// How long samples are kept, which is far above any configured staleness.
const RETENTION: Duration = Duration::from_secs(30);

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
    /// Records `position` from the answer to a request that was sent at `asked_at`. The
    /// answer must prove that the server was the primary.
    pub fn record(&mut self, asked_at: Moment, position: Position) {
        if let Some(last) = self.samples.back() {
            if asked_at < last.asked_at + MIN_SPACING || position < last.position {
                return;
            }
        }
        self.samples.push_back(Sample { asked_at, position });
        while self.samples.front().is_some_and(|first| first.asked_at + RETENTION < asked_at) {
            self.samples.pop_front();
        }
    }

    /// The lowest position that satisfies a read which may miss commits
    /// acknowledged in the last `max_staleness`.
    ///
    /// This is the position of the oldest sample that is young enough, because more
    /// replicas have applied it than a newer one. `None` if no sample is young enough.
    #[must_use]
    pub fn floor(&self, now: Moment, max_staleness: Duration) -> Option<Position> {
        let index = self.samples.partition_point(|sample| sample.asked_at + max_staleness < now);
        self.samples.get(index).map(|sample| sample.position)
    }

    /// Time of the first sample that had reached a position, by which the primary had
    /// reached it too. `None` if no sample has reached it.
    #[must_use]
    pub fn reached_at(&self, position: Position) -> Option<Moment> {
        let index = self.samples.partition_point(|sample| sample.position < position);
        self.samples.get(index).map(|sample| sample.asked_at)
    }

    /// Time of the first sample that is beyond a position. `None` if there is none.
    #[must_use]
    pub fn passed_at(&self, position: Position) -> Option<Moment> {
        let index = self.samples.partition_point(|sample| sample.position <= position);
        self.samples.get(index).map(|sample| sample.asked_at)
    }

    /// Whether there are samples, and even the oldest one is beyond a position. The time at
    /// which the primary passed the position is then unknown, but before the oldest sample.
    #[must_use]
    pub fn begin_after(&self, position: Position) -> bool {
        self.samples.front().is_some_and(|first| first.position > position)
    }

    /// The newest sample: when its request was sent, and the position.
    #[must_use]
    pub fn newest(&self) -> Option<(Moment, Position)> {
        self.samples.back().map(|sample| (sample.asked_at, sample.position))
    }

    /// Age of the newest sample; `None` if there are no samples.
    #[must_use]
    pub fn newest_age(&self, now: Moment) -> Option<Duration> {
        self.samples.back().map(|sample| now.saturating_sub(sample.asked_at))
    }

    /// Drops all samples, when entries of their log may have been rolled back.
    pub fn clear(&mut self) {
        self.samples.clear();
    }
}
