//! The holders of all groups, as one instance needs them while the fleet changes.
//!
//! An instance has to know for every group whether it is a holder itself, and the whole list
//! of holders only of the groups that it uses or forwards statements for. To compute all
//! lists after each change takes a step for each pair of a group and an instance, which
//! delays a small machine of a large fleet for seconds. This table computes a list when it is
//! asked for, keeps the lists that a change does not touch, and finds the groups that the
//! instance holds by comparing it with few others.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use crate::catalog::Catalog;
use crate::fleet::InstanceRecord;
use crate::group_ranking::DomainRivals;
use crate::group_ranking::GroupRanking;
use crate::holders::HolderCount;
use crate::holders::MAX_HOLDERS;
use crate::holders::holder_count;
use crate::id::GroupId;
use crate::id::InstanceId;

/// The holders of all groups, computed on demand.
#[derive(Debug)]
pub struct HolderTable {
    me: InstanceId,
    catalog: Arc<Catalog>,
    /// The instances that can hold connections, ordered by id.
    eligible: Arc<Vec<InstanceRecord>>,
    /// This instance and the others of its failure domain; `None` if this instance is not
    /// eligible.
    rivals: Option<(InstanceRecord, DomainRivals)>,
    lists: HashMap<GroupId, HolderList>,
    /// Groups that this instance holds connections to.
    held: Option<Arc<Vec<GroupId>>>,
    scores_computed: u64,
}

/// The holders of a group.
#[derive(Debug)]
struct HolderList {
    ranking: GroupRanking,
    holders: Arc<Vec<InstanceRecord>>,
}

impl HolderTable {
    /// Creates the table of an instance that knows no configuration and no instances.
    #[must_use]
    pub fn new(me: InstanceId) -> Self {
        Self {
            me,
            catalog: Arc::default(),
            eligible: Arc::default(),
            rivals: None,
            lists: HashMap::new(),
            held: None,
            scores_computed: 0,
        }
    }

    /// Sets the configuration.
    pub fn set_catalog(&mut self, catalog: &Arc<Catalog>) {
        if catalog.version == self.catalog.version {
            return;
        }
        if catalog.groups != self.catalog.groups {
            self.held = None;
            self.lists.retain(|group, _| catalog.groups.contains_key(group));
        }
        self.catalog = catalog.clone();
    }

    /// Sets the instances that can hold connections: the live ones that are not leaving,
    /// ordered by id.
    pub fn set_eligible(&mut self, eligible: Vec<InstanceRecord>) {
        if *self.eligible == eligible {
            return;
        }
        let before: HashSet<_> = self.eligible.iter().collect();
        let after: HashSet<_> = eligible.iter().collect();
        let left: Vec<_> = before.difference(&after).collect();
        let joined: Vec<_> = after.difference(&before).collect();
        let mut scores_computed = 0;
        self.lists.retain(|_, list| {
            if left.iter().any(|record| list.ranking.contains(&record.id)) {
                return false;
            }
            scores_computed += joined.len() as u64;
            !joined.iter().any(|record| list.ranking.admits(record))
        });
        self.scores_computed += scores_computed;
        let me = eligible.iter().find(|record| record.id == self.me);
        self.rivals = me.map(|me| (me.clone(), DomainRivals::new(me, &eligible)));
        self.eligible = Arc::new(eligible);
        self.held = None;
    }

    /// The holders of a group.
    #[must_use]
    pub fn holders(&mut self, group: &GroupId) -> Arc<Vec<InstanceRecord>> {
        let HolderCount::First(count) = self.count(group) else {
            return self.eligible.clone();
        };
        if let Some(list) = self.lists.get(group).filter(|list| list.holders.len() == count) {
            return list.holders.clone();
        }
        let ranking = if let Some(list) = self.lists.remove(group) {
            list.ranking
        } else {
            self.scores_computed += self.eligible.len() as u64;
            GroupRanking::new(group, MAX_HOLDERS, &self.eligible)
        };
        let holders = Arc::new(ranking.first().take(count).cloned().collect::<Vec<_>>());
        self.lists.insert(group.clone(), HolderList { ranking, holders: holders.clone() });
        holders
    }

    /// The groups of the configuration that this instance holds connections to.
    #[must_use]
    pub fn held(&mut self) -> Arc<Vec<GroupId>> {
        if let Some(held) = &self.held {
            return held.clone();
        }
        let catalog = self.catalog.clone();
        let held = catalog.groups.keys().filter(|group| self.holds(group)).cloned();
        let held = Arc::new(held.collect::<Vec<_>>());
        self.held = Some(held.clone());
        held
    }

    /// Whether this instance holds connections to a group.
    #[must_use]
    pub fn holds(&mut self, group: &GroupId) -> bool {
        let Some((me, rivals)) = &self.rivals else {
            return false;
        };
        if let HolderCount::First(count) = self.count(group)
            && !self.lists.contains_key(group)
        {
            let (may_be_first, scores_computed) = rivals.may_be_first(me, group, count);
            self.scores_computed += scores_computed as u64;
            if !may_be_first {
                return false;
            }
        }
        self.holders(group).iter().any(|record| record.id == self.me)
    }

    /// Whether all instances hold connections to a group.
    #[must_use]
    pub fn is_held_by_all(&self, group: &GroupId) -> bool {
        self.count(group) == HolderCount::All
    }

    /// How many scores of pairs of an instance and a group were computed so far, the step
    /// that dominates the time that the table takes.
    #[must_use]
    pub fn scores_computed(&self) -> u64 {
        self.scores_computed
    }

    fn count(&self, group: &GroupId) -> HolderCount {
        let max_connections =
            self.catalog.groups.get(group).map_or(0, |settings| settings.max_connections);
        holder_count(max_connections, self.catalog.groups.len(), self.eligible.len())
    }
}
