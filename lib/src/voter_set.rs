//! The instances that vote on a group, and how they are changed.
//!
//! All instances have to count votes by the same list. Otherwise half of one list can
//! grant a lease while a majority of another one replaces the primary, and the two share
//! no voter. The platform's store therefore keeps the list, under a version.
//!
//! A change takes two writes, as in Raft's joint consensus. The first one adds the next
//! list; from then on, decisions need the votes of both lists. The second one drops the
//! former list, after a majority of it has acknowledged the first write. An instance that
//! acknowledged a version takes no part in decisions under earlier ones, so the instances
//! that have missed the change are too few to decide anything by themselves.

use std::collections::BTreeMap;

use crate::duty::first_token;
use crate::id::InstanceId;
use crate::id::Term;
use crate::moment::Moment;
use crate::revision::Era;

/// Version of a set of voters. Each change of the set increases it.
pub type VotersVersion = u64;

/// The voters of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VoterSet {
    /// Increases with each change; 0 if the voters are not known.
    pub version: VotersVersion,
    /// The voters, or the next ones while a change is in progress. Ordered by id.
    pub current: Vec<InstanceId>,
    /// The voters before a change that is in progress; empty if there is none.
    pub former: Vec<InstanceId>,
    /// Terms up to this one are not used by an instance that has this set: a majority of
    /// the voters of an earlier set may have promised that.
    pub retired: Term,
}

impl VoterSet {
    /// The first set of a group.
    #[must_use]
    pub fn first(era: Era, voters: Vec<InstanceId>) -> Self {
        Self { version: first_token(era), current: sorted(voters), ..Self::default() }
    }

    /// The set that begins a change to `next`, or directs a change in progress to it.
    #[must_use]
    pub fn with_next(&self, era: Era, next: Vec<InstanceId>) -> Self {
        let former = if self.is_joint() { &self.former } else { &self.current };
        Self {
            version: self.next_version(era),
            current: sorted(next),
            former: former.clone(),
            retired: self.retired,
        }
    }

    /// The set that completes a change. `acknowledged` are the voters that acknowledged
    /// it, with the highest term that each has retired.
    #[must_use]
    pub fn settled(&self, era: Era, acknowledged: &BTreeMap<InstanceId, Term>) -> Self {
        Self {
            version: self.next_version(era),
            current: self.current.clone(),
            former: Vec::new(),
            retired: self.retired.max(self.possibly_retired(acknowledged)),
        }
    }

    /// This set, written again in a later era of the store.
    #[must_use]
    pub fn rewritten(&self, era: Era) -> Self {
        Self { version: self.next_version(era), ..self.clone() }
    }

    /// Whether this set was written in `era` of the store or later. The store never lost a set
    /// of era 0, in which it was not restored yet.
    #[must_use]
    pub fn is_of_era(&self, era: Era) -> bool {
        era == 0 || self.version >= first_token(era)
    }

    // A set that the store lost when it was restored from a backup has a lower version
    // than all that are written afterwards.
    fn next_version(&self, era: Era) -> VotersVersion {
        self.version.saturating_add(1).max(first_token(era))
    }

    /// The highest term that a majority of the former voters can have retired, if those
    /// that did not acknowledge the change may have retired any.
    fn possibly_retired(&self, acknowledged: &BTreeMap<InstanceId, Term>) -> Term {
        let mut reported: Vec<_> =
            self.former.iter().filter_map(|voter| acknowledged.get(voter)).copied().collect();
        reported.sort_unstable_by(|a, b| b.cmp(a));
        let silent = self.former.len() - reported.len();
        let needed = majority(self.former.len()).saturating_sub(silent).max(1);
        reported.get(needed - 1).copied().unwrap_or_default()
    }

