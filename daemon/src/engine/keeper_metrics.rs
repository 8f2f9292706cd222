//! Metrics of where the operations of accounts are counted and where large accounts are served.

use chervilwharf_lib::holder_choice::Affinity;
use chervilwharf_lib::holder_choice::choose;
use chervilwharf_lib::id::AccountId;
use chervilwharf_lib::id::GroupId;
use chervilwharf_lib::id::InstanceId;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::engine::clock::now;
use crate::engine::shared::Engine;

/// Most accounts whose homes are reported, so that the size of the metrics text is limited.
const MAX_LARGE_ACCOUNTS: usize = 16;

/// Labels of shards of accounts by what this instance is for them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct RoleLabels {
    role: &'static str,
}

/// Labels of the home of a large account.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct HomeLabels {
    account: String,
    group: String,
    home: String,
}

impl Engine {
    /// The home that reads of a large account, which replicas can serve, are sent to from this
    /// instance; `None` if no holder is known.
    fn near_home(&self, group: &GroupId, account: &AccountId) -> Option<InstanceId> {
        let affinity = Affinity::LargeAccount(account.clone());
        if self.serves_here(group, &affinity) {
            return Some(self.me().id.clone());
        }
        let candidates = self.candidates(group, &[]);
        choose(&candidates, &affinity).map(|home| home.record.id.clone())
    }
}

/// Metrics of keepers, shares and homes of accounts.
#[derive(Clone, Debug, Default)]
pub(super) struct KeeperMetrics {
    quota_shards: Family<RoleLabels, Gauge>,
    account_homes: Family<HomeLabels, Gauge>,
}

impl KeeperMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "quota_shards",
            "Shards of accounts that this instance counts operations for, or may",
            self.quota_shards.clone(),
        );
        registry.register(
            "account_homes",
            "Homes that this instance sends reads of large accounts to",
            self.account_homes.clone(),
        );
    }

    /// Sets all values from the state of the engine.
    pub(super) fn update(&self, engine: &Engine) {
        let shards = engine.quota().shards(now());
        let roles = [
            ("keeper", shards.keeper),
            ("share_counted", shards.share_counted),
            ("share_standby", shards.share_standby),
        ];
        for (role, shards) in roles {
            self.quota_shards.get_or_create(&RoleLabels { role }).set(i64::from(shards));
        }
        self.account_homes.clear();
        let large = engine.holder_lists().account_homes().large(MAX_LARGE_ACCOUNTS);
        for (group, account) in large {
            let Some(home) = engine.near_home(&group, &account) else {
                continue;
            };
            let (account, group) = (account.to_string(), group.to_string());
            let labels = HomeLabels { account, group, home: home.to_string() };
            self.account_homes.get_or_create(&labels).set(1);
        }
    }
}
