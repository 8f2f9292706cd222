//! Keeps this instance's record in the platform's store, and knows which
//! other instances are alive.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use chervilwharf_lib::engine_protos::DirectoryPull;
use chervilwharf_lib::engine_protos::DirectoryState;
use chervilwharf_lib::engine_protos::GroupDemand;
use chervilwharf_lib::engine_protos::Heartbeat;
use chervilwharf_lib::engine_protos::PositionSample;
use chervilwharf_lib::engine_protos::engine_frame::Body;
use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::fleet::Fleet;
use chervilwharf_lib::fleet::HEARTBEAT_INTERVAL;
use chervilwharf_lib::fleet::InstanceRecord;
use chervilwharf_lib::id::GroupId;
use chervilwharf_lib::id::InstanceId;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::position::Position;
use chervilwharf_lib::revision::Era;
use futures::future::join_all;
use rand::seq::IndexedRandom;

use crate::engine::clock::now;
use crate::engine::configuration_control::ConfigurationSource;
use crate::engine::directory::Change;
use crate::engine::directory::Currency;
use crate::engine::directory::Directory;
use crate::engine::directory::DirectoryError;
use crate::engine::directory::Entry;
use crate::engine::directory::Listing;
use crate::engine::directory::Record;
use crate::engine::directory::RecordKind;
use crate::engine::directory::Revision;
use crate::engine::directory::WriteError;
use crate::engine::event_log;
use crate::engine::follow::Follower;
use crate::engine::records;
use crate::engine::right_control;
use crate::engine::shard::Shard;
use crate::engine::shared::Engine;

/// Tells an engine which instances there are.
pub struct InstanceFollower {
    engine: Arc<Engine>,
    /// Era of the last list; `None` before the first one.
    listed_era: Option<Era>,
}

impl InstanceFollower {
    /// Feeds an engine.
    #[must_use]
    pub fn new(engine: Arc<Engine>) -> Self {
        Self { engine, listed_era: None }
    }

    fn take_all(&mut self, records: Vec<InstanceRecord>, era: Era) {
        let before = self.listed_era.replace(era);
        let update = if before.is_some_and(|before| before < era) {
            Fleet::replace_by_copy
        } else {
            Fleet::replace
        };
        self.engine.list_instances(records, update);
        if era == 0 || self.engine.is_fleet_known() {
            self.engine.know_fleet();
        } else {
            tokio::spawn(go_on_with_newest_records(self.engine.clone()));
        }
    }
}

/// Instances that one asks for newer records when it starts.
const ASKED_AT_START: usize = 3;

/// How long an instance waits at its start for another one that knows all, after a
/// copy of the store that may lack some: those that are alive are listed again by then.
const LISTED_AGAIN: Duration = Duration::from_secs(3);

/// Pause between two rounds of asking others at the start.
const ASK_PAUSE: Duration = Duration::from_millis(100);

/// Asks some of the others what they know before this instance goes on.
///
/// A store that came back from a copy can hold a configuration that others have
/// succeeded already, and lack instances that vote; until they are written again, one
/// that starts would serve by it, and take fewer votes for most.
async fn go_on_with_newest_records(engine: Arc<Engine>) {
    while !engine.is_fleet_known() {
        let others: Vec<_> = engine.with_fleet(|fleet| fleet.others().cloned().collect());
        let asked = others.choose_multiple(&mut rand::rng(), ASKED_AT_START);
        let told = join_all(asked.map(|peer| pull_directory(&engine, peer))).await;
        // A duty is taken in an era when all that are alive are listed again.
        let is_settled =
            engine.with_duties(|duties| duties.is_any_taken_in(engine.store_era().latest()));
        if told.contains(&true) || is_settled || engine.runs_for(LISTED_AGAIN) {
            return engine.know_fleet();
        }
        tokio::time::sleep(ASK_PAUSE).await;
    }
}

fn instance_of(entry: Entry) -> Option<InstanceRecord> {
    match entry.record {
        Record::Instance(record) => Some(record),
        _ => None,
    }
}

impl Follower for InstanceFollower {
    fn kind(&self) -> RecordKind {
        RecordKind::Instances
    }

    fn currency(&self) -> Currency {
        Currency::MayBeOld
    }

