//! Read share experiment: measures the share of reads that replicas serve when the
//! statements of an account go to random instances.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use chervilwharf_lib::config::Account;
use chervilwharf_lib::verifier;
use tokio_postgres::Client;
use tokio_postgres::SimpleQueryMessage;

use crate::cluster::Cluster;
use crate::cluster::ClusterOptions;
use crate::cluster::wait_for;

/// Number of accounts.
const ACCOUNTS: usize = 150;

/// Mean pause of an account between two requests.
const MEAN_PAUSE: Duration = Duration::from_secs(1);

/// On average, one request in this many is a write.
const REQUESTS_PER_WRITE: u64 = 10;

/// Duration of one measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(20);

/// Time that replication takes at zero lag; it is added to the lag when eligible reads
/// are counted.
const REPLICATION_TIME: Duration = Duration::from_millis(10);

#[derive(Default)]
struct Counts {
    reads: usize,
    /// Reads of accounts whose last write was longer ago than the lag, so that a
    /// replica can serve them.
    eligible: usize,
    stale: usize,
    failed: usize,
    times: Vec<Duration>,
}

struct Random(u64);

impl Random {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % limit
    }

    /// A pause from the exponential distribution with the mean [`MEAN_PAUSE`].
    #[allow(clippy::cast_precision_loss, reason = "a random number needs no precision")]
    fn pause(&mut self) -> Duration {
        let uniform = (self.below(1_000_000) + 1) as f64 / 1_000_001.0;
        MEAN_PAUSE.mul_f64(-uniform.ln())
    }
}

fn first_number(messages: &[SimpleQueryMessage]) -> Option<u64> {
    messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0)?.parse().ok(),
        _ => None,
    })
}

/// The workload of one account, which reads its own row and sometimes increments it.
async fn account(
    number: usize,
    clients: Vec<Client>,
    until: Instant,
    lag: Duration,
    counts: Arc<Mutex<Counts>>,
) {
    let mut random = Random(0x9e37_79b9 + number as u64 * 7919);
    let (mut value, mut written_at) = (0_u64, None::<Instant>);
    while Instant::now() < until {
        tokio::time::sleep(random.pause()).await;
        let index = usize::try_from(random.below(clients.len() as u64)).unwrap_or(0);
        let client = &clients[index];
        if random.below(REQUESTS_PER_WRITE) == 0 {
            let text = format!("UPDATE kv SET v = {} WHERE k = {number}", value + 1);
            match client.batch_execute(&text).await {
                Ok(()) => {
                    value += 1;
                    written_at = Some(Instant::now());
                }
                Err(_) => counts.lock().expect("never poisoned").failed += 1,
            }
            continue;
        }
        let began = Instant::now();
        let read = client.simple_query(&format!("SELECT v FROM kv WHERE k = {number}")).await;
        let mut counts = counts.lock().expect("never poisoned");
        let Ok(messages) = read else {
            counts.failed += 1;
            continue;
        };
        counts.reads += 1;
        counts.times.push(began.elapsed());
        let is_eligible = written_at.is_none_or(|at| began - at > lag + REPLICATION_TIME);
        counts.eligible += usize::from(is_eligible);
        counts.stale += usize::from(first_number(&messages).unwrap_or(0) < value);
    }
}

async fn reads_by_server_role(cluster: &Cluster) -> (f64, f64) {
    let (mut replica, mut primary) = (0.0, 0.0);
    for index in 0..cluster.instances.len() {
        for line in cluster.metrics(index).await.lines() {
            let value = line.rsplit(' ').next().and_then(|v| v.parse::<f64>().ok()).unwrap_or(0.0);
            if line.starts_with("chervilwharf_reads_total{served_by=\"replica\"}") {
                replica += value;
            } else if line.starts_with("chervilwharf_reads_total{served_by=\"primary\"}") {
                primary += value;
            }
        }
    }
    (replica, primary)
}

