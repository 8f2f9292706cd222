//! The connection holders of each group, called holders: the instances that hold connections
//! to the group's servers. They are computed from the list of instances and the configuration
//! that this instance has. All other instances forward statements for the group to them.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use chervilwharf_lib::fleet::InstanceRecord;
use chervilwharf_lib::holder_choice::Affinity;
use chervilwharf_lib::holder_choice::Candidate;
use chervilwharf_lib::holder_choice::choose;
use chervilwharf_lib::holders::holders;
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

#[derive(Default)]
struct Inner {
    /// When `staying` was last checked for changes.
    checked_at: Option<Moment>,
    /// Instances that can hold connections: those that are not about to leave.
    staying: Arc<Vec<InstanceRecord>>,
    /// Version of the configuration that the lists were computed from.
    configuration_version: u64,
    /// Lists of holders by group, computed for `staying` and `configuration_version`. They
    /// are cached since computing them every 200 ms took a quarter of a core with 64
    /// groups and 31 instances.
    cached: HashMap<GroupId, Arc<Vec<InstanceRecord>>>,
    /// Groups that this instance holds connections to.
    held: Option<Arc<Vec<GroupId>>>,
    /// Holders that could not serve a statement of a group, with the time until which they
    /// are avoided for it.
    skip_until: HashMap<(GroupId, InstanceId), Moment>,
}

/// Cached lists of holders, by group.
#[derive(Default)]
pub struct Holders {
    inner: Mutex<Inner>,
}

impl Holders {
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

    /// Drops the cached lists if they were computed from other instances or another
    /// configuration.
    fn check(&mut self, at: Moment, staying: Vec<InstanceRecord>, configuration_version: u64) {
        self.checked_at = Some(at);
        if *self.staying == staying && self.configuration_version == configuration_version {
            return;
        }
        self.staying = Arc::new(staying);
        self.configuration_version = configuration_version;
        self.cached.clear();
        self.held = None;
    }
}

impl Engine {
    /// Instances that hold connections to a group.
    #[must_use]
    pub fn holders(&self, group: &GroupId) -> Arc<Vec<InstanceRecord>> {
        self.check_holders();
        let mut inner = self.holder_lists().lock();
        if let Some(cached) = inner.cached.get(group) {
            return cached.clone();
        }
        let catalog = self.catalog();
        let max_connections =
            catalog.groups.get(group).map_or(0, |settings| settings.max_connections);
        let computed =
            Arc::new(holders(group, max_connections, catalog.groups.len(), &inner.staying));
        inner.cached.insert(group.clone(), computed.clone());
        computed
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
        let staying = self.with_fleet(|fleet| {
            let record = |id: &InstanceId| match fleet.record(id) {
                Some(record) => record.clone(),
                None => self.me().clone(),
            };
            let staying = if holders_known { fleet.eligible(at) } else { Vec::new() };
            staying.iter().map(record).collect::<Vec<_>>()
        });
        let version = self.catalog().version;
        self.holder_lists().lock().check(at, staying, version);
    }

    /// Shards of the groups that this instance holds connections to.
    #[must_use]
    pub fn held_shards(&self) -> Vec<Arc<Shard>> {
        self.check_holders();
        let cached = self.holder_lists().lock().held.clone();
        let held = cached.unwrap_or_else(|| {
            let shards = self.shards();
            // Servers may be listed for a group that the configuration does not name.
            // Those are neither probed nor replaced.
            let catalog = self.catalog();
            let ids = shards.iter().map(|shard| shard.id());
            let configured = ids.filter(|id| catalog.groups.contains_key(*id));
            let held = configured.filter(|id| self.is_holder(id));
            let held = Arc::new(held.cloned().collect::<Vec<_>>());
            self.holder_lists().lock().held = Some(held.clone());
            held
        });
        held.iter().map(|group| self.shard(group)).collect()
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

    /// Drops the cached list of held groups, since a group was added.
    pub(crate) fn invalidate_held(&self) {
        self.holder_lists().lock().held = None;
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
