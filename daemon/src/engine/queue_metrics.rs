//! Metrics of the requests that wait for a connection now, and of those that were refused.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chervilwharf_lib::admission::Priority;
use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::error_kind::Outcome;
use chervilwharf_lib::id::AccountId;
use chervilwharf_lib::id::GroupId;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::engine::account_metrics::OTHER_ACCOUNTS;
use crate::engine::clock::now;
use crate::engine::shard::Shard;

/// Most accounts whose waiting requests are told apart: those with the most of them. All others
/// share one label, so that the size of the metrics text is limited.
const MAX_WAITING_ACCOUNTS: usize = 16;

/// Label of requests that were refused before they requested a connection.
const NO_PRIORITY: &str = "none";

/// Labels of requests of one group and priority.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct PriorityLabels {
    group: String,
    priority: String,
}

/// Labels of requests of one account.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct WaitingAccountLabels {
    account: String,
}

/// Labels of refused requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct RefusedLabels {
    group: String,
    priority: String,
    reason: &'static str,
}

/// Requests of one priority that wait for a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WaitingRequests {
    /// Number of requests.
    pub count: usize,
    /// How long the one that waits for longest has waited.
    pub longest_wait: Duration,
}

/// Requests of clients that wait for a connection to a group, and those that were refused.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QueueCounts {
    /// Waiting requests by priority.
    pub by_priority: HashMap<Priority, WaitingRequests>,
    /// Number of waiting requests by account.
    pub by_account: HashMap<AccountId, usize>,
    /// Number of requests that were refused so far, by priority and reason.
    pub refused: HashMap<(Priority, ErrorKind), u64>,
}

/// Metrics of the requests that wait now, and of refused ones.
#[derive(Clone, Debug, Default)]
pub(super) struct QueueMetrics {
    waiting: Family<PriorityLabels, Gauge>,
    longest_wait_seconds: Family<PriorityLabels, Gauge<f64, AtomicU64>>,
    waiting_by_account: Family<WaitingAccountLabels, Gauge>,
    refused: Family<RefusedLabels, Counter>,
}

impl QueueMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "waiting_by_priority",
            "Requests that wait for a connection",
            self.waiting.clone(),
        );
        registry.register(
            "longest_wait_seconds",
            "Time that the request which waits for longest has waited",
            self.longest_wait_seconds.clone(),
        );
        registry.register(
            "waiting_by_account",
            "Requests that wait for a connection, for the accounts with the most of them",
            self.waiting_by_account.clone(),
        );
        registry.register(
            "refused",
            "Requests for a connection that were refused, and statements refused before that",
            self.refused.clone(),
        );
    }

    /// Counts a statement that failed, if it was refused without a request for a connection.
    /// Refusals of such requests are counted by the shard, which knows their priority.
    pub(super) fn record_failure(&self, group: &GroupId, kind: ErrorKind) {
        let by_shard =
            matches!(kind, ErrorKind::Overloaded | ErrorKind::NoPrimary | ErrorKind::CutOff);
        let rule = kind.rule();
        if by_shard || rule.outcome != Outcome::NotRun || rule.retry_after.is_none() {
            return;
        }
        let (group, priority) = (group.to_string(), NO_PRIORITY.to_owned());
        let labels = RefusedLabels { group, priority, reason: kind.name() };
        self.refused.get_or_create(&labels).inc();
    }

    /// Sets all values from the queues of these shards.
    pub(super) fn update(&self, shards: &[Arc<Shard>]) {
        self.waiting.clear();
        self.longest_wait_seconds.clear();
        self.waiting_by_account.clear();
        let mut by_account: HashMap<AccountId, usize> = HashMap::new();
        for shard in shards {
            let counts = shard.queue_counts(now());
            for (account, count) in &counts.by_account {
                *by_account.entry(account.clone()).or_default() += count;
            }
            self.update_shard(shard.id(), &counts);
        }
        for (account, count) in with_most_named(by_account) {
            let labels = WaitingAccountLabels { account: account.to_string() };
            self.waiting_by_account.get_or_create(&labels).set(to_gauge(count));
        }
    }

    fn update_shard(&self, group: &GroupId, counts: &QueueCounts) {
        for (priority, waiting) in &counts.by_priority {
            let labels =
                PriorityLabels { group: group.to_string(), priority: priority.to_string() };
            self.waiting.get_or_create(&labels).set(to_gauge(waiting.count));
            let longest = waiting.longest_wait.as_secs_f64();
            self.longest_wait_seconds.get_or_create(&labels).set(longest);
        }
        for ((priority, kind), count) in &counts.refused {
            let (group, priority) = (group.to_string(), priority.to_string());
            let labels = RefusedLabels { group, priority, reason: kind.name() };
            self.refused.get_or_create(&labels).inner().store(*count, Ordering::Relaxed);
        }
    }
}

/// The counts of the accounts with the highest ones, and the sum of all others.
fn with_most_named(by_account: HashMap<AccountId, usize>) -> Vec<(AccountId, usize)> {
    let mut named: Vec<_> = by_account.into_iter().collect();
    named.sort_by(|(a, in_a), (b, in_b)| in_b.cmp(in_a).then_with(|| a.cmp(b)));
    let others = named.split_off(named.len().min(MAX_WAITING_ACCOUNTS));
    if !others.is_empty() {
        named.push((OTHER_ACCOUNTS.into(), others.iter().map(|(_, count)| count).sum()));
    }
    named
}

fn to_gauge(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
