//! Instances that join, lose their records and end, and the changes of voters that follow.

use std::collections::BTreeMap;

use chervilwharf_lib::duty::is_token_of_era;
use chervilwharf_lib::id::InstanceId;
use chervilwharf_lib::id::Term;
use chervilwharf_lib::voter_change::PreferredVoters;
use chervilwharf_lib::voter_change::Presence;
use chervilwharf_lib::voter_change::VoterAction;
use chervilwharf_lib::voter_set::VoterSet;
use chervilwharf_lib::voter_set::VotersVersion;

use super::DisabledRule;
use super::INITIAL_INSTANCES;
use super::INSTANCES;
use super::Instance;
use super::Message;
use super::StoredOrder;
use super::UNWRITTEN_BOUND_MS;
use super::World;
use super::at;
use super::instance_id;
use super::number_of;

/// Largest number of voters.
const MAX_VOTERS: usize = 8;

impl World {
    /// A random instance, also one that has not been started yet if instances join in this
    /// run.
    pub(super) fn any_instance(&mut self) -> usize {
        let count = if self.changes_instances { INSTANCES } else { INITIAL_INSTANCES };
        usize::try_from(self.random.below(count as u64)).unwrap()
    }

    /// Lets all instances that are missing join on one side of a partition.
    pub(super) fn join_on_one_side(&mut self) {
        let side = usize::from(self.random.per_mille(500));
        for number in 0..INSTANCES {
            if self.instances[number].is_gone {
                self.instances[number] = Instance { side, ..self.start_instance(number) };
                self.recorded[number] = true;
            }
        }
    }

    /// Lets an instance join or end for good, or removes its record.
    pub(super) fn change_instances(&mut self, number: usize) {
        let me = &self.instances[number];
        let side = me.side;
        let is_isolated = self.instances.iter().filter(|other| other.side == side).count() < 5;
        if me.is_gone && self.random.per_mille(3) {
            self.instances[number] = Instance { side, ..self.start_instance(number) };
        } else if self.random.per_mille(2) && self.recorded.iter().filter(|is| **is).count() > 5 {
            self.instances[number].is_gone = true;
        }
        let me = &mut self.instances[number];
        if !me.is_gone && me.leaves_at_ms.is_none() && self.random.per_mille(3) {
            me.leaves_at_ms = Some(self.now_ms + 1_000 + self.random.below(5_000));
        }
        if me.leaves_at_ms.is_some_and(|at| at <= self.now_ms) {
            me.is_gone = true;
            self.recorded[number] &= !self.store_up;
        }
        let is_unresponsive = is_isolated || self.instances[number].is_gone;
        if is_unresponsive && self.random.per_mille(20) && self.store_up {
            self.recorded[number] = false;
        }
    }

    /// The version of the voters that `number` has, in place of `version` if instances do not
    /// agree on voters.
    pub(super) fn version_for(&self, number: usize, version: VotersVersion) -> VotersVersion {
        if self.disabled == DisabledRule::AgreedVoters {
            return self.instances[number].group.primary_lease().voters().version;
        }
        version
    }

    /// Whether an instance leaves as planned, as far as another one knows.
    fn is_leaving(&self, known_by: usize, number: usize) -> bool {
        let is_heard = self.instances[known_by].side == self.instances[number].side;
        is_heard && self.instances[number].leaves_at_ms.is_some()
    }

    /// The instances that should vote, according to the records that an instance knows.
    pub(super) fn preferred_voters(&self, number: usize) -> Vec<InstanceId> {
        self.first_voters(number, |_| true)
    }

    fn first_voters(&self, number: usize, counts: impl Fn(usize) -> bool) -> Vec<InstanceId> {
        let recorded = &self.instances[number].recorded;
        let counted = (0..INSTANCES).rev().filter(|number| recorded[*number] && counts(*number));
        let preferred = counted.take(MAX_VOTERS);
        let mut preferred: Vec<_> = preferred.map(instance_id).collect();
        preferred.sort_unstable();
        preferred
    }

    /// Lets an instance count votes by the records that it knows.
    pub(super) fn use_known_instances(&mut self, number: usize) {
        let preferred = self.preferred_voters(number);
        let now = at(self.now_ms);
        let primary_lease = self.instances[number].group.primary_lease_mut();
        let known = primary_lease.voters();
        if !preferred.is_empty() && preferred != known.current {
            let voters =
                VoterSet { version: known.version + 1, current: preferred, ..VoterSet::default() };
            primary_lease.adopt_voters(now, &voters);
        }
    }

    /// Drives the changes of voters, as the instance that is first in the succession does.
    pub(super) fn maintain_voters(&mut self, number: usize) {
        let (now, preferred) = (at(self.now_ms), self.preferred_voters(number));
        let staying = self.first_voters(number, |other| !self.is_leaving(number, other));
        let leaving: Vec<_> = (0..INSTANCES).map(|other| self.is_leaving(number, other)).collect();
        let may_lack_order = self.era > 0 && !is_token_of_era(self.stored.token, self.era);
        let me = &mut self.instances[number];
        if !self.store_up || !me.reaches_store || me.era != self.era || may_lack_order {
            return;
        }
        let recorded = me.recorded.clone();
        let presence = |id: &InstanceId| match number_of(id) {
            number if !recorded[number] => Presence::Absent,
            number if leaving[number] => Presence::Leaving,
            _ => Presence::Staying,
        };
        let voters = me.group.primary_lease().voters().clone();
        if self.changes_from_ms > self.now_ms {
            return;
        }
        if voters.current != preferred && self.random.per_mille(200) {
            return self.write_voters(&voters, voters.with_next(self.era, preferred));
        }
        let lists = PreferredVoters { recorded: &preferred, staying: &staying };
        let action = me.voter_change.tick(now, me.era, &voters, lists, presence);
        match action {
            Some(VoterAction::Write(next)) => self.write_voters(&voters, next),
            Some(VoterAction::RequestAcknowledgements) => {
                if self.disabled == DisabledRule::AcknowledgedVoters {
                    let next = voters.settled(self.era, &BTreeMap::new());
                    return self.write_voters(&voters, next);
                }
                for voter in voters.members().map(|id| number_of(id)) {
                    let voters = voters.clone();
                    let message = Message::VotersChange { from: number, voters };
                    if voter == number {
                        self.send(number, message);
                    } else {
                        self.send_peer(number, voter, message);
                    }
                }
            }
            None => {}
        }
    }

