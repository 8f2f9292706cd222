//! Whether an instance has a list of the other instances, and from which source.
//!
//! The fleet is *listed* once the instances come from a listing of the store, received
//! from the store or from another instance. It is *known* once this instance serves with
//! the instances that it has, be they listed or, without the store and without peers,
//! none.

use std::fmt::Display;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chervilwharf_lib::fleet::Fleet;
use chervilwharf_lib::fleet::InstanceRecord;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::relisting::may_use_list_alone;
use chervilwharf_lib::revision::Era;
use tokio::sync::watch;

use crate::engine::clock::now;
use crate::engine::record_watch::PEER_LISTING_TIME;
use crate::engine::shared::Engine;
use crate::engine::shared::PEER_FALLBACK_DELAY;

/// How long an instance that was asked to send its records has before another one is
/// asked: as long as for any answer.
const RECORDS_REQUEST_TIMEOUT: Duration = Duration::from_millis(300);

impl Engine {
    /// Applies a listing of all instances, and marks the fleet as known.
    pub fn apply_instance_list(&self, records: Vec<InstanceRecord>) {
        self.record_instance_listing(records, Fleet::replace);
        self.set_fleet_known();
    }

    /// Applies a listing of all instances by `update` and marks the fleet as listed, but
    /// not as known.
    pub fn record_instance_listing(
        &self,
        records: Vec<InstanceRecord>,
        update: fn(&mut Fleet, Moment, Vec<InstanceRecord>),
    ) {
        if records.iter().any(|record| record.id == self.me.id) {
            self.registered.store(true, Ordering::Relaxed);
        }
        self.with_fleet(|fleet| update(fleet, now(), records));
        self.fleet_listed.send_replace(true);
    }

    /// Whether the known instances come from a listing of the store, received from the
    /// store or from another instance. An instance that serves without peers has no
    /// listing, and must not report to others that there are no other instances.
    #[must_use]
    pub fn is_fleet_listed(&self) -> bool {
        *self.fleet_listed.borrow()
    }

    /// Subscribes to whether the known instances come from a listing.
    #[must_use]
    pub fn fleet_listings(&self) -> watch::Receiver<bool> {
        self.fleet_listed.subscribe()
    }

    /// Records an era of the store that `source`, the store or another instance, reported.
    pub fn note_store_era(&self, era: Era, source: impl Display) {
        if self.store_era.note(era, source) {
            // Leases have to be granted anew in this era.
            self.lease_renewal.notify_one();
        }
    }

    /// Whether this instance started at least `time` ago.
    #[must_use]
    pub fn has_run_for(&self, time: Duration) -> bool {
        self.started_at + time <= now()
    }

    /// Whether the list of instances of a restored store can be used without the list of
    /// another instance.
    #[must_use]
    pub fn may_use_restored_list(&self) -> bool {
        may_use_list_alone(now(), self.started_at, self.store_era().known_since())
    }

    /// Records that the store returned a listing of the configuration or the instances.
    pub fn note_store_answered(&self) {
        *self.store_answered_at.lock().expect("never poisoned") = Some(now());
        self.store_answered.notify_one();
    }

    /// Whether it is known which instances can hold connections: the instances are listed,
    /// or there is no source for a listing.
    ///
    /// A store that has just become available again is about to list the instances. When
    /// each of 74 instances took itself for the only one until then, all of them opened
    /// connections to all servers at once.
    #[must_use]
    pub fn knows_candidate_holders(&self) -> bool {
        self.is_fleet_listed() || (self.is_fleet_known() && !self.expects_store_listings())
    }

    /// Waits until it is known which instances can hold connections, at most until `until`.
    /// Returns whether it is.
    pub async fn wait_for_candidate_holders(&self, until: Moment) -> bool {
        if self.knows_candidate_holders() {
            return true;
        }
        let mut listed = self.fleet_listings();
        let listing = listed.wait_for(|listed| *listed);
        let listed = tokio::time::timeout(until.saturating_sub(now()), listing).await;
        listed.is_ok_and(|listed| listed.is_ok())
    }

    /// Whether the store has just returned a listing, so that listings of the other kinds
    /// of records are about to follow.
    #[must_use]
    pub fn expects_store_listings(&self) -> bool {
        let answered_at = *self.store_answered_at.lock().expect("never poisoned");
        answered_at.is_some_and(|at| at + PEER_LISTING_TIME > now())
    }

    /// Whether this instance lacks the configuration, the servers or a listing of the
    /// instances.
    #[must_use]
    pub fn lacks_records(&self) -> bool {
        self.catalog().version == 0
            || self.servers_revision().is_unknown()
            || !self.is_fleet_listed()
    }

    /// Whether the instance whose heartbeat is answered now should send its records: this
    /// instance lacks some, the store does not return them, and no other instance was
    /// asked within the last 300 ms. Returns true at most once in that time.
    ///
    /// A store that answers returns all records itself; records from other instances would
    /// only compete with them for the bandwidth of a slow link.
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
        let is_pending = records_requested_at
            .is_some_and(|requested_at| requested_at + RECORDS_REQUEST_TIMEOUT > at);
        if !is_pending {
            *records_requested_at = Some(at);
        }
        !is_pending
    }

    /// Marks this instance as having a record in the store.
    pub fn set_registered(&self) {
        self.registered.store(true, Ordering::Relaxed);
    }

    /// Whether this instance has a record in the store.
    #[must_use]
    pub fn is_registered(&self) -> bool {
        self.registered.load(Ordering::Relaxed)
    }

    /// Marks the fleet as known: this instance serves with the instances that it has,
    /// even if no source has listed any.
    pub fn set_fleet_known(&self) {
        self.fleet_known.send_replace(true);
        self.recompute_assignments();
        self.lease_renewal.notify_one();
    }

    /// Whether the fleet is known; see [`Engine::set_fleet_known`].
    #[must_use]
    pub fn is_fleet_known(&self) -> bool {
        *self.fleet_known.borrow()
    }

    /// Waits until the fleet is known, at most for `limit`. Returns whether it is.
    pub async fn wait_for_fleet(&self, limit: Duration) -> bool {
        let mut fleet_known = self.fleet_known.subscribe();
        tokio::time::timeout(limit, fleet_known.wait_for(|known| *known)).await.is_ok()
    }

    /// Whether this instance has a configuration and knows the other instances.
    #[must_use]
    pub fn is_prepared(&self) -> bool {
        self.catalog().version > 0 && self.is_fleet_known()
    }

    /// Waits until there is a configuration and the fleet is known, at most for `limit`.
    /// Returns whether both hold.
    pub async fn wait_until_prepared(&self, limit: Duration) -> bool {
        let mut catalog = self.catalog.subscribe();
        let mut fleet_known = self.fleet_known.subscribe();
        let both = async {
            // The senders outlive this future, since it borrows the engine.
            drop(catalog.wait_for(|catalog| catalog.version > 0).await);
            drop(fleet_known.wait_for(|known| *known).await);
        };
        tokio::time::timeout(limit, both).await.is_ok()
    }
}
