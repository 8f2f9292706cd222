//! The duty of each group: which instance may replace its primary.
//!
//! The record of a duty in the platform's store names the instance that holds it, a
//! fencing token, and the last promotion order. An instance takes the duty by writing the
//! record with a higher token; the platform refuses orders under a lower one. A token
//! belongs to one incarnation of an instance, which is one run of its process.
//!
//! When the store was restored from a backup, its records may lack the latest tokens and
//! orders. Instances therefore keep what they read or promised before, and the first
//! record of the new era needs the retired terms that a majority of the voters reported.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use chervilwharf_lib::duty::DutyOrder;
use chervilwharf_lib::duty::DutyRecord;
use chervilwharf_lib::duty::DutyToken;
use chervilwharf_lib::duty::is_token_of_era;
use chervilwharf_lib::duty::next_record;
use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::id::GroupId;
use chervilwharf_lib::id::InstanceId;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::primary_lease::RetireRequest;
use chervilwharf_lib::primary_lease::readers_end;
use chervilwharf_lib::revision::Era;
use chervilwharf_lib::voter_set::VoterSet;

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
use crate::engine::instance_control::complete_instances;
use crate::engine::record_watch::RecordWatcher;
use crate::engine::shared::Engine;

/// The duties that this instance knows, by group.
#[derive(Debug, Default)]
pub struct DutyTable {
    duties: HashMap<GroupId, KnownDuty>,
    /// The last token of each group under which this incarnation sent an order. The platform
    /// can carry out an unanswered order seconds later; only a higher token keeps it from
    /// undoing a later order.
    used_tokens: HashMap<GroupId, DutyToken>,
    /// The order under the highest token that this instance read or promised, by
    /// group. A store that was restored from a backup may lack it.
    latest_orders: HashMap<GroupId, LatestOrder>,
}

#[derive(Clone, Debug)]
struct KnownDuty {
    revision: Revision,
    record: DutyRecord,
    /// When this instance received the record.
    known_since: Moment,
}

/// The order under a token; `None` if there is none.
#[derive(Clone, Debug)]
struct LatestOrder {
    token: DutyToken,
    order: Option<DutyOrder>,
}

impl DutyTable {
    /// The record of a group.
    #[must_use]
    pub fn record(&self, group: &GroupId) -> Option<&DutyRecord> {
        self.duties.get(group).map(|known| &known.record)
    }

    /// The record of a group with its revision.
    #[must_use]
    pub fn entry(&self, group: &GroupId) -> Option<(Revision, DutyRecord)> {
        self.duties.get(group).map(|known| (known.revision, known.record.clone()))
    }

    /// When the last lease expires that the record of a group at `replaced` granted to a reader,
    /// if an order was put in its place at `written_at`. `None` stands for a record that cannot
    /// be decoded, or for no record.
    fn readers_end(
        &self,
        group: &GroupId,
        replaced: Option<Revision>,
        written_at: Moment,
    ) -> Moment {
        let known = self.duties.get(group).filter(|known| Some(known.revision) == replaced);
        let (admits_readers, known_since) = known
            .map_or((true, written_at), |known| (known.record.admits_readers, known.known_since));
        readers_end(written_at, admits_readers, known_since)
    }

    /// The instance that holds the duty of a group.
    #[must_use]
    pub fn holder(&self, group: &GroupId) -> Option<InstanceId> {
        self.record(group).map(|record| record.holder.clone())
    }

    /// Applies a record that was read from the store. Returns whether more than its voters
    /// differs from the known one.
    pub fn apply_record(&mut self, revision: Revision, record: DutyRecord) -> bool {
        let known = self.duties.get(&record.group);
        if known.is_some_and(|known| known.revision >= revision) {
            return false;
        }
        self.note_order_of_token(&record.group, record.token, record.order.clone());
        let record =
            if revision.era > 0 { self.with_lost_in_restore(revision.era, record) } else { record };
        // After a restore the store can hold the same record under a new revision.
        let is_new = self.record(&record.group).is_none_or(|known| !known.is_same_duty(&record));
        let group = record.group.clone();
        self.duties.insert(group, KnownDuty { revision, record, known_since: now() });
        is_new
    }

