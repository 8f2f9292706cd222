//! The connection holders of each group, called holders: the instances that hold connections
//! to the group's servers. They are computed from the list of instances and the configuration
//! that this instance has. All other instances forward statements for the group to them.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use chervilwharf_lib::account_homes::AccountHomes;
use chervilwharf_lib::fleet::EligibleStamp;
use chervilwharf_lib::fleet::InstanceRecord;
use chervilwharf_lib::holder_choice::Affinity;
use chervilwharf_lib::holder_choice::Candidate;
use chervilwharf_lib::holder_choice::choose;
use chervilwharf_lib::holder_table::HolderTable;
use chervilwharf_lib::id::GroupId;
use chervilwharf_lib::id::InstanceId;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::peer_contact::Reachability;

use crate::engine::clock::now;
use crate::engine::shard::Shard;
use crate::engine::shared::Engine;

/// Interval at which the list of instances is checked for changes. Instances come and go
/// within seconds; a check for each statement would cost more than the statement.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// How long a holder that could not serve a statement of a group is avoided for that group.
/// It may be able to serve it after the next heartbeats.
const SKIP_DURATION: Duration = Duration::from_millis(500);

struct Inner {
    /// When the instances were last checked for changes.
    checked_at: Option<Moment>,
    /// The instances that `table` was computed from; `None` if it is not known which
    /// instances can hold connections.
    stamp: Option<EligibleStamp>,
    table: HolderTable,
    /// Holders that could not serve a statement of a group, with the time until which they
    /// are avoided for it.
    skip_until: HashMap<(GroupId, InstanceId), Moment>,
}

/// The holders of each group.
pub struct Holders {
    inner: Mutex<Inner>,
    account_homes: Mutex<AccountHomes>,
}

impl Holders {
    /// Creates the state of an instance that knows no other instances.
    #[must_use]
    pub fn new(me: InstanceId) -> Self {
        let table = HolderTable::new(me);
        let skip_until = HashMap::new();
        let inner = Mutex::new(Inner { checked_at: None, stamp: None, table, skip_until });
        Self { inner, account_homes: Mutex::default() }
    }

    /// Which accounts have a home in the failure domain of this instance.
    pub(super) fn account_homes(&self) -> MutexGuard<'_, AccountHomes> {
        self.account_homes.lock().expect("never poisoned")
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("never poisoned")
    }

    /// Records that a holder could not serve a statement of a group that another holder may
    /// be able to serve.
    pub fn observe_refusal(&self, group: &GroupId, id: &InstanceId) {
        let at = now();
        let mut inner = self.lock();
        inner.skip_until.retain(|_, until| *until > at);
        inner.skip_until.insert((group.clone(), id.clone()), at + SKIP_DURATION);
    }

    /// Makes the next use check the list of instances and the configuration for changes.
    pub fn mark_stale(&self) {
        self.lock().checked_at = None;
    }
}

impl Inner {
    fn is_fresh(&self, at: Moment) -> bool {
        self.checked_at.is_some_and(|checked_at| checked_at + CHECK_INTERVAL > at)
    }
}

impl Engine {
    /// Instances that hold connections to a group.
    #[must_use]
    pub fn holders(&self, group: &GroupId) -> Arc<Vec<InstanceRecord>> {
        self.check_holders();
        self.holder_lists().lock().table.holders(group)
    }

    fn check_holders(&self) {
        let at = now();
        if self.holder_lists().lock().is_fresh(at) {
            return;
        }
        // An instance that has just started would compute that it is the only one. After a
        // power loss each of 72 instances opened connections to all servers, and each
        // connection took a slot of the server for 12 to 27 ms.
        let holders_known = self.knows_candidate_holders();
        let stamp = holders_known.then(|| self.with_fleet(|fleet| fleet.eligible_stamp(at)));
        let is_changed = self.holder_lists().lock().stamp != stamp;
        let eligible = is_changed.then(|| match stamp {
            Some(_) => self.eligible_records(at),
            None => Vec::new(),
        });
        let catalog = self.catalog();
        let mut inner = self.holder_lists().lock();
        inner.checked_at = Some(at);
        inner.table.set_catalog(&catalog);
        if let Some(eligible) = eligible {
            inner.stamp = stamp;
            inner.table.set_eligible(eligible);
        }
    }

