//! Counters, gauges and histograms of the session engine.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::id::GroupId;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::operation_clock::OperationPart;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

use crate::engine::account_metrics::AccountMetrics;
use crate::engine::account_metrics::FairOrderMetrics;
use crate::engine::clock::now;
use crate::engine::directory::RecordKind;
use crate::engine::event_log;
use crate::engine::keeper_metrics::KeeperMetrics;
use crate::engine::load_metrics::LoadMetrics;
use crate::engine::queue_metrics::QueueMetrics;
use crate::engine::reply_metrics::ReplyMetrics;
use crate::engine::sent_bytes;
use crate::engine::sent_bytes::SentLabels;
use crate::engine::shard::Shard;
use crate::engine::shared::Engine;

/// Labels of a completed statement.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct StatementLabels {
    /// The group that served it.
    pub group: String,
    /// `read`, `write`, `commit` or `session`.
    pub kind: &'static str,
    /// `ok` or the name of the error kind.
    pub outcome: &'static str,
}

/// Labels of a group.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct GroupLabels {
    /// The group.
    pub group: String,
}

/// Labels of operations that were late.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct LateLabels {
    /// The group.
    pub group: String,
    /// What the operation spent most time on, the name of an [`OperationPart`].
    pub part: &'static str,
}

/// Labels of the time that statements spend at servers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct ServerLabels {
    /// The group.
    pub group: String,
    /// `primary` or `replica`; `holder` if another instance ran the statement.
    pub role: &'static str,
}

/// Labels of a step in the replacement of a primary.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct PhaseLabels {
    /// `claim`, `promote` or `lead`.
    pub phase: &'static str,
}

/// Labels of connections to a server.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct ConnectionLabels {
    /// The group.
    pub group: String,
    /// The server.
    pub server: String,
    /// `idle`, `lent` or `opening`.
    pub state: &'static str,
}

/// Labels of a failed attempt that was retried.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct ReasonLabels {
    /// Name of the error kind.
    pub reason: &'static str,
}

/// Labels of calls to the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct StoreLabels {
    /// Kind of the records, or `signs` for liveness checks.
    pub kind: String,
    /// `ok` or `failed`.
    pub outcome: &'static str,
}

/// Labels of a kind of records.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct KindLabels {
    /// Kind of the records.
    pub kind: String,
}

type SecondsGauge = Gauge<f64, AtomicU64>;
type HistogramFamily<L> = Family<L, Histogram, fn() -> Histogram>;

/// The last successful call to the platform's store for a kind of records.
#[derive(Clone, Copy, Debug)]
struct LastAnswer {
    at: Moment,
    /// Time since the previous answer; `None` for the first one.
    gap: Option<Duration>,
}

/// Metrics of calls to the platform's store.
#[derive(Clone, Debug, Default)]
pub struct StoreMetrics {
    calls: Family<StoreLabels, Counter>,
    answers: Arc<Mutex<HashMap<RecordKind, LastAnswer>>>,
    last_liveness_reply: Arc<Mutex<Option<Moment>>>,
    age_seconds: Family<KindLabels, SecondsGauge>,
}

impl StoreMetrics {
    fn count(&self, kind: String, succeeded: bool) {
        let outcome = if succeeded { "ok" } else { "failed" };
        self.calls.get_or_create(&StoreLabels { kind, outcome }).inc();
    }

    /// Counts a liveness check of the store.
    pub fn record_liveness_check(&self, succeeded: bool) {
        self.count("signs".to_owned(), succeeded);
        if succeeded {
            *self.last_liveness_reply.lock().expect("never poisoned") = Some(now());
        }
    }

    /// Counts a call to the store for a kind of records.
    pub fn record_call(&self, kind: RecordKind, succeeded: bool) {
        self.count(kind.to_string(), succeeded);
        if succeeded {
            let at = now();
            let mut answers = self.answers.lock().expect("never poisoned");
            let gap = answers.get(&kind).map(|before| at.saturating_sub(before.at));
            answers.insert(kind, LastAnswer { at, gap });
        }
    }