    /// Completes a record of a store that was restored from a backup by the order under a
    /// higher token that the backup lacks, and in the first one of an era by the replicas.
    fn with_lost_in_restore(&self, era: Era, record: DutyRecord) -> DutyRecord {
        let known = self.duties.get(&record.group);
        let replicas = match known {
            Some(known) if known.revision.era < era => {
                record.replicas.merged(&known.record.replicas)
            }
            _ => record.replicas.clone(),
        };
        let record = DutyRecord { replicas, ..record };
        let retired = known.map_or(0, |known| known.record.retired).max(record.retired);
        let latest = self.latest_orders.get(&record.group);
        match latest.filter(|latest| latest.token > record.token) {
            Some(latest) => DutyRecord { order: latest.order.clone(), retired, ..record },
            None => record,
        }
    }

    fn note_order_of_token(&mut self, group: &GroupId, token: DutyToken, order: Option<DutyOrder>) {
        let known = self.latest_orders.get(group);
        if known.is_none_or(|known| known.token <= token) {
            self.latest_orders.insert(group.clone(), LatestOrder { token, order });
        }
    }

    /// Records the order for which this instance promised to end a term.
    pub fn note_promised(&mut self, group: &GroupId, request: &RetireRequest) {
        let order =
            DutyOrder { server: request.successor.clone(), term: request.term.saturating_add(1) };
        self.note_order_of_token(group, request.token, Some(order));
    }

    /// Discards a promised order that was not sent and never will be.
    pub fn discard_promised(&mut self, group: &GroupId, token: DutyToken) {
        if self.latest_orders.get(group).is_some_and(|latest| latest.token == token) {
            self.latest_orders.remove(group);
        }
    }

    /// Whether an instance took the duty of any group in an era of the store.
    #[must_use]
    pub fn is_any_taken_in(&self, era: Era) -> bool {
        self.duties.values().any(|known| is_token_of_era(known.record.token, era))
    }

    /// Whether an instance took the duty of a group in an era of the store.
    #[must_use]
    pub fn is_taken_in(&self, group: &GroupId, era: Era) -> bool {
        self.record(group).is_some_and(|record| is_token_of_era(record.token, era))
    }

    /// Whether the store, in an era, may lack an order of a group: it was restored from a
    /// backup, and no instance has taken the duty since.
    #[must_use]
    pub fn may_lack_order(&self, group: &GroupId, era: Era) -> bool {
        era > 0 && !self.is_taken_in(group, era)
    }

    /// Records that an order is sent under the token of `duty`, which must not be used
    /// for another one.
    pub fn mark_token_used(&mut self, duty: &DutyRecord) {
        self.used_tokens.insert(duty.group.clone(), duty.token);
    }

    /// The present token of a group; 0 if no instance ever held its duty.
    #[must_use]
    pub fn token(&self, group: &GroupId) -> DutyToken {
        self.record(group).map_or(0, |record| record.token)
    }

    /// Whether this incarnation sent an order under the present token of a group.
    #[must_use]
    pub fn is_token_used(&self, group: &GroupId) -> bool {
        let token = self.record(group).map(|record| record.token);
        token.is_some() && self.used_tokens.get(group).copied() >= token
    }
}

/// How long the watch of the duties waits for the orders that are read at the start.
const ORDERS_WAIT: Duration = Duration::from_secs(1);

/// Waits until the orders were read after the start, so that the duties need not be listed a
/// second time: a listing of a thousand has 0.25 MB.
pub async fn wait_for_orders(engine: Arc<Engine>) {
    let mut read = engine.duties_read();
    let is_read = read.wait_for(|revision| !revision.is_unknown());
    // Without them the duties are listed.
    let _waited = tokio::time::timeout(ORDERS_WAIT, is_read).await;
}

