//! Leases on shards of client accounts. The lease decides which instance counts
//! the operations of an account against its quota.
//!
//! Client accounts are divided into shards. The keeper of a shard is the instance
//! that counts the operations of all its accounts. It holds a lease granted by
//! more than half of the voters of the shard, so that instances on two sides of a
//! partition never both count. The voters are also the candidates. A voter whose
//! vote is not renewed tries to get the lease itself; the first in the order of
//! candidates tries soonest. [`crate::keeper_voters`] has the rules by which the
//! voters change.

use std::collections::HashMap;
use std::time::Duration;

use crate::fleet::InstanceRecord;
use crate::id::InstanceId;
use crate::moment::Moment;
use crate::placement::stable_hash;
use crate::voter_set::VoterSet;
use crate::voter_set::VotersVersion;

/// Number of shards of client accounts. More shards would divide the requests of
/// a large fleet among more keepers, but each shard costs its keeper a round of
/// vote requests in every [`RENEWAL_INTERVAL`].
pub const ACCOUNT_SHARDS: u32 = 8;

/// Number of voters of a shard.
const VOTERS: usize = 8;

/// Time for which a vote binds a voter, from when it granted the vote.
///
/// With a shorter time, a keeper on a busy instance loses its lease between two
/// renewals. With a longer time, accounts wait longer after their keeper failed.
pub const VOTE_LEASE: Duration = Duration::from_millis(1_200);

/// Time for which a keeper uses a vote, from when it sent the vote request. It is
/// shorter than [`VOTE_LEASE`] to allow for clocks that run at different rates.
const KEEPER_LEASE: Duration = Duration::from_millis(1_100);

/// Interval between two rounds of vote requests from a keeper to the voters.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(300);

/// Additional wait of each candidate compared with the one before it. Two
/// candidates that try at the same time can split the votes; then the shard has no
/// keeper until these votes expire.
const CANDIDATE_STAGGER: Duration = Duration::from_millis(200);

/// Number of a shard of client accounts, from 0.
pub type ShardNumber = u32;

/// Returns the shard of a client account.
#[must_use]
#[allow(clippy::cast_possible_truncation, reason = "less than the number of shards")]
pub fn shard_of(account: &str) -> ShardNumber {
    (stable_hash(&["account", account]) % u64::from(ACCOUNT_SHARDS)) as ShardNumber
}

/// Returns the instances in the order in which they should become keeper of a
/// shard. Those with the largest share of a processor come first, since a keeper
/// answers requests from all instances.
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

/// Returns the instances that should vote on the keeper of a shard, out of all that have
/// a record.
#[must_use]
pub fn preferred_keeper_voters(
    shard: ShardNumber,
    recorded: &[InstanceRecord],
) -> Vec<InstanceRecord> {
    candidates(shard, recorded).into_iter().take(VOTERS).cloned().collect()
}

/// One incarnation of an instance that requests a vote.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the instance.
    pub id: InstanceId,
    /// Number of the incarnation, that is, of one run of the instance between
    /// start and exit.
    pub life: u64,
}

/// Answer of a voter to a vote request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Vote {
    /// The voter has no unexpired vote for another candidate.
    Granted {
        /// Whether the voter has run for less than [`VOTE_LEASE`]. An earlier
        /// incarnation of it may then have an unexpired vote for another
        /// candidate.
        fresh: bool,
        /// Version of the voters under which it votes; 0 if its vote does not count.
        version: VotersVersion,
    },
    /// The voter has an unexpired vote for another candidate.
    Refused,
}

/// The votes that this instance has granted.
#[derive(Clone, Debug)]
pub struct Votes {
    started_at: Moment,
    votes: HashMap<ShardNumber, (Candidate, Moment)>,
}

impl Votes {
    /// Creates the votes of an incarnation that started at `started_at` and has
    /// not voted yet.
    #[must_use]
    pub fn new(started_at: Moment) -> Self {
        Self { started_at, votes: HashMap::new() }
    }

    /// Processes the vote request of a candidate that wants to become or to stay
    /// keeper of a shard. This instance votes under the voters of `version`.
    pub fn handle_vote_request(
        &mut self,
        now: Moment,
        shard: ShardNumber,
        candidate: Candidate,
        version: VotersVersion,
    ) -> Vote {
        if let Some((other, until)) = self.votes.get(&shard) {
            // A vote for an earlier incarnation of the same instance does not
            // count: that incarnation has ended.
            if other.id != candidate.id && *until > now {
                return Vote::Refused;
            }
        }
        self.votes.insert(shard, (candidate, now + VOTE_LEASE));
        Vote::Granted { fresh: self.started_at + VOTE_LEASE > now, version }
    }

