//! What changed between two versions of the configuration.
//!
//! Versions usually differ in a few routes, while the whole text grows with the number of
//! databases. Instances therefore send each other the changes to the version that the
//! receiver has.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::hash::Hash;
use std::sync::Arc;
use std::time::Duration;

use crate::account::Account;
use crate::account::Accounts;
use crate::catalog::Catalog;
use crate::catalog::GroupSettings;
use crate::catalog::Route;
use crate::id::AccountId;
use crate::id::GroupId;

/// Entries of a map that were added or changed, and the keys of those that were removed.
#[derive(Clone, Debug, PartialEq)]
pub struct MapChange<K, V> {
    /// Added and changed entries.
    pub present: Vec<(K, V)>,
    /// Keys of removed entries.
    pub removed: Vec<K>,
}

impl<K, V> Default for MapChange<K, V> {
    fn default() -> Self {
        Self { present: Vec::new(), removed: Vec::new() }
    }
}

impl<K: Clone + Eq + Hash, V: Clone + PartialEq> MapChange<K, V> {
    fn between(before: &HashMap<K, V>, after: &HashMap<K, V>) -> Self {
        let is_new = |(key, value): &(&K, &V)| before.get(*key) != Some(*value);
        let present = after.iter().filter(is_new);
        let removed = before.keys().filter(|key| !after.contains_key(*key));
        Self {
            present: present.map(|(key, value)| (key.clone(), value.clone())).collect(),
            removed: removed.cloned().collect(),
        }
    }

    fn apply(&self, before: &HashMap<K, V>) -> HashMap<K, V> {
        let mut after = before.clone();
        for key in &self.removed {
            after.remove(key);
        }
        after.extend(self.present.iter().cloned());
        after
    }
}

/// What changed between two versions of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CatalogChange {
    /// The version to which the change applies.
    pub base_version: u64,
    /// The version that results.
    pub version: u64,
    /// Changed routes.
    pub routes: MapChange<Arc<str>, Arc<Route>>,
    /// Changed groups.
    pub groups: MapChange<GroupId, GroupSettings>,
    /// Changed client accounts; `None` if clients need no key in the resulting version.
    pub accounts: Option<MapChange<AccountId, Account>>,
    /// See [`Catalog::transaction_idle`].
    pub transaction_idle: Option<Duration>,
}

fn accounts_by_id(accounts: Option<&Accounts>) -> HashMap<AccountId, Account> {
    let accounts = accounts.into_iter().flat_map(Accounts::iter);
    accounts.map(|(id, account)| (id.clone(), account.clone())).collect()
}

impl CatalogChange {
    /// What changed from `before` to `after`.
    #[must_use]
    pub fn between(before: &Catalog, after: &Catalog) -> Self {
        let accounts = after.accounts.as_ref().map(|accounts| {
            let before = accounts_by_id(before.accounts.as_ref());
            MapChange::between(&before, &accounts_by_id(Some(accounts)))
        });
        Self {
            base_version: before.version,
            version: after.version,
            routes: MapChange::between(&before.routes, &after.routes),
            groups: MapChange::between(&before.groups, &after.groups),
            accounts,
            transaction_idle: after.transaction_idle,
        }
    }

    /// The configuration that results from `before`; `None` if the change applies to another
    /// version.
    #[must_use]
    pub fn apply(&self, before: &Catalog) -> Option<Catalog> {
        if before.version != self.base_version {
            return None;
        }
        let accounts = self.accounts.as_ref().map(|change| {
            let accounts = change.apply(&accounts_by_id(before.accounts.as_ref()));
            accounts
                .into_iter()
                .fold(Accounts::default(), |all, (id, account)| all.with_account(id, account))
        });
        Some(Catalog {
            version: self.version,
            routes: self.routes.apply(&before.routes),
            groups: self.groups.apply(&before.groups),
            transaction_idle: self.transaction_idle,
            accounts,
        })
    }
}

/// Number of versions that an instance keeps. One that missed more gets the whole
/// configuration.
const KEPT_VERSIONS: usize = 8;

/// The latest versions of the configuration, oldest first.
#[derive(Clone, Debug, Default)]
pub struct RecentCatalogs(VecDeque<Arc<Catalog>>);

impl RecentCatalogs {
    /// Adds a version that was put in force, unless a later one was added meanwhile.
    pub fn add(&mut self, catalog: Arc<Catalog>) {
        if self.0.back().is_some_and(|latest| latest.version >= catalog.version) {
            return;
        }
        if self.0.len() >= KEPT_VERSIONS {
            self.0.pop_front();
        }
        self.0.push_back(catalog);
    }

    /// What changed from a version to the latest one; `None` if that version is not kept.
    #[must_use]
    pub fn changes_since(&self, version: u64) -> Option<CatalogChange> {
        let before = self.0.iter().find(|catalog| catalog.version == version)?;
        Some(CatalogChange::between(before, self.0.back()?))
    }
}