/// Passes the duties in the store to an engine.
pub struct DutyRecordWatcher {
    engine: Arc<Engine>,
}

impl DutyRecordWatcher {
    /// Creates a watcher that updates `engine`.
    #[must_use]
    pub fn new(engine: Arc<Engine>) -> Self {
        Self { engine }
    }

    fn apply(&self, entry: Entry) {
        let record = match entry.record {
            Record::Duty(record) => record,
            Record::KeeperVoters(shard, voters) => {
                return self.engine.apply_keeper_voters(shard, entry.revision, &voters);
            }
            _ => return,
        };
        let (group, holder, token) = (record.group.clone(), record.holder.clone(), record.token);
        let (order, admits_readers) = (record.order.clone(), record.admits_readers);
        let (is_new, ordered_before, admitted_before) = self.engine.with_duties(|duties| {
            let before = duties.record(&group);
            let admitted_before = before.is_some_and(|known| known.admits_readers);
            let ordered_before = before.and_then(|known| known.order.clone());
            (duties.apply_record(entry.revision, record), ordered_before, admitted_before)
        });
        if self.engine.is_holder(&group) {
            self.engine.adopt_stored_voters(&self.engine.shard(&group));
            if admits_readers && !admitted_before {
                self.engine.lease_renewal().notify_one();
            }
        }
        if is_new {
            // A line at each instance for each group would be most of the log of a start.
            if self.engine.is_holder(&group) {
                let event = Event::new(EventKind::DutyTaken).with("group", &group);
                event_log::emit(&event.with("holder", &holder).with("token", token));
            }
            // A vacant duty is taken without an order, before it is needed.
            if order != ordered_before {
                self.engine.note_duty_holder(&group, &holder);
            }
        }
    }
}

impl RecordWatcher for DutyRecordWatcher {
    fn kind(&self) -> RecordKind {
        RecordKind::Duties
    }

    fn outage(&mut self, lasting: bool) {
        if !lasting {
            self.engine.watches().end_deferrals();
        }
    }

    fn currency(&self) -> Currency {
        Currency::MayBeStale
    }

    /// The orders are read at the start in any case, and contain all duties.
    fn first_revision(&self) -> Option<Revision> {
        let read_at = *self.engine.duties_read().borrow();
        (!read_at.is_unknown()).then_some(read_at)
    }

    fn replace(&mut self, listing: Listing) {
        for entry in listing.entries {
            self.apply(entry);
        }
    }

    fn change(&mut self, _revision: Revision, changes: Vec<Change>) {
        for change in changes {
            if let Change::Present(entry) = change {
                self.apply(entry);
            }
        }
    }
}

/// How taking a duty changes the order in its record.
#[derive(Clone, Debug)]
pub enum OrderChange {
    /// The order stays.
    Keep,
    /// The order is replaced by this one; `None` removes it.
    Put(Option<DutyOrder>),
}

/// A duty that this instance holds.
#[derive(Clone, Debug)]
pub struct Claim {
    /// The record.
    pub duty: DutyRecord,
    /// When the store had accepted the record.
    pub written_at: Moment,
    /// Era in which the store accepted the record.
    pub written_era: Era,
    /// When the last lease expires that the store granted to a reader before that.
    pub readers_end: Moment,
}

/// Why a duty could not be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimFailure {
    /// The record was changed meanwhile, possibly by another instance that took the duty.
    Conflict,
    /// The store did not accept the write from this instance.
    NotWritten,
}

