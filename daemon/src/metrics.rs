//! Counters of an instance, for the metrics collector and the reports.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use chervilwharf_lib::burn::BurnCounts;
use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::id::ServiceId;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

/// Labels of a request that ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct RequestLabels {
    /// The service.
    pub service: String,
    /// `ok` or the name of the error kind.
    pub outcome: String,
}

/// Labels of a read.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct ReadLabels {
    /// `replica` or `primary`.
    pub served_by: String,
}

/// Labels of a change of ownership.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct CauseLabels {
    /// What started it.
    pub cause: String,
}

/// Bytes sent to other instances.
#[derive(Clone, Debug, Default)]
pub struct LinkCounters {
    /// All of them.
    pub all_bytes: Counter,
    /// Those of heartbeats.
    pub control_bytes: Counter,
}

impl LinkCounters {
    /// Counts a frame that is sent.
    pub fn count(&self, frame: &[u8], is_control: bool) {
        let size = frame.len() as u64;
        self.all_bytes.inc_by(size);
        if is_control {
            self.control_bytes.inc_by(size);
        }
    }
}

/// All counters of an instance.
pub struct Metrics {
    registry: Registry,
    /// Requests by service and outcome.
    pub requests: Family<RequestLabels, Counter>,
    /// Reads by who answered them.
    pub reads: Family<ReadLabels, Counter>,
    /// Reads sent to a replica that had not applied the floor after all.
    pub floors_missed: Counter,
    /// Reads that waited because the term had not been confirmed recently.
    pub currency_waits: Counter,
    /// Requests sent again.
    pub retries: Counter,
    /// Databases taken, by cause.
    pub takes: Family<CauseLabels, Counter>,
    /// Databases lost, by reason.
    pub losses: Family<CauseLabels, Counter>,
    /// Databases owned now.
    pub owned: Gauge,
    /// Connections of callers open now.
    pub client_connections: Gauge,
    /// Bytes sent to other instances.
    pub links: LinkCounters,
    /// Calls to the platform's store.
    pub store_calls: Counter,
    /// Time from the start of a take to serving.
    pub take_duration: Histogram,
    burn: Mutex<BTreeMap<ServiceId, BurnCounts>>,
}

const TAKE_BUCKET_START_S: f64 = 0.001;

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Counters at zero.
    #[must_use]
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("chervilwharf"),
            requests: Family::default(),
            reads: Family::default(),
            floors_missed: Counter::default(),
            currency_waits: Counter::default(),
            retries: Counter::default(),
            takes: Family::default(),
            losses: Family::default(),
            owned: Gauge::default(),
            client_connections: Gauge::default(),
            links: LinkCounters::default(),
            store_calls: Counter::default(),
            take_duration: Histogram::new(exponential_buckets(TAKE_BUCKET_START_S, 2.0, 14)),
            burn: Mutex::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Requests by service and outcome", self.requests.clone());
        registry.register("reads", "Reads by who answered them", self.reads.clone());
        registry.register(
            "floors_missed",
            "Reads sent to a replica that lagged after all",
            self.floors_missed.clone(),
        );
        registry.register(
            "currency_waits",
            "Reads that waited for the term to be confirmed",
            self.currency_waits.clone(),
        );
        registry.register("retries", "Requests sent again", self.retries.clone());
        registry.register("takes", "Databases taken, by cause", self.takes.clone());
        registry.register("losses", "Databases lost, by reason", self.losses.clone());
        registry.register("owned_databases", "Databases owned now", self.owned.clone());
        registry.register(
            "client_connections",
            "Connections of callers open now",
            self.client_connections.clone(),
        );
        registry.register(
            "control_bytes",
            "Bytes sent to other instances for control",
            self.links.control_bytes.clone(),
        );
        let all_bytes = self.links.all_bytes.clone();
        registry.register("peer_bytes", "Bytes sent to other instances", all_bytes);
        registry.register("store_calls", "Calls to the platform's store", self.store_calls.clone());
        registry.register(
            "take_duration_seconds",
            "Time from the start of a take to serving",
            self.take_duration.clone(),
        );
    }

    /// All counters in the format of the metrics collector.
    #[must_use]
    pub fn render(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }

    /// Counts a request that ended.
    pub fn record_request(
        &self,
        service: &ServiceId,
        failure: Option<ErrorKind>,
        dependency: &str,
    ) {
        let outcome = failure.map_or("ok", ErrorKind::name).to_owned();
        let labels = RequestLabels { service: service.to_string(), outcome };
        self.requests.get_or_create(&labels).inc();
        let mut burn = self.burn.lock().expect("never poisoned");
        let counts = burn.entry(service.clone()).or_default();
        counts.record(since_epoch(), failure.map(|kind| (kind, dependency)));
    }

    /// Counts a read.
    pub fn record_read(&self, by_replica: bool) {
        let served_by = if by_replica { "replica" } else { "primary" }.to_owned();
        self.reads.get_or_create(&ReadLabels { served_by }).inc();
    }

    /// Counts of all services, for the report on service-level burn.
    #[must_use]
    pub fn burn_counts(&self) -> BTreeMap<Arc<str>, BurnCounts> {
        self.burn.lock().expect("never poisoned").clone()
    }
}

/// Time since the Unix epoch.
#[must_use]
pub fn since_epoch() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
