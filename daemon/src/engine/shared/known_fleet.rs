//! Whether it is known which instances there are, and who told.

use std::fmt::Display;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chervilwharf_lib::fleet::Fleet;
use chervilwharf_lib::fleet::InstanceRecord;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::revision::Era;

use crate::engine::clock::now;
use crate::engine::follow::PEER_LISTING_TIME;
use crate::engine::shared::Engine;
use crate::engine::shared::PEER_FALLBACK_DELAY;

/// How long an instance that was asked to tell the records has for it, before
/// another one is asked: as long as for any answer.
const INVITATION: Duration = Duration::from_millis(300);

impl Engine {
    /// Takes a list of all instances over.
    pub fn apply_instance_list(&self, records: Vec<InstanceRecord>) {
        self.list_instances(records, Fleet::replace);
        self.set_fleet_known();
    }

    /// Lists all instances, each as `update` takes it over, without going on with them.
    pub fn list_instances(
        &self,
        records: Vec<InstanceRecord>,
        update: fn(&mut Fleet, Moment, Vec<InstanceRecord>),
    ) {
        if records.iter().any(|record| record.id == self.me.id) {
            self.registered.store(true, Ordering::Relaxed);
        }
        self.with_fleet(|fleet| update(fleet, now(), records));
        self.fleet_listed.store(true, Ordering::Relaxed);
    }

    /// Whether the store, or an instance that had it from there, told of all
    /// instances. An instance that goes on alone knows no others, and must not
    /// tell that there are none.
    #[must_use]
    pub fn is_fleet_listed(&self) -> bool {
        self.fleet_listed.load(Ordering::Relaxed)
    }

    /// An answer of the store, or another instance, told of an era.
    pub fn note_store_era(&self, era: Era, source: impl Display) {
        if self.store_era.note(era, source) {
            // Grants of this era are wanted.
            self.lease_renewal.notify_one();
        }
    }

    /// Whether this instance runs for as long as this.
    #[must_use]
    pub fn has_run_for(&self, time: Duration) -> bool {
        self.started_at + time <= now()
    }

    /// The store told the configuration, or the instances.
    pub fn note_store_answered(&self) {
        *self.store_answered_at.lock().expect("never poisoned") = Some(now());
        self.store_answered.notify_one();
    }

    /// Whether it is known who could hold connections: the other instances were
    /// listed, or there is nobody to tell of them.
    ///
    /// A store that has just answered again is about to tell: taking themselves for
    /// alone until then, 74 instances opened connections to all servers at once.
    #[must_use]
    pub fn knows_candidate_holders(&self) -> bool {
        self.is_fleet_listed() || (self.is_fleet_known() && !self.expects_store_listings())
    }

    /// Whether the store told something just now, and so is about to tell the rest.
    #[must_use]
    pub fn expects_store_listings(&self) -> bool {
        let answered_at = *self.store_answered_at.lock().expect("never poisoned");
        answered_at.is_some_and(|at| at + PEER_LISTING_TIME > now())
    }

    /// Whether this instance lacks configuration, servers or the other instances.
    #[must_use]
    pub fn lacks_records(&self) -> bool {
        self.catalog().version == 0
            || self.servers_revision().is_unknown()
            || !self.is_fleet_listed()
    }

    /// Whether the one who asks now should tell the records: they are lacking, the
    /// store does not tell them, and nobody else was asked just now.
    ///
    /// A store that answers tells all by itself; what others send then only fills
    /// the link over which it comes.
    #[must_use]
    pub fn take_records_request(&self) -> bool {
        let at = now();
        if !self.lacks_records()
            || self.expects_store_listings()
            || at < self.started_at + PEER_FALLBACK_DELAY
        {
            return false;
        }
        let mut records_requested_at = self.records_requested_at.lock().expect("never poisoned");
        let waits = records_requested_at
            .is_some_and(|records_requested_at| records_requested_at + INVITATION > at);
        if !waits {
            *records_requested_at = Some(at);
        }
        !waits
    }

    /// This instance has a record now.
    pub fn set_registered(&self) {
        self.registered.store(true, Ordering::Relaxed);
        self.update_voters();
    }

    /// Whether this instance has a record.
    #[must_use]
    pub fn is_registered(&self) -> bool {
        self.registered.load(Ordering::Relaxed)
    }

    /// Goes on with the instances that are known, also when nobody told of
    /// others.
    pub fn set_fleet_known(&self) {
        self.fleet_known.send_replace(true);
        self.recompute_assignments();
        self.lease_renewal.notify_one();
    }

    /// Whether it is known which other instances there are.
    #[must_use]
    pub fn is_fleet_known(&self) -> bool {
        *self.fleet_known.borrow()
    }

    /// Waits until the other instances are known, at most this long. Returns
    /// whether they are.
    pub async fn wait_for_fleet(&self, limit: Duration) -> bool {
        let mut fleet_known = self.fleet_known.subscribe();
        tokio::time::timeout(limit, fleet_known.wait_for(|known| *known)).await.is_ok()
    }

    /// Waits until there is a configuration and the other instances are known,
    /// at most this long. Returns whether that is so.
    pub async fn wait_until_prepared(&self, limit: Duration) -> bool {
        let mut catalog = self.catalog.subscribe();
        let mut fleet_known = self.fleet_known.subscribe();
        let both = async {
            // Neither ends before the engine, which this borrows.
            drop(catalog.wait_for(|catalog| catalog.version > 0).await);
            drop(fleet_known.wait_for(|known| *known).await);
        };
        tokio::time::timeout(limit, both).await.is_ok()
    }
}
