//! Keeps the records of instances in the platform's store: its own, and those of others that
//! are gone or that a copy of the store lacks.

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
use crate::engine::follow::Follower;
use crate::engine::peer_records::pull_directory;
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
            Fleet::replace_after_store_restore
        } else {
            Fleet::replace
        };
        self.engine.list_instances(records, update);
        if era == 0 || self.engine.is_fleet_known() {
            self.engine.set_fleet_known();
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
        let pulls: FuturesUnordered<_> = asked.map(|peer| pull_directory(&engine, peer)).collect();
        // The first one that knows all will do: those that are gone never answer.
        let told = pulls.any(std::future::ready).await;
        // A duty is taken in an era when all that are alive are listed again.
        let is_settled =
            engine.with_duties(|duties| duties.is_any_taken_in(engine.store_era().latest()));
        if told || is_settled || engine.has_run_for(LISTED_AGAIN) {
            return engine.set_fleet_known();
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
            self.engine.record_write_needed().notify_one();
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
                    self.engine.record_write_needed().notify_one();
                }
                Change::Removed(id) => self.engine.with_fleet(|fleet| fleet.removed(&id)),
            }
        }
        self.engine.recompute_assignments();
    }
}

/// Pause before the record is written again after a failure.
const REGISTER_PAUSE: Duration = Duration::from_millis(400);

/// Keeps the record of this instance in the store until it stops.
pub async fn keep_record(engine: Arc<Engine>, directory: Arc<dyn Directory>) {
    loop {
        engine.record_write_needed().notified().await;
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

/// Removes the records of instances that were silent for long.
pub fn remove_unresponsive(engine: &Arc<Engine>, directory: &Arc<dyn Directory>, at: Moment) {
    let lost = engine.with_fleet(|fleet| fleet.removable(at));
    for record in lost {
        let directory = directory.clone();
        tokio::spawn(async move { remove_record(&*directory, record).await });
    }
}

/// Writes the records of living instances that a copy of the store lacks.
pub fn restore_unlisted(engine: &Arc<Engine>, directory: &Arc<dyn Directory>, at: Moment) {
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
