//! Exchange of the platform's records between instances: the configuration, the servers
//! and the instances. It serves instances that start while the store is unavailable, and
//! passes on what some instances read from the store earlier than others.

use std::sync::Arc;

use chervilwharf_lib::engine_protos::DirectoryPull;
use chervilwharf_lib::engine_protos::DirectoryState;
use chervilwharf_lib::engine_protos::Heartbeat;
use chervilwharf_lib::engine_protos::engine_frame::Body;
use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::fleet::InstanceRecord;
use chervilwharf_lib::group::ServerInfo;
use chervilwharf_lib::id::GroupId;
use chervilwharf_lib::server_list::ServerChanges;
use futures::StreamExt;
use futures::stream::FuturesUnordered;

use crate::engine::clock::now;
use crate::engine::configuration_control::ConfigurationSource;
use crate::engine::directory::Currency;
use crate::engine::directory::Revision;
use crate::engine::event_log;
use crate::engine::peers;
use crate::engine::peers::PeerError;
use crate::engine::records;
use crate::engine::shared::Engine;
use crate::engine::transfer::transfer;
use crate::engine::transfer::transfer_on;

/// Sends all known records to an instance that reported that it lacks some, because it
/// started while the store was unavailable.
///
/// A starting instance also pulls records from the seed addresses in its settings, but
/// those are only three instances, which may have been restarted together with it.
pub async fn push_records(engine: &Engine, peer: &InstanceRecord) {
    if !engine.is_fleet_listed() {
        return;
    }
    let state = engine.directory_state(DirectoryPull::default());
    if let Err(error) = transfer(peer.peer_address, Body::DirectoryState(state)).await {
        let event = Event::new(EventKind::PeerFailed).with("peer", &peer.id);
        event_log::emit(&event.with("told", "records").with("reason", error));
    }
}

/// Pulls records from instances whose heartbeats tell of later ones; never returns.
///
/// The sender of a heartbeat pulls after the reply. With pulls by the receiver as well, news
/// also travel from the sender, so they spread in half the rounds.
pub async fn pull_when_told(engine: Arc<Engine>) {
    let mut told = engine.told_of_records();
    while told.changed().await.is_ok() {
        let sender = told.borrow_and_update().clone();
        let record = sender.and_then(|id| engine.with_fleet(|fleet| fleet.record(&id).cloned()));
        let Some(record) = record else {
            continue;
        };
        if let Some(_pulling) = engine.begin_pull() {
            pull_directory(&engine, &record).await;
        }
    }
}

/// Pulls the records that another instance has and this one lacks, and applies them.
/// Returns whether the answer contained a list of instances.
pub async fn pull_directory(engine: &Engine, peer: &InstanceRecord) -> bool {
    let answer = transfer(peer.peer_address, engine.directory_pull()).await;
    apply_pulled(engine, peer, answer)
}

/// Applies the answer of another instance to a pull, or logs why there is none. Returns whether
/// it contained a list of instances.
fn apply_pulled(engine: &Engine, peer: &InstanceRecord, answer: Result<Body, PeerError>) -> bool {
    let reason = match answer {
        Ok(Body::DirectoryState(state)) if state.sender.is_empty() => PeerError::Busy.to_string(),
        Ok(Body::DirectoryState(state)) => {
            let has_instances = !state.instances.is_empty();
            engine.apply_directory_state(state);
            engine.note_records_received();
            return has_instances;
        }
        Ok(_) => "the answer does not match the request".to_owned(),
        Err(error) => error.to_string(),
    };
    let event = Event::new(EventKind::PeerFailed).with("peer", &peer.id);
    event_log::emit(&event.with("asked", "records").with("reason", reason));
    false
}

/// Number of other instances without records after which a starting instance gives up: most
/// of the fleet then starts with it, and the store has the records sooner.
const MAX_PEERS_WITHOUT_RECORDS: usize = 2;