/// Takes the duty of a group under a new token.
///
/// `since` is the highest token that this instance knew when it decided to act. If another
/// instance has taken the duty under a higher one, this one does not.
///
/// # Errors
///
/// If the record could not be written.
pub async fn claim(
    engine: &Engine,
    directory: &dyn Directory,
    group: &GroupId,
    order: OrderChange,
    since: DutyToken,
) -> Result<Claim, ClaimFailure> {
    claim_new(engine, directory, group, order, since).await.map_err(|error| {
        let event = Event::new(EventKind::DutyFailed).with("group", group);
        event_log::emit(&event.with("reason", &error));
        match error {
            WriteError::Conflict(present) => {
                apply_present(engine, present);
                ClaimFailure::Conflict
            }
            WriteError::NotDone(_) | WriteError::Unanswered(_) => ClaimFailure::NotWritten,
        }
    })
}

/// Whether a group without voters gets them from another instance, which is first in the succession
/// to the duty. A request that waits for voters makes any instance write them.
fn is_left_to_first(engine: &Engine, group: &GroupId) -> bool {
    let is_awaited = engine.shard(group).with_group(|group| group.primary_lease().lacks_voters());
    !is_awaited && engine.duty_rank(group).is_some_and(|rank| rank > 0)
}

async fn claim_new(
    engine: &Engine,
    directory: &dyn Directory,
    group: &GroupId,
    order: OrderChange,
    since: DutyToken,
) -> Result<Claim, WriteError> {
    let (present, expected) = match directory.get(RecordKind::Duties, group).await {
        Ok(present) => {
            let expected = present.as_ref().map(|entry| entry.revision);
            (present, expected)
        }
        // Another writer left a record that this version cannot decode. The next record
        // continues from the last known one.
        Err(DirectoryError::RecordUnreadable(revision)) => (None, Some(revision)),
        Err(error) => return Err(WriteError::NotDone(error)),
    };
    engine.note_store_era(expected.unwrap_or_default().era, RecordKind::Duties);
    let era = engine.store_era().latest();
    if let Some(Entry { record: Record::Duty(record), revision, .. }) = &present {
        engine.with_duties(|duties| duties.apply_record(*revision, record.clone()));
        // Another instance, or an earlier incarnation of this one, took the duty before this one
        // decided to act. Two instances that replace a primary concurrently undo each other's work,
        // and readers of the store do not see an order that was overwritten.
        let me = engine.me();
        let is_own = record.holder == me.id && record.life == me.life;
        if record.token > since && !is_own {
            return Err(WriteError::Conflict(present));
        }
    }
    let is_vacancy_filled = matches!(order, OrderChange::Keep);
    let last = engine.with_duties(|duties| duties.record(group).cloned());
    let next = next_record(group, engine.me(), last.as_ref(), None, era);
    let next = match order {
        OrderChange::Keep => next,
        OrderChange::Put(order) => DutyRecord { order, ..next },
    };
    let next = with_majority_retired_term(engine, next, era)
        .ok_or(WriteError::NotDone(DirectoryError::OrdersUnknown))?;
    if !next.voters.is_known() && !engine.voters(group).is_known() {
        complete_instances(engine, directory, now()).await;
        // With a part of the list, several instances rank themselves first. All but one of
        // them would be refused by the store.
        if is_vacancy_filled && is_left_to_first(engine, group) {
            return Err(WriteError::NotDone(DirectoryError::NotFirst));
        }
    }
    let next = with_listed_replicas(engine, with_latest_voters(engine, next, era));
    let record = Record::Duty(next.clone());
    let written = match directory.write(group, &record, expected).await {
        // The store may have accepted the write, which a read of the record shows.
        Err(WriteError::Unanswered(error)) => {
            let entry = directory.get(RecordKind::Duties, group).await;
            match entry.map_err(WriteError::NotDone)? {
                Some(entry) if entry.record == record => entry.revision,
                _ => return Err(WriteError::Unanswered(error)),
            }
        }
        result => result?,
    };
    let written_at = now();
    let readers_end = engine.with_duties(|duties| {
        let readers_end = duties.readers_end(group, expected, written_at);
        duties.apply_record(written, next.clone());
        readers_end
    });
    // The store was restored from a backup meanwhile. The write may have replaced another
    // record under the expected revision number, and a higher token may exist.
    if written.era != era {
        engine.note_store_era(written.era, RecordKind::Duties);
        return Err(WriteError::Conflict(None));
    }
    let event = Event::new(EventKind::DutyTaken).with("group", group);
    event_log::emit(&event.with("holder", &next.holder).with("token", next.token));
    Ok(Claim { duty: next, written_at, written_era: era, readers_end })
}

