//! Counters and histograms of the session engine.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::id::GroupId;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

use crate::engine::clock::now;
use crate::engine::event_log;
use crate::engine::shard::Shard;
use crate::engine::shared::Engine;

/// Labels of a statement that ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct StatementLabels {
    /// The group that served it.
    pub group: String,
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

/// Labels of a try that was followed by another one.
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
    /// Kind of the records.
    pub kind: String,
    /// `ok` or `failed`.
    pub outcome: &'static str,
}

type SecondsGauge = Gauge<f64, AtomicU64>;
type GroupHistogram = Family<GroupLabels, Histogram, fn() -> Histogram>;

/// Counters and histograms of an engine.
pub struct EngineMetrics {
    registry: Registry,
    /// Statements by group and outcome.
    pub statements: Family<StatementLabels, Counter>,
    /// Time from a statement's arrival to its answer.
    statement_seconds: GroupHistogram,
    /// Time that statements waited for a connection.
    wait_seconds: GroupHistogram,
    /// Time that statements spent at servers.
    server_seconds: GroupHistogram,
    /// Tries that were followed by another one.
    tries_again: Family<ReasonLabels, Counter>,
    /// Calls that follow records of the platform's store.
    pub store_calls: Family<StoreLabels, Counter>,
    /// Replacements of primaries that this instance ordered.
    pub replacements: Counter,
    connections: Family<ConnectionLabels, Gauge>,
    waiting: Family<GroupLabels, Gauge>,
    sample_age_seconds: Family<GroupLabels, SecondsGauge>,
    configuration_version: Gauge,
    sessions: Gauge,
    lines_left_out: Gauge,
}

/// Bounds of latency histograms: 1 ms to 8 s in factors of two.
fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 2.0, 14))
}

fn group_histogram() -> GroupHistogram {
    Family::new_with_constructor(latency_histogram as fn() -> Histogram)
}

impl Default for EngineMetrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("chervilwharf"),
            statements: Family::default(),
            statement_seconds: group_histogram(),
            wait_seconds: group_histogram(),
            server_seconds: group_histogram(),
            tries_again: Family::default(),
            store_calls: Family::default(),
            replacements: Counter::default(),
            connections: Family::default(),
            waiting: Family::default(),
            sample_age_seconds: Family::default(),
            configuration_version: Gauge::default(),
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
        registry.register("statements", "Statements by outcome", self.statements.clone());
        let seconds = self.statement_seconds.clone();
        registry.register("statement_seconds", "Arrival to answer", seconds);
        registry.register("wait_seconds", "Wait for a connection", self.wait_seconds.clone());
        registry.register("server_seconds", "Time at servers", self.server_seconds.clone());
        registry.register("tries_again", "Tries followed by others", self.tries_again.clone());
        registry.register("store_calls", "Calls that follow records", self.store_calls.clone());
        registry.register("replacements", "Primaries replaced", self.replacements.clone());
        registry.register("connections", "Connections to servers", self.connections.clone());
        registry.register("waiting", "Statements that wait", self.waiting.clone());
        let age = self.sample_age_seconds.clone();
        registry.register("sample_age_seconds", "Age of the primary's position", age);
        let version = self.configuration_version.clone();
        registry.register("configuration_version", "Version in force", version);
        registry.register("sessions", "Open sessions", self.sessions.clone());
        registry.register(
            "log_lines_left_out",
            "Log lines not written",
            self.lines_left_out.clone(),
        );
    }

    /// A statement ended after `took`.
    pub fn ended(&self, group: &GroupId, failure: Option<ErrorKind>, took: Duration) {
        let outcome = failure.map_or("ok", ErrorKind::name);
        let group = group.to_string();
        let labels = StatementLabels { group: group.clone(), outcome };
        self.statements.get_or_create(&labels).inc();
        let seconds = self.statement_seconds.get_or_create(&GroupLabels { group });
        seconds.observe(took.as_secs_f64());
    }

    /// A statement had waited for a connection, and was at a server.
    pub fn tried(&self, group: &GroupId, waited: Duration, at_server: Duration) {
        let labels = GroupLabels { group: group.to_string() };
        self.wait_seconds.get_or_create(&labels).observe(waited.as_secs_f64());
        self.server_seconds.get_or_create(&labels).observe(at_server.as_secs_f64());
    }

    /// A try was followed by another one.
    pub fn moved(&self, reason: ErrorKind) {
        self.tries_again.get_or_create(&ReasonLabels { reason: reason.name() }).inc();
    }

    /// All metrics as text.
    #[must_use]
    pub fn text(&self, engine: &Engine) -> String {
        self.configuration_version.set(i64::try_from(engine.catalog().version).unwrap_or(i64::MAX));
        self.sessions.set(i64::try_from(engine.session_count()).unwrap_or(i64::MAX));
        self.lines_left_out.set(i64::try_from(event_log::left_out()).unwrap_or(i64::MAX));
        self.connections.clear();
        for shard in engine.shards() {
            self.look_at(&shard);
        }
        let mut text = String::new();
        // Writing to a String cannot fail.
        let _written = encode(&mut text, &self.registry);
        text
    }

    fn look_at(&self, shard: &Shard) {
        let labels = GroupLabels { group: shard.id().to_string() };
        let waiting = i64::try_from(shard.waiting()).unwrap_or(i64::MAX);
        self.waiting.get_or_create(&labels).set(waiting);
        if let Some(age) = shard.with_group(|group| group.sample_age(now())) {
            self.sample_age_seconds.get_or_create(&labels).set(age.as_secs_f64());
        }
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