/// Pulls the records that this instance lacks from the first of several other instances that
/// accepts a connection, then from the next, until one has them or
/// [`MAX_PEERS_WITHOUT_RECORDS`] have answered without. Returns whether one did.
pub async fn pull_from_first_reachable(engine: &Engine, peers: &[InstanceRecord]) -> bool {
    let connect = async |peer: InstanceRecord| (peers::connect(peer.peer_address).await, peer);
    let mut connecting: FuturesUnordered<_> = peers.iter().cloned().map(connect).collect();
    let mut without_records = 0;
    while let Some((connected, peer)) = connecting.next().await {
        let answer = match connected {
            Ok(stream) => transfer_on(peers::frames(stream), engine.directory_pull()).await,
            Err(error) => Err(error),
        };
        let has_none = matches!(&answer, Ok(Body::DirectoryState(state)) if has_no_records(state));
        apply_pulled(engine, &peer, answer);
        if !engine.lacks_records() {
            return true;
        }
        without_records += usize::from(has_none);
        if without_records >= MAX_PEERS_WITHOUT_RECORDS {
            return false;
        }
    }
    false
}

/// Whether an instance answered a pull without a configuration, since it has none yet. An
/// answer without a sender means that the instance is busy.
fn has_no_records(state: &DirectoryState) -> bool {
    !state.sender.is_empty() && state.configuration.is_none()
}

impl Engine {
    /// The request for the records that another instance has and this one lacks.
    fn directory_pull(&self) -> Body {
        let known_servers = self.servers_revision();
        Body::DirectoryPull(DirectoryPull {
            configuration_version: self.catalog().version,
            servers_revision: known_servers.number,
            servers_era: known_servers.era,
            knows_instances: self.is_fleet_listed() && self.is_fleet_known(),
            accepts_changes: true,
        })
    }

    /// Whether this instance should pull records from the sender of a heartbeat: the sender
    /// has a later configuration, or later servers while this instance does not read
    /// current servers from the store. The store may fail for this instance alone.
    #[must_use]
    pub fn should_pull_from(&self, heartbeat: &Heartbeat) -> bool {
        let peer_revision = Revision::new(heartbeat.servers_era, heartbeat.servers_revision);
        let has_newer_servers = peer_revision > self.servers_revision();
        let may_be_outdated =
            || self.has_servers_outage() || self.store_read_currency() == Currency::MayBeStale;
        let has_later = heartbeat.configuration_version > self.catalog().version
            || (has_newer_servers && may_be_outdated());
        if has_later {
            self.note_later_records();
        }
        has_later
    }

    /// Applies the records that another instance sent, as far as they are later than those
    /// of this instance.
    pub fn apply_directory_state(&self, state: DirectoryState) {
        let from = state.sender;
        if let Some(configuration) = state.configuration {
            let catalog = Arc::new(records::decode_catalog(configuration));
            self.apply_configuration(&catalog, &ConfigurationSource::Peer(from.as_str().into()));
        }
        if let Some(change) = state.configuration_change.map(records::decode_catalog_change)
            && let Some(catalog) = change.apply(&self.catalog())
        {
            let source = ConfigurationSource::Peer(from.as_str().into());
            self.apply_configuration(&Arc::new(catalog), &source);
        }
        self.note_configuration_revision(
            state.configuration_version,
            Revision::new(state.configuration_era, state.configuration_revision),
        );
        let instances = state.instances.into_iter().filter_map(records::decode_instance);
        self.apply_peer_instances(instances.collect());
        let revision = Revision::new(state.servers_era, state.servers_revision);
        let servers = state.servers.into_iter().filter_map(records::decode_server).collect();
        match state.servers_since {
            None => self.apply_peer_servers(&from, revision, servers),
            Some(since) => self.apply_peer_server_changes(
                &from,
                &ServerChanges {
                    since: Revision::new(state.servers_era, since),
                    revision,
                    present: servers,
                    removed: state.removed_servers.into_iter().map(Into::into).collect(),
                },
            ),
        }
    }