    /// Whether the voters are known.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.version > 0
    }

    /// Whether a change is in progress.
    #[must_use]
    pub fn is_joint(&self) -> bool {
        !self.former.is_empty()
    }

    /// All voters, each once.
    pub fn members(&self) -> impl Iterator<Item = &InstanceId> {
        let former = self.former.iter().filter(|id| !self.current.contains(id));
        self.current.iter().chain(former)
    }

    /// Whether an instance votes.
    #[must_use]
    pub fn contains(&self, id: &InstanceId) -> bool {
        self.members().any(|voter| voter == id)
    }

    /// Whether an instance votes both before and after a change in progress.
    #[must_use]
    pub fn is_in_each_list(&self, id: &InstanceId) -> bool {
        self.is_known() && self.lists().all(|list| list.contains(id))
    }

    fn lists(&self) -> impl Iterator<Item = &Vec<InstanceId>> {
        [&self.current, &self.former].into_iter().filter(|list| !list.is_empty())
    }

    fn has_quorum(
        &self,
        size: impl Fn(usize) -> usize,
        is_counted: impl Fn(&InstanceId) -> bool,
    ) -> bool {
        let has_size = |list: &Vec<InstanceId>| {
            list.iter().filter(|id| is_counted(id)).count() >= size(list.len())
        };
        self.is_known() && self.lists().all(has_size)
    }

    /// Whether the counted instances are at least half of each list.
    #[must_use]
    pub fn has_half(&self, is_counted: impl Fn(&InstanceId) -> bool) -> bool {
        self.has_quorum(half, is_counted)
    }

    /// Whether the counted instances are more than half of each list.
    #[must_use]
    pub fn has_majority(&self, is_counted: impl Fn(&InstanceId) -> bool) -> bool {
        self.has_quorum(majority, is_counted)
    }

    /// Whether the counted instances are more than half of each list, also without any one of
    /// them.
    #[must_use]
    pub fn has_spare(&self, is_counted: impl Fn(&InstanceId) -> bool) -> bool {
        self.has_quorum(|size| majority(size) + 1, is_counted)
    }

    /// Whether all voters are counted.
    #[must_use]
    pub fn has_all(&self, is_counted: impl Fn(&InstanceId) -> bool) -> bool {
        self.has_quorum(|size| size, is_counted)
    }

    /// How long at least half of each list grants, if each voter grants until the time
    /// that `end_of` returns for it.
    #[must_use]
    pub fn half_until(&self, end_of: impl Fn(&InstanceId) -> Option<Moment>) -> Option<Moment> {
        self.quorum_until(half, end_of)
    }

    /// How long more than half of each list grants, if each voter grants until the time that
    /// `end_of` returns for it.
    #[must_use]
    pub fn majority_until(&self, end_of: impl Fn(&InstanceId) -> Option<Moment>) -> Option<Moment> {
        self.quorum_until(majority, end_of)
    }

    fn quorum_until(
        &self,
        size: impl Fn(usize) -> usize,
        end_of: impl Fn(&InstanceId) -> Option<Moment>,
    ) -> Option<Moment> {
        let list_until = |list: &Vec<InstanceId>| {
            let mut ends: Vec<_> = list.iter().filter_map(&end_of).collect();
            ends.sort_unstable_by(|a, b| b.cmp(a));
            // It ends with the vote after which too few are left.
            ends.get(size(list.len()) - 1).copied()
        };
        // An absent end is less than any other.
        self.lists().map(list_until).min().flatten().filter(|_| self.is_known())
    }
}

fn sorted(mut voters: Vec<InstanceId>) -> Vec<InstanceId> {
    voters.sort_unstable();
    voters
}

/// The number of grants that make a lease: half of the voters, rounded up.
///
/// Half suffices because a replacement needs promises from more than half of the voters, so
/// any two such sets share a voter. If a lease needed more than half, an even split would
/// stop both sides: three of six instances that were partitioned together with the primary
/// served nothing for seven seconds, while the other three could not replace it.
fn half(voters: usize) -> usize {
    voters.div_ceil(2)
}

fn majority(voters: usize) -> usize {
    voters / 2 + 1
}
