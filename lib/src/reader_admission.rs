//! Decides when the record of a group's duty begins and stops to admit readers.
//!
//! Readers are instances that do not vote on the group and use its primary by reads of the
//! record (see [`crate::primary_lease`]). They are admitted when instances lack the lease,
//! because most voters are gone or out of reach. The voters stay what they are: only they
//! decide on a replacement of the primary, which waits for the readers.

use std::time::Duration;

use crate::moment::Moment;

/// How long an instance has to lack the lease before it has readers admitted. Voters that
/// can be reached grant it with one of the next two heartbeats.
const ADMIT_AFTER: Duration = Duration::from_secs(1);

/// How much longer each further instance in the succession to the duty waits, so that not all
/// write the record.
const ADMIT_INTERVAL: Duration = Duration::from_millis(50);

/// Largest number of such intervals.
const MAX_ADMIT_INTERVALS: u32 = 8;

/// How long the voters have to grant the lease before readers are admitted no more.
const STOP_AFTER: Duration = Duration::from_secs(10);

/// Time between two attempts to write the record.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// What an instance observes of the lease on the primary of a group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaseState {
    /// For how long the instance has needed the lease and lacked it, if it does now.
    pub missing_for: Option<Duration>,
    /// Whether the lease would be granted to this instance if the record admitted readers.
    pub is_readable: bool,
    /// Whether voters grant the lease now.
    pub is_voted: bool,
}

/// Drives the admission of readers of one group.
#[derive(Clone, Debug, Default)]
pub struct ReaderAdmission {
    /// Since when voters have granted the lease.
    voted_since: Option<Moment>,
    written_at: Option<Moment>,
}

impl ReaderAdmission {
    /// Returns whether the record has to admit readers from now on, if that has to change.
    /// `admits_readers` tells whether it does, and `rank` is the place of this instance in the
    /// succession to the duty.
    pub fn tick(
        &mut self,
        now: Moment,
        admits_readers: bool,
        state: LeaseState,
        rank: Option<usize>,
    ) -> Option<bool> {
        let voted_since = state.is_voted.then(|| self.voted_since.unwrap_or(now));
        self.voted_since = voted_since;
        let is_due = if admits_readers {
            rank == Some(0) && voted_since.is_some_and(|since| since + STOP_AFTER <= now)
        } else {
            let place = rank.and_then(|rank| u32::try_from(rank).ok());
            let intervals = place.unwrap_or(MAX_ADMIT_INTERVALS).min(MAX_ADMIT_INTERVALS);
            let admit_after = ADMIT_AFTER + ADMIT_INTERVAL * intervals;
            state.is_readable && state.missing_for.is_some_and(|missing| missing >= admit_after)
        };
        if !is_due || self.written_at.is_some_and(|at| at + RETRY_INTERVAL > now) {
            return None;
        }
        self.written_at = Some(now);
        Some(!admits_readers)
    }
}
