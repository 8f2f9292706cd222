//! Puts the configurations that the platform's store announces in force.

use std::sync::Arc;
use std::time::Duration;

use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;

use crate::engine::directory::Change;
use crate::engine::directory::Currency;
use crate::engine::directory::Listing;
use crate::engine::directory::Record;
use crate::engine::directory::RecordKind;
use crate::engine::directory::Revision;
use crate::engine::event_log;
use crate::engine::follow::Follower;
use crate::engine::follow::OTHERS_LISTED;
use crate::engine::shared::Engine;

/// Puts configurations in force.
pub struct ConfigurationFollower {
    engine: Arc<Engine>,
}

impl ConfigurationFollower {
    /// Feeds an engine.
    #[must_use]
    pub fn new(engine: Arc<Engine>) -> Self {
        Self { engine }
    }

    fn take(&self, record: Record) {
        let Record::Configuration(catalog) = record else {
            return;
        };
        let (version, routes) = (catalog.version, catalog.routes.len());
        if self.engine.set_catalog(&catalog) {
            let event = Event::new(EventKind::ConfigurationInForce).with("version", version);
            event_log::emit(&event.with_count("routes", routes).with("source", "store"));
        }
    }
}

impl Follower for ConfigurationFollower {
    fn kind(&self) -> RecordKind {
        RecordKind::Configuration
    }

    fn currency(&self) -> Currency {
        self.engine.record_currency()
    }

    fn pause_after_first_list(&self) -> Duration {
        OTHERS_LISTED
    }

    fn replace(&mut self, listing: Listing) {
        self.engine.note_store_answered();
        for entry in listing.entries {
            self.take(entry.record);
        }
    }

    fn change(&mut self, _revision: Revision, changes: Vec<Change>) {
        for change in changes {
            if let Change::Present(entry) = change {
                self.take(entry.record);
            }
        }
    }
}