    /// Time since the last successful call of any kind; `None` before the first.
    #[must_use]
    pub fn answer_age(&self) -> Option<Duration> {
        let liveness_reply_at = *self.last_liveness_reply.lock().expect("never poisoned");
        let answers = self.answers.lock().expect("never poisoned");
        let newest = answers.values().map(|answer| answer.at).chain(liveness_reply_at).max()?;
        Some(now().saturating_sub(newest))
    }

    /// Time between the last two successful calls for a kind of records.
    #[must_use]
    pub fn answer_gap(&self, kind: RecordKind) -> Option<Duration> {
        self.answers.lock().expect("never poisoned").get(&kind)?.gap
    }

    fn update_answer_ages(&self) {
        for (kind, answer) in self.answers.lock().expect("never poisoned").iter() {
            let age = now().saturating_sub(answer.at);
            let labels = KindLabels { kind: kind.to_string() };
            self.age_seconds.get_or_create(&labels).set(age.as_secs_f64());
        }
    }
}

/// Metrics of an engine.
pub struct EngineMetrics {
    registry: Registry,
    /// Completed statements by group, kind and outcome.
    pub statements: Family<StatementLabels, Counter>,
    /// Time from the receipt of a statement to its answer.
    statement_seconds: HistogramFamily<GroupLabels>,
    /// Time that statements waited for a connection.
    wait_seconds: HistogramFamily<GroupLabels>,
    /// Time that statements spent at servers.
    server_seconds: HistogramFamily<ServerLabels>,
    /// Operations that were served.
    operations: Family<GroupLabels, Counter>,
    /// Operations that were served later than their objective.
    operations_late: Family<LateLabels, Counter>,
    /// Failed attempts that were retried, by the kind of error.
    retries: Family<ReasonLabels, Counter>,
    /// Metrics of calls to the platform's store.
    pub store: StoreMetrics,
    /// Completed statements by client account.
    pub accounts: AccountMetrics,
    /// Decisions by the load of holders.
    pub loads: LoadMetrics,
    /// Time that each step in the replacement of a primary took at this instance.
    replacement_seconds: HistogramFamily<PhaseLabels>,
    /// Bytes sent to other instances and to servers.
    sent_bytes: Family<SentLabels, Counter>,
    connections: Family<ConnectionLabels, Gauge>,
    waiting: Family<GroupLabels, Gauge>,
    fair_order: FairOrderMetrics,
    queue: QueueMetrics,
    keeper: KeeperMetrics,
    replies: ReplyMetrics,
    sample_age_seconds: Family<GroupLabels, SecondsGauge>,
    configuration_version: Gauge,
    configuration_age_seconds: SecondsGauge,
    configuration_since: Mutex<Option<Moment>>,
    served_by_relays: Gauge,
    absent_replicas: Family<GroupLabels, Gauge>,
    missing_leases: Family<GroupLabels, Gauge>,
    sessions: Gauge,
    lines_left_out: Gauge,
}

/// A latency histogram with bounds from 1 ms to 8 s in factors of two.
fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 2.0, 14))
}

fn histograms<L: Clone + std::hash::Hash + Eq>() -> HistogramFamily<L> {
    Family::new_with_constructor(latency_histogram as fn() -> Histogram)
}

impl Default for EngineMetrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("chervilwharf"),
            statements: Family::default(),
            statement_seconds: histograms(),
            wait_seconds: histograms(),
            server_seconds: histograms(),
            operations: Family::default(),
            operations_late: Family::default(),
            retries: Family::default(),
            store: StoreMetrics::default(),
            accounts: AccountMetrics::default(),
            loads: LoadMetrics::default(),
            replacement_seconds: histograms(),
            sent_bytes: Family::default(),
            connections: Family::default(),
            waiting: Family::default(),
            fair_order: FairOrderMetrics::default(),
            queue: QueueMetrics::default(),
            keeper: KeeperMetrics::default(),
            replies: ReplyMetrics::default(),
            sample_age_seconds: Family::default(),
            configuration_version: Gauge::default(),
            configuration_age_seconds: SecondsGauge::default(),
            configuration_since: Mutex::default(),
            served_by_relays: Gauge::default(),
            absent_replicas: Family::default(),
            missing_leases: Family::default(),
            sessions: Gauge::default(),
            lines_left_out: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

