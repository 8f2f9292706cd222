//! Combines the metrics of all instances of a deployment into one summary of its load: who
//! waits, who is refused and why, which instances count the operations of accounts, where
//! large accounts are served, and which instances have outdated information.

pub mod metrics_text;
pub mod rows;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;

use crate::load_summary::metrics_text::Labels;
use crate::load_summary::metrics_text::MetricsText;
use crate::load_summary::rows::HomesRow;
use crate::load_summary::rows::InstanceNote;
use crate::load_summary::rows::OutdatedRow;
use crate::load_summary::rows::QuotaRow;
use crate::load_summary::rows::RefusedAccountRow;
use crate::load_summary::rows::RefusedRow;
use crate::load_summary::rows::Table;
use crate::load_summary::rows::WaitingAccountRow;
use crate::load_summary::rows::WaitingRow;
use crate::moment::Moment;

const WAITING: &str = "chervilwharf_waiting";
const WAITING_BY_PRIORITY: &str = "chervilwharf_waiting_by_priority";
const LONGEST_WAIT: &str = "chervilwharf_longest_wait_seconds";
const WAITING_BY_ACCOUNT: &str = "chervilwharf_waiting_by_account";
const REFUSED: &str = "chervilwharf_refused_total";
const ACCOUNT_STATEMENTS: &str = "chervilwharf_account_statements_total";
const QUOTA_SHARDS: &str = "chervilwharf_quota_shards";
const ACCOUNT_HOMES: &str = "chervilwharf_account_homes";
const CONFIGURATION_VERSION: &str = "chervilwharf_configuration_version";
const CONFIGURATION_AGE: &str = "chervilwharf_configuration_age_seconds";
const POSITION_AGE: &str = "chervilwharf_sample_age_seconds";
const SERVED_BY_RELAYS: &str = "chervilwharf_served_by_relays";
const STORE_ANSWER_AGE: &str = "chervilwharf_store_answer_age_seconds";

/// Metrics that a summary uses. All others are ignored.
const USED: [&str; 13] = [
    WAITING,
    WAITING_BY_PRIORITY,
    LONGEST_WAIT,
    WAITING_BY_ACCOUNT,
    REFUSED,
    ACCOUNT_STATEMENTS,
    QUOTA_SHARDS,
    ACCOUNT_HOMES,
    CONFIGURATION_VERSION,
    CONFIGURATION_AGE,
    POSITION_AGE,
    SERVED_BY_RELAYS,
    STORE_ANSWER_AGE,
];

/// Counters that a summary uses. A value that falls shows that the instance was restarted.
const COUNTERS: [&str; 2] = [REFUSED, ACCOUNT_STATEMENTS];

/// Outcome of statements that were served.
const SERVED: &str = "ok";

/// A log position of a primary that is older is outdated. Instances sample positions several
/// times a second; without a newer one, replicas cannot serve current reads.
const POSITION_AGE_LIMIT: Duration = Duration::from_secs(1);

/// A last answer of the store that is older is outdated. Calls to the store that wait for a
/// change are answered in less time even if nothing changed.
const STORE_ANSWER_AGE_LIMIT: Duration = Duration::from_secs(20);

/// The answer of one instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Reading {
    /// Address that was asked.
    pub address: Arc<str>,
    /// When the answer was complete, on the clock of the reader.
    pub read_at: Moment,
    /// The metrics, or the reason why there are none.
    pub metrics: Result<MetricsText, String>,
}

impl Reading {
    /// The reading of an instance that answered with a text, or did not for a reason.
    #[must_use]
    pub fn new(address: Arc<str>, read_at: Moment, answer: Result<&str, String>) -> Self {
        let metrics = answer.and_then(|text| MetricsText::parse(text, &USED));
        Self { address, read_at, metrics }
    }
}

/// What the counts of refusals are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CountKind {
    /// Numbers since the start of each instance.
    Total,
    /// Numbers per second between two reads.
    PerSecond,
}

/// Summary of the load of a deployment.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct LoadSummary {
    /// Number of instances that answered.
    pub instances_read: usize,
    /// Latest version of the configuration that an instance has in force.
    pub configuration_version: Option<f64>,
    /// What the counts of refusals are.
    pub counts: CountKind,
    /// Waiting requests by group and priority.
    pub waiting: Table<WaitingRow>,
    /// Waiting requests by account.
    pub waiting_accounts: Table<WaitingAccountRow>,
    /// Refusals by group, priority and reason.
    pub refused: Table<RefusedRow>,
    /// Statements that failed, by account and reason.
    pub refused_accounts: Table<RefusedAccountRow>,
    /// Keepers and holders of shares of limits.
    pub quota: Table<QuotaRow>,
    /// Homes of large accounts.
    pub homes: Table<HomesRow>,
    /// Instances with outdated information.
    pub outdated: Table<OutdatedRow>,
    /// Instances that did not answer, with the reason.
    pub unread: Vec<InstanceNote>,
    /// Instances whose counts are omitted, with the reason.
    pub counts_omitted: Vec<InstanceNote>,
    /// Lines that were ignored because their values are not numbers.
    pub ignored_lines: usize,
}