    fn replace(&mut self, listing: Listing) {
        self.engine.note_store_answered();
        let mine = listing.entries.iter().find(|entry| *entry.name == *self.engine.me().id);
        let earlier = mine.map(|entry| entry.revision);
        let mut records: Vec<_> = listing.entries.into_iter().filter_map(instance_of).collect();
        records.extend(self.engine.with_fleet(|fleet| {
            let known = listing.unreadable.iter().filter_map(|id| fleet.record(id));
            known.cloned().collect::<Vec<_>>()
        }));
        let me = self.engine.me();
        if !records.contains(me) {
            self.engine.set_earlier_record(earlier);
            self.engine.wants_record().notify_one();
        }
        self.take_all(records, listing.revision.era);
    }

    fn change(&mut self, _revision: Revision, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::Present(entry) => {
                    if let Some(record) = instance_of(entry) {
                        self.engine.with_fleet(|fleet| fleet.present(now(), record));
                    }
                }
                Change::Removed(id) if id == self.engine.me().id => {
                    self.engine.wants_record().notify_one();
                }
                Change::Removed(id) => self.engine.with_fleet(|fleet| fleet.removed(&id)),
            }
        }
        self.engine.share_connections();
    }
}

/// Pause before the record is written again after a failure.
const REGISTER_PAUSE: Duration = Duration::from_millis(400);

/// Keeps the record of this instance in the store until it stops.
pub async fn keep_record(engine: Arc<Engine>, directory: Arc<dyn Directory>) {
    loop {
        engine.wants_record().notified().await;
        while !engine.is_stopping() {
            match write_record(&engine, &*directory).await {
                Ok(()) => break,
                Err(error) => {
                    let event = Event::new(EventKind::InstanceRecordFailed);
                    event_log::emit(&event.with("reason", error));
                    tokio::time::sleep(REGISTER_PAUSE).await;
                }
            }
        }
    }
}

async fn write_record(engine: &Engine, directory: &dyn Directory) -> Result<(), WriteError> {
    let me = engine.me();
    let record = Record::Instance(me.clone());
    // Each call is paid for: a record of an earlier life is replaced by the
    // revision that was listed, and read only by a refusal.
    let earlier = engine.take_earlier_record();
    match directory.write(&me.id, &record, earlier).await {
        Err(WriteError::Conflict(Some(present))) if present.record == record => {
            engine.set_registered();
            return Ok(());
        }
        Err(WriteError::Conflict(Some(present))) => {
            directory.write(&me.id, &record, Some(present.revision)).await?;
        }
        Err(WriteError::Conflict(None)) => {
            match directory.get(RecordKind::Instances, &me.id).await {
                Err(DirectoryError::RecordUnreadable(revision)) => {
                    directory.write(&me.id, &record, Some(revision)).await?;
                }
                _ => return Err(WriteError::Conflict(None)),
            }
        }
        written => {
            written?;
        }
    }
    engine.set_registered();
    event_log::emit(&Event::new(EventKind::InstanceRegistered).with("life", me.life));
    Ok(())
}

/// Removes the record at a planned stop, so that the others share the
/// connections of this instance without waiting for it to be silent.
pub async fn withdraw_record(engine: &Engine, directory: &dyn Directory) {
    let me = engine.me();
    let removed = match directory.get(RecordKind::Instances, &me.id).await {
        Ok(Some(entry)) => directory.remove(RecordKind::Instances, &me.id, entry.revision).await,
        Ok(None) => Ok(()),
        Err(error) => Err(WriteError::NotDone(error)),
    };
    if let Err(error) = removed {
        // Others notice the silence instead.
        event_log::emit(&Event::new(EventKind::InstanceRecordFailed).with("reason", error));
    }
}

/// A pause between two rounds longer than this means that this instance stood
/// still itself.
const STOOD_STILL: Duration = Duration::from_millis(1_500);

/// Shortest pause between two rounds of heartbeats, where the right to use a
/// primary is wanted and missing: what 7 instances send then is a twentieth of
/// their processor at most.
const RENEWAL_PAUSE: Duration = Duration::from_millis(50);

