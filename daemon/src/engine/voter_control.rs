//! Maintains the voters of the groups, which grant leases on the primaries.
//!
//! The record of a group's duty in the platform's store has its voters. The instance that is
//! first in the succession to the duty changes them as instances join and leave: it writes
//! the next set, collects the acknowledgements of the voters, and completes the change. All
//! instances learn of a set from the store, from each other's heartbeats, or from requests
//! that were made under it. [`VoterSet`] has the rules.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;

use chervilwharf_lib::engine_protos;
use chervilwharf_lib::engine_protos::VotersChange;
use chervilwharf_lib::engine_protos::VotersChangeReply;
use chervilwharf_lib::engine_protos::engine_frame::Body;
use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::fleet::InstanceRecord;
use chervilwharf_lib::holders::preferred_voters;
use chervilwharf_lib::id::GroupId;
use chervilwharf_lib::id::InstanceId;
use chervilwharf_lib::voter_change::PreferredVoters;
use chervilwharf_lib::voter_change::Presence;
use chervilwharf_lib::voter_change::VoterAction;
use chervilwharf_lib::voter_change::VoterChange;
use chervilwharf_lib::voter_change::needs_handover;
use chervilwharf_lib::voter_set::VoterSet;
use chervilwharf_lib::voter_set::VotersVersion;
use futures::future::join_all;

use crate::engine::clock::now;
use crate::engine::directory::Directory;
use crate::engine::duty_control;
use crate::engine::event_log;
use crate::engine::leader_control::ReplacingGuard;
use crate::engine::replacement::Replacer;
use crate::engine::shard::Shard;
use crate::engine::shared::Engine;

/// The instances that should vote on each group, and the changes of voters that this
/// instance drives.
#[derive(Default)]
pub struct VoterControl {
    preferred: Mutex<PreferredLists>,
    changes: Mutex<HashMap<GroupId, VoterChange>>,
}

#[derive(Default)]
struct PreferredLists {
    /// `Fleet::changes`, whether this instance has a record, and whether it is stopping, when
    /// the lists were last compared with the present instances.
    compared_at: Option<(u64, bool, bool)>,
    /// Out of all instances that have a record.
    recorded: ComputedVoters,
    /// Out of those that are not leaving.
    staying: ComputedVoters,
}

/// The instances that should vote on each group, out of some.
#[derive(Default)]
struct ComputedVoters {
    from: Vec<InstanceRecord>,
    by_group: HashMap<GroupId, Arc<Vec<InstanceId>>>,
}

impl ComputedVoters {
    /// Discards the lists if they were computed from other instances.
    fn set_instances(&mut self, from: Vec<InstanceRecord>) {
        if self.from != from {
            *self = Self { from, by_group: HashMap::new() };
        }
    }

    fn of(&mut self, group: &GroupId) -> Arc<Vec<InstanceId>> {
        if let Some(known) = self.by_group.get(group) {
            return known.clone();
        }
        let mut computed = preferred_voters(group, &self.from);
        computed.sort_unstable();
        let computed = Arc::new(computed);
        self.by_group.insert(group.clone(), computed.clone());
        computed
    }
}

impl VoterControl {
    fn with_change<R>(&self, group: &GroupId, f: impl FnOnce(&mut VoterChange) -> R) -> R {
        let mut changes = self.changes.lock().expect("never poisoned");
        f(changes.entry(group.clone()).or_default())
    }
}

/// Performs what is due to change the voters of a group. `rank` is the place of this instance
/// in the succession to the duty.
pub fn maintain_voters(replacer: &Replacer, shard: &Arc<Shard>, rank: Option<usize>) {
    let engine = &replacer.engine;
    let era = engine.store_era().latest();
    let lacks_records = engine.has_servers_outage()
        || engine.with_duties(|duties| duties.may_lack_order(shard.id(), era));
    if rank != Some(0) || lacks_records {
        return;
    }
    let voters = engine.voters(shard.id());
    let (recorded, staying) =
        (engine.preferred_voters(shard.id()), engine.staying_voters(shard.id()));
    let preferred = PreferredVoters { recorded: &recorded, staying: &staying };
    let (action, awaited) = engine.voter_control().with_change(shard.id(), |change| {
        let action = change.tick(now(), era, &voters, preferred, |id| engine.presence(id));
        (action, change.newly_awaited(now(), &voters))
    });
    if let Some(awaited) = awaited {
        let ids: Vec<_> = awaited.iter().map(ToString::to_string).collect();
        let event = Event::new(EventKind::VotersAwaited).with("group", shard.id());
        event_log::emit(&event.with("version", voters.version).with("awaited", ids.join(", ")));
    }
    match action {
        Some(VoterAction::Write(next)) => {
            // A replacement writes the same record.
            let Some(guard) = ReplacingGuard::new(engine, shard.id()) else {
                return;
            };
            let (replacer, group) = (replacer.clone(), shard.id().clone());
            tokio::spawn(async move {
                write_voters(&replacer.engine, &*replacer.directory, &group, next).await;
                drop(guard);
            });
        }
        Some(VoterAction::RequestAcknowledgements) => {
            tokio::spawn(request_acknowledgements(engine.clone(), shard.clone(), voters));
        }
        None => {}
    }
}

