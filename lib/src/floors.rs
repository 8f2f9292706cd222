//! Floors of reads: the lowest log position that a server must have applied to answer a
//! read as currently as the client asks.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::id::AccountId;
use crate::id::Term;
use crate::position::Position;

/// How current a read must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The read sees all writes of its own account, and nothing older than the account's
    /// earlier reads.
    OwnWrites,
    /// The read sees every write that was acknowledged to any account before it.
    Fresh,
    /// As `OwnWrites`, and the data is no older than this.
    MaxAge(Duration),
}

/// Shortest time between two samples of the primary's position that are kept for reads
/// with a maximum age.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Longest effective maximum age of a read. A read that allows a higher age is served as
/// if it had asked for this one.
pub const LONGEST_MAX_AGE: Duration = Duration::from_secs(60);

/// The positions that the owner of a database keeps to compute the floors of reads.
#[derive(Clone, Debug)]
pub struct Floors {
    /// Floor of accounts that have no entry in `accounts`.
    base: Position,
    accounts: HashMap<AccountId, Position>,
    last_acknowledged: Position,
    samples: VecDeque<(Instant, Position)>,
}

impl Floors {
    /// Floors of a database whose primary was promoted at `base`.
    ///
    /// The positions that accounts wrote under an earlier owner are unknown here. All
    /// of them are at or before the promotion, which therefore serves as the floor of
    /// every account: it is never too low, and too high only for a short time.
    #[must_use]
    pub fn new(base: Position) -> Self {
        Self { base, accounts: HashMap::new(), last_acknowledged: base, samples: VecDeque::new() }
    }

    /// Resets the floors after a promotion that began a new term with the entry `first`.
    ///
    /// Entries of earlier terms beyond the promotion may have been rolled back. Their
    /// positions would be harmless, since they compare lower than any position of the
    /// new term. But an account that has read an entry before that point must still see
    /// it, and `first` comes after all entries that survived.
    pub fn promoted(&mut self, first: Position) {
        self.base = first;
        self.accounts.clear();
        self.last_acknowledged = first;
        self.samples.clear();
    }

    /// Raises the floor of an account that wrote or read at `position`.
    pub fn raise(&mut self, account: &AccountId, position: Position) {
        if position <= self.base {
            return;
        }
        let floor = self.accounts.entry(account.clone()).or_insert(position);
        *floor = (*floor).max(position);
    }

    /// Records that a write was acknowledged at `position`.
    pub fn acknowledged(&mut self, position: Position) {
        self.last_acknowledged = self.last_acknowledged.max(position);
    }

    /// Records that the primary had committed up to `position` at the time `at`.
    pub fn sample(&mut self, at: Instant, position: Position) {
        if let Some((last, _)) = self.samples.back() {
            if at.saturating_duration_since(*last) < SAMPLE_INTERVAL {
                return;
            }
        }
        self.samples.push_back((at, position));
        while let Some((oldest, _)) = self.samples.front() {
            if at.saturating_duration_since(*oldest) <= LONGEST_MAX_AGE {
                break;
            }
            self.samples.pop_front();
        }
    }

    /// The lowest position that a server must have applied to answer the read. `None` if
    /// no sample is young enough, so that only the primary can answer.
    #[must_use]
    pub fn floor(
        &self,
        now: Instant,
        account: &AccountId,
        freshness: Freshness,
    ) -> Option<Position> {
        let own = self.accounts.get(account).copied().unwrap_or(self.base);
        match freshness {
            Freshness::OwnWrites => Some(own),
            Freshness::Fresh => Some(own.max(self.last_acknowledged)),
            Freshness::MaxAge(age) => {
                let oldest = self.oldest_within(now, age)?;
                Some(own.max(oldest))
            }
        }
    }

    /// The oldest sample that is not older than `age`. A server that has applied it lacks
    /// only later writes, so its data is no older than `age`.
    fn oldest_within(&self, now: Instant, age: Duration) -> Option<Position> {
        let index =
            self.samples.partition_point(|(at, _)| now.saturating_duration_since(*at) > age);
        self.samples.get(index).map(|(_, position)| *position)
    }

    /// Number of accounts with a floor of their own, reported by the admin interface.
    #[must_use]
    pub fn account_count(&self) -> usize {
        self.accounts.len()
    }

    /// Drops the floors that every server has reached, to bound the memory. `everywhere`
    /// is the position that all servers have applied; it counts only if its entry is of
    /// the current `term`.
    pub fn remove_below(&mut self, everywhere: Position, term: Term) {
        if everywhere.term != term {
            return;
        }
        self.accounts.retain(|_, position| *position > everywhere);
        self.base = self.base.max(everywhere);
    }
}
