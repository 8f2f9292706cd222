//! Decides what an instance does for the voters of a shard of client accounts: write them to
//! the store, read them, or ask the other voters for theirs.
//!
//! The keeper drives the changes of its voters, since all voters answer to it. While there is
//! none, the candidates do, in their order. [`crate::keeper_voters`] has the rules that make
//! the changes safe no matter who drives them.

use std::time::Duration;

use crate::id::InstanceId;
use crate::keeper_voters::KeeperVoters;
use crate::moment::Moment;
use crate::primary_lease::VOTERS_LEASE;
use crate::revision::Era;
use crate::voter_change::PreferredVoters;
use crate::voter_change::Presence;
use crate::voter_change::VoterAction;
use crate::voter_change::VoterChange;
use crate::voter_set::VoterSet;

/// Time between two reads of the voters, and between two rounds of requests to them, until an
/// instance votes.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// The driver reads the voters if they were not known to be the present ones for this long. It
/// leaves time for an outage of the store within [`VOTERS_LEASE`].
const CONFIRMATION_INTERVAL: Duration = Duration::from_secs(5);

/// How long after a restore the first voters of a shard are written if no instance is known to
/// have any. Instances that have voters write these again as soon as they are listed.
const FIRST_AFTER_RESTORE: Duration = Duration::from_secs(8);

/// What an instance does for the voters of a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeeperVoterAction {
    /// Read the present voters from the store.
    Read,
    /// Write these voters to the store in place of the known ones.
    Write(VoterSet),
    /// Send the known voters to all of them, and record their answers.
    Send,
}

/// The store, as one instance knows it.
#[derive(Clone, Copy, Debug, Default)]
pub struct KnownStore {
    /// The latest known era.
    pub era: Era,
    /// When the instance learned of the era.
    pub era_since: Moment,
    /// Whether the store answers.
    pub is_available: bool,
}

/// What one instance does for the voters of one shard.
#[derive(Clone, Debug, Default)]
pub struct KeeperVoterChange {
    change: VoterChange,
    read_at: Option<Moment>,
    sent_at: Option<Moment>,
    written_at: Option<Moment>,
}

impl KeeperVoterChange {
    /// Returns the action that is due. `drives` tells whether this instance drives changes, and
    /// `presence` whether an instance takes part.
    pub fn tick(
        &mut self,
        now: Moment,
        known: &KeeperVoters,
        store: KnownStore,
        drives: bool,
        preferred: PreferredVoters<'_>,
        presence: impl Fn(&InstanceId) -> Presence,
    ) -> Option<KeeperVoterAction> {
        let voters = known.set();
        self.change.note_version(now, voters);
        let is_unconfirmed =
            known.confirmed_at().is_none_or(|at| at + CONFIRMATION_INTERVAL <= now);
        let needs_read = !known.votes(now) || (drives && voters.is_known() && is_unconfirmed);
        if needs_read && store.is_available && is_due(self.read_at, now) {
            self.read_at = Some(now);
            return Some(KeeperVoterAction::Read);
        }
        if !known.votes(now) && voters.is_known() {
            return self.send(now);
        }
        if !drives || !store.is_available {
            return None;
        }
        if !voters.is_known() {
            // A restored store may have lost them.
            let may_exist = store.era > 0 && store.era_since + FIRST_AFTER_RESTORE > now;
            let is_possible = !preferred.recorded.is_empty() && !may_exist;
            return is_possible
                .then(|| VoterSet::first(store.era, preferred.recorded.to_vec()))
                .and_then(|first| self.write(now, first));
        }
        if !voters.is_of_era(store.era) {
            return self.rewrite(now, voters, store);
        }
        match self.change.tick(now, store.era, voters, preferred, presence)? {
            VoterAction::Write(next) => Some(KeeperVoterAction::Write(next)),
            VoterAction::RequestAcknowledgements => Some(KeeperVoterAction::Send),
        }
    }

    /// Writes the known voters again after the store was restored from a backup, once a
    /// majority of them shows that there are no later ones.
    fn rewrite(
        &mut self,
        now: Moment,
        voters: &VoterSet,
        store: KnownStore,
    ) -> Option<KeeperVoterAction> {
        // Nobody relies any more on voters that were lost.
        let is_expired = store.era_since + VOTERS_LEASE * 2 <= now;
        if self.change.has_majority(voters) || is_expired {
            return self.write(now, voters.rewritten(store.era));
        }
        self.send(now)
    }

    fn write(&mut self, now: Moment, voters: VoterSet) -> Option<KeeperVoterAction> {
        if !is_due(self.written_at, now) {
            return None;
        }
        self.written_at = Some(now);
        Some(KeeperVoterAction::Write(voters))
    }

    fn send(&mut self, now: Moment) -> Option<KeeperVoterAction> {
        if !is_due(self.sent_at, now) {
            return None;
        }
        self.sent_at = Some(now);
        Some(KeeperVoterAction::Send)
    }

    /// Records that a voter acknowledged a set.
    pub fn acknowledged(&mut self, now: Moment, voters: &VoterSet, voter: &InstanceId) {
        // Keepers have no terms.
        self.change.acknowledged(now, voters, voter, 0);
    }
}

fn is_due(last: Option<Moment>, now: Moment) -> bool {
    last.is_none_or(|at| at + RETRY_INTERVAL <= now)
}