async fn write_voters(engine: &Engine, directory: &dyn Directory, group: &GroupId, next: VoterSet) {
    let event = Event::new(EventKind::VotersWritten).with("group", group);
    let event = event.with("version", next.version).with_count("former", next.former.len());
    let written = duty_control::change_voters(engine, directory, group, next).await;
    event_log::emit(&event.with_some("failed", written.err()));
}

/// Sends a set of voters to all of them, and records which of them acknowledge it.
async fn request_acknowledgements(engine: Arc<Engine>, shard: Arc<Shard>, voters: VoterSet) {
    let requests = voters.members().map(|voter| send_voters(&engine, &shard, &voters, voter));
    join_all(requests).await;
}

/// Sends a set of voters to an instance, and records its acknowledgement.
pub async fn send_voters(engine: &Engine, shard: &Arc<Shard>, voters: &VoterSet, to: &InstanceId) {
    let request = VotersChange {
        group: shard.id().to_string(),
        voters: Some(encode_voters(voters)),
        account_shard: None,
    };
    let reply = if *to == engine.me().id {
        engine.acknowledge_voters(&request)
    } else {
        let Some(record) = engine.with_fleet(|fleet| fleet.record(to).cloned()) else {
            return;
        };
        match engine.peers().ask(record.peer_address, Body::VotersChange(request)).await {
            Ok(Body::VotersChangeReply(reply)) => reply,
            // It is asked again.
            Ok(_) | Err(_) => return,
        }
    };
    if let Some(later) = reply.later_voters {
        engine.adopt_voters(shard, &decode_voters(later));
    }
    if reply.acknowledged {
        engine.voter_control().with_change(shard.id(), |change| {
            change.acknowledged(now(), voters, to, reply.retired_term);
        });
    }
}

impl Engine {
    /// The voters of a group, as far as this instance knows.
    #[must_use]
    pub fn voters(&self, group: &GroupId) -> VoterSet {
        let shard = self.shard(group);
        self.adopt_stored_voters(&shard);
        shard.with_group(|group| group.primary_lease().voters().clone())
    }

    /// The version of the voters of a group, as far as this instance knows; 0 if it knows none.
    #[must_use]
    pub fn voters_version(&self, shard: &Arc<Shard>) -> VotersVersion {
        self.adopt_stored_voters(shard);
        shard.with_group(|group| group.primary_lease().voters().version)
    }

    /// The instances that should vote on a group.
    #[must_use]
    pub fn preferred_voters(&self, group: &GroupId) -> Arc<Vec<InstanceId>> {
        self.discard_outdated_preferences();
        self.voter_control().preferred.lock().expect("never poisoned").recorded.of(group)
    }

    /// The instances that should vote on a group, out of those that are not leaving.
    #[must_use]
    pub fn staying_voters(&self, group: &GroupId) -> Arc<Vec<InstanceId>> {
        self.discard_outdated_preferences();
        self.voter_control().preferred.lock().expect("never poisoned").staying.of(group)
    }

    /// Whether an instance, possibly this one, takes part.
    #[must_use]
    pub fn presence(&self, id: &InstanceId) -> Presence {
        match (self.is_recorded(id), self.is_leaving(id)) {
            (false, _) => Presence::Absent,
            (true, true) => Presence::Leaving,
            (true, false) => Presence::Staying,
        }
    }

    /// Whether an instance, possibly this one, is leaving as planned.
    #[must_use]
    pub fn is_leaving(&self, id: &InstanceId) -> bool {
        if *id == self.me().id {
            return self.is_stopping();
        }
        self.with_fleet(|fleet| fleet.is_leaving(id))
    }

    /// Whether this instance votes on a group or on the keeper of a shard of accounts, and so
    /// few of the voters stay that these have to take over before it ends.
    #[must_use]
    pub fn has_votes_to_hand_over(&self) -> bool {
        let me = &self.me().id;
        // Without others that stay there is nobody to take over.
        let has_others =
            self.with_fleet(|fleet| fleet.others().any(|record| !fleet.is_leaving(&record.id)));
        let has_to = |voters: &VoterSet| {
            voters.contains(me) && needs_handover(voters, |id| self.presence(id))
        };
        has_others
            && (self.shards().iter().any(|shard| {
                has_to(&shard.with_group(|group| group.primary_lease().voters().clone()))
            }) || self.keeper_voter_sets().iter().any(has_to))
    }