/// Adds to the first record of an era the highest term that a majority of the voters has
/// retired; `None` if too few voters have reported theirs. The restored store can lack the
/// order for which they retired it, and possibly no instance knows that order.
fn with_majority_retired_term(engine: &Engine, next: DutyRecord, era: Era) -> Option<DutyRecord> {
    if !engine.with_duties(|duties| duties.may_lack_order(&next.group, era)) {
        return Some(next);
    }
    let retired = engine.retired_by_majority(&next.group)?;
    Some(DutyRecord { retired: next.retired.max(retired), ..next })
}

/// Adds the voters that this instance knows to a record, if they are later than those in it,
/// or the first voters of the group if none are known.
fn with_latest_voters(engine: &Engine, next: DutyRecord, era: Era) -> DutyRecord {
    let known = engine.voters(&next.group);
    if known.version > next.voters.version {
        return DutyRecord { voters: known, ..next };
    }
    if next.voters.is_known() {
        return next;
    }
    let preferred = engine.preferred_voters(&next.group);
    if preferred.is_empty() {
        return next;
    }
    DutyRecord { voters: VoterSet::first(era, preferred.to_vec()), ..next }
}

/// Adds the listed servers to the replicas of a record, so that the server that its order names
/// is one of them.
fn with_listed_replicas(engine: &Engine, next: DutyRecord) -> DutyRecord {
    if !next.replicas.is_used(engine.sync_replicas(&next.group)) {
        return next;
    }
    let replicas = next.replicas.with_servers(&engine.shard(&next.group).listed_servers());
    DutyRecord { replicas, ..next }
}

/// Writes the next set of voters of a group, and leaves the rest of its duty as it is.
///
/// # Errors
///
/// If the record was changed since this instance read it, or was not written.
pub async fn change_voters(
    engine: &Engine,
    directory: &dyn Directory,
    group: &GroupId,
    next: VoterSet,
) -> Result<(), WriteError> {
    let known = engine.with_duties(|duties| duties.entry(group));
    let Some((expected, record)) = known else {
        return Err(WriteError::Conflict(None));
    };
    if record.voters.version >= next.version {
        return Err(WriteError::Conflict(None));
    }
    change_record(engine, directory, expected, DutyRecord { voters: next, ..record }).await
}

/// Writes the record of a duty in place of the one of revision `expected`, under the same token.
///
/// # Errors
///
/// If the record was changed since that revision, or was not written.
pub async fn change_record(
    engine: &Engine,
    directory: &dyn Directory,
    expected: Revision,
    next: DutyRecord,
) -> Result<(), WriteError> {
    let group = next.group.clone();
    let written = directory.write(&group, &Record::Duty(next.clone()), Some(expected)).await;
    let result = match written {
        Ok(written) => {
            engine.note_store_era(written.era, RecordKind::Duties);
            engine.with_duties(|duties| duties.apply_record(written, next));
            Ok(())
        }
        Err(WriteError::Conflict(present)) => {
            apply_present(engine, present);
            Err(WriteError::Conflict(None))
        }
        Err(error) => Err(error),
    };
    engine.adopt_stored_voters(&engine.shard(&group));
    result
}

/// Applies the present record, which the store returned when it refused a write.
fn apply_present(engine: &Engine, present: Option<Entry>) {
    if let Some(Entry { record: Record::Duty(record), revision, .. }) = present {
        engine.with_duties(|duties| duties.apply_record(revision, record));
    }
}
