//! Order of succession: for each database, the instances that should own it,
//! best first.
//!
//! The order is that of rendezvous hashing, with instances in the failure domain
//! of the database first (see [`crate::placement`]). If the owner of a database
//! fails, the next instance in the order takes over.
//!
//! A fleet has thousands of instances and databases. Ranking all instances for
//! each database at every tick would take longer than the interval between two
//! ticks. [`Succession`] therefore keeps the first few instances of each ranking,
//! and a change of one instance updates only the rankings that it can affect.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::id::DatabaseId;
use crate::id::FailureDomainId;
use crate::id::InstanceId;
use crate::membership::DatabaseView;
use crate::placement;

/// Number of instances kept for each ranking: the owner, two that watch it, and
/// one more that replaces the first of these to fail.
pub const RANKING_DEPTH: usize = 4;

/// An instance in a ranking. The greater value ranks higher.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Ranked {
    near: bool,
    score: u64,
    id: InstanceId,
}

#[derive(Clone, Debug, Default)]
struct Ranking {
    preferred_domain: Option<FailureDomainId>,
    /// Best first, at most [`RANKING_DEPTH`].
    top: Vec<Ranked>,
}

/// The first few instances in the ranking of every database, as one instance
/// computes them.
#[derive(Clone, Debug)]
pub struct Succession {
    me: InstanceId,
    candidates: BTreeMap<InstanceId, FailureDomainId>,
    rankings: HashMap<DatabaseId, Ranking>,
    /// Databases in whose kept ranking this instance is.
    ranked_databases: BTreeSet<DatabaseId>,
}

fn rank_one(
    database: &str,
    preferred_domain: Option<&FailureDomainId>,
    id: &InstanceId,
    domain: &FailureDomainId,
) -> Ranked {
    Ranked {
        near: preferred_domain == Some(domain),
        score: placement::stable_hash(&[database, id]),
        id: id.clone(),
    }
}

impl Succession {
    /// Creates a succession without databases and candidates. `me` is the name of
    /// this instance.
    #[must_use]
    pub fn new(me: InstanceId) -> Self {
        Self {
            me,
            candidates: BTreeMap::new(),
            rankings: HashMap::new(),
            ranked_databases: BTreeSet::new(),
        }
    }

    /// Replaces the databases by those of a configuration. Only databases that
    /// are new or have moved to another failure domain are ranked again.
    pub fn set_databases(&mut self, views: &[DatabaseView]) {
        let mut old = std::mem::take(&mut self.rankings);
        self.ranked_databases.clear();
        for view in views {
            let known = old
                .remove(&view.id)
                .filter(|ranking| ranking.preferred_domain == view.preferred_domain);
            let ranking =
                known.unwrap_or_else(|| self.rank_all(&view.id, view.preferred_domain.clone()));
            self.update_ranked_databases(&view.id, &ranking);
            self.rankings.insert(view.id.clone(), ranking);
        }
    }

    fn rank_all(&self, database: &str, preferred_domain: Option<FailureDomainId>) -> Ranking {
        let mut top: Vec<Ranked> = Vec::with_capacity(RANKING_DEPTH + 1);
        for (id, domain) in &self.candidates {
            insert(&mut top, rank_one(database, preferred_domain.as_ref(), id, domain));
        }
        Ranking { preferred_domain, top }
    }

    fn update_ranked_databases(&mut self, database: &DatabaseId, ranking: &Ranking) {
        if ranking.top.iter().any(|ranked| ranked.id == self.me) {
            self.ranked_databases.insert(database.clone());
        } else {
            self.ranked_databases.remove(database);
        }
    }

    /// Adds an instance to the candidates for ownership.
    pub fn add(&mut self, id: &InstanceId, domain: &FailureDomainId) {
        if self.candidates.get(id) == Some(domain) {
            return;
        }
        self.remove(id);
        self.candidates.insert(id.clone(), domain.clone());
        let mut changed = Vec::new();
        for (database, ranking) in &mut self.rankings {
            let ranked = rank_one(database, ranking.preferred_domain.as_ref(), id, domain);
            if insert(&mut ranking.top, ranked) {
                changed.push(database.clone());
            }
        }
        self.update_changed(&changed);
    }

    /// Removes an instance from the candidates for ownership.
    pub fn remove(&mut self, id: &str) {
        if self.candidates.remove(id).is_none() {
            return;
        }
        let held = |ranking: &Ranking| ranking.top.iter().any(|ranked| *ranked.id == *id);
        let changed: Vec<_> = self
            .rankings
            .iter()
            .filter(|(_, ranking)| held(ranking))
            .map(|(database, ranking)| (database.clone(), ranking.preferred_domain.clone()))
            .collect();
        for (database, preferred_domain) in &changed {
            let ranking = self.rank_all(database, preferred_domain.clone());
            self.rankings.insert(database.clone(), ranking);
        }
        let names: Vec<_> = changed.into_iter().map(|(database, _)| database).collect();
        self.update_changed(&names);
    }

    fn update_changed(&mut self, databases: &[DatabaseId]) {
        for database in databases {
            if let Some(ranking) = self.rankings.get(database).cloned() {
                self.update_ranked_databases(database, &ranking);
            }
        }
    }

    /// Returns the rank of this instance for a database, from 0, not counting the
    /// instance `without`. Returns `None` if this instance is not in the kept
    /// ranking.
    #[must_use]
    pub fn own_rank(&self, database: &str, without: Option<&str>) -> Option<usize> {
        let ranking = self.rankings.get(database)?;
        let others = ranking.top.iter().filter(|ranked| Some(&*ranked.id) != without);
        let mut ids = others.map(|ranked| &ranked.id);
        ids.position(|id| *id == self.me)
    }

    /// Returns the databases in whose kept ranking this instance is.
    pub fn ranked_databases(&self) -> impl Iterator<Item = &DatabaseId> {
        self.ranked_databases.iter()
    }

    /// Returns the best of all candidates for a database if the failure domain
    /// `preferred_domain` is preferred.
    #[must_use]
    pub fn best(
        &self,
        database: &str,
        preferred_domain: Option<&FailureDomainId>,
    ) -> Option<InstanceId> {
        let ranked = self
            .candidates
            .iter()
            .map(|(id, domain)| rank_one(database, preferred_domain, id, domain));
        ranked.max().map(|best| best.id)
    }
}

/// Inserts an instance at its rank if that is within [`RANKING_DEPTH`]. Returns
/// whether it did.
fn insert(top: &mut Vec<Ranked>, ranked: Ranked) -> bool {
    let place = top.partition_point(|other| *other > ranked);
    if place >= RANKING_DEPTH {
        return false;
    }
    top.insert(place, ranked);
    top.truncate(RANKING_DEPTH);
    true
}