    /// Records of the instances that are eligible for new duties, ordered by id.
    fn eligible_records(&self, at: Moment) -> Vec<InstanceRecord> {
        self.with_fleet(|fleet| {
            let record = |id: &InstanceId| fleet.record(id).unwrap_or(self.me()).clone();
            fleet.eligible(at).iter().map(record).collect()
        })
    }

    /// Groups of the configuration that this instance holds connections to. Servers may also
    /// be listed for a group that the configuration does not name. Those are neither probed
    /// nor replaced.
    #[must_use]
    pub fn held_groups(&self) -> Arc<Vec<GroupId>> {
        self.check_holders();
        self.holder_lists().lock().table.held()
    }

    /// Shards of the groups that this instance holds connections to.
    #[must_use]
    pub fn held_shards(&self) -> Vec<Arc<Shard>> {
        self.held_groups().iter().map(|group| self.shard(group)).collect()
    }

    /// Shards of the groups that this instance holds connections to, and of those of which
    /// it still has connections in use. A transaction that began before the holders
    /// changed needs the primary lease until it ends.
    #[must_use]
    pub fn used_shards(&self) -> Vec<Arc<Shard>> {
        let mut used = self.held_shards();
        let held: HashSet<_> = used.iter().map(|shard| shard.id().clone()).collect();
        let lent = self.shards().into_iter().filter(|shard| shard.has_lent());
        used.extend(lent.filter(|shard| !held.contains(shard.id())));
        used
    }

    /// Whether this instance holds connections to a group.
    #[must_use]
    pub fn is_holder(&self, group: &GroupId) -> bool {
        self.check_holders();
        self.holder_lists().lock().table.holds(group)
    }

    /// Whether all instances hold connections to a group.
    #[must_use]
    pub fn is_held_by_all(&self, group: &GroupId) -> bool {
        self.check_holders();
        self.holder_lists().lock().table.is_held_by_all(group)
    }

    /// The other instances that hold connections to a group.
    #[must_use]
    pub fn co_holders(&self, group: &GroupId) -> Vec<InstanceRecord> {
        let holders = self.holders(group);
        holders.iter().filter(|record| record.id != self.me().id).cloned().collect()
    }

    /// Whether this instance serves a statement for a group with its own connections. It
    /// has to be a holder of the group. For an account, it also has to be the holder that is
    /// chosen for all statements of that account.
    #[must_use]
    pub fn serves_here(&self, group: &GroupId, affinity: &Affinity) -> bool {
        if !self.is_holder(group) {
            return false;
        }
        if let Affinity::Session(_) = affinity {
            return true;
        }
        let mut candidates = self.candidates(group, &[]);
        let (record, reachability) = (self.me().clone(), Reachability::Reachable);
        candidates.push(Candidate { record, reachability, recently_refused: false, near: true });
        let best = choose(&candidates, affinity);
        best.is_none_or(|candidate| candidate.record.id == self.me().id)
    }

    /// The other holders of a group that a statement could be forwarded to, without those in
    /// `tried`.
    #[must_use]
    pub fn candidates(&self, group: &GroupId, tried: &[InstanceId]) -> Vec<Candidate> {
        let at = now();
        let mut holders = self.co_holders(group);
        holders.retain(|record| !tried.contains(&record.id));
        let inner = self.holder_lists().lock();
        let recently_refused = |id: &InstanceId| {
            let until = inner.skip_until.get(&(group.clone(), id.clone()));
            until.is_some_and(|until| *until > at)
        };
        let candidate = |record: InstanceRecord| Candidate {
            reachability: self.peer_contacts().of(&record.id),
            recently_refused: recently_refused(&record.id),
            near: record.failure_domain == self.me().failure_domain,
            record,
        };
        holders.into_iter().map(candidate).collect()
    }
}