/// Sends heartbeats for ever.
pub async fn send_heartbeats(engine: Arc<Engine>, directory: Arc<dyn Directory>) {
    let mut last_round = now();
    loop {
        tokio::select! {
            () = tokio::time::sleep(HEARTBEAT_INTERVAL) => {}
            // Grants come with the replies.
            () = engine.renewal().notified() => tokio::time::sleep(RENEWAL_PAUSE).await,
        }
        let at = now();
        if at > last_round + STOOD_STILL {
            let still = at.saturating_sub(last_round);
            event_log::emit(&Event::new(EventKind::StoodStill).with_ms("for_ms", still));
            engine.with_fleet(|fleet| fleet.stood_still(at));
            engine.contacts().forget();
        }
        last_round = at;
        for target in engine.heartbeat_targets() {
            let engine = engine.clone();
            tokio::spawn(async move { heartbeat(&engine, &target).await });
        }
        tokio::spawn(right_control::renew_by_store(engine.clone(), directory.clone()));
        engine.share_connections();
        engine.close_unused_links();
        remove_lost(&engine, &directory, at);
        restore_unlisted(&engine, &directory, at);
    }
}

/// An instance to send heartbeats to.
struct HeartbeatTarget {
    record: InstanceRecord,
    /// Groups that both hold connections to.
    shared_groups: Vec<Arc<Shard>>,
}

async fn heartbeat(engine: &Arc<Engine>, target: &HeartbeatTarget) {
    let asked_at = now();
    let peer = &target.record;
    let question = Body::Heartbeat(engine.heartbeat(&target.shared_groups));
    let answer = engine.peers().ask(peer.peer_address, question).await;
    let Ok(Body::HeartbeatReply(reply)) = answer else {
        engine.contacts().missed(asked_at, &peer.id);
        return;
    };
    engine.contacts().heard(asked_at, &peer.id);
    engine.take_heartbeat(&reply);
    engine.take_grants(asked_at, &peer.id, &reply.grants, reply.store_era);
    engine.take_samples(asked_at, &reply.samples);
    if reply.lacks_records {
        tell_records(engine, peer).await;
    }
    if !engine.wants_directory_of(&reply) {
        return;
    }
    // One at a time: all neighbours tell of the same news at once.
    if let Some(_pulling) = engine.begin_pull() {
        pull_directory(engine, peer).await;
    }
}

/// Tells an instance that has just started, without the store, what it lacks.
///
/// It asks the addresses of its settings itself, but those are three, and may have
/// been started again with it.
async fn tell_records(engine: &Engine, peer: &InstanceRecord) {
    if !engine.is_fleet_listed() {
        return;
    }
    let state = engine.directory_state(DirectoryPull::default());
    if let Err(error) = engine.peers().ask(peer.peer_address, Body::DirectoryState(state)).await {
        let event = Event::new(EventKind::PeerFailed).with("peer", &peer.id);
        event_log::emit(&event.with("told", "records").with("reason", error));
    }
}

/// Takes over what another instance knows of the platform's records. Returns whether
/// it told which instances there are.
pub async fn pull_directory(engine: &Engine, peer: &InstanceRecord) -> bool {
    let known_servers = engine.servers_revision();
    let question = Body::DirectoryPull(DirectoryPull {
        configuration_version: engine.catalog().version,
        servers_revision: known_servers.number,
        servers_era: known_servers.era,
        knows_instances: engine.is_fleet_listed() && engine.is_fleet_known(),
    });
    let reason = match engine.peers().ask(peer.peer_address, question).await {
        Ok(Body::DirectoryState(state)) => {
            let tells_instances = !state.instances.is_empty();
            engine.take_directory(state);
            return tells_instances;
        }
        Ok(_) => "it answered something else than was asked".to_owned(),
        Err(error) => error.to_string(),
    };
    let event = Event::new(EventKind::PeerFailed).with("peer", &peer.id);
    event_log::emit(&event.with("asked", "records").with("reason", reason));
    false
}

fn remove_lost(engine: &Arc<Engine>, directory: &Arc<dyn Directory>, at: Moment) {
    let lost = engine.with_fleet(|fleet| fleet.removable(at));
    for record in lost {
        let directory = directory.clone();
        tokio::spawn(async move { remove_record(&*directory, record).await });
    }
}

/// Writes the records of living instances that a copy of the store lacks.
fn restore_unlisted(engine: &Arc<Engine>, directory: &Arc<dyn Directory>, at: Moment) {
    let unlisted = engine.with_fleet(|fleet| {
        fleet.forget_unlisted(at);
        fleet.restorable(at)
    });
    for record in unlisted {
        let directory = directory.clone();
        tokio::spawn(async move {
            let event = Event::new(EventKind::InstanceRestored).with("peer", &record.id);
            let id = record.id.clone();
            let written = directory.write(&id, &Record::Instance(record), None).await;
            event_log::emit(&event.with_some("failed", written.err()));
        });
    }
}

