//! Sends and answers heartbeats.
//!
//! By heartbeats instances detect which others are running, and exchange their demand for
//! connections, the versions of their records, log positions of primaries, and grants of
//! leases on the terms of primaries. Each round of heartbeats also triggers the periodic
//! work on the records of instances.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use chervilwharf_lib::engine_protos::GroupDemand;
use chervilwharf_lib::engine_protos::Heartbeat;
use chervilwharf_lib::engine_protos::PositionSample;
use chervilwharf_lib::engine_protos::engine_frame::Body;
use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::fleet::HEARTBEAT_INTERVAL;
use chervilwharf_lib::fleet::InstanceRecord;
use chervilwharf_lib::id::GroupId;
use chervilwharf_lib::id::InstanceId;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::position::Position;

use crate::engine::clock::now;
use crate::engine::directory::Directory;
use crate::engine::directory::Revision;
use crate::engine::event_log;
use crate::engine::instance_control;
use crate::engine::instance_control::complete_voters;
use crate::engine::peer_records::pull_directory;
use crate::engine::peer_records::push_records;
use crate::engine::primary_lease_control;
use crate::engine::records;
use crate::engine::shard::Shard;
use crate::engine::shared::Engine;
use crate::engine::voter_control::send_voters;

/// A longer time between two rounds means that the process of this instance was paused.
const PROCESS_PAUSE_THRESHOLD: Duration = Duration::from_millis(1_500);

/// Shortest time between two rounds of heartbeats while the lease on the term of a primary
/// is needed and missing: the heartbeats of 7 instances then take at most a twentieth of
/// their processor time.
const MIN_RENEWAL_INTERVAL: Duration = Duration::from_millis(50);

/// Sends rounds of heartbeats; never returns.
pub async fn send_heartbeats(engine: Arc<Engine>, directory: Arc<dyn Directory>) {
    let mut last_round = now();
    loop {
        tokio::select! {
            () = tokio::time::sleep(HEARTBEAT_INTERVAL) => {}
            // Grants of leases arrive with the replies.
            () = engine.lease_renewal().notified() => tokio::time::sleep(MIN_RENEWAL_INTERVAL).await,
        }
        let at = now();
        if at > last_round + PROCESS_PAUSE_THRESHOLD {
            let paused_for = at.saturating_sub(last_round);
            event_log::emit(&Event::new(EventKind::StoodStill).with_ms("for_ms", paused_for));
            engine.with_fleet(|fleet| fleet.process_paused(at));
            engine.peer_contacts().clear();
        }
        last_round = at;
        for target in engine.heartbeat_targets() {
            let engine = engine.clone();
            tokio::spawn(async move { heartbeat(&engine, &target).await });
        }
        if engine.lacks_voter_records() {
            tokio::spawn(complete_voters(engine.clone(), directory.clone()));
        }
        tokio::spawn(primary_lease_control::renew_leases_from_store(
            engine.clone(),
            directory.clone(),
        ));
        engine.recompute_assignments();
        engine.close_unused_links();
        instance_control::remove_unresponsive(&engine, &directory, at);
        instance_control::restore_unlisted(&engine, &directory, at);
    }
}

/// An instance to send a heartbeat to.
struct HeartbeatTarget {
    record: InstanceRecord,
    /// The groups that this instance uses and for which the other instance votes or holds
    /// connections.
    shared_groups: Vec<Arc<Shard>>,
}

