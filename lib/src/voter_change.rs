//! Decides when the voters of a group change, and when a change is complete.
//!
//! One instance drives the changes of a group; see [`crate::voter_set`] for the rules that
//! make them safe no matter which instance does, or if several do.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::InstanceId;
use crate::id::Term;
use crate::moment::Moment;
use crate::primary_lease::VOTER_LEASE;
use crate::primary_lease::VOTERS_LEASE;
use crate::revision::Era;
use crate::voter_set::VoterSet;
use crate::voter_set::VotersVersion;

/// How long other voters have to be preferred before the change begins. An instance that
/// restarts is usually back within this time.
const CHANGE_DELAY: Duration = Duration::from_secs(3);

/// The change begins after this time even if other voters have become preferred in between, so
/// that instances which are exchanged one after the other do not defer it until they are gone.
const MAX_CHANGE_DELAY: Duration = Duration::from_secs(6);

/// How long new voters have to be preferred before they are added to all present ones, and how
/// long voters have to be needed in place of those that leave.
const SHORT_DELAY: Duration = Duration::from_millis(500);

/// A change in progress is not directed to other voters before this time: each new set has to be
/// acknowledged anew, which takes [`VOTER_LEASE`] and a few messages.
const REDIRECT_AFTER: Duration = VOTER_LEASE.saturating_mul(2);

/// Time between two attempts to write a set of voters, and between two rounds of requests
/// for acknowledgements.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// What the driver of a change has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VoterAction {
    /// Write this set of voters to the store in place of the known one.
    Write(VoterSet),
    /// Send the known set to all voters, and request their acknowledgements.
    RequestAcknowledgements,
}

/// The instances that should vote, each list ordered by id.
#[derive(Clone, Copy, Debug)]
pub struct PreferredVoters<'a> {
    /// Out of all that have a record.
    pub recorded: &'a [InstanceId],
    /// Out of those that are not leaving as planned.
    pub staying: &'a [InstanceId],
}

/// Whether an instance takes part in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// It has a record, and is not known to leave.
    Staying,
    /// It has a record, and leaves as planned.
    Leaving,
    /// It has no record.
    Absent,
}

/// Other voters than the present ones that are preferred.
#[derive(Clone, Debug)]
struct Preferred {
    voters: Vec<InstanceId>,
    /// Since when these are preferred.
    since: Moment,
    /// Since when others than the present ones have been preferred.
    differs_since: Moment,
    /// Whether so few of the present voters stay that these have to take over from those that
    /// leave as long as these can still acknowledge it.
    is_urgent: bool,
}

/// Drives the changes of the voters of one group.
#[derive(Clone, Debug, Default)]
pub struct VoterChange {
    preferred: Option<Preferred>,
    /// Version of the set that the following fields are about.
    version: VotersVersion,
    /// Since when this instance has had the set.
    known_since: Moment,
    /// The highest term that each voter has retired, of those that acknowledged the set.
    acknowledged: BTreeMap<InstanceId, Term>,
    /// When the first of the former voters acknowledged the set.
    first_acknowledged_at: Option<Moment>,
    requested_at: Option<Moment>,
    written_at: Option<Moment>,
    /// Whether the missing acknowledgements were reported.
    has_reported: bool,
}

impl VoterChange {
    /// Returns the action that is due for the set `voters` in an era of the store.
    /// `presence` tells whether an instance takes part.
    pub fn tick(
        &mut self,
        now: Moment,
        era: Era,
        voters: &VoterSet,
        preferred: PreferredVoters<'_>,
        presence: impl Fn(&InstanceId) -> Presence,
    ) -> Option<VoterAction> {
        self.note_version(now, voters);
        let needs_handover = needs_handover(voters, &presence);
        let is_added =
            |id: &InstanceId| presence(id) == Presence::Leaving && !voters.current.contains(id);
        let adds_leaving = preferred.recorded.iter().any(is_added);
        self.note_preferred(now, voters, preferred, needs_handover, adds_leaving);
        if !voters.is_known() {
            return None;
        }
        let is_recorded = |id: &InstanceId| presence(id) != Presence::Absent;
        let action = self.due_action(now, era, voters, is_recorded)?;
        // A change is completed as soon as it can be: until then, both lists have to vote.
        let last = match action {
            VoterAction::Write(_) => &mut self.written_at,
            VoterAction::RequestAcknowledgements => &mut self.requested_at,
        };
        if last.is_some_and(|at| at + RETRY_INTERVAL > now) {
            return None;
        }
        *last = Some(now);
        Some(action)
    }

    /// Discards the acknowledgements of an earlier set.
    pub fn note_version(&mut self, now: Moment, voters: &VoterSet) {
        if voters.version != self.version {
            let preferred = self.preferred.take();
            let version = voters.version;
            *self = Self { preferred, version, known_since: now, ..Self::default() };
        }
    }

