//! Who succeeds whom, kept up to date without looking at everything.
//!
//! A fleet has thousands of instances and databases. Ranking all instances
//! for each database at every tick would take more than the time between two
//! ticks, so the first few of each ranking are kept, and a change of one
//! instance touches only what it can change.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::id::DatabaseId;
use crate::id::FailureDomainId;
use crate::id::InstanceId;
use crate::membership::DatabaseView;
use crate::placement;

/// Instances kept of each ranking. One is the owner, two watch it, and one
/// more is ready when one of these goes.
pub const RANKING_DEPTH: usize = 4;

/// An instance in a ranking; greater is better.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Ranked {
    near: bool,
    score: u64,
    id: InstanceId,
}

#[derive(Clone, Debug, Default)]
struct Ranking {
    near: Option<FailureDomainId>,
    /// Best first, at most [`RANKING_DEPTH`].
    top: Vec<Ranked>,
}

/// The first few of the ranking of every database.
#[derive(Clone, Debug)]
pub struct Succession {
    me: InstanceId,
    candidates: BTreeMap<InstanceId, FailureDomainId>,
    rankings: HashMap<DatabaseId, Ranking>,
    /// Databases in whose ranking we are.
    mine: BTreeSet<DatabaseId>,
}

fn rank_one(
    database: &str,
    near: Option<&FailureDomainId>,
    id: &InstanceId,
    domain: &FailureDomainId,
) -> Ranked {
    Ranked {
        near: near == Some(domain),
        score: placement::stable_hash(&[database, id]),
        id: id.clone(),
    }
}

impl Succession {
    /// No databases, and no candidates.
    #[must_use]
    pub fn new(me: InstanceId) -> Self {
        Self { me, candidates: BTreeMap::new(), rankings: HashMap::new(), mine: BTreeSet::new() }
    }

    /// Takes the databases of a configuration. Only those that are new, or
    /// lie elsewhere than before, are ranked anew.
    pub fn set_databases(&mut self, views: &[DatabaseView]) {
        let mut old = std::mem::take(&mut self.rankings);
        self.mine.clear();
        for view in views {
            let known = old.remove(&view.id).filter(|ranking| ranking.near == view.near);
            let ranking = known.unwrap_or_else(|| self.rank_all(&view.id, view.near.clone()));
            self.note_mine(&view.id, &ranking);
            self.rankings.insert(view.id.clone(), ranking);
        }
    }

    fn rank_all(&self, database: &str, near: Option<FailureDomainId>) -> Ranking {
        let mut top: Vec<Ranked> = Vec::with_capacity(RANKING_DEPTH + 1);
        for (id, domain) in &self.candidates {
            insert(&mut top, rank_one(database, near.as_ref(), id, domain));
        }
        Ranking { near, top }
    }

    fn note_mine(&mut self, database: &DatabaseId, ranking: &Ranking) {
        if ranking.top.iter().any(|ranked| ranked.id == self.me) {
            self.mine.insert(database.clone());
        } else {
            self.mine.remove(database);
        }
    }

    /// An instance can own databases from now on.
    pub fn add(&mut self, id: &InstanceId, domain: &FailureDomainId) {
        if self.candidates.get(id) == Some(domain) {
            return;
        }
        self.remove(id);
        self.candidates.insert(id.clone(), domain.clone());
        let mut changed = Vec::new();
        for (database, ranking) in &mut self.rankings {
            let ranked = rank_one(database, ranking.near.as_ref(), id, domain);
            if insert(&mut ranking.top, ranked) {
                changed.push(database.clone());
            }
        }
        self.note_changed(&changed);
    }

    /// An instance cannot own databases any more.
    pub fn remove(&mut self, id: &str) {
        if self.candidates.remove(id).is_none() {
            return;
        }
        let held = |ranking: &Ranking| ranking.top.iter().any(|ranked| *ranked.id == *id);
        let changed: Vec<_> = self
            .rankings
            .iter()
            .filter(|(_, ranking)| held(ranking))
            .map(|(database, ranking)| (database.clone(), ranking.near.clone()))
            .collect();
        for (database, near) in &changed {
            let ranking = self.rank_all(database, near.clone());
            self.rankings.insert(database.clone(), ranking);
        }
        let names: Vec<_> = changed.into_iter().map(|(database, _)| database).collect();
        self.note_changed(&names);
    }

    fn note_changed(&mut self, databases: &[DatabaseId]) {
        for database in databases {
            if let Some(ranking) = self.rankings.get(database).cloned() {
                self.note_mine(database, &ranking);
            }
        }
    }

    /// Our place among the first few, not counting `without`.
    #[must_use]
    pub fn own_rank(&self, database: &str, without: Option<&str>) -> Option<usize> {
        let ranking = self.rankings.get(database)?;
        let others = ranking.top.iter().filter(|ranked| Some(&*ranked.id) != without);
        let mut ids = others.map(|ranked| &ranked.id);
        ids.position(|id| *id == self.me)
    }

    /// Databases in whose ranking we are.
    pub fn mine(&self) -> impl Iterator<Item = &DatabaseId> {
        self.mine.iter()
    }

    /// The best candidate for a database that lies near `near`.
    #[must_use]
    pub fn best(&self, database: &str, near: Option<&FailureDomainId>) -> Option<InstanceId> {
        let ranked =
            self.candidates.iter().map(|(id, domain)| rank_one(database, near, id, domain));
        ranked.max().map(|best| best.id)
    }
}

/// Puts an instance in its place if it is among the first few.
fn insert(top: &mut Vec<Ranked>, ranked: Ranked) -> bool {
    let place = top.partition_point(|other| *other > ranked);
    if place >= RANKING_DEPTH {
        return false;
    }
    top.insert(place, ranked);
    top.truncate(RANKING_DEPTH);
    true
}