    fn apply_peer_servers(
        &self,
        from: &str,
        revision: Revision,
        servers: Vec<(GroupId, ServerInfo)>,
    ) {
        self.update_servers(|list| {
            if revision > list.revision() {
                let event = Event::new(EventKind::PeerRecords).with("peer", from);
                let event = event.with_count("servers", servers.len());
                event_log::emit(&event.with("servers_revision", revision));
                list.replace(now(), revision, servers);
            }
        });
    }

    fn apply_peer_server_changes(&self, from: &str, changes: &ServerChanges) {
        self.update_servers(|list| {
            if list.apply_changes(now(), changes) {
                let event = Event::new(EventKind::PeerRecords).with("peer", from);
                let event = event.with_count("changed", changes.present.len());
                let event = event.with_count("removed", changes.removed.len());
                event_log::emit(&event.with("servers_revision", changes.revision));
            }
        });
    }

    /// Applies the list of instances that another instance sent. Only a starting instance
    /// needs it, while the store is unavailable or was restored from a backup; later on
    /// the store's listing is more recent.
    fn apply_peer_instances(&self, instances: Vec<InstanceRecord>) {
        if instances.is_empty() {
            return;
        }
        if !self.is_fleet_listed() {
            self.apply_instance_list(instances);
        } else if !self.is_fleet_known() {
            self.with_fleet(|fleet| fleet.add_unlisted(now(), instances));
        }
    }

    /// The records that this instance has and another one lacks.
    #[must_use]
    pub fn directory_state(&self, lacks: DirectoryPull) -> DirectoryState {
        let sender = self.me().id.to_string();
        let catalog = self.catalog();
        let configuration_revision = self.configuration_revision();
        let mut state = DirectoryState {
            sender,
            configuration_version: catalog.version,
            configuration_revision: configuration_revision.number,
            configuration_era: configuration_revision.era,
            ..DirectoryState::default()
        };
        if catalog.version > lacks.configuration_version {
            let known = lacks.configuration_version;
            let changes =
                if lacks.accepts_changes { self.configuration_changes_since(known) } else { None };
            match changes {
                Some(changes) => {
                    state.configuration_change = Some(records::encode_catalog_change(&changes));
                }
                None => state.configuration = Some(records::encode_catalog(&catalog)),
            }
        }
        let known = Revision::new(lacks.servers_era, lacks.servers_revision);
        if self.servers_changed_at() > known {
            self.add_servers(&mut state, known, lacks.accepts_changes);
        }
        if !lacks.knows_instances && self.is_fleet_listed() && self.is_fleet_known() {
            state.instances = self.with_fleet(|fleet| {
                let others = fleet.others().map(records::encode_instance);
                others.chain([records::encode_instance(self.me())]).collect()
            });
        }
        state
    }

    /// Adds the servers to an answer: what changed since the revision that the other instance
    /// knows, or all of them.
    ///
    /// When many servers register, each change makes all instances pull. With the whole list
    /// in each answer, a start of a large fleet is mostly the same lists over and over.
    fn add_servers(&self, state: &mut DirectoryState, known: Revision, accepts_changes: bool) {
        let encode = |(group, info): &(GroupId, ServerInfo)| records::encode_server(group, info);
        let changes = if accepts_changes { self.server_changes_since(known) } else { None };
        if let Some(changes) = changes {
            (state.servers_revision, state.servers_era) =
                (changes.revision.number, changes.revision.era);
            state.servers_since = Some(changes.since.number);
            state.servers = changes.present.iter().map(encode).collect();
            state.removed_servers = changes.removed.iter().map(ToString::to_string).collect();
            return;
        }
        let (revision, listed) = self.listed_servers();
        (state.servers_revision, state.servers_era) = (revision.number, revision.era);
        state.servers = listed.iter().map(encode).collect();
    }
}