    fn note_preferred(
        &mut self,
        now: Moment,
        voters: &VoterSet,
        preferred: PreferredVoters<'_>,
        needs_handover: bool,
        adds_leaving: bool,
    ) {
        let PreferredVoters { recorded, staying } = preferred;
        let is_urgent = needs_handover && !staying.is_empty();
        // Others that leave stay voters, since they may only restart.
        let next = if is_urgent || adds_leaving { staying } else { recorded };
        if next.is_empty() || *next == *voters.current {
            self.preferred = None;
            return;
        }
        let known = self.preferred.take();
        let differs_since = known.as_ref().map_or(now, |known| known.differs_since);
        let same = known.filter(|known| *known.voters == *next && known.is_urgent == is_urgent);
        let since = same.map_or(now, |known| known.since);
        let voters = next.to_vec();
        self.preferred = Some(Preferred { voters, since, differs_since, is_urgent });
    }

    fn due_action(
        &self,
        now: Moment,
        era: Era,
        voters: &VoterSet,
        is_recorded: impl Fn(&InstanceId) -> bool,
    ) -> Option<VoterAction> {
        if voters.is_joint() && self.is_complete(now, voters, is_recorded) {
            return Some(VoterAction::Write(voters.settled(era, &self.acknowledged)));
        }
        if let Some(preferred) = self.preferred.as_ref().filter(|it| self.is_due(now, voters, it)) {
            return Some(VoterAction::Write(voters.with_next(era, preferred.voters.clone())));
        }
        voters.is_joint().then_some(VoterAction::RequestAcknowledgements)
    }

    /// Whether a change to the preferred voters begins.
    fn is_due(&self, now: Moment, voters: &VoterSet, preferred: &Preferred) -> bool {
        if voters.is_joint() && self.known_since + REDIRECT_AFTER > now {
            return false;
        }
        let keeps_all = voters.current.iter().all(|id| preferred.voters.contains(id));
        let delay = if keeps_all || preferred.is_urgent { SHORT_DELAY } else { CHANGE_DELAY };
        preferred.since + delay <= now || preferred.differs_since + MAX_CHANGE_DELAY <= now
    }

    /// Whether enough voters have acknowledged the change to complete it.
    ///
    /// Former voters that are gone for good never acknowledge it. If those that are left are
    /// no majority, the change is completed without the others once these do not rely on the
    /// former set any more. If none is left, nobody shows since when they do not, so that
    /// twice that time has to pass.
    fn is_complete(
        &self,
        now: Moment,
        voters: &VoterSet,
        is_recorded: impl Fn(&InstanceId) -> bool,
    ) -> bool {
        if self.has_majority(voters) {
            return true;
        }
        let has_acknowledged = |id: &InstanceId| self.acknowledged.contains_key(id);
        let next = VoterSet { former: Vec::new(), ..voters.clone() };
        let is_gone = |id: &InstanceId| has_acknowledged(id) || !is_recorded(id);
        let expired_at = match self.first_acknowledged_at {
            Some(at) => at + VOTERS_LEASE,
            None => self.known_since + VOTERS_LEASE * 2,
        };
        next.has_majority(has_acknowledged)
            && voters.former.iter().all(is_gone)
            && expired_at <= now
    }

    /// The voters whose acknowledgements a change has been lacking for long, once for each
    /// change.
    pub fn newly_awaited(&mut self, now: Moment, voters: &VoterSet) -> Option<Vec<InstanceId>> {
        let is_new = voters.version == self.version && !self.has_reported;
        if !is_new || !voters.is_joint() || self.known_since + REDIRECT_AFTER > now {
            return None;
        }
        self.has_reported = true;
        let has_acknowledged = |id: &&InstanceId| self.acknowledged.contains_key(*id);
        Some(voters.members().filter(|id| !has_acknowledged(id)).cloned().collect())
    }

    /// Whether a majority of the voters has acknowledged a set.
    #[must_use]
    pub fn has_majority(&self, voters: &VoterSet) -> bool {
        voters.version == self.version
            && voters.has_majority(|id| self.acknowledged.contains_key(id))
    }

    /// Records that a voter acknowledged the set of `version`, and the highest term that it
    /// has retired.
    pub fn acknowledged(
        &mut self,
        now: Moment,
        voters: &VoterSet,
        voter: &InstanceId,
        retired: Term,
    ) {
        if voters.version != self.version {
            return;
        }
        if voters.former.contains(voter) {
            self.first_acknowledged_at.get_or_insert(now);
        }
        self.acknowledged.insert(voter.clone(), retired);
    }
}

/// Whether no more than a majority of the voters stay, so that a change needs the votes of those
/// that leave once another one is lost. Those that leave wait for that before they end.
#[must_use]
pub fn needs_handover(voters: &VoterSet, presence: impl Fn(&InstanceId) -> Presence) -> bool {
    let stays = |id: &InstanceId| presence(id) == Presence::Staying;
    voters.is_known() && !voters.has_all(stays) && !voters.has_spare(stays)
}
