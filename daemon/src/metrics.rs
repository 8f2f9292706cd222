//! Metrics of an instance, for the metrics collector and for the report on error
//! budgets.

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

/// Labels of a completed request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct RequestLabels {
    /// Service that the request was sent for.
    pub service: String,
    /// `ok` or the name of the error kind.
    pub outcome: String,
}

/// Labels of a read.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct ReadLabels {
    /// Role of the server that answered: `replica` or `primary`.
    pub served_by: String,
}

/// Labels of a change of ownership.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct CauseLabels {
    /// Cause of a takeover, or reason of a loss.
    pub cause: String,
}

/// Bytes sent to other instances.
#[derive(Clone, Debug, Default)]
pub struct LinkCounters {
    /// Bytes of all messages.
    pub all_bytes: Counter,
    /// Bytes of heartbeats and their answers.
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

/// All metrics of an instance.
pub struct Metrics {
    registry: Registry,
    /// Requests by service and outcome.
    pub requests: Family<RequestLabels, Counter>,
    /// Reads by the role of the server that answered them.
    pub reads: Family<ReadLabels, Counter>,
    /// Reads that a replica refused because it had not applied the log up to the
    /// read's floor, the lowest position that the read may see.
    pub floors_missed: Counter,
    /// Requests whose answers waited because the term had not been confirmed
    /// recently.
    pub currency_waits: Counter,
    /// Retries of requests.
    pub retries: Counter,
    /// Takeovers of databases by this instance, by cause.
    pub takes: Family<CauseLabels, Counter>,
    /// Ends of the ownership of a database, by reason.
    pub losses: Family<CauseLabels, Counter>,
    /// Databases that this instance owns.
    pub owned: Gauge,
    /// Open client connections.
    pub client_connections: Gauge,
    /// Bytes sent to other instances.
    pub links: LinkCounters,
    /// Calls to the platform's store.
    pub store_calls: Counter,
    /// Time in seconds from the start of a takeover, or of the replacement of a
    /// primary, until this instance serves the database.
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
    /// Creates all metrics with value zero.
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
        registry.register("reads", "Reads by role of the answering server", self.reads.clone());
        registry.register(
            "floors_missed",
            "Reads refused by a replica that lagged too far behind",
            self.floors_missed.clone(),
        );
        registry.register(
            "currency_waits",
            "Requests whose answers waited for the term to be confirmed",
            self.currency_waits.clone(),
        );
        registry.register("retries", "Retries of requests", self.retries.clone());
        registry.register("takes", "Takeovers of databases, by cause", self.takes.clone());
        registry.register("losses", "Losses of databases, by reason", self.losses.clone());
        registry.register("owned_databases", "Databases owned", self.owned.clone());
        registry.register(
            "client_connections",
            "Open client connections",
            self.client_connections.clone(),
        );
        registry.register(
            "control_bytes",
            "Bytes of heartbeats sent to other instances",
            self.links.control_bytes.clone(),
        );
        let all_bytes = self.links.all_bytes.clone();
        registry.register("peer_bytes", "Bytes sent to other instances", all_bytes);
        registry.register("store_calls", "Calls to the platform's store", self.store_calls.clone());
        registry.register(
            "take_duration_seconds",
            "Time from the start of a takeover until the database is served",
            self.take_duration.clone(),
        );
    }

    /// Returns all metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }

    /// Counts a completed request, and its failure against the error budget of
    /// the service. `dependency` is the database that the request used.
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

    /// Returns the request counts of each service, for the report on the burn
    /// rate of its error budget.
    #[must_use]
    pub fn burn_counts(&self) -> BTreeMap<Arc<str>, BurnCounts> {
        self.burn.lock().expect("never poisoned").clone()
    }
}

/// Returns the time since the Unix epoch; zero if the clock is set before it.
#[must_use]
pub fn since_epoch() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