/// The freshness that reads request.
#[derive(Clone, Copy, Debug)]
pub enum ReadMode {
    /// The default of the proxy: reads return the writes of the same account.
    OwnWrites,
    /// Baseline: reads are as current as the latest position of the primary.
    PrimaryPosition,
    /// Baseline: the primary serves all reads.
    Primary,
}

impl ReadMode {
    fn freshness(self) -> &'static str {
        match self {
            Self::OwnWrites => "own_writes",
            Self::PrimaryPosition => "fresh",
            // No position sample is that recent, so only the primary can answer.
            Self::Primary => "0",
        }
    }
}

async fn start(lag: Duration) -> Cluster {
    let mut cluster = Cluster::start_without_instances(ClusterOptions::default()).await;
    let salt = b"the same for all";
    let verifier: Arc<str> = verifier::make_verifier("password", salt).into();
    for number in 0..ACCOUNTS {
        let account = Account {
            verifier: verifier.clone(),
            services: vec!["bookings".into()],
            max_connections: 10,
            requests_per_s: 1000,
            weight: chervilwharf_lib::config::DEFAULT_WEIGHT,
        };
        cluster.config.accounts.insert(format!("account-{number}").into(), account);
    }
    cluster.store_configuration("experiment");
    for index in 0..cluster.instances.len() {
        cluster.start_instance(index);
    }
    cluster.list_instances();
    cluster.wait_until_served().await;
    let setup = cluster.connect(0, "tenant").await;
    setup
        .batch_execute("CREATE TABLE kv (k INTEGER PRIMARY KEY, v INTEGER)")
        .await
        .expect("the statement runs");
    for number in 0..ACCOUNTS {
        let text = format!("INSERT INTO kv VALUES ({number}, 0)");
        setup.batch_execute(&text).await.expect("the statement runs");
    }
    cluster.set_lag(lag).await;
    cluster
}

/// Measures one lag and mode, and prints a table row.
///
/// # Panics
///
/// When the deployment does not start.
pub async fn run(lag: Duration, mode: ReadMode) {
    let cluster = start(lag).await;
    wait_for("the deployment is served", async || cluster.serving("db1").await.is_some()).await;
    let counts: Arc<Mutex<Counts>> = Arc::default();
    let mut sessions = Vec::new();
    for number in 0..ACCOUNTS {
        let mut clients = Vec::new();
        for instance in 0..cluster.instances.len() {
            let name = format!("account-{number}");
            let client = cluster.try_connect(instance, &name, "password", "db1").await;
            let client = client.expect("the login works");
            let set = format!("SET chervilwharf.freshness = '{}'", mode.freshness());
            client.batch_execute(&set).await.expect("the statement runs");
            clients.push(client);
        }
        sessions.push(clients);
    }
    let before = reads_by_server_role(&cluster).await;
    let until = Instant::now() + MEASUREMENT_TIME;
    let tasks: Vec<_> = sessions
        .into_iter()
        .enumerate()
        .map(|(n, clients)| tokio::spawn(account(n, clients, until, lag, counts.clone())))
        .collect();
    for task in tasks {
        task.await.expect("accounts do not panic");
    }
    let after = reads_by_server_role(&cluster).await;
    let (replica, primary) = (after.0 - before.0, after.1 - before.1);
    let mut counts = counts.lock().expect("never poisoned");
    counts.times.sort_unstable();
    let us = |share| crate::experiments::stats::quantile(&counts.times, share).as_micros();
    #[allow(clippy::cast_precision_loss, reason = "counts of one run")]
    let eligible = 100.0 * counts.eligible as f64 / counts.reads.max(1) as f64;
    let share = 100.0 * replica / (replica + primary).max(1.0);
    println!(
        "| {mode:?} | {} | {} | {share:.1} | {eligible:.1} | {} | {} | {} | {} |",
        lag.as_millis(),
        counts.reads,
        us(0.5),
        us(0.99),
        counts.stale,
        counts.failed
    );
}
