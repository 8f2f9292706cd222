//! The voters of a shard of client accounts, as one instance knows them.
//!
//! Any two sets of votes that make a keeper while both are valid have to share a voter.
//! Instances that join or leave are not known to all others at once, so that voters computed
//! from the known instances can differ between two sides of a partition. The voters are
//! therefore agreed on through the platform's store, as [`VoterSet`] describes. Votes count
//! only under one version of them, which the candidate and the voter both have.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::InstanceId;
use crate::keeper_lease::VOTE_LEASE;
use crate::moment::Moment;
use crate::primary_lease::VOTERS_LEASE;
use crate::revision::Era;
use crate::voter_set::VoterSet;
use crate::voter_set::VotersVersion;

/// Longest time between the sending of a request and its processing that is allowed for. The
/// receiver may be suspended while the request waits in its socket.
const MAX_REQUEST_DELAY: Duration = Duration::from_secs(10);

/// The voters of one shard at an instance.
#[derive(Clone, Debug)]
pub struct KeeperVoters {
    /// This instance.
    me: InstanceId,
    started_at: Moment,
    voters: VoterSet,
    adopted_at: Moment,
    /// When the voters were last known to be the present ones.
    confirmed_at: Option<Moment>,
    /// Whether no earlier incarnation of this instance acknowledged later voters.
    covers_earlier_life: bool,
    /// The other instances that vote under these voters, with the time of the request that
    /// each answered last.
    reported: BTreeMap<InstanceId, Moment>,
}

impl KeeperVoters {
    /// The state of the instance `me`, which started at `started_at` and knows no voters.
    #[must_use]
    pub fn new(me: InstanceId, started_at: Moment) -> Self {
        Self {
            me,
            started_at,
            voters: VoterSet::default(),
            adopted_at: started_at,
            confirmed_at: None,
            covers_earlier_life: false,
            reported: BTreeMap::new(),
        }
    }

    /// The latest voters that this instance has.
    #[must_use]
    pub fn set(&self) -> &VoterSet {
        &self.voters
    }

    /// Replaces the voters by later ones. Returns whether they are later.
    pub fn adopt(&mut self, now: Moment, voters: &VoterSet) -> bool {
        if voters.version <= self.voters.version {
            return false;
        }
        self.voters = voters.clone();
        self.adopted_at = now;
        self.confirmed_at = None;
        self.reported.clear();
        true
    }

    /// Whether this instance votes. After a start it does not, until it has the voters that
    /// an earlier incarnation of it may have acknowledged.
    ///
    /// Nobody relies on earlier voters any more if this instance has run for twice
    /// [`VOTERS_LEASE`].
    #[must_use]
    pub fn votes(&self, now: Moment) -> bool {
        self.covers_earlier_life || self.started_at + VOTERS_LEASE * 2 <= now
    }

    /// The version under which this instance votes at `now`; 0 if it does not vote.
    #[must_use]
    pub fn voting_version(&self, now: Moment) -> VotersVersion {
        if self.votes(now) { self.voters.version } else { 0 }
    }

    /// Processes the version of a candidate's voters. Returns the version under which this
    /// instance votes for it, or `None` if it has other voters and refuses.
    ///
    /// An instance that is no voter does not refuse: a vote that does not count binds it to
    /// the keeper all the same.
    #[must_use]
    pub fn vote_under(&self, now: Moment, version: VotersVersion) -> Option<VotersVersion> {
        let is_voter = self.voters.contains(&self.me);
        (!is_voter || version == self.voters.version).then(|| self.voting_version(now))
    }

    /// Records that the keeper of the shard knew `age` ago that the voters of `version` are the
    /// present ones, according to a request that arrives now.
    pub fn confirmed_by_keeper(&mut self, now: Moment, version: VotersVersion, age: Duration) {
        let confirmed_at = now.checked_sub(age.saturating_add(MAX_REQUEST_DELAY));
        if version == self.voters.version {
            self.confirmed_at = self.confirmed_at.max(confirmed_at);
        }
    }

    /// Records that the store had `voters` as present ones, by a read that was requested at
    /// `asked_at` and answered in `era`.
    ///
    /// A store that was restored from a backup may have lost later voters, until they are
    /// written in the new era.
    pub fn read_from_store(&mut self, now: Moment, asked_at: Moment, era: Era, voters: &VoterSet) {
        self.adopt(now, voters);
        if !voters.is_of_era(era) {
            return;
        }
        self.covers_earlier_life = true;
        if voters.version == self.voters.version {
            self.confirmed_at = self.confirmed_at.max(Some(asked_at));
        }
    }

    /// Records that another instance, asked at `asked_at`, votes under the voters of
    /// `version`.
    pub fn reported(&mut self, voter: &InstanceId, asked_at: Moment, version: VotersVersion) {
        if version != self.voters.version || *voter == self.me || !self.voters.contains(voter) {
            return;
        }
        let latest = self.reported.entry(voter.clone()).or_insert(asked_at);
        *latest = asked_at.max(*latest);
        let Self { me, voters, reported, .. } = self;
        // If the voters had been changed, a majority would have acknowledged that.
        self.covers_earlier_life |= voters.has_majority(|id| reported.contains_key(id));
        if voters.has_all(|id| id == me || reported.contains_key(id)) {
            let all_at = reported.values().min().copied();
            self.confirmed_at = self.confirmed_at.max(all_at);
        }
    }

    /// Acknowledges a change of the voters, if this instance votes and its votes under earlier
    /// voters have expired.
    pub fn acknowledge(&mut self, now: Moment, voters: &VoterSet) -> bool {
        self.adopt(now, voters);
        voters.version == self.voters.version
            && self.votes(now)
            && self.adopted_at + VOTE_LEASE <= now
    }

    /// Whether this instance may try to become the keeper. One that stops voting may not: if
    /// voters restart, only the objection of a voter shows that there is a keeper.
    #[must_use]
    pub fn is_candidate(&self) -> bool {
        self.voters.is_known() && self.voters.current.contains(&self.me)
    }

    /// When the voters were last known to be the present ones.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<Moment> {
        self.confirmed_at
    }

    /// Until when the voters are relied on. A change is completed after that time even if most
    /// of them cannot acknowledge it.
    #[must_use]
    pub fn relied_until(&self) -> Moment {
        if self.voters.has_all(|voter| *voter == self.me) {
            return Moment::MAX;
        }
        self.confirmed_at.map_or(Moment::ZERO, |at| at + VOTERS_LEASE)
    }
}
