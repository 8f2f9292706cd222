//! Counters by client account, for a limited number of accounts, and metrics of the fair
//! order among accounts.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;

use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::id::AccountId;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::engine::metrics::GroupLabels;
use crate::engine::shard::FairOrderCounts;

/// Most accounts that have counters of their own: the first ones after the start. All other
/// accounts share one label, so that the size of the metrics text is limited.
const MAX_NAMED_ACCOUNTS: usize = 256;

/// Label of all accounts without counters of their own.
pub(super) const OTHER_ACCOUNTS: &str = "other";

/// Labels of statements by account.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct AccountLabels {
    /// The account.
    pub account: String,
    /// `ok` or the name of the error kind.
    pub outcome: &'static str,
}

/// How the search for an instance that counts an operation ended. Operations granted in
/// advance need no search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaOutcome {
    /// The keeper granted the operation.
    GrantedByKeeper,
    /// A share holder granted the operation.
    GrantedByShare,
    /// No keeper answered, and the entry instance admitted the operation.
    AdmittedWithoutCounter,
    /// The keeper refused the operation.
    RateLimited,
    /// No keeper answered, and the operation was refused.
    QuotaUnknown,
}

impl QuotaOutcome {
    fn name(self) -> &'static str {
        match self {
            Self::GrantedByKeeper => "granted_by_keeper",
            Self::GrantedByShare => "granted_by_share",
            Self::AdmittedWithoutCounter => "admitted_without_counter",
            Self::RateLimited => "rate_limited",
            Self::QuotaUnknown => "quota_unknown",
        }
    }
}

/// Labels of the searches for an instance that counts an operation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct QuotaLabels {
    /// How the search ended.
    pub outcome: &'static str,
}

/// Completed statements by account and outcome.
#[derive(Clone, Debug, Default)]
pub struct AccountMetrics {
    /// Number of completed statements.
    pub statements: Family<AccountLabels, Counter>,
    /// Searches for an instance that counts an operation.
    pub quota_searches: Family<QuotaLabels, Counter>,
    named: Arc<Mutex<HashSet<AccountId>>>,
}

impl AccountMetrics {
    /// Counts a completed statement of an account; `failure` is `None` if it succeeded.
    pub fn record_statement(&self, account: &AccountId, failure: Option<ErrorKind>) {
        let outcome = failure.map_or("ok", ErrorKind::name);
        let account = if self.is_named(account) { account } else { OTHER_ACCOUNTS };
        let labels = AccountLabels { account: account.to_owned(), outcome };
        self.statements.get_or_create(&labels).inc();
    }

    /// Counts a search for an instance that counts an operation.
    pub fn record_quota(&self, outcome: QuotaOutcome) {
        let labels = QuotaLabels { outcome: outcome.name() };
        self.quota_searches.get_or_create(&labels).inc();
    }

    fn is_named(&self, account: &AccountId) -> bool {
        let mut named = self.named.lock().expect("never poisoned");
        named.contains(account)
            || (named.len() < MAX_NAMED_ACCOUNTS && named.insert(account.clone()))
    }
}

/// Metrics of the fair order among the accounts whose requests wait for a connection.
#[derive(Clone, Debug, Default)]
pub(super) struct FairOrderMetrics {
    flows: Family<GroupLabels, Gauge>,
    relieved: Family<GroupLabels, Counter>,
    places_refused: Family<GroupLabels, Counter>,
}

impl FairOrderMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        let flows = self.flows.clone();
        registry.register("fair_order_flows", "Accounts in the fair order", flows);
        registry.register(
            "fair_order_relieved",
            "Connections granted to the lowest priority before others",
            self.relieved.clone(),
        );
        registry.register(
            "fair_order_places_refused",
            "Requests refused beyond the waiting places of their account",
            self.places_refused.clone(),
        );
    }

    pub(super) fn update(&self, labels: &GroupLabels, counts: FairOrderCounts) {
        let flows = i64::try_from(counts.flows).unwrap_or(i64::MAX);
        self.flows.get_or_create(labels).set(flows);
        let relieved = self.relieved.get_or_create(labels);
        relieved.inner().store(counts.relieved, Ordering::Relaxed);
        let refused = self.places_refused.get_or_create(labels);
        refused.inner().store(counts.places_refused, Ordering::Relaxed);
    }
}
