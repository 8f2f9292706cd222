//! Error-budget burn rates: how fast a service uses up the failures that its objective
//! allows.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::error_kind::ErrorKind;

/// Length of the time that one bucket of counts covers.
pub const BUCKET_WIDTH: Duration = Duration::from_secs(10);

/// Windows over which burn rates are reported, shortest first.
pub const WINDOWS: [Duration; 3] =
    [Duration::from_secs(5 * 60), Duration::from_secs(3600), Duration::from_secs(6 * 3600)];

/// Burn rate that pages an operator when both the short and the middle window reach it.
/// At 14.4 a 30-day budget is used up in two days.
const PAGE_RATE: f64 = 14.4;

/// Burn rate that opens a ticket when both the middle and the long window reach it.
const TICKET_RATE: f64 = 6.0;

/// Counts of one bucket.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BurnBucket {
    /// Index of the bucket, counted in multiples of [`BUCKET_WIDTH`] since the Unix epoch.
    pub number: u64,
    /// Number of requests.
    pub total: u64,
    /// Number of requests that use up the error budget, by cause as "error kind at
    /// dependency".
    pub bad: BTreeMap<Arc<str>, u64>,
}

/// Counts of one service at one instance, over the longest window.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BurnCounts {
    /// Buckets with requests, oldest first.
    pub buckets: VecDeque<BurnBucket>,
}

impl BurnCounts {
    /// Counts a request that ended at `since_epoch`. `failure` is its error and the
    /// dependency that caused it; `None` if it succeeded.
    pub fn record(&mut self, since_epoch: Duration, failure: Option<(ErrorKind, &str)>) {
        let number = since_epoch.as_secs() / BUCKET_WIDTH.as_secs();
        if self.buckets.back().is_none_or(|last| last.number < number) {
            self.buckets.push_back(BurnBucket { number, ..BurnBucket::default() });
        }
        let oldest = number.saturating_sub(WINDOWS[2].as_secs() / BUCKET_WIDTH.as_secs());
        while self.buckets.front().is_some_and(|first| first.number < oldest) {
            self.buckets.pop_front();
        }
        let Some(bucket) = self.buckets.back_mut() else {
            return;
        };
        bucket.total += 1;
        if let Some((kind, dependency)) = failure.filter(|(kind, _)| kind.rule().burns_budget) {
            let cause = format!("{} at {dependency}", kind.name());
            *bucket.bad.entry(cause.into()).or_default() += 1;
        }
    }

    /// Adds the counts of another instance to these.
    pub fn merge(&mut self, other: &Self) {
        let mut merged: BTreeMap<u64, BurnBucket> = BTreeMap::new();
        for bucket in self.buckets.iter().chain(&other.buckets) {
            let sum = merged.entry(bucket.number).or_default();
            sum.number = bucket.number;
            sum.total += bucket.total;
            for (cause, count) in &bucket.bad {
                *sum.bad.entry(cause.clone()).or_default() += count;
            }
        }
        self.buckets = merged.into_values().collect();
    }
}

/// Burn rate over one window.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct WindowBurn {
    /// Length of the window in seconds.
    pub window_s: u64,
    /// Number of requests in the window.
    pub total: u64,
    /// Number of requests that used up error budget.
    pub bad: u64,
    /// Fraction of bad requests, divided by the fraction that the objective allows.
    pub burn_rate: f64,
    /// Bad requests by cause, the most frequent first.
    pub causes: Vec<(Arc<str>, u64)>,
}

/// Urgency of a burn rate for the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Alert {
    /// No action is needed.
    None,
    /// Needs attention in working hours.
    Ticket,
    /// Needs attention at once.
    Page,
}

/// Burn rates and alert of one service.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct ServiceBurn {
    /// Name of the service.
    pub service: Arc<str>,
    /// Fraction of requests that should succeed.
    pub objective: f64,
    /// One entry for each of [`WINDOWS`].
    pub windows: Vec<WindowBurn>,
    /// The alert that the burn rates call for.
    pub alert: Alert,
}

/// Computes the burn rates and the alert of a service from its counts.
#[must_use]
pub fn report(
    service: &str,
    objective: f64,
    counts: &BurnCounts,
    since_epoch: Duration,
) -> ServiceBurn {
    let windows: Vec<_> =
        WINDOWS.iter().map(|window| window_burn(*window, objective, counts, since_epoch)).collect();
    let rates: Vec<_> = windows.iter().map(|window| window.burn_rate).collect();
    // Each alert needs two windows: the longer one shows that the failures are
    // significant, the shorter one that they continue.
    let alert = if rates[0] >= PAGE_RATE && rates[1] >= PAGE_RATE {
        Alert::Page
    } else if rates[1] >= TICKET_RATE && rates[2] >= TICKET_RATE {
        Alert::Ticket
    } else {
        Alert::None
    };
    ServiceBurn { service: service.into(), objective, windows, alert }
}

#[allow(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
fn window_burn(
    window: Duration,
    objective: f64,
    counts: &BurnCounts,
    since_epoch: Duration,
) -> WindowBurn {
    let width = BUCKET_WIDTH.as_secs();
    let first = since_epoch.saturating_sub(window).as_secs() / width;
    let mut total = 0;
    let mut by_cause: BTreeMap<Arc<str>, u64> = BTreeMap::new();
    for bucket in counts.buckets.iter().filter(|bucket| bucket.number >= first) {
        total += bucket.total;
        for (cause, count) in &bucket.bad {
            *by_cause.entry(cause.clone()).or_default() += count;
        }
    }
    let bad: u64 = by_cause.values().sum();
    let share = if total == 0 { 0.0 } else { bad as f64 / total as f64 };
    let mut causes: Vec<_> = by_cause.into_iter().collect();
    causes.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    let burn_rate = share / (1.0 - objective);
    WindowBurn { window_s: window.as_secs(), total, bad, burn_rate, causes }
}