    /// Ends the vote for a candidate that stops being keeper or did not get enough
    /// votes.
    pub fn release(&mut self, now: Moment, shard: ShardNumber, candidate: &Candidate) {
        if let Some((holder, until)) = self.votes.get_mut(&shard) {
            if holder == candidate {
                *until = now.min(*until);
            }
        }
    }

    /// Returns the candidate for a shard that this instance has an unexpired vote
    /// for.
    #[must_use]
    pub fn keeper(&self, now: Moment, shard: ShardNumber) -> Option<&InstanceId> {
        let (candidate, until) = self.votes.get(&shard)?;
        (*until > now).then_some(&candidate.id)
    }

    /// Time until another candidate can have the lease on a shard: the rest of the vote of
    /// this instance, and the stagger of one candidate.
    #[must_use]
    pub fn keeper_due_in(&self, now: Moment, shard: ShardNumber) -> Duration {
        let free_at = self.votes.get(&shard).map_or(now, |(_, until)| *until);
        free_at.saturating_sub(now) + CANDIDATE_STAGGER
    }

    /// Whether the candidate at `rank` among the voters, from 0, should request
    /// votes for a shard. That is so if the vote of this instance expired, or this
    /// instance started without voting, `rank` times the stagger ago.
    #[must_use]
    pub fn should_try(&self, now: Moment, shard: ShardNumber, rank: u32) -> bool {
        let free_since = self.votes.get(&shard).map_or(self.started_at, |(_, until)| *until);
        free_since + CANDIDATE_STAGGER * rank <= now
    }
}

/// A vote that a candidate or keeper received.
#[derive(Clone, Copy, Debug)]
struct Grant {
    asked_at: Moment,
    fresh: bool,
    version: VotersVersion,
}

impl Grant {
    fn ends_at(&self) -> Moment {
        self.asked_at + KEEPER_LEASE
    }
}

/// The lease on one shard at an instance that is its keeper or tries to become it.
#[derive(Clone, Debug, Default)]
pub struct KeeperLease {
    /// The last vote of each voter that did not refuse since.
    granted: HashMap<InstanceId, Grant>,
    /// End of the lease as of the last call of `check`.
    held_until: Moment,
    /// Version of the voters as of the last call of `check`.
    version: VotersVersion,
    /// End of the lease by the votes under earlier voters, which stay bound until then.
    earlier_until: Moment,
    /// When the votes were last returned.
    ended_at: Moment,
}

impl KeeperLease {
    /// Records the answer of a voter to a vote request sent at `asked_at`. An answer to a
    /// request from before [`Self::end`] is ignored: the vote was returned since, and may be
    /// given to another candidate.
    pub fn answered(&mut self, asked_at: Moment, voter: &InstanceId, vote: &Vote) {
        if asked_at <= self.ended_at {
            return;
        }
        match vote {
            Vote::Granted { fresh, version } => {
                let grant = Grant { asked_at, fresh: *fresh, version: *version };
                self.granted.insert(voter.clone(), grant);
            }
            Vote::Refused => {
                self.granted.remove(voter);
            }
        }
    }

    /// Computes the end of the lease from the received votes, by voters that are relied on
    /// until `relied_until`. Returns whether the lease was not held before and is held now.
    pub fn check(&mut self, now: Moment, voters: &VoterSet, relied_until: Moment) -> bool {
        let held_before = self.is_held(now);
        if voters.version != self.version {
            self.earlier_until = self.held_until;
            self.version = voters.version;
        }
        let counted = |voter: &InstanceId| {
            let grant = self.granted.get(voter)?;
            (grant.version == voters.version && grant.ends_at() > now).then_some(grant)
        };
        // An earlier incarnation of a voter that started recently may have voted
        // for another candidate. That candidate is a voter too and refuses while it
        // holds the lease. So with such a voter, the lease is gained only if all
        // voters grant it. While the voters change, the candidate may be none any more.
        let has_fresh = voters.members().any(|id| counted(id).is_some_and(|grant| grant.fresh));
        let has_all = !voters.is_joint() && voters.has_all(|id| counted(id).is_some());
        if has_fresh && !has_all && !held_before {
            return false;
        }
        // The lease ends when so many votes have expired that the rest is no majority.
        let until = voters.majority_until(|id| counted(id).map(Grant::ends_at));
        let until = until.unwrap_or(Moment::ZERO).min(relied_until);
        self.held_until = until.max(self.earlier_until);
        self.is_held(now) && !held_before
    }

    /// Whether this instance holds the lease.
    #[must_use]
    pub fn is_held(&self, now: Moment) -> bool {
        self.held_until > now
    }

    /// Whether any voter granted a vote that it did not withdraw by a refusal.
    #[must_use]
    pub fn has_votes(&self) -> bool {
        !self.granted.is_empty()
    }

    /// Ends the lease and discards all votes, which are returned to the voters.
    pub fn end(&mut self, now: Moment) {
        *self = Self { ended_at: now, ..Self::default() };
    }
}