impl LoadSummary {
    /// Combines the answers of all instances. With the `earlier` answers, counts are rates per
    /// second between the two; without, they are totals since the start of each instance.
    ///
    /// Counters start at 0 when an instance is restarted. The counts of an instance that was
    /// restarted between the two answers, or lacks one of them, are omitted.
    #[must_use]
    pub fn new(readings: &[Reading], earlier: Option<&[Reading]>) -> Self {
        let mut read = Vec::new();
        let mut unread = Vec::new();
        let mut counts_omitted = Vec::new();
        for reading in readings {
            let metrics = match &reading.metrics {
                Ok(metrics) => metrics,
                Err(reason) => {
                    unread.push(InstanceNote::new(&reading.address, reason));
                    continue;
                }
            };
            let base = match base_of(reading, metrics, earlier) {
                Ok(base) => Some(base),
                Err(reason) => {
                    counts_omitted.push(InstanceNote::new(&reading.address, reason));
                    None
                }
            };
            read.push(Instance { address: &reading.address, metrics, base });
        }
        let latest = configuration_versions(&read).max_by(f64::total_cmp);
        Self {
            instances_read: read.len(),
            configuration_version: latest,
            counts: if earlier.is_some() { CountKind::PerSecond } else { CountKind::Total },
            waiting: waiting(&read),
            waiting_accounts: waiting_accounts(&read),
            refused: refused(&read),
            refused_accounts: refused_accounts(&read),
            quota: quota(&read),
            homes: homes(&read),
            outdated: outdated(&read, latest),
            unread,
            counts_omitted,
            ignored_lines: read.iter().map(|instance| instance.metrics.ignored_lines).sum(),
        }
    }

    /// Keeps at most this many rows of each table.
    #[must_use]
    pub fn limit(mut self, rows: usize) -> Self {
        self.waiting.limit(rows);
        self.waiting_accounts.limit(rows);
        self.refused.limit(rows);
        self.refused_accounts.limit(rows);
        self.quota.limit(rows);
        self.homes.limit(rows);
        self.outdated.limit(rows);
        self
    }
}

/// What the counters of an instance are compared with.
#[derive(Clone, Copy)]
enum Base<'a> {
    /// With zero: they are totals.
    Start,
    /// With an earlier answer, this long before.
    Earlier(&'a MetricsText, Duration),
}

/// An instance that answered.
struct Instance<'a> {
    address: &'a Arc<str>,
    metrics: &'a MetricsText,
    /// `None` if its counts are omitted.
    base: Option<Base<'a>>,
}

impl Instance<'_> {
    /// Whether its build has the metrics that came with this summary. One of them is always
    /// present; the others are absent while there is nothing to report.
    fn has_load_metrics(&self) -> bool {
        self.metrics.has(QUOTA_SHARDS)
    }

    /// The samples of a counter as totals or rates, without those that are zero.
    fn counts(&self, name: &'static str) -> impl Iterator<Item = (&Labels, f64)> {
        let count = move |(labels, value): (&Labels, f64)| match self.base? {
            Base::Start => Some(value),
            Base::Earlier(earlier, interval) => {
                let before = earlier.value(name, labels).unwrap_or(0.0);
                Some((value - before) / interval.as_secs_f64())
            }
        };
        let counts = self.metrics.samples(name);
        let counts = counts.filter_map(move |sample| Some((sample.0, count(sample)?)));
        counts.filter(|(_, count)| *count > 0.0)
    }
}

/// What the counters of an instance can be compared with, or why with nothing.
fn base_of<'a>(
    reading: &Reading,
    metrics: &MetricsText,
    earlier: Option<&'a [Reading]>,
) -> Result<Base<'a>, &'static str> {
    let Some(earlier) = earlier else {
        return Ok(Base::Start);
    };
    let before = earlier.iter().find(|before| before.address == reading.address);
    let Some((Ok(before), read_at)) = before.map(|before| (&before.metrics, before.read_at)) else {
        return Err("it did not answer the read before");
    };
    let falls = |name: &&str| {
        let mut samples = before.samples(name);
        samples.any(|(labels, value)| metrics.value(name, labels).unwrap_or(0.0) < value)
    };
    if COUNTERS.iter().any(falls) {
        return Err("it was restarted since the read before");
    }
    let interval = reading.read_at.saturating_sub(read_at);
    if interval.is_zero() { Err("no time has passed") } else { Ok(Base::Earlier(before, interval)) }
}

