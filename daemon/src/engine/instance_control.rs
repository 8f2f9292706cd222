//! Maintains the records of instances in the platform's store.
//!
//! Each instance watches the records of all instances, writes its own record and removes it
//! at a planned stop. It also removes the records of instances that are gone, and writes
//! those of live instances that a store lacks after it was restored from a backup.

use std::sync::Arc;
use std::time::Duration;

use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::fleet::Fleet;
use chervilwharf_lib::fleet::InstanceRecord;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::revision::Era;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use rand::seq::IndexedRandom;

use crate::engine::clock::now;
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
use crate::engine::peer_records::pull_directory;
use crate::engine::record_watch::RecordWatcher;
use crate::engine::shared::Engine;

/// Applies the store's records of instances to an engine.
pub struct InstanceRecordWatcher {
    engine: Arc<Engine>,
    /// Era of the last listing; `None` before the first one.
    listed_era: Option<Era>,
}

impl InstanceRecordWatcher {
    /// Creates a watcher that updates `engine`.
    #[must_use]
    pub fn new(engine: Arc<Engine>) -> Self {
        Self { engine, listed_era: None }
    }

    fn apply_listing(&mut self, records: Vec<InstanceRecord>, era: Era) {
        let before = self.listed_era.replace(era);
        let update = if before.is_some_and(|before| before < era) {
            Fleet::replace_after_store_restore
        } else {
            Fleet::replace
        };
        self.engine.record_instance_listing(records, update);
        if era == 0 || self.engine.is_fleet_known() {
            self.engine.set_fleet_known();
        } else {
            tokio::spawn(complete_records_from_peers(self.engine.clone()));
        }
    }
}

/// Number of other instances that a starting instance asks for later records in each round.
const PEERS_ASKED_AT_START: usize = 3;

/// Time between two rounds of asking other instances for later records.
const PEER_QUERY_INTERVAL: Duration = Duration::from_millis(100);

/// Pulls records from other instances, and then marks the fleet as known.
///
/// A store that was restored from a backup can hold an outdated configuration, and lack
/// instances that vote. Until those are written again, a starting instance would serve by
/// the outdated configuration, and take a minority of the voters for a majority.
async fn complete_records_from_peers(engine: Arc<Engine>) {
    while !engine.is_fleet_known() {
        let others: Vec<_> = engine.with_fleet(|fleet| fleet.others().cloned().collect());
        let asked = others.choose_multiple(&mut rand::rng(), PEERS_ASKED_AT_START);
        let pulls: FuturesUnordered<_> = asked.map(|peer| pull_directory(&engine, peer)).collect();
        // One answer with the list of instances is enough: instances that are gone never
        // answer.
        let got_instances = pulls.any(std::future::ready).await;
        // A duty is taken in an era only after all live instances are listed again.
        let is_settled =
            engine.with_duties(|duties| duties.is_any_taken_in(engine.store_era().latest()));
        if got_instances || is_settled || engine.may_use_restored_list() {
            return engine.set_fleet_known();
        }
        tokio::time::sleep(PEER_QUERY_INTERVAL).await;
    }
}

fn instance_of(entry: Entry) -> Option<InstanceRecord> {
    match entry.record {
        Record::Instance(record) => Some(record),
        _ => None,
    }
}

impl RecordWatcher for InstanceRecordWatcher {
    fn kind(&self) -> RecordKind {
        RecordKind::Instances
    }

    fn currency(&self) -> Currency {
        Currency::MayBeStale
    }

    fn replace(&mut self, listing: Listing) {
        self.engine.note_store_answered();
        let own_entry = listing.entries.iter().find(|entry| *entry.name == *self.engine.me().id);
        let earlier = own_entry.map(|entry| entry.revision);
        let mut records: Vec<_> = listing.entries.into_iter().filter_map(instance_of).collect();
        records.extend(self.engine.with_fleet(|fleet| {
            let known = listing.unreadable.iter().filter_map(|id| fleet.record(id));
            known.cloned().collect::<Vec<_>>()
        }));
        let me = self.engine.me();
        if !records.contains(me) {
            self.engine.set_earlier_record(earlier);
            self.engine.record_write_needed().notify_one();
        }
        self.apply_listing(records, listing.revision.era);
    }

    fn change(&mut self, _revision: Revision, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::Present(entry) => {
                    if let Some(record) = instance_of(entry) {
                        self.engine.with_fleet(|fleet| fleet.upsert(now(), record));
                    }
                }
                Change::Removed(id) if id == self.engine.me().id => {
                    self.engine.record_write_needed().notify_one();
                }
                Change::Removed(id) => self.engine.with_fleet(|fleet| fleet.remove(&id)),
            }
        }
        self.engine.recompute_assignments();
    }
}

