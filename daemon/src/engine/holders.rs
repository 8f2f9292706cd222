//! Which instances hold the connections to a group, as this instance sees it.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use chervilwharf_lib::fleet::InstanceRecord;
use chervilwharf_lib::holders::holders;
use chervilwharf_lib::id::GroupId;
use chervilwharf_lib::id::InstanceId;
use chervilwharf_lib::moment::Moment;

use crate::engine::clock::now;
use crate::engine::shared::Engine;

/// How long a computed list of holders is used. Instances come and go in
/// seconds; computing it for each statement would cost more than the
/// statement.
const KEPT_FOR: Duration = Duration::from_millis(200);

/// A holder that did not answer, or does not hold, is passed over for this
/// long.
const AVOIDED_FOR: Duration = Duration::from_secs(1);

struct Kept {
    computed_at: Moment,
    holders: Arc<Vec<InstanceRecord>>,
}

#[derive(Default)]
struct Inner {
    kept: HashMap<GroupId, Kept>,
    avoided_until: HashMap<InstanceId, Moment>,
}

/// Lists of holders, by group.
#[derive(Default)]
pub struct Holders {
    inner: Mutex<Inner>,
}

impl Holders {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("never poisoned")
    }

    /// Passes an instance over for a while.
    pub fn avoid(&self, id: &InstanceId) {
        let until = now() + AVOIDED_FOR;
        self.lock().avoided_until.insert(id.clone(), until);
    }

    /// Forgets the lists, after the instances or the configuration changed.
    pub fn forget(&self) {
        self.lock().kept.clear();
    }
}

impl Engine {
    /// Instances that hold the connections to a group.
    #[must_use]
    pub fn holders(&self, group: &GroupId) -> Arc<Vec<InstanceRecord>> {
        let at = now();
        if let Some(kept) = self.holder_lists().lock().kept.get(group) {
            if kept.computed_at + KEPT_FOR > at {
                return kept.holders.clone();
            }
        }
        let computed = Arc::new(self.compute_holders(group, at));
        let kept = Kept { computed_at: at, holders: computed.clone() };
        self.holder_lists().lock().kept.insert(group.clone(), kept);
        computed
    }

    fn compute_holders(&self, group: &GroupId, at: Moment) -> Vec<InstanceRecord> {
        let catalog = self.catalog();
        let max_connections =
            catalog.groups.get(group).map_or(0, |settings| settings.max_connections);
        let staying = self.with_fleet(|fleet| {
            let staying = fleet.staying(at);
            let record = |id: &InstanceId| match fleet.record(id) {
                Some(record) => record.clone(),
                None => self.me().clone(),
            };
            staying.iter().map(record).collect::<Vec<_>>()
        });
        holders(group, max_connections, &staying)
    }

    /// Whether this instance holds connections to a group.
    #[must_use]
    pub fn is_holder(&self, group: &GroupId) -> bool {
        self.holders(group).iter().any(|record| record.id == self.me().id)
    }

    /// The other instances that hold connections to a group.
    #[must_use]
    pub fn co_holders(&self, group: &GroupId) -> Vec<InstanceRecord> {
        let holders = self.holders(group);
        holders.iter().filter(|record| record.id != self.me().id).cloned().collect()
    }

    /// A holder to go through: one in this failure domain if there is one, the
    /// same for the same `key`, so that its connections fit the session.
    #[must_use]
    pub fn choose_holder(
        &self,
        group: &GroupId,
        key: u32,
        tried: &[InstanceId],
    ) -> Option<InstanceRecord> {
        let at = now();
        let holders = self.co_holders(group);
        let inner = self.holder_lists().lock();
        let avoided = |record: &InstanceRecord| {
            inner.avoided_until.get(&record.id).is_some_and(|until| *until > at)
        };
        let near = |record: &InstanceRecord| record.failure_domain == self.me().failure_domain;
        let untried: Vec<_> =
            holders.into_iter().filter(|record| !tried.contains(&record.id)).collect();
        let best = untried.iter().map(|record| (avoided(record), !near(record))).min()?;
        let equal: Vec<_> =
            untried.iter().filter(|record| (avoided(record), !near(record)) == best).collect();
        let index = usize::try_from(key).unwrap_or_default() % equal.len();
        equal.get(index).map(|record| (*record).clone())
    }
}