fn label(labels: &Labels, name: &str) -> Arc<str> {
    labels.get(name).cloned().unwrap_or_default()
}

fn table<'a, R>(
    rows: Vec<R>,
    read: &[Instance<'a>],
    reports: impl Fn(&Instance<'a>) -> bool,
) -> Table<R> {
    let reporting_instances = read.iter().filter(|instance| reports(instance)).count();
    Table { rows, rows_omitted: 0, reporting_instances }
}

/// Sorts rows by a number, the highest first. Equal ones keep their order.
fn sort_highest_first<R>(rows: &mut [R], number: impl Fn(&R) -> f64) {
    rows.sort_by(|a, b| number(b).total_cmp(&number(a)));
}

fn waiting(read: &[Instance<'_>]) -> Table<WaitingRow> {
    let mut rows: BTreeMap<(Arc<str>, Option<Arc<str>>), WaitingRow> = BTreeMap::new();
    for instance in read {
        let by_priority = instance.has_load_metrics();
        let name = if by_priority { WAITING_BY_PRIORITY } else { WAITING };
        for (labels, waiting) in instance.metrics.samples(name) {
            if waiting <= 0.0 {
                continue;
            }
            let group = label(labels, "group");
            let priority = by_priority.then(|| label(labels, "priority"));
            let key = (group.clone(), priority.clone());
            let row = rows.entry(key).or_insert(WaitingRow {
                group,
                priority,
                waiting: 0.0,
                longest_wait_s: None,
                instances: 0,
            });
            row.waiting += waiting;
            row.instances += 1;
            let longest = instance.metrics.value(LONGEST_WAIT, labels);
            row.longest_wait_s = highest(row.longest_wait_s, longest);
        }
    }
    let mut rows: Vec<_> = rows.into_values().collect();
    sort_highest_first(&mut rows, |row| row.waiting);
    table(rows, read, |instance| instance.has_load_metrics() || instance.metrics.has(WAITING))
}

fn highest(a: Option<f64>, b: Option<f64>) -> Option<f64> {
    a.into_iter().chain(b).max_by(f64::total_cmp)
}

fn waiting_accounts(read: &[Instance<'_>]) -> Table<WaitingAccountRow> {
    let mut rows: BTreeMap<Arc<str>, WaitingAccountRow> = BTreeMap::new();
    for instance in read {
        for (labels, waiting) in instance.metrics.samples(WAITING_BY_ACCOUNT) {
            if waiting <= 0.0 {
                continue;
            }
            let account = label(labels, "account");
            let row = WaitingAccountRow { account: account.clone(), waiting: 0.0, instances: 0 };
            let row = rows.entry(account).or_insert(row);
            row.waiting += waiting;
            row.instances += 1;
        }
    }
    let mut rows: Vec<_> = rows.into_values().collect();
    sort_highest_first(&mut rows, |row| row.waiting);
    table(rows, read, Instance::has_load_metrics)
}

fn refused(read: &[Instance<'_>]) -> Table<RefusedRow> {
    let mut rows: BTreeMap<&Labels, RefusedRow> = BTreeMap::new();
    for instance in read {
        for (labels, refused) in instance.counts(REFUSED) {
            let row = rows.entry(labels).or_insert_with(|| RefusedRow {
                group: label(labels, "group"),
                priority: label(labels, "priority"),
                reason: label(labels, "reason"),
                refused: 0.0,
                instances: 0,
            });
            row.refused += refused;
            row.instances += 1;
        }
    }
    let mut rows: Vec<_> = rows.into_values().collect();
    sort_highest_first(&mut rows, |row| row.refused);
    table(rows, read, |instance| instance.has_load_metrics() && instance.base.is_some())
}

fn refused_accounts(read: &[Instance<'_>]) -> Table<RefusedAccountRow> {
    let mut served: BTreeMap<Arc<str>, f64> = BTreeMap::new();
    let mut rows: BTreeMap<(Arc<str>, Arc<str>), f64> = BTreeMap::new();
    for instance in read {
        for (labels, count) in instance.counts(ACCOUNT_STATEMENTS) {
            let (account, outcome) = (label(labels, "account"), label(labels, "outcome"));
            if *outcome == *SERVED {
                *served.entry(account).or_default() += count;
            } else {
                *rows.entry((account, outcome)).or_default() += count;
            }
        }
    }
    let row = |((account, reason), refused): ((Arc<str>, Arc<str>), f64)| RefusedAccountRow {
        served: served.get(&account).copied().unwrap_or(0.0),
        account,
        reason,
        refused,
    };
    let mut rows: Vec<_> = rows.into_iter().map(row).collect();
    sort_highest_first(&mut rows, |row| row.refused);
    // Builds without these counters also lack the version of the configuration.
    table(rows, read, |instance| {
        instance.metrics.has(CONFIGURATION_VERSION) && instance.base.is_some()
    })
}

fn quota(read: &[Instance<'_>]) -> Table<QuotaRow> {
    let mut rows = Vec::new();
    for instance in read {
        let count = |role: &str| {
            let labels = Labels::from([("role".into(), role.into())]);
            instance.metrics.value(QUOTA_SHARDS, &labels)
        };
        let (share_counted, share_standby) = (count("share_counted"), count("share_standby"));
        let row = QuotaRow {
            instance: instance.address.clone(),
            keeper: count("keeper"),
            share_held: share_counted.zip(share_standby).map(|(a, b)| a + b),
            share_counted,
            share_standby,
        };
        let is_zero = |count: Option<f64>| count == Some(0.0);
        if !(is_zero(row.keeper) && is_zero(row.share_held)) {
            rows.push(row);
        }
    }
    sort_highest_first(&mut rows, |row| row.share_held.unwrap_or(0.0));
    sort_highest_first(&mut rows, |row| row.keeper.unwrap_or(0.0));
    table(rows, read, Instance::has_load_metrics)
}

fn homes(read: &[Instance<'_>]) -> Table<HomesRow> {
    let mut rows: BTreeMap<(Arc<str>, Arc<str>), HomesRow> = BTreeMap::new();
    for instance in read {
        for (labels, value) in instance.metrics.samples(ACCOUNT_HOMES) {
            if value <= 0.0 {
                continue;
            }
            let (account, group) = (label(labels, "account"), label(labels, "group"));
            let key = (account.clone(), group.clone());
            let row = HomesRow { account, group, homes: BTreeMap::new() };
            let row = rows.entry(key).or_insert(row);
            *row.homes.entry(label(labels, "home")).or_default() += 1;
        }
    }
    let mut rows: Vec<_> = rows.into_values().collect();
    rows.sort_by_key(|row| std::cmp::Reverse(row.homes.values().sum::<usize>()));
    table(rows, read, Instance::has_load_metrics)
}

fn configuration_versions<'a>(read: &'a [Instance<'_>]) -> impl Iterator<Item = f64> + 'a {
    read.iter().filter_map(Instance::configuration_version)
}

impl Instance<'_> {
    fn configuration_version(&self) -> Option<f64> {
        self.metrics.value(CONFIGURATION_VERSION, &Labels::new())
    }

    fn configuration_age_s(&self) -> Option<f64> {
        self.metrics.value(CONFIGURATION_AGE, &Labels::new())
    }

    /// How long a version later than this instance's has been in force elsewhere.
    fn configuration_outdated_s(&self, read: &[Instance<'_>]) -> Option<f64> {
        let own = self.configuration_version()?;
        let later = read.iter().filter(|other| other.configuration_version() > Some(own));
        later.filter_map(Instance::configuration_age_s).max_by(f64::total_cmp)
    }
}

fn outdated(read: &[Instance<'_>], latest: Option<f64>) -> Table<OutdatedRow> {
    let mut rows = Vec::new();
    for instance in read {
        let positions = instance.metrics.samples(POSITION_AGE);
        let oldest = positions.max_by(|a, b| a.1.total_cmp(&b.1));
        // Instances that relays serve do not read the store, so that its answers grow old there.
        let reads_store = instance.metrics.value(SERVED_BY_RELAYS, &Labels::new()) != Some(1.0);
        let answers = instance.metrics.samples(STORE_ANSWER_AGE).filter(|_| reads_store);
        let answers = answers.map(|(_, age)| age);
        let row = OutdatedRow {
            instance: instance.address.clone(),
            configuration_version: instance.configuration_version(),
            configuration_outdated_s: instance.configuration_outdated_s(read),
            position_age_s: oldest.map(|(_, age)| age),
            position_group: oldest.map(|(labels, _)| label(labels, "group")),
            store_answer_age_s: answers.min_by(f64::total_cmp),
        };
        let exceeds = |age: Option<f64>, limit: Duration| age > Some(limit.as_secs_f64());
        if row.configuration_version != latest
            || row.configuration_version.is_none()
            || exceeds(row.position_age_s, POSITION_AGE_LIMIT)
            || exceeds(row.store_answer_age_s, STORE_ANSWER_AGE_LIMIT)
        {
            rows.push(row);
        }
    }
    sort_highest_first(&mut rows, |row| row.store_answer_age_s.unwrap_or(0.0));
    sort_highest_first(&mut rows, |row| row.position_age_s.unwrap_or(0.0));
    rows.sort_by(|a, b| {
        let version = |row: &OutdatedRow| row.configuration_version.unwrap_or(0.0);
        version(a).total_cmp(&version(b))
    });
    table(rows, read, |instance| instance.metrics.has(CONFIGURATION_VERSION))
}