/// An instance that knows fewer others than this reads the list of instances before it chooses
/// the first voters.
const FEW_INSTANCES: usize = 8;

/// Reads the present list of instances if this instance knows few others. Those that start
/// together with it may be listed already, although it was not told of them yet.
///
/// First voters that lack most instances have to be replaced, and for seconds the group is
/// served on no side of a partition that lacks them. A list that was read at `since` or later
/// suffices. Returns whether the list was read.
pub async fn complete_instances(engine: &Engine, directory: &dyn Directory, since: Moment) -> bool {
    let mut read_at = engine.instances_read_at().lock().await;
    // Several groups and shards may need the list at the same time.
    if *read_at >= since || engine.recorded().len() >= FEW_INSTANCES {
        return false;
    }
    let asked_at = now();
    // Without the list, the known instances have to do.
    let Ok(listing) = directory.list(RecordKind::Instances, Currency::Fresh).await else {
        return false;
    };
    *read_at = asked_at;
    engine.with_fleet(|fleet| {
        for record in listing.entries.into_iter().filter_map(instance_of) {
            fleet.upsert(now(), record);
        }
    });
    engine.recompute_assignments();
    true
}

/// Time between two readings of the list because voters are not known.
const UNKNOWN_VOTERS_INTERVAL: Duration = Duration::from_secs(5);

/// Reads the list of instances if this instance does not know voters of its groups, which it
/// can then ask for their grants.
pub async fn complete_voters(engine: Arc<Engine>, directory: Arc<dyn Directory>) {
    let since = now().saturating_sub(UNKNOWN_VOTERS_INTERVAL);
    if complete_instances(&engine, &*directory, since).await {
        engine.lease_renewal().notify_one();
    }
}

/// Delay after a failure to write the record before the next attempt.
const REGISTRATION_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Writes the record of this instance to the store whenever the store lacks it, until the
/// instance stops.
pub async fn keep_record(engine: Arc<Engine>, directory: Arc<dyn Directory>) {
    loop {
        engine.record_write_needed().notified().await;
        while !engine.is_stopping() {
            match write_record(&engine, &*directory).await {
                Ok(()) => break,
                Err(error) => {
                    let event = Event::new(EventKind::InstanceRecordFailed);
                    event_log::emit(&event.with("reason", error));
                    tokio::time::sleep(REGISTRATION_RETRY_DELAY).await;
                }
            }
        }
    }
}

async fn write_record(engine: &Engine, directory: &dyn Directory) -> Result<(), WriteError> {
    let me = engine.me();
    let record = Record::Instance(me.clone());
    // The platform charges for each call to the store. So the record of an earlier
    // incarnation is replaced at the revision that was listed, and read only if that write
    // is refused.
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

/// Removes the record at a planned stop, so that the other instances take over the
/// connection budget of this one without waiting until it counts as unresponsive.
pub async fn withdraw_record(engine: &Engine, directory: &dyn Directory) {
    let me = engine.me();
    let removed = match directory.get(RecordKind::Instances, &me.id).await {
        Ok(Some(entry)) => directory.remove(RecordKind::Instances, &me.id, entry.revision).await,
        Ok(None) => Ok(()),
        Err(error) => Err(WriteError::NotDone(error)),
    };
    if let Err(error) = removed {
        // The other instances detect that this one is unresponsive instead.
        event_log::emit(&Event::new(EventKind::InstanceRecordFailed).with("reason", error));
    }
}

/// Removes the records of instances that have long been unresponsive.
pub fn remove_unresponsive(engine: &Arc<Engine>, directory: &Arc<dyn Directory>, at: Moment) {
    let removable = engine.with_fleet(|fleet| fleet.removable(at));
    for record in removable {
        let directory = directory.clone();
        tokio::spawn(async move { remove_record(&*directory, record).await });
    }
}

/// Writes the records of live instances that the store lacks after it was restored from a
/// backup.
pub fn restore_unlisted(engine: &Arc<Engine>, directory: &Arc<dyn Directory>, at: Moment) {
    let unlisted = engine.with_fleet(|fleet| {
        fleet.remove_unlisted(at);
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
    // The instance may have restarted under the same name in the meantime.
    if entry.record != Record::Instance(lost.clone()) {
        return;
    }
    let event = Event::new(EventKind::InstanceRemoved).with("peer", &lost.id);
    match directory.remove(RecordKind::Instances, &lost.id, entry.revision).await {
        Ok(()) => event_log::emit(&event.with("outcome", "removed")),
        Err(error) => event_log::emit(&event.with("outcome", "kept").with("reason", error)),
    }
}
