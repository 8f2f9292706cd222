//! Where the statements of a client account go: to the account's single home, or to one in the
//! failure domain of this instance. [`chervilwharf_lib::account_homes`] decides.

use chervilwharf_lib::account_homes::domain_connections;
use chervilwharf_lib::holder_choice::Affinity;
use chervilwharf_lib::id::AccountId;
use chervilwharf_lib::id::GroupId;

use crate::engine::clock::now;
use crate::engine::shared::Engine;

/// Which servers can serve a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbleServers {
    /// Only the primary.
    Primary,
    /// Replicas as well.
    Replicas,
}

impl Engine {
    /// Records that a client sent a statement for an account to this instance.
    pub fn observe_account(&self, account: &AccountId) {
        self.holder_lists().account_homes().observe(now(), account);
    }

    /// The affinity of a statement of an account that `able` servers can serve.
    #[must_use]
    pub fn account_affinity(
        &self,
        group: &GroupId,
        account: &AccountId,
        able: AbleServers,
    ) -> Affinity {
        if able == AbleServers::Replicas && self.has_near_home(group, account) {
            Affinity::LargeAccount(account.clone())
        } else {
            Affinity::Account(account.clone())
        }
    }

    fn has_near_home(&self, group: &GroupId, account: &AccountId) -> bool {
        let catalog = self.catalog();
        let Some(settings) = catalog.groups.get(group) else {
            return false;
        };
        let holders = self.holders(group);
        let domain = &self.me().failure_domain;
        let near = holders.iter().filter(|record| record.failure_domain == *domain).count();
        if near == 0 || near == holders.len() || self.is_held_by_all(group) {
            return false;
        }
        let connections = domain_connections(settings.max_connections, holders.len(), near);
        let mut homes = self.holder_lists().account_homes();
        homes.set_catalog(&catalog);
        homes.is_large(now(), group, account, connections)
    }
}
