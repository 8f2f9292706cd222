//! How fast a service uses up the errors its objective allows.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::error_kind::ErrorKind;

/// Width of one bucket of counts.
pub const BUCKET_WIDTH: Duration = Duration::from_secs(10);

/// Windows of the report, shortest first.
pub const WINDOWS: [Duration; 3] =
    [Duration::from_secs(5 * 60), Duration::from_secs(3600), Duration::from_secs(6 * 3600)];

/// Burn rate over both the short and the middle window that pages someone:
/// at 14.4 a 30-day budget is gone in two days.
const PAGE_RATE: f64 = 14.4;

/// Burn rate over both the middle and the long window that opens a ticket.
const TICKET_RATE: f64 = 6.0;

/// Counts of one bucket.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BurnBucket {
    /// Number of the bucket since the epoch.
    pub number: u64,
    /// Requests.
    pub total: u64,
    /// Requests that burn the budget, by "kind at dependency".
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
    /// Counts a request that ended `since_epoch`, with an error or too late.
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

    /// Adds the counts of another instance.
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

/// Burn of one window.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct WindowBurn {
    /// Length of the window.
    pub window_s: u64,
    /// Requests in it.
    pub total: u64,
    /// Requests that burned the budget.
    pub bad: u64,
    /// Share of bad requests over the share the objective allows.
    pub burn_rate: f64,
    /// Bad requests by cause, most first.
    pub causes: Vec<(Arc<str>, u64)>,
}

/// What an operator should do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Alert {
    /// Nothing.
    None,
    /// Look at it in working hours.
    Ticket,
    /// Look at it now.
    Page,
}

/// Burn of one service.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct ServiceBurn {
    /// The service.
    pub service: Arc<str>,
    /// Its objective.
    pub objective: f64,
    /// One entry for each of [`WINDOWS`].
    pub windows: Vec<WindowBurn>,
    /// State of the alert.
    pub alert: Alert,
}

/// Works out the burn of a service.
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
    // Two windows together: the long one proves that it matters, the short
    // one that it is still going on.
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