async fn remove_record(directory: &dyn Directory, lost: InstanceRecord) {
    let Ok(Some(entry)) = directory.get(RecordKind::Instances, &lost.id).await else {
        return;
    };
    // It may have come back under the same name meanwhile.
    if entry.record != Record::Instance(lost.clone()) {
        return;
    }
    let event = Event::new(EventKind::InstanceRemoved).with("peer", &lost.id);
    match directory.remove(RecordKind::Instances, &lost.id, entry.revision).await {
        Ok(()) => event_log::emit(&event.with("outcome", "removed")),
        Err(error) => event_log::emit(&event.with("outcome", "kept").with("reason", error)),
    }
}

impl Engine {
    /// Closes links to instances whose record is gone.
    fn close_unused_links(&self) {
        let (ids, addresses): (Vec<_>, Vec<_>) = self.with_fleet(|fleet| {
            fleet.others().map(|record| (record.id.clone(), record.peer_address)).unzip()
        });
        let ids: HashSet<_> = ids.into_iter().collect();
        self.contacts().keep_only(|id| ids.contains(id));
        self.peers().keep_only(&addresses);
        self.statement_links().keep_only(&addresses);
    }

    /// Instances to send heartbeats to: those it watches, and those that hold
    /// connections to the same groups.
    fn heartbeat_targets(&self) -> Vec<HeartbeatTarget> {
        let mut targets: BTreeMap<InstanceId, HeartbeatTarget> = BTreeMap::new();
        let target = |record| HeartbeatTarget { record, shared_groups: Vec::new() };
        for record in self.with_fleet(|fleet| fleet.watched()) {
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
        let lacking = voters.iter().filter(|id| !records.iter().any(|record| record.id == **id));
        let lacking: Vec<_> = lacking.cloned().collect();
        records.extend(self.with_fleet(|fleet| {
            let record = |id: &InstanceId| fleet.record(id).cloned();
            lacking.iter().filter_map(record).collect::<Vec<_>>()
        }));
        records
    }

    /// What this instance says of itself to one that shares these groups.
    ///
    /// Only of shared groups: with each of 64 groups in each heartbeat 31
    /// instances sent 600 KB a second each, and it grew with the square.
    #[must_use]
    pub fn heartbeat(&self, shared_groups: &[Arc<Shard>]) -> Heartbeat {
        let at = now();
        let demand = |shard: &Arc<Shard>| GroupDemand {
            group: shard.id().to_string(),
            wanted: shard.demand(at),
            term: shard.with_group(|group| group.leader().map_or(0, |leader| leader.term)),
        };
        let changed_at = self.servers_changed_at();
        Heartbeat {
            instance: self.me().id.to_string(),
            life: self.me().life,
            leaving: self.is_stopping(),
            configuration_version: self.catalog().version,
            servers_revision: changed_at.number,
            servers_era: changed_at.era,
            store_era: self.store_era().latest(),
            samples: Vec::new(),
            grants: Vec::new(),
            lacks_records: false,
            demands: shared_groups.iter().map(demand).collect(),
        }
    }

    /// The reply to a heartbeat, with what is known of the groups it names.
    #[must_use]
    pub fn heartbeat_reply(&self, question: &Heartbeat) -> Heartbeat {
        let catalog = self.catalog();
        let shards: Vec<_> = question
            .demands
            .iter()
            .map(|demand| GroupId::from(demand.group.as_str()))
            .filter(|group| catalog.groups.contains_key(group))
            .map(|group| self.shard(&group))
            .collect();
        let at = now();
        let sample = |shard: &Arc<Shard>| {
            let (asked_at, position) = shard.with_group(|group| group.newest_sample())?;
            let age = at.saturating_sub(asked_at);
            let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX).saturating_add(1);
            let group = shard.id().to_string();
            Some(PositionSample { group, term: position.term, index: position.index, age_ms })
        };
        let samples = shards.iter().filter_map(sample).collect();
        let grants = self.grants(at, &question.instance, &question.demands);
        let lacks_records = self.invites_records();
        Heartbeat { samples, grants, lacks_records, ..self.heartbeat(&shards) }
    }

