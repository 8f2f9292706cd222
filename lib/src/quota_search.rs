//! The order in which an entry instance asks for operations of an account: the keeper, then
//! a share holder in its own failure domain, then one more. While the keeper is unknown or
//! skipped, another share holder takes its place.

use std::collections::HashMap;
use std::time::Duration;

use crate::fleet::InstanceRecord;
use crate::fleet::UNREACHABLE_AFTER;
use crate::id::AccountId;
use crate::id::InstanceId;
use crate::moment::Moment;
use crate::placement::stable_hash;
use crate::quota_share::STANDBY_TIME;

/// Longest time from the first question to the admission or refusal of an operation: five
/// round trips between failure domains at 3.4 ms one way, with time for processing, and
/// half of the most urgent objective.
pub const QUOTA_SEARCH_LIMIT: Duration = Duration::from_millis(50);

/// Longest time for the answer of one counter: two round trips between failure domains and
/// a connection that has to be opened, so that two more counters can be asked in time.
pub const COUNTER_TIMEOUT: Duration = Duration::from_millis(20);

/// How long a counter that did not answer is not asked again.
const SKIP_TIME: Duration = Duration::from_millis(300);

/// Number of instances that are asked as the keeper: the presumed one, and the one that
/// another instance names instead.
const MAX_KEEPERS_ASKED: usize = 2;

/// Most counters that are asked for one operation.
const MAX_ASKED: usize = 4;

/// How long a counter that did not answer is asked only after all others: in a partition,
/// an entry that asks seldom would otherwise spend each search on counters beyond it.
const SUSPECT_TIME: Duration = UNREACHABLE_AFTER;

/// Instances that an entry does not ask for a while, or asks last.
#[derive(Clone, Debug, Default)]
pub struct SkippedCounters {
    /// When each instance was last asked without an answer.
    unanswered_at: HashMap<InstanceId, Moment>,
    exhausted_until: HashMap<AccountId, HashMap<InstanceId, Moment>>,
    standby_until: HashMap<AccountId, HashMap<InstanceId, Moment>>,
}

impl SkippedCounters {
    /// Records that an instance did not answer.
    pub fn record_unanswered(&mut self, now: Moment, counter: &InstanceId) {
        self.unanswered_at.retain(|_, at| *at + SUSPECT_TIME > now);
        self.unanswered_at.insert(counter.clone(), now);
    }

    /// Records that an instance answered.
    pub fn record_answered(&mut self, counter: &InstanceId) {
        self.unanswered_at.remove(counter);
    }

    /// Records that an instance has no operations left for an account until `until`.
    pub fn record_exhausted(
        &mut self,
        now: Moment,
        counter: &InstanceId,
        account: &AccountId,
        until: Moment,
    ) {
        let counters = self.exhausted_until.entry(account.clone()).or_default();
        counters.retain(|_, until| *until > now);
        counters.insert(counter.clone(), until);
    }

    /// Records that an instance does not count an account until `until`, and named the
    /// keeper: its share is on standby, or it holds none.
    pub fn record_standby(
        &mut self,
        now: Moment,
        counter: &InstanceId,
        account: &AccountId,
        until: Moment,
    ) {
        let counters = self.standby_until.entry(account.clone()).or_default();
        counters.retain(|_, until| *until > now);
        counters.insert(counter.clone(), until.min(now + STANDBY_TIME));
    }

    /// Until when an instance has no operations left for an account, if it said so.
    #[must_use]
    pub fn exhausted_until(
        &self,
        now: Moment,
        counter: &InstanceId,
        account: &AccountId,
    ) -> Option<Moment> {
        let until = *self.exhausted_until.get(account)?.get(counter)?;
        (until > now).then_some(until)
    }

    fn is_skipped(&self, now: Moment, counter: &InstanceId, account: &AccountId) -> bool {
        self.unanswered_at.get(counter).is_some_and(|at| *at + SKIP_TIME > now)
            || self.exhausted_until(now, counter, account).is_some()
    }

    fn is_standby(&self, now: Moment, counter: &InstanceId, account: &AccountId) -> bool {
        let counters = self.standby_until.get(account);
        counters.and_then(|counters| counters.get(counter)).is_some_and(|until| *until > now)
    }