    /// Writes voters to the store, if it still has those that were known before.
    pub(super) fn write_voters(&mut self, known: &VoterSet, next: VoterSet) {
        if self.stored.voters != *known {
            return;
        }
        self.voter_changes += 1;
        let voters = match self.disabled {
            DisabledRule::JointVoters => VoterSet { former: Vec::new(), ..next },
            _ => next,
        };
        self.put(StoredOrder { voters, ..self.stored.clone() });
    }

    /// Loses all voters, and lets other instances join. The voters end, or they are cut off
    /// from the store and from the others, with a part of the servers.
    pub(super) fn lose_all_voters(&mut self) {
        if self.random.per_mille(300) {
            return self.begin_outage();
        }
        self.losses += 1;
        self.partitioned_until_ms = self.now_ms + 2_000 + self.random.below(6_000);
        self.next_loss_ms = Some(self.partitioned_until_ms + self.random.below(3_000));
        // After some losses the voters are kept for long.
        if self.random.per_mille(700) {
            self.changes_from_ms = self.partitioned_until_ms;
        }
        let is_cut = self.random.per_mille(800);
        let reaches_store = self.random.per_mille(500);
        let voters = self.stored.voters.clone();
        for number in 0..INSTANCES {
            if voters.contains(&instance_id(number)) {
                let voter = &mut self.instances[number];
                voter.is_gone |= !is_cut;
                (voter.side, voter.reaches_store) = (1, reaches_store);
            } else if self.random.per_mille(800) {
                self.instances[number] = self.start_instance(number);
                self.recorded[number] = true;
            }
        }
        if is_cut {
            self.servers.divide(&mut self.random);
        }
    }

    /// Lets the store and the primary fail until all instances restart.
    ///
    /// An instance takes the duty before, as one does soon after each replacement.
    pub(super) fn begin_outage(&mut self) {
        self.losses += 1;
        let restart_ms = self.now_ms + 1_000 + self.random.below(3_000);
        self.restart_ms = Some(restart_ms);
        self.partitioned_until_ms = restart_ms;
        self.next_loss_ms = Some(restart_ms + 8_000 + self.random.below(3_000));
        for instance in &mut self.instances {
            (instance.side, instance.reaches_store) = (0, true);
        }
        let number = self.any_instance();
        if !self.instances[number].is_gone
            && let Some(next) = self.next_order(number)
        {
            self.put(next);
            self.instances[number].known_order = self.stored.clone();
        }
        self.store_up = false;
        self.servers.unite();
        self.servers.fail_primary();
    }

    /// Restarts all instances that are not gone, under their names, with the store and all servers.
    pub(super) fn restart_all(&mut self) {
        self.store_up = true;
        self.servers.unite();
        for number in 0..INSTANCES {
            if !self.instances[number].is_gone {
                self.instances[number] = self.start_instance(number);
            }
        }
    }

    /// Whether a primary is replaced without the store in this run.
    pub(super) fn replaces_without_store(&self) -> bool {
        let rules = [DisabledRule::WrittenOrders, DisabledRule::WrittenOrdersWithinBound];
        rules.contains(&self.disabled)
    }

    /// Whether a voter promises for an order that the store does not have.
    pub(super) fn promises_unwritten(&self, number: usize) -> bool {
        let me = &self.instances[number];
        let is_recent = me.store_read.as_ref().is_some_and(|(asked_ms, stored)| {
            let voters = me.group.primary_lease().voters();
            asked_ms + UNWRITTEN_BOUND_MS > self.now_ms
                && !stored.admits_readers
                && stored.voters.version == voters.version
        });
        self.disabled == DisabledRule::WrittenOrdersWithinBound && is_recent
    }

    /// Whether a majority of the voters is on the same side of a partition as an instance.
    pub(super) fn has_voters_on_its_side(&self, number: usize) -> bool {
        let is_there = |id: &InstanceId| {
            let voter = &self.instances[number_of(id)];
            !voter.is_gone && voter.side == self.instances[number].side
        };
        self.stored.voters.has_majority(is_there)
    }

    /// Lets the store admit readers if this instance lacks the lease. Otherwise it admits them or
    /// does not at random, since no rule depends on the reason.
    pub(super) fn change_readers(&mut self, number: usize) {
        let me = &self.instances[number];
        let group = &me.group;
        let lacks_lease = group.leader().is_some_and(|leader| {
            leader.term > 0 && !group.primary_lease().holds(at(self.now_ms), leader.term)
        });
        let is_used = self.disabled != DisabledRule::AdmittedReaders;
        if !is_used || !self.store_up || !me.reaches_store || me.era != self.era {
            return;
        }
        let admits_readers = lacks_lease || self.random.per_mille(500);
        if self.stored.admits_readers != admits_readers {
            self.put(StoredOrder { admits_readers, ..self.stored.clone() });
        }
    }

    pub(super) fn acknowledge_voters(&mut self, number: usize, voters: &VoterSet) -> Option<Term> {
        let now = at(self.now_ms);
        self.instances[number].group.primary_lease_mut().acknowledge_voters(now, voters)
    }
}
