//! Watches the configuration in the platform's store and puts later versions in force.

use std::sync::Arc;
use std::time::Duration;

use chervilwharf_lib::catalog::Catalog;
use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::id::InstanceId;

use crate::engine::directory::Change;
use crate::engine::directory::Currency;
use crate::engine::directory::Entry;
use crate::engine::directory::Listing;
use crate::engine::directory::Record;
use crate::engine::directory::RecordKind;
use crate::engine::directory::Revision;
use crate::engine::event_log;
use crate::engine::record_watch::PEER_LISTING_TIME;
use crate::engine::record_watch::RecordWatcher;
use crate::engine::shared::Engine;

/// Applies the store's configuration to an engine.
pub struct ConfigurationRecordWatcher {
    engine: Arc<Engine>,
}

impl ConfigurationRecordWatcher {
    /// Creates a watcher that updates `engine`.
    #[must_use]
    pub fn new(engine: Arc<Engine>) -> Self {
        Self { engine }
    }

    fn apply(&self, entry: Entry) {
        let Record::Configuration(catalog) = entry.record else {
            return;
        };
        let source = ConfigurationSource::Store(entry.revision);
        self.engine.apply_configuration(&catalog, &source);
    }

    fn note_revision(&self, revision: Revision) {
        let version = self.engine.catalog().version;
        self.engine.note_configuration_revision(version, revision);
    }
}

/// Where a configuration comes from.
#[derive(Clone, Debug)]
pub enum ConfigurationSource {
    /// The store, at the revision of its last change.
    Store(Revision),
    /// Another instance.
    Peer(InstanceId),
}

impl ConfigurationSource {
    fn add_to(&self, event: Event) -> Event {
        match self {
            Self::Store(revision) => event.with("source", "store").with("revision", revision),
            Self::Peer(id) => event.with("source", id),
        }
    }
}

impl Engine {
    /// Puts a configuration in force if its version is later than the present one, and logs
    /// whether it did.
    pub fn apply_configuration(&self, catalog: &Arc<Catalog>, source: &ConfigurationSource) {
        let in_force = self.catalog().version;
        let taken = self.set_catalog(catalog);
        let kind =
            if taken { EventKind::ConfigurationInForce } else { EventKind::ConfigurationNotTaken };
        let event = source.add_to(Event::new(kind).with("version", catalog.version));
        let event = event.with_count("routes", catalog.routes.len());
        let event = event.with("before", in_force);
        // These times show whether the configuration arrived late because the store did not
        // answer: the time between the last two answers, or the time since the last one.
        let store = &self.metrics().store;
        let event = match source {
            ConfigurationSource::Store(_) => {
                let gap = store.answer_gap(RecordKind::Configuration);
                event.with_some_ms("answer_gap_ms", gap)
            }
            ConfigurationSource::Peer(_) => {
                event.with_some_ms("store_answered_ms", store.answer_age())
            }
        };
        event_log::emit(&event);
    }
}

impl RecordWatcher for ConfigurationRecordWatcher {
    fn kind(&self) -> RecordKind {
        RecordKind::Configuration
    }

    fn currency(&self) -> Currency {
        self.engine.store_read_currency()
    }

    fn follows_relays(&self) -> bool {
        true
    }

    fn is_served_by_others(&self) -> bool {
        self.engine.is_served_by_relays()
    }

    fn known_revision(&self) -> Revision {
        self.engine.configuration_revision()
    }

    fn pause_after_first_listing(&self) -> Duration {
        PEER_LISTING_TIME
    }

    fn replace(&mut self, listing: Listing) {
        self.engine.note_store_answered();
        for entry in listing.entries {
            self.apply(entry);
        }
        self.note_revision(listing.revision);
    }

    fn change(&mut self, revision: Revision, changes: Vec<Change>) {
        for change in changes {
            if let Change::Present(entry) = change {
                self.apply(entry);
            }
        }
        self.note_revision(revision);
    }

    fn unchanged(&mut self, revision: Revision) {
        self.note_revision(revision);
    }
}
