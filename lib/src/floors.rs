//! How current a read must be, as a position in the log.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::id::AccountId;
use crate::id::Term;
use crate::position::Position;

/// How current the caller wants its read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The account sees all its own writes, and never goes back in time.
    OwnWrites,
    /// Every write acknowledged to anyone before the read is seen.
    Fresh,
    /// As `OwnWrites`, and no older than this.
    MaxAge(Duration),
}

/// Samples of the primary's position kept for reads of a stated age.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Longest age that can be asked for with effect. Older requests are served
/// as if they had asked for this.
pub const LONGEST_MAX_AGE: Duration = Duration::from_secs(60);

/// Positions an owner must remember to answer reads correctly.
#[derive(Clone, Debug)]
pub struct Floors {
    /// Floor of accounts without an entry of their own.
    base: Position,
    accounts: HashMap<AccountId, Position>,
    last_acknowledged: Position,
    samples: VecDeque<(Instant, Position)>,
}

impl Floors {
    /// Floors of a database that was promoted at `base`.
    ///
    /// What each account wrote under an earlier owner is not known here. All
    /// of it lies at or before the promotion, which therefore serves as the
    /// floor of every account: never too low, only briefly too high.
    #[must_use]
    pub fn new(base: Position) -> Self {
        Self { base, accounts: HashMap::new(), last_acknowledged: base, samples: VecDeque::new() }
    }

    /// The primary was replaced in a new term whose first entry is `first`.
    ///
    /// Positions of earlier terms beyond the promotion point may have been
    /// cut off. Left as they were they would compare lower than any position
    /// of the new term and so be harmless, but an account that had read an
    /// entry before the cut must still see it: `first` covers all survivors.
    pub fn promoted(&mut self, first: Position) {
        self.base = first;
        self.accounts.clear();
        self.last_acknowledged = first;
        self.samples.clear();
    }

    /// An account's write was acknowledged, or the account read, at `position`.
    pub fn raise(&mut self, account: &AccountId, position: Position) {
        if position <= self.base {
            return;
        }
        let floor = self.accounts.entry(account.clone()).or_insert(position);
        *floor = (*floor).max(position);
    }

    /// A write was acknowledged at `position`.
    pub fn acknowledged(&mut self, position: Position) {
        self.last_acknowledged = self.last_acknowledged.max(position);
    }

    /// The primary had committed up to `position` at the time `at`.
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

    /// The lowest position a server must have applied to answer the read.
    /// `None` when only the primary can tell.
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
                let young = self.oldest_within(now, age)?;
                Some(own.max(young))
            }
        }
    }

    /// First sample not older than `age`. Whoever has applied it lacks only
    /// writes made after it, and so is no older than `age` itself.
    fn oldest_within(&self, now: Instant, age: Duration) -> Option<Position> {
        let index =
            self.samples.partition_point(|(at, _)| now.saturating_duration_since(*at) > age);
        self.samples.get(index).map(|(_, position)| *position)
    }

    /// Accounts with a floor of their own, for the capacity figures.
    #[must_use]
    pub fn account_count(&self) -> usize {
        self.accounts.len()
    }

    /// Forgets floors that every server has passed, to bound the memory.
    pub fn forget_below(&mut self, everywhere: Position, term: Term) {
        if everywhere.term != term {
            return;
        }
        self.accounts.retain(|_, position| *position > everywhere);
        self.base = self.base.max(everywhere);
    }
}