    fn is_suspect(&self, now: Moment, counter: &InstanceId) -> bool {
        self.unanswered_at.get(counter).is_some_and(|at| *at + SUSPECT_TIME > now)
    }
}

/// The instances that an entry can ask, as it knows them.
#[derive(Clone, Copy, Debug)]
pub struct Counters<'a> {
    /// The entry.
    pub me: &'a InstanceRecord,
    /// The voters of the account's shard and its extra share holders.
    pub holders: &'a [InstanceRecord],
    /// The presumed keeper.
    pub keeper: Option<&'a InstanceRecord>,
    /// Instances that are not asked.
    pub skipped: &'a SkippedCounters,
}

/// Progress of the search for one operation.
#[derive(Clone, Debug)]
pub struct QuotaSearch {
    account: AccountId,
    asked: Vec<InstanceId>,
    near_is_due: bool,
    keepers_asked: usize,
    keeper_is_due: bool,
    /// Number of further share holders to ask.
    others_due: usize,
}

impl QuotaSearch {
    /// Creates the search for an operation of an account.
    #[must_use]
    pub fn new(account: AccountId) -> Self {
        Self {
            account,
            asked: Vec::new(),
            near_is_due: true,
            keepers_asked: 0,
            keeper_is_due: true,
            others_due: 1,
        }
    }

    /// The instance to ask next; `None` if no further one is asked.
    pub fn next(&mut self, now: Moment, counters: &Counters<'_>) -> Option<InstanceRecord> {
        if self.asked.len() >= MAX_ASKED {
            return None;
        }
        let chosen = self.choose(now, counters)?.clone();
        self.asked.push(chosen.id.clone());
        Some(chosen)
    }

    fn choose<'a>(&mut self, now: Moment, counters: &Counters<'a>) -> Option<&'a InstanceRecord> {
        let Counters { me, holders, keeper, skipped } = *counters;
        let asked = &self.asked;
        let usable = |record: &&InstanceRecord| {
            !asked.contains(&record.id) && !skipped.is_skipped(now, &record.id, &self.account)
        };
        let suspect = |record: &&InstanceRecord| skipped.is_suspect(now, &record.id);
        let score = |record: &&InstanceRecord| {
            (suspect(record), stable_hash(&["counter", &me.id, &record.id]))
        };
        let may_ask_keeper = self.keepers_asked < MAX_KEEPERS_ASKED;
        let usable_keeper = keeper.filter(usable).filter(|_| may_ask_keeper);
        if let Some(keeper) = usable_keeper.filter(|keeper| !suspect(keeper)) {
            self.keepers_asked += 1;
            return Some(keeper);
        }
        // A share holder on standby is asked only to learn who the keeper is.
        let may_count = |record: &&InstanceRecord| {
            usable(record)
                && (keeper.is_none() || !skipped.is_standby(now, &record.id, &self.account))
        };
        if std::mem::take(&mut self.near_is_due) {
            let is_near = |record: &&InstanceRecord| record.failure_domain == me.failure_domain;
            let near = holders.iter().filter(is_near).filter(|near| !suspect(near));
            let near = near.filter(may_count).min_by_key(score);
            if near.is_some() {
                return near;
            }
        }
        // Another share holder takes the place of a keeper that is skipped. If it did not answer,
        // two do, because some of them may be beyond the same partition.
        let is_exhausted = keeper.is_some_and(|keeper| {
            skipped.exhausted_until(now, &keeper.id, &self.account).is_some()
        });
        let has_answered = keeper.is_some_and(|keeper| {
            asked.contains(&keeper.id) && !skipped.is_suspect(now, &keeper.id)
        });
        if std::mem::take(&mut self.keeper_is_due) && !has_answered {
            self.others_due += if is_exhausted { 1 } else { 2 };
        }
        if self.others_due > 0 {
            self.others_due -= 1;
            let other = holders.iter().filter(may_count).min_by_key(score);
            if other.is_some() {
                return other;
            }
        }
        // A keeper that did not answer shortly before is asked last.
        usable_keeper.inspect(|_| self.keepers_asked += 1)
    }
}
