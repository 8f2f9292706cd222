//! Who may replace primaries: the duty of each group, kept in the platform's
//! store.

use std::collections::HashMap;
use std::sync::Arc;

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
use chervilwharf_lib::primary_lease::Ending;
use chervilwharf_lib::revision::Era;

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
use crate::engine::shared::Engine;

/// The duties as far as this instance knows them.
#[derive(Debug, Default)]
pub struct DutyTable {
    duties: HashMap<GroupId, (Revision, DutyRecord)>,
    /// Tokens of this life that an order was given under. One that went
    /// unanswered can be carried out seconds later; only a higher token keeps it
    /// from undoing what is ordered after it.
    spent: HashMap<GroupId, DutyToken>,
    /// The order under the highest token that this instance read or promised, by
    /// group. A copy of the store may lack it.
    latest_orders: HashMap<GroupId, LatestOrder>,
}

/// What was ordered under a token, if anything.
#[derive(Clone, Debug)]
struct LatestOrder {
    token: DutyToken,
    order: Option<DutyOrder>,
}

impl DutyTable {
    /// The record of a group.
    #[must_use]
    pub fn record(&self, group: &GroupId) -> Option<&DutyRecord> {
        self.duties.get(group).map(|(_, record)| record)
    }

    /// Who holds the duty of a group.
    #[must_use]
    pub fn holder(&self, group: &GroupId) -> Option<InstanceId> {
        self.record(group).map(|record| record.holder.clone())
    }

    /// A record was read. Returns whether it is new.
    pub fn learn(&mut self, revision: Revision, record: DutyRecord) -> bool {
        let known = self.duties.get(&record.group);
        if known.is_some_and(|(at, _)| *at >= revision) {
            return false;
        }
        self.note_order_under(&record.group, record.token, record.order.clone());
        let record = if revision.era > 0 { self.with_lost_order(record) } else { record };
        // A copy of the store can hold what is known already.
        let is_new = self.record(&record.group) != Some(&record);
        self.duties.insert(record.group.clone(), (revision, record));
        is_new
    }

    /// A record of a copy, with the order under a higher token that the copy lacks.
    fn with_lost_order(&self, record: DutyRecord) -> DutyRecord {
        let known = self.record(&record.group);
        let retired = known.map_or(0, |known| known.retired).max(record.retired);
        let latest = self.latest_orders.get(&record.group);
        match latest.filter(|latest| latest.token > record.token) {
            Some(latest) => DutyRecord { order: latest.order.clone(), retired, ..record },
            None => record,
        }
    }

    fn note_order_under(&mut self, group: &GroupId, token: DutyToken, order: Option<DutyOrder>) {
        let known = self.latest_orders.get(group);
        if known.is_none_or(|known| known.token <= token) {
            self.latest_orders.insert(group.clone(), LatestOrder { token, order });
        }
    }

    /// This instance promised an order.
    pub fn note_promised(&mut self, group: &GroupId, ending: &Ending) {
        let order = DutyOrder { server: ending.successor.clone(), term: ending.term + 1 };
        self.note_order_under(group, ending.token, Some(order));
    }

    /// An order was not given, and never will be.
    pub fn forget_promised(&mut self, group: &GroupId, token: DutyToken) {
        if self.latest_orders.get(group).is_some_and(|latest| latest.token == token) {
            self.latest_orders.remove(group);
        }
    }

    /// Whether somebody took the duty of any group in an era of the store.
    #[must_use]
    pub fn is_any_taken_in(&self, era: Era) -> bool {
        self.duties.values().any(|(_, record)| is_token_of_era(record.token, era))
    }

    /// Whether somebody took the duty of a group in an era of the store.
    #[must_use]
    pub fn is_taken_in(&self, group: &GroupId, era: Era) -> bool {
        self.record(group).is_some_and(|record| is_token_of_era(record.token, era))
    }

    /// Whether the store, in an era, may lack an order of a group: it came back from a
    /// copy, and nobody has taken the duty since.
    #[must_use]
    pub fn may_lack_order(&self, group: &GroupId, era: Era) -> bool {
        era > 0 && !self.is_taken_in(group, era)
    }

    /// A token must not be used again.
    pub fn mark_token_used(&mut self, duty: &DutyRecord) {
        self.spent.insert(duty.group.clone(), duty.token);
    }

    /// An order that the store does not know, under a token kept from before.
    pub fn note_order(&mut self, group: &GroupId, order: OrderChange) {
        if let (Some((_, record)), OrderChange::Put(order)) = (self.duties.get_mut(group), order) {
            record.order = order;
        }
    }

    /// The present token of a group; 0 if nobody ever held its duty.
    #[must_use]
    pub fn token(&self, group: &GroupId) -> DutyToken {
        self.record(group).map_or(0, |record| record.token)
    }

    /// Whether an order was given under the present token of a group.
    #[must_use]
    pub fn is_token_used(&self, group: &GroupId) -> bool {
        let token = self.record(group).map(|record| record.token);
        token.is_some() && self.spent.get(group).copied() >= token
    }

    fn usable(&self, group: &GroupId, id: &InstanceId, life: u64) -> Option<DutyRecord> {
        let record = self.record(group)?;
        let ours = record.holder == *id && record.life == life;
        (ours && !self.is_token_used(group)).then(|| record.clone())
    }
}

/// Tells an engine who holds which duty.
pub struct DutyFollower {
    engine: Arc<Engine>,
}

impl DutyFollower {
    /// Feeds an engine.
    #[must_use]
    pub fn new(engine: Arc<Engine>) -> Self {
        Self { engine }
    }