    /// Whether a voter of a group in use has no record here.
    #[must_use]
    pub fn lacks_voter_records(&self) -> bool {
        let lacks_any = |shard: &Arc<Shard>| {
            let voters = shard.with_group(|group| group.primary_lease().voters().clone());
            voters.members().any(|id| *id != self.me().id && !self.is_recorded(id))
        };
        self.used_shards().iter().any(lacks_any)
    }

    /// Whether an instance has a record in the store.
    #[must_use]
    pub fn is_recorded(&self, id: &InstanceId) -> bool {
        if *id == self.me().id {
            return self.is_registered();
        }
        self.with_fleet(|fleet| fleet.record(id).is_some())
    }

    /// All instances that have a record in the store, ordered by id. While this instance
    /// has none, it is not included.
    #[must_use]
    pub fn recorded(&self) -> Vec<InstanceRecord> {
        let mut recorded: Vec<_> = self.with_fleet(|fleet| fleet.others().cloned().collect());
        if self.is_registered() {
            recorded.push(self.me().clone());
        }
        recorded.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        recorded
    }

    /// Discards the lists of preferred voters if the recorded instances have changed.
    fn discard_outdated_preferences(&self) {
        let changes = self.with_fleet(|fleet| fleet.changes());
        let compared_at = Some((changes, self.is_registered(), self.is_stopping()));
        let preferred = &self.voter_control().preferred;
        if preferred.lock().expect("never poisoned").compared_at == compared_at {
            return;
        }
        let recorded = self.recorded();
        let staying = recorded.iter().filter(|record| !self.is_leaving(&record.id));
        let staying: Vec<_> = staying.cloned().collect();
        let mut preferred = preferred.lock().expect("never poisoned");
        preferred.compared_at = compared_at;
        preferred.staying.set_instances(staying);
        preferred.recorded.set_instances(recorded);
    }

    /// Adopts the voters of all groups in use that the known duties name.
    pub fn update_voters(&self) {
        for shard in self.used_shards() {
            self.adopt_stored_voters(&shard);
        }
    }

    /// Adopts the voters that the known duty of a group names.
    pub fn adopt_stored_voters(&self, shard: &Arc<Shard>) {
        let version = shard.with_group(|group| group.primary_lease().voters().version);
        let stored = self.with_duties(|duties| {
            let record = duties.record(shard.id())?;
            (record.voters.version > version).then(|| record.voters.clone())
        });
        if let Some(stored) = stored {
            self.adopt_voters(shard, &stored);
        }
    }

    /// Replaces the voters of a group by later ones.
    pub fn adopt_voters(&self, shard: &Arc<Shard>, voters: &VoterSet) {
        let mut is_adopted = false;
        shard.change_lease(|primary_lease| {
            is_adopted = primary_lease.adopt_voters(now(), voters);
        });
        if !is_adopted {
            return;
        }
        // Leases have to be granted anew under these voters.
        self.lease_renewal().notify_one();
        if self.is_holder(shard.id()) {
            let event = Event::new(EventKind::VotersAdopted).with("group", shard.id());
            let event = event.with("version", voters.version);
            let event = event.with_count("voters", voters.current.len());
            event_log::emit(&event.with_count("former", voters.former.len()));
        }
    }

    /// Handles a set of voters that another instance sent, and acknowledges it if this
    /// instance takes part in no decision under earlier voters any more.
    #[must_use]
    pub fn acknowledge_voters(&self, change: &VotersChange) -> VotersChangeReply {
        let shard = self.shard(&change.group.as_str().into());
        let voters = change.voters.clone().map(decode_voters).unwrap_or_default();
        self.adopt_voters(&shard, &voters);
        shard.with_group(|group| {
            let primary_lease = group.primary_lease_mut();
            let retired = primary_lease.acknowledge_voters(now(), &voters);
            VotersChangeReply {
                acknowledged: retired.is_some(),
                retired_term: retired.unwrap_or_default(),
                later_voters: later_voters(primary_lease.voters(), voters.version),
            }
        })
    }
}

/// Encodes the voters `known` for an instance that has those of `version`, if they are later.
#[must_use]
pub fn later_voters(known: &VoterSet, version: VotersVersion) -> Option<engine_protos::VoterSet> {
    (known.version > version).then(|| encode_voters(known))
}

/// Encodes the voters of a group.
#[must_use]
pub fn encode_voters(voters: &VoterSet) -> engine_protos::VoterSet {
    let texts = |ids: &[InstanceId]| ids.iter().map(ToString::to_string).collect();
    engine_protos::VoterSet {
        version: voters.version,
        current: texts(&voters.current),
        former: texts(&voters.former),
        retired_term: voters.retired,
    }
}

/// Decodes the voters of a group.
#[must_use]
pub fn decode_voters(voters: engine_protos::VoterSet) -> VoterSet {
    let ids = |texts: Vec<String>| texts.into_iter().map(InstanceId::from).collect();
    VoterSet {
        version: voters.version,
        current: ids(voters.current),
        former: ids(voters.former),
        retired: voters.retired_term,
    }
}