impl EngineMetrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("statements", "Completed statements by outcome", self.statements.clone());
        let seconds = self.statement_seconds.clone();
        registry.register(
            "statement_seconds",
            "Time from the receipt of a statement to its answer",
            seconds,
        );
        registry.register(
            "wait_seconds",
            "Time that statements waited for a connection",
            self.wait_seconds.clone(),
        );
        registry.register(
            "server_seconds",
            "Time that statements spent at servers",
            self.server_seconds.clone(),
        );
        registry.register("operations", "Operations that were served", self.operations.clone());
        registry.register(
            "operations_late",
            "Operations that were served late, by the part that took longest",
            self.operations_late.clone(),
        );
        registry.register("tries_again", "Failed attempts that were retried", self.retries.clone());
        let statements = self.accounts.statements.clone();
        registry.register("account_statements", "Completed statements by account", statements);
        let decisions = self.loads.decisions.clone();
        registry.register("load_decisions", "Decisions by the load of holders", decisions);
        let searches = self.accounts.quota_searches.clone();
        registry.register(
            "quota_searches",
            "Searches for an instance that counts an operation",
            searches,
        );
        registry.register("store_calls", "Calls to the store", self.store.calls.clone());
        let age = self.store.age_seconds.clone();
        registry.register("store_answer_age_seconds", "Time since the store last answered", age);
        let seconds = self.replacement_seconds.clone();
        registry.register(
            "replacement_seconds",
            "Time of the steps in the replacement of a primary",
            seconds,
        );
        let sent = self.sent_bytes.clone();
        registry.register("sent_bytes", "Bytes sent to instances and servers", sent);
        registry.register("connections", "Connections to servers", self.connections.clone());
        registry.register("waiting", "Statements that wait for a connection", self.waiting.clone());
        self.fair_order.register(registry);
        self.queue.register(registry);
        self.keeper.register(registry);
        self.replies.register(registry);
        let age = self.sample_age_seconds.clone();
        registry.register(
            "sample_age_seconds",
            "Age of the newest known log position of the primary",
            age,
        );
        let version = self.configuration_version.clone();
        registry.register(
            "configuration_version",
            "Version of the configuration in force",
            version,
        );
        let age = self.configuration_age_seconds.clone();
        registry.register(
            "configuration_age_seconds",
            "Time since the configuration in force came into force here",
            age,
        );
        registry.register(
            "served_by_relays",
            "1 if this instance gets the records of the store from relays",
            self.served_by_relays.clone(),
        );
        registry.register(
            "missing_leases",
            "1 for a group whose primary this instance may not use for lack of a lease",
            self.missing_leases.clone(),
        );
        registry.register(
            "absent_replicas",
            "Replicas that are not listed and may be the only ones with acknowledged commits",
            self.absent_replicas.clone(),
        );
        registry.register("sessions", "Open sessions", self.sessions.clone());
        registry.register(
            "log_lines_left_out",
            "Log lines not written",
            self.lines_left_out.clone(),
        );
    }

    /// Counts a statement that completed after `took`; `failure` is `None` if it succeeded.
    pub fn record_statement(
        &self,
        group: &GroupId,
        kind: &'static str,
        failure: Option<ErrorKind>,
        took: Duration,
    ) {
        let outcome = failure.map_or("ok", ErrorKind::name);
        let labels = StatementLabels { group: group.to_string(), kind, outcome };
        self.statements.get_or_create(&labels).inc();
        let labels = GroupLabels { group: labels.group };
        let seconds = self.statement_seconds.get_or_create(&labels);
        seconds.observe(took.as_secs_f64());
        if let Some(kind) = failure {
            self.queue.record_failure(group, kind);
        }
    }

    /// Records that a version of the configuration came into force.
    pub fn record_configuration(&self) {
        *self.configuration_since.lock().expect("never poisoned") = Some(now());
    }

    /// Records the times that a statement waited for a connection and spent at a server of
    /// this role.
    pub fn record_times(
        &self,
        group: &GroupId,
        role: &'static str,
        waited: Duration,
        at_server: Duration,
    ) {
        let labels = GroupLabels { group: group.to_string() };
        self.wait_seconds.get_or_create(&labels).observe(waited.as_secs_f64());
        let labels = ServerLabels { group: labels.group, role };
        self.server_seconds.get_or_create(&labels).observe(at_server.as_secs_f64());
    }

    /// The counter of the operations of a group that were served.
    #[must_use]
    pub fn operations_of(&self, group: &GroupId) -> Counter {
        self.operations.get_or_create(&GroupLabels { group: group.to_string() }).clone()
    }

    /// Counts an operation that was late, by the part that took longest.
    pub fn record_late_operation(&self, group: &GroupId, part: OperationPart) {
        let labels = LateLabels { group: group.to_string(), part: part.name() };
        self.operations_late.get_or_create(&labels).inc();
    }

    /// Records the time of a step in the replacement of a primary.
    pub fn replacement_step(&self, phase: &'static str, took: Duration) {
        let seconds = self.replacement_seconds.get_or_create(&PhaseLabels { phase });
        seconds.observe(took.as_secs_f64());
    }

    /// Counts a failed attempt that is retried.
    pub fn record_retry(&self, reason: ErrorKind) {
        self.retries.get_or_create(&ReasonLabels { reason: reason.name() }).inc();
    }

    /// All metrics in the text format of Prometheus, after an update of the gauges.
    #[must_use]
    pub fn text(&self, engine: &Engine) -> String {
        self.configuration_version.set(i64::try_from(engine.catalog().version).unwrap_or(i64::MAX));
        self.sessions.set(i64::try_from(engine.session_count()).unwrap_or(i64::MAX));
        self.lines_left_out.set(i64::try_from(event_log::left_out()).unwrap_or(i64::MAX));
        self.served_by_relays.set(engine.is_served_by_relays().into());
        self.store.update_answer_ages();
        sent_bytes::update(engine, &self.sent_bytes);
        self.connections.clear();
        let shards = engine.shards();
        for shard in &shards {
            self.update_shard_gauges(shard);
        }
        self.sample_age_seconds.clear();
        // An instance that does not hold a group any more gets no new positions and needs none.
        for shard in engine.held_shards() {
            if let Some(age) = shard.with_group(|group| group.sample_age(now())) {
                let labels = GroupLabels { group: shard.id().to_string() };
                self.sample_age_seconds.get_or_create(&labels).set(age.as_secs_f64());
            }
        }
        self.missing_leases.clear();
        for shard in engine.used_shards() {
            if shard.with_group(|group| group.lacks_primary_lease(now())) {
                let labels = GroupLabels { group: shard.id().to_string() };
                self.missing_leases.get_or_create(&labels).set(1);
            }
        }
        self.absent_replicas.clear();
        for shard in &shards {
            let absent = engine.absent_replicas(shard);
            if absent > 0 {
                let labels = GroupLabels { group: shard.id().to_string() };
                let absent = i64::try_from(absent).unwrap_or(i64::MAX);
                self.absent_replicas.get_or_create(&labels).set(absent);
            }
        }
        self.queue.update(&shards);
        self.keeper.update(engine);
        let since = *self.configuration_since.lock().expect("never poisoned");
        if let Some(since) = since {
            let age = now().saturating_sub(since).as_secs_f64();
            self.configuration_age_seconds.set(age);
        }
        let mut text = String::new();
        // Writing to a String cannot fail.
        let _written = encode(&mut text, &self.registry);
        text
    }

    fn update_shard_gauges(&self, shard: &Shard) {
        let labels = GroupLabels { group: shard.id().to_string() };
        let waiting = i64::try_from(shard.waiting()).unwrap_or(i64::MAX);
        self.waiting.get_or_create(&labels).set(waiting);
        self.fair_order.update(&labels, shard.fair_order_counts());
        self.replies.update(shard);
        for counts in shard.connection_counts() {
            for (state, count) in counts.by_state() {
                let group = shard.id().to_string();
                let server = counts.server.to_string();
                let labels = ConnectionLabels { group, server, state };
                let count = i64::try_from(count).unwrap_or(i64::MAX);
                self.connections.get_or_create(&labels).set(count);
            }
        }
    }
}
