//! How current the records have to be that an instance reads from the store.

use std::time::Duration;

use chervilwharf_lib::id::ConfigVersion;
use chervilwharf_lib::moment::Moment;

use crate::engine::clock::now;
use crate::engine::directory::Currency;
use crate::engine::directory::Revision;
use crate::engine::shared::Engine;

impl Engine {
    /// How current the configuration and the servers have to be that this instance reads
    /// from the store. Relays, a few instances of each failure domain, read them as they
    /// are now; all others read them at a lower price, possibly seconds old, and pull
    /// later versions from the relays.
    ///
    /// The relays can lose the store while it serves this instance. Its stale answers have
    /// no limit of age, so it then reads the current state itself. It does not while the
    /// store fails for it too, where each refused call costs the full price.
    #[must_use]
    pub fn store_read_currency(&self) -> Currency {
        let at = now();
        let is_relay = self.with_fleet(|fleet| fleet.is_relay(at));
        if is_relay || (self.is_reading_overdue(at) && !self.has_servers_outage()) {
            Currency::Fresh
        } else {
            Currency::MayBeStale
        }
    }

    /// Whether this instance gets the configuration and the servers from the relays, so that it
    /// need not wait for changes at the store.
    ///
    /// If all instances of a large fleet waited for them there, the store would send each the
    /// whole configuration at every version. An instance reads the store itself if it hears of
    /// no relay that does, or if it cannot get what others told of.
    #[must_use]
    pub fn is_served_by_relays(&self) -> bool {
        let at = now();
        let later_records = *self.later_records.lock().expect("never poisoned");
        self.is_fleet_listed()
            && !self.is_reading_overdue(at)
            && !later_records.are_overdue(at)
            && !self.with_fleet(|fleet| fleet.is_relay(at))
    }

    /// Whether no relay seems to read the current state of the store.
    fn is_reading_overdue(&self, at: Moment) -> bool {
        let reading = *self.store_reading.lock().expect("never poisoned");
        reading.is_overdue(at, self.store_timeouts())
    }

    /// Records that another instance told of later records than this one has.
    pub fn note_later_records(&self) {
        self.later_records.lock().expect("never poisoned").note(now());
    }

    /// Records that later records arrived from another instance.
    pub fn note_records_received(&self) {
        self.later_records.lock().expect("never poisoned").received();
    }

    /// Revision of the store up to which the configuration in force is the latest.
    #[must_use]
    pub fn configuration_revision(&self) -> Revision {
        *self.configuration_revision.lock().expect("never poisoned")
    }

    /// Records that `version` of the configuration is the latest one up to a revision of the
    /// store.
    pub fn note_configuration_revision(&self, version: ConfigVersion, revision: Revision) {
        if self.catalog().version == version {
            let mut known = self.configuration_revision.lock().expect("never poisoned");
            *known = revision.max(*known);
        }
    }

    /// Records that the list of servers did not change after `changed_at` up to a revision of
    /// the store.
    pub fn note_servers_revision(&self, changed_at: Revision, revision: Revision) {
        let mut list = self.servers.lock().expect("never poisoned");
        if !list.revision().is_unknown() && list.revision() >= changed_at {
            list.advance(revision);
        }
    }

    /// Records that an instance read the current state of the store at `read_at`.
    pub fn note_store_reading(&self, read_at: Moment) {
        self.store_reading.lock().expect("never poisoned").note(read_at);
    }

    /// How long ago an instance read the current state of the store, as far as this one
    /// knows.
    #[must_use]
    pub fn store_reading_age(&self) -> Duration {
        self.store_reading.lock().expect("never poisoned").age(now())
    }
}