    /// Another instance told, in reply to something asked at `asked_at`, what
    /// primaries had reached.
    ///
    /// The reply was written after the question was sent, so a sample is at
    /// most its age older than the question. That errs to the safe side
    /// whatever the message took.
    pub fn take_samples(&self, asked_at: Moment, samples: &[PositionSample]) {
        for sample in samples {
            let Some(sampled_at) = asked_at.checked_sub(Duration::from_millis(sample.age_ms))
            else {
                continue;
            };
            let position = Position::new(sample.term, sample.index);
            let shard = self.shard(&sample.group.as_str().into());
            shard.with_group(|group| group.hear_of_position(sampled_at, position));
        }
    }

    /// Another instance is alive.
    pub fn take_heartbeat(&self, heartbeat: &Heartbeat) {
        self.note_store_era(heartbeat.store_era, &heartbeat.instance);
        let demands = heartbeat.demands.iter();
        let demands = demands.map(|demand| (demand.group.as_str().into(), demand.wanted)).collect();
        self.with_fleet(|fleet| {
            fleet.heard(now(), &heartbeat.instance, heartbeat.leaving);
            fleet.set_demands(&heartbeat.instance, demands);
        });
    }

    /// Whether another instance knows records that this one lacks: while the
    /// store turns this instance away, others may still be served by it.
    #[must_use]
    pub fn wants_directory_of(&self, heartbeat: &Heartbeat) -> bool {
        let told = Revision::new(heartbeat.servers_era, heartbeat.servers_revision);
        let newer_servers = told > self.servers_revision();
        let late = self.has_servers_outage() || self.record_currency() == Currency::MayBeOld;
        heartbeat.configuration_version > self.catalog().version || (newer_servers && late)
    }

    /// Takes over what another instance tells of the platform's records.
    pub fn take_directory(&self, state: DirectoryState) {
        let from = state.sender;
        if let Some(configuration) = state.configuration {
            let catalog = Arc::new(records::decode_catalog(configuration));
            self.take_configuration(&catalog, &ConfigurationSource::Peer(from.as_str().into()));
        }
        let instances = state.instances.into_iter().filter_map(records::decode_instance);
        self.take_told_instances(instances.collect());
        let servers = state.servers.into_iter().filter_map(records::decode_server);
        let servers: Vec<_> = servers.collect();
        let revision = Revision::new(state.servers_era, state.servers_revision);
        self.update_servers(|list| {
            if revision > list.revision() {
                let event = Event::new(EventKind::PeerRecords).with("peer", from);
                event_log::emit(&event.with("servers_revision", revision));
                list.replace(now(), revision, servers);
            }
        });
    }

    /// Takes over which instances another one knows. Only a start needs them, without
    /// the store or with a copy of it; later the store's list is newer.
    fn take_told_instances(&self, instances: Vec<InstanceRecord>) {
        if instances.is_empty() {
            return;
        }
        if !self.is_fleet_listed() {
            self.take_instances(instances);
        } else if !self.is_fleet_known() {
            self.with_fleet(|fleet| fleet.add_unlisted(now(), instances));
        }
    }

    /// How current this instance's own view of configuration and servers is.
    #[must_use]
    pub fn record_currency(&self) -> Currency {
        let relays = self.with_fleet(|fleet| fleet.is_relay(now(), &self.me().failure_domain));
        if relays { Currency::Fresh } else { Currency::MayBeOld }
    }

    /// What this instance knows of the platform's records and another lacks.
    #[must_use]
    pub fn directory_state(&self, lacks: DirectoryPull) -> DirectoryState {
        let sender = self.me().id.to_string();
        let mut state = DirectoryState { sender, ..DirectoryState::default() };
        let catalog = self.catalog();
        if catalog.version > lacks.configuration_version {
            state.configuration = Some(records::encode_catalog(&catalog));
        }
        let known = Revision::new(lacks.servers_era, lacks.servers_revision);
        if self.servers_changed_at() > known {
            let revision = self.servers_revision();
            (state.servers_revision, state.servers_era) = (revision.number, revision.era);
            let listed = self.listed_servers();
            let servers = listed.iter().map(|(group, info)| records::encode_server(group, info));
            state.servers = servers.collect();
        }
        if !lacks.knows_instances && self.is_fleet_listed() && self.is_fleet_known() {
            state.instances = self.with_fleet(|fleet| {
                let others = fleet.others().map(records::encode_instance);
                others.chain([records::encode_instance(self.me())]).collect()
            });
        }
        state
    }
}
