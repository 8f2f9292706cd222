//! Which instance counts the operations of an account.
//!
//! Accounts are divided into shards. The keeper of a shard holds a lease that
//! more than half of its voters granted, so that two sides of a partition never
//! both count. The voters are also the candidates: who finds that nobody renews
//! the vote that it gave tries by itself, the first in their order soonest.

use std::collections::HashMap;
use std::time::Duration;

use crate::fleet::InstanceRecord;
use crate::id::InstanceId;
use crate::moment::Moment;
use crate::placement::stable_hash;

/// Shards of accounts. More would divide the asking of a large fleet further;
/// each costs its keeper a round of questions to the voters.
pub const ACCOUNT_SHARDS: u32 = 8;

/// Voters of a shard. Even, as those of a group: when one instance joins or goes,
/// majorities before and after have a voter in common.
const VOTERS: usize = 8;

/// How long a vote binds a voter, counted from when it was given.
///
/// Shorter, and a keeper on a busy instance loses it between two renewals;
/// longer, and accounts wait longer when their keeper dies.
pub const LEASE: Duration = Duration::from_millis(1_200);

/// How much of it a keeper uses, counted from when it asked. The rest is for clocks of
/// unlike speed.
const USED_LEASE: Duration = Duration::from_millis(1_100);

/// Time between two rounds of questions of a keeper to the voters.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(300);

/// How much later each next candidate tries. Two that try together divide the
/// votes, and nobody keeps the shard until they are over.
const STAGGER: Duration = Duration::from_millis(200);

/// Counts shards of accounts from 0.
pub type ShardNumber = u32;

/// The shard of an account.
#[must_use]
#[allow(clippy::cast_possible_truncation, reason = "less than the number of shards")]
pub fn shard_of(account: &str) -> ShardNumber {
    (stable_hash(&["account", account]) % u64::from(ACCOUNT_SHARDS)) as ShardNumber
}

/// The instances in the order in which they should keep a shard: those with the
/// largest share of a processor first, since a keeper answers for all entries.
#[must_use]
pub fn candidates(shard: ShardNumber, recorded: &[InstanceRecord]) -> Vec<&InstanceRecord> {
    let number = shard.to_string();
    let score = |record: &InstanceRecord| stable_hash(&["keeper", &number, &record.id]);
    let mut ordered: Vec<_> = recorded.iter().collect();
    ordered.sort_by_cached_key(|record| {
        (std::cmp::Reverse(record.capacity_millicores), score(record), record.id.clone())
    });
    ordered
}

/// The instances that vote on the keeper of a shard, out of all that have a
/// record. Whether they are alive has no part in it, as for groups.
#[must_use]
pub fn voters(shard: ShardNumber, recorded: &[InstanceRecord]) -> Vec<InstanceRecord> {
    candidates(shard, recorded).into_iter().take(VOTERS).cloned().collect()
}

/// An instance in one of its lives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The instance.
    pub id: InstanceId,
    /// Tells this run of it from earlier ones.
    pub life: u64,
}

/// A voter's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Vote {
    /// The voter has voted for nobody else.
    Granted {
        /// The voter has run for less than a lease: an earlier life of it may
        /// have voted for somebody else.
        fresh: bool,
    },
    /// It has voted for another one.
    Refused,
}

/// What this instance has voted for.
#[derive(Clone, Debug)]
pub struct Votes {
    started_at: Moment,
    given: HashMap<ShardNumber, (Candidate, Moment)>,
}

impl Votes {
    /// A life that has not voted yet.
    #[must_use]
    pub fn new(started_at: Moment) -> Self {
        Self { started_at, given: HashMap::new() }
    }

    /// A candidate wants to keep a shard.
    pub fn ask(&mut self, now: Moment, shard: ShardNumber, candidate: Candidate) -> Vote {
        if let Some((other, until)) = self.given.get(&shard) {
            // Another life of the same instance: the earlier one is gone.
            if other.id != candidate.id && *until > now {
                return Vote::Refused;
            }
        }
        self.given.insert(shard, (candidate, now + LEASE));
        Vote::Granted { fresh: self.started_at + LEASE > now }
    }

    /// A keeper stops, or did not get enough votes: its shard is free.
    pub fn release(&mut self, now: Moment, shard: ShardNumber, candidate: &Candidate) {
        if let Some((holder, until)) = self.given.get_mut(&shard) {
            if holder == candidate {
                *until = now.min(*until);
            }
        }
    }

    /// Who keeps a shard, as far as this instance voted.
    #[must_use]
    pub fn keeper(&self, now: Moment, shard: ShardNumber) -> Option<&InstanceId> {
        let (candidate, until) = self.given.get(&shard)?;
        (*until > now).then_some(&candidate.id)
    }

    /// Whether the candidate at `rank` among the voters should try to keep a
    /// shard that is not renewed.
    #[must_use]
    pub fn should_try(&self, now: Moment, shard: ShardNumber, rank: u32) -> bool {
        let free_since = self.given.get(&shard).map_or(self.started_at, |(_, until)| *until);
        free_since + STAGGER * rank <= now
    }
}

/// A vote for a keeper.
#[derive(Clone, Copy, Debug)]
struct Grant {
    asked_at: Moment,
    fresh: bool,
}

impl Grant {
    fn ends_at(&self) -> Moment {
        self.asked_at + USED_LEASE
    }
}

/// A shard at an instance that keeps it, or tries to.
#[derive(Clone, Debug, Default)]
pub struct KeeperLease {
    /// When the voters that granted were asked, and whether they were fresh.
    granted: HashMap<InstanceId, Grant>,
    /// Until when it was held when last looked at.
    held_until: Moment,
}

impl KeeperLease {
    /// A voter that was asked at `asked_at` answered.
    pub fn answered(&mut self, asked_at: Moment, voter: &InstanceId, vote: &Vote) {
        match vote {
            Vote::Granted { fresh } => {
                self.granted.insert(voter.clone(), Grant { asked_at, fresh: *fresh });
            }
            Vote::Refused => {
                self.granted.remove(voter);
            }
        }
    }

    /// Looks whether more than half of the voters grant it. Returns whether it
    /// was gained now, after it was not held.
    pub fn check(&mut self, now: Moment, voters: &[InstanceRecord]) -> bool {
        let held_before = self.is_held(now);
        let grants = voters.iter().filter_map(|voter| self.granted.get(&voter.id));
        let lasting: Vec<_> = grants.filter(|grant| grant.ends_at() > now).collect();
        // A fresh voter may have voted for another one in an earlier life. That one
        // is a voter as well, and refuses while it is at work.
        let doubtful = lasting.iter().any(|grant| grant.fresh) && lasting.len() < voters.len();
        if doubtful && !held_before {
            return false;
        }
        let mut ends: Vec<_> = lasting.iter().map(|grant| grant.ends_at()).collect();
        ends.sort_unstable_by(|a, b| b.cmp(a));
        // The majority lasts until the first of its votes ends.
        self.held_until = ends.get(voters.len() / 2).copied().unwrap_or(Moment::ZERO);
        self.is_held(now) && !held_before
    }

    /// Whether it is held.
    #[must_use]
    pub fn is_held(&self, now: Moment) -> bool {
        self.held_until > now
    }

    /// Whether any voter granted it.
    #[must_use]
    pub fn has_votes(&self) -> bool {
        !self.granted.is_empty()
    }

    /// Gives it up.
    pub fn end(&mut self) {
        *self = Self::default();
    }
}