async fn heartbeat(engine: &Arc<Engine>, target: &HeartbeatTarget) {
    let asked_at = now();
    let peer = &target.record;
    let request = Body::Heartbeat(engine.heartbeat(&target.shared_groups));
    let answer = engine.peers().ask(peer.peer_address, request).await;
    let Ok(Body::HeartbeatReply(reply)) = answer else {
        engine.peer_contacts().record_no_answer(asked_at, &peer.id);
        return;
    };
    engine.peer_contacts().record_answer(asked_at, &peer.id);
    engine.apply_heartbeat(&reply);
    engine.record_loads(asked_at, &reply);
    for shard in engine.take_grants(asked_at, &peer.id, &reply.grants, reply.store_era) {
        send_voters(engine, &shard, &engine.voters(shard.id()), &peer.id).await;
        // The other instance grants under these voters from now on.
        engine.lease_renewal().notify_one();
    }
    engine.apply_position_samples(asked_at, &reply.samples);
    if reply.lacks_records {
        push_records(engine, peer).await;
    }
    if !engine.should_pull_from(&reply) {
        return;
    }
    // One pull at a time: all peers report the same change at about the same time.
    if let Some(_pulling) = engine.begin_pull() {
        pull_directory(engine, peer).await;
    }
}

impl Engine {
    /// Closes the links to instances whose record is gone, and drops their state.
    fn close_unused_links(&self) {
        if !self.has_new_instance_changes() {
            return;
        }
        let (ids, addresses): (Vec<_>, Vec<_>) = self.with_fleet(|fleet| {
            fleet.others().map(|record| (record.id.clone(), record.peer_address)).unzip()
        });
        let ids: HashSet<_> = ids.into_iter().collect();
        self.peer_contacts().keep_only(|id| ids.contains(id));
        self.loads().lock().keep_only(|id| ids.contains(id));
        self.peers().keep_only(&addresses);
        self.statement_links().keep_only(&addresses);
    }

    /// Instances to send heartbeats to: those that this instance watches, a few distant ones
    /// by which news spread, and those that vote on or hold connections to the groups that it
    /// uses.
    fn heartbeat_targets(&self) -> Vec<HeartbeatTarget> {
        let mut targets: BTreeMap<InstanceId, HeartbeatTarget> = BTreeMap::new();
        let target = |record| HeartbeatTarget { record, shared_groups: Vec::new() };
        let contacts = self.with_fleet(|fleet| [fleet.watched(), fleet.distant_contacts()]);
        for record in contacts.into_iter().flatten() {
            targets.insert(record.id.clone(), target(record));
        }
        for shard in self.used_shards() {
            for record in self.voters_and_co_holders(shard.id()) {
                let shared = targets.entry(record.id.clone()).or_insert_with(|| target(record));
                shared.shared_groups.push(shard.clone());
            }
        }
        targets.into_values().collect()
    }

    /// The other instances that vote on a group or hold connections to it.
    #[must_use]
    pub fn voters_and_co_holders(&self, group: &GroupId) -> Vec<InstanceRecord> {
        let mut records = self.co_holders(group);
        let voters = self.voters(group);
        // An instance without the voters learns them from those that should vote.
        let preferred =
            if voters.is_known() { Arc::default() } else { self.preferred_voters(group) };
        let asked = voters.members().chain(preferred.iter());
        let missing = asked.filter(|id| !records.iter().any(|record| record.id == **id));
        let missing: Vec<_> = missing.cloned().collect();
        records.extend(self.with_fleet(|fleet| {
            let record = |id: &InstanceId| fleet.record(id).cloned();
            missing.iter().filter_map(record).collect::<Vec<_>>()
        }));
        records
    }