    fn take(&self, entry: Entry) {
        let Record::Duty(record) = entry.record else {
            return;
        };
        let (group, holder, token) = (record.group.clone(), record.holder.clone(), record.token);
        let new = self.engine.with_duties(|duties| duties.learn(entry.revision, record));
        if new {
            let event = Event::new(EventKind::DutyTaken).with("group", &group);
            event_log::emit(&event.with("holder", &holder).with("token", token));
            self.engine.note_duty_holder(&group, &holder);
        }
    }
}

impl Follower for DutyFollower {
    fn kind(&self) -> RecordKind {
        RecordKind::Duties
    }

    fn currency(&self) -> Currency {
        Currency::MayBeOld
    }

    fn replace(&mut self, listing: Listing) {
        for entry in listing.entries {
            self.take(entry);
        }
    }

    fn change(&mut self, _revision: Revision, changes: Vec<Change>) {
        for change in changes {
            if let Change::Present(entry) = change {
                self.take(entry);
            }
        }
    }
}

/// What becomes of the order that a duty's record names.
#[derive(Clone, Debug)]
pub enum OrderChange {
    /// It stays.
    Keep,
    /// This takes its place, or nothing.
    Put(Option<DutyOrder>),
}

/// A duty that was taken.
#[derive(Clone, Debug)]
pub struct Claim {
    /// Its record.
    pub duty: DutyRecord,
    /// When the store had taken it; `None` for a token kept from before.
    pub written_at: Option<Moment>,
    /// Era of the store that took it.
    pub written_era: Option<Era>,
}

/// Takes the duty of a group under a new token, unless another instance took it
/// under a later one than `since`, which was known when this one decided to act.
/// While the store cannot be reached, a token of this life that was never spent
/// will do.
pub async fn claim(
    engine: &Engine,
    directory: &dyn Directory,
    group: &GroupId,
    order: OrderChange,
    since: DutyToken,
) -> Option<Claim> {
    match claim_new(engine, directory, group, order.clone(), since).await {
        Ok((duty, era)) => Some(Claim { duty, written_at: Some(now()), written_era: Some(era) }),
        Err(error) => {
            let me = engine.me();
            let kept = engine.with_duties(|duties| duties.usable(group, &me.id, me.life));
            let token = kept.as_ref().map(|record| record.token);
            let event = Event::new(EventKind::DutyFailed).with("group", group);
            event_log::emit(&event.with("reason", &error).with_some("kept_token", token));
            // Somebody else's newer record makes an old token useless.
            match error {
                WriteError::Conflict(_) => None,
                WriteError::NotDone(_) | WriteError::Unanswered(_) => {
                    let duty = kept?;
                    engine.with_duties(|duties| duties.note_order(group, order));
                    Some(Claim { duty, written_at: None, written_era: None })
                }
            }
        }
    }
}

async fn claim_new(
    engine: &Engine,
    directory: &dyn Directory,
    group: &GroupId,
    order: OrderChange,
    since: DutyToken,
) -> Result<(DutyRecord, Era), WriteError> {
    let (present, expected) = match directory.get(RecordKind::Duties, group).await {
        Ok(present) => {
            let expected = present.as_ref().map(|entry| entry.revision);
            (present, expected)
        }
        // Somebody else wrote it. What was known of the duty goes on.
        Err(DirectoryError::RecordUnreadable(revision)) => (None, Some(revision)),
        Err(error) => return Err(WriteError::NotDone(error)),
    };
    engine.note_store_era(expected.unwrap_or_default().era, RecordKind::Duties);
    let era = engine.store_era().latest();
    if let Some(Entry { record: Record::Duty(record), revision, .. }) = &present {
        engine.with_duties(|duties| duties.learn(*revision, record.clone()));
        // Somebody took the duty since this instance decided to act, and acts
        // now. Two that replace a primary at once undo each other's work, and an
        // order that is overwritten is seen by nobody who reads the store.
        if record.token > since && record.holder != engine.me().id {
            return Err(WriteError::Conflict(present));
        }
    }
    let last = engine.with_duties(|duties| duties.record(group).cloned());
    let next = next_record(group, engine.me(), last.as_ref(), None, era);
    let next = match order {
        OrderChange::Keep => next,
        OrderChange::Put(order) => DutyRecord { order, ..next },
    };
    let next = with_word_of_most(engine, next, era)
        .ok_or(WriteError::NotDone(DirectoryError::OrdersUnknown))?;
    let record = Record::Duty(next.clone());
    let written = match directory.write(group, &record, expected).await {
        // The write may have been done: then the record says so.
        Err(WriteError::Unanswered(error)) => {
            let entry = directory.get(RecordKind::Duties, group).await;
            match entry.map_err(WriteError::NotDone)? {
                Some(entry) if entry.record == record => entry.revision,
                _ => return Err(WriteError::Unanswered(error)),
            }
        }
        result => result?,
    };
    engine.with_duties(|duties| duties.learn(written, next.clone()));
    // The store came back from a copy meanwhile: it may hold another record under the
    // revision that was expected, and a higher token was given out before.
    if written.era != era {
        engine.note_store_era(written.era, RecordKind::Duties);
        return Err(WriteError::Conflict(None));
    }
    let event = Event::new(EventKind::DutyTaken).with("group", group);
    event_log::emit(&event.with("holder", &next.holder).with("token", next.token));
    Ok((next, era))
}

/// The first record of an era, with the terms that most voters have retired; `None` if
/// too few told. A copy of the store can lack the order for which they did so, and
/// nobody else may know it.
fn with_word_of_most(engine: &Engine, next: DutyRecord, era: Era) -> Option<DutyRecord> {
    if !engine.with_duties(|duties| duties.may_lack_order(&next.group, era)) {
        return Some(next);
    }
    let told = engine.retired_by_majority(&next.group)?;
    Some(DutyRecord { retired: next.retired.max(told), ..next })
}
