//! What instances tell each other of the platform's records, while the store does not
//! tell them itself.

use std::sync::Arc;

use chervilwharf_lib::engine_protos::DirectoryPull;
use chervilwharf_lib::engine_protos::DirectoryState;
use chervilwharf_lib::engine_protos::Heartbeat;
use chervilwharf_lib::engine_protos::engine_frame::Body;
use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::fleet::InstanceRecord;

use crate::engine::clock::now;
use crate::engine::configuration_control::ConfigurationSource;
use crate::engine::directory::Currency;
use crate::engine::directory::Revision;
use crate::engine::event_log;
use crate::engine::records;
use crate::engine::shared::Engine;

/// Tells an instance that has just started, without the store, what it lacks.
///
/// It asks the addresses of its settings itself, but those are three, and may have
/// been started again with it.
pub async fn push_records(engine: &Engine, peer: &InstanceRecord) {
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
            engine.apply_directory_state(state);
            return tells_instances;
        }
        Ok(_) => "it answered something else than was asked".to_owned(),
        Err(error) => error.to_string(),
    };
    let event = Event::new(EventKind::PeerFailed).with("peer", &peer.id);
    event_log::emit(&event.with("asked", "records").with("reason", reason));
    false
}

impl Engine {
    /// Whether another instance knows records that this one lacks: while the
    /// store turns this instance away, others may still be served by it.
    #[must_use]
    pub fn should_pull_from(&self, heartbeat: &Heartbeat) -> bool {
        let told = Revision::new(heartbeat.servers_era, heartbeat.servers_revision);
        let newer_servers = told > self.servers_revision();
        let late = self.has_servers_outage() || self.store_read_currency() == Currency::MayBeOld;
        heartbeat.configuration_version > self.catalog().version || (newer_servers && late)
    }

    /// Takes over what another instance tells of the platform's records.
    pub fn apply_directory_state(&self, state: DirectoryState) {
        let from = state.sender;
        if let Some(configuration) = state.configuration {
            let catalog = Arc::new(records::decode_catalog(configuration));
            self.apply_configuration(&catalog, &ConfigurationSource::Peer(from.as_str().into()));
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
            self.apply_instance_list(instances);
        } else if !self.is_fleet_known() {
            self.with_fleet(|fleet| fleet.add_unlisted(now(), instances));
        }
    }

    /// How current this instance's own view of configuration and servers is.
    #[must_use]
    pub fn store_read_currency(&self) -> Currency {
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