    /// The heartbeat of this instance to one that shares these groups.
    ///
    /// It contains the demand for shared groups only. With all of 64 groups in each
    /// heartbeat, 31 instances sent 600 KB a second each, and the traffic grew with the
    /// square of the number of instances.
    #[must_use]
    pub fn heartbeat(&self, shared_groups: &[Arc<Shard>]) -> Heartbeat {
        let at = now();
        let demand = |shard: &Arc<Shard>| GroupDemand {
            group: shard.id().to_string(),
            wanted: shard.demand(at),
            term: shard.with_group(|group| group.leader().map_or(0, |leader| leader.term)),
            voters_version: self.voters_version(shard),
        };
        let changed_at = self.servers_changed_at();
        let servers_revision = self.servers_revision();
        let configuration_revision = self.configuration_revision();
        Heartbeat {
            instance: self.me().id.to_string(),
            life: self.me().life,
            leaving: self.is_stopping(),
            configuration_version: self.catalog().version,
            servers_revision: changed_at.number,
            servers_era: changed_at.era,
            store_era: self.store_era().latest(),
            store_read_ms_ago: Some(records::milliseconds_above(self.store_reading_age())),
            configuration_revision: configuration_revision.number,
            configuration_era: configuration_revision.era,
            servers_known_revision: servers_revision.number,
            samples: Vec::new(),
            grants: Vec::new(),
            lacks_records: false,
            demands: shared_groups.iter().map(demand).collect(),
            loads: self.load_reports(shared_groups.iter().map(Arc::as_ref)),
        }
    }

    /// The reply to a heartbeat, with the log positions of primaries and the grants of
    /// leases for the groups that the heartbeat names.
    #[must_use]
    pub fn heartbeat_reply(&self, request: &Heartbeat) -> Heartbeat {
        let catalog = self.catalog();
        let shards: Vec<_> = request
            .demands
            .iter()
            .map(|demand| GroupId::from(demand.group.as_str()))
            .filter(|group| catalog.groups.contains_key(group))
            .map(|group| self.shard(&group))
            .collect();
        let at = now();
        let sample = |shard: &Arc<Shard>| {
            let (asked_at, position) = shard.with_group(|group| group.newest_sample())?;
            let age_ms = records::milliseconds_above(at.saturating_sub(asked_at));
            let group = shard.id().to_string();
            Some(PositionSample { group, term: position.term, index: position.index, age_ms })
        };
        let samples = shards.iter().filter_map(sample).collect();
        let grants = self.grants(at, &request.instance, &request.demands);
        let lacks_records = self.take_records_request();
        Heartbeat { samples, grants, lacks_records, ..self.heartbeat(&shards) }
    }

    /// Applies samples of the log positions of primaries, which another instance sent in
    /// reply to a heartbeat of `asked_at`.
    ///
    /// The reply was written after the heartbeat was sent. So `asked_at` minus the age of a
    /// sample is never later than the time at which it was taken, however long the messages
    /// took: a sample is dated too early at worst, which is safe.
    pub fn apply_position_samples(&self, asked_at: Moment, samples: &[PositionSample]) {
        for sample in samples {
            let Some(sampled_at) = asked_at.checked_sub(Duration::from_millis(sample.age_ms))
            else {
                continue;
            };
            let position = Position::new(sample.term, sample.index);
            let shard = self.shard(&sample.group.as_str().into());
            shard.with_group(|group| group.observe_reported_position(sampled_at, position));
        }
    }

    /// Applies a heartbeat or the reply to one, and records that its sender responds.
    pub fn apply_heartbeat(&self, heartbeat: &Heartbeat) {
        self.note_store_era(heartbeat.store_era, &heartbeat.instance);
        let read_ago = heartbeat.store_read_ms_ago.map(Duration::from_millis);
        if let Some(read_at) = read_ago.and_then(|ago| now().checked_sub(ago)) {
            self.note_store_reading(read_at);
        }
        let configuration_revision =
            Revision::new(heartbeat.configuration_era, heartbeat.configuration_revision);
        self.note_configuration_revision(heartbeat.configuration_version, configuration_revision);
        self.note_servers_revision(
            Revision::new(heartbeat.servers_era, heartbeat.servers_revision),
            Revision::new(heartbeat.servers_era, heartbeat.servers_known_revision),
        );
        let demands = heartbeat.demands.iter();
        let demands = demands.map(|demand| (demand.group.as_str().into(), demand.wanted)).collect();
        self.with_fleet(|fleet| {
            fleet.record_message(now(), &heartbeat.instance, heartbeat.leaving);
            fleet.set_demands(&heartbeat.instance, demands);
        });
    }
}
