//! Capacity experiment: measures how the resource use of an instance grows with each
//! database that it owns, each instance that it watches, each connected client, and each
//! database of the configuration that other instances own. docs/CAPACITY.md extrapolates
//! the results to a large fleet.

use std::fmt::Write as _;
use std::time::Duration;
use std::time::Instant;

use chervilwharf_lib::config::Config;
use chervilwharf_lib::instance::Instance;
use chervilwharf_lib::instance::InstanceEvent;
use chervilwharf_lib::membership::MembershipTiming;
use chervilwharf_lib::membership::OwnerRecord;
use chervilwharf_lib::membership::PeerInfo;
use chervilwharf_lib::ownership_types::OwnershipTiming;

use crate::cluster::Cluster;
use crate::cluster::ClusterOptions;
use crate::experiments::stats::Line;
use crate::experiments::usage::Usage;

/// Time over which the resource use of a running deployment is measured.
const MEASUREMENT_TIME: Duration = Duration::from_secs(6);

/// Time to wait before a measurement, until a deployment is idle.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Number of instances of the fleet that the results are extrapolated to.
pub const FLEET_INSTANCES: f64 = 6100.0;

/// Number of databases of that fleet.
pub const FLEET_DATABASES: f64 = 13_000.0;

/// Number of clients of one instance of that fleet.
pub const FLEET_CLIENTS_PER_INSTANCE: f64 = 24e6 / FLEET_INSTANCES;

/// Average resource use per instance of a deployment.
#[derive(Clone, Copy, Debug, Default)]
struct Sample {
    cpu_share: f64,
    memory_bytes: f64,
    peer_bytes_per_s: f64,
    server_bytes_per_s: f64,
}

fn metric(text: &str, name: &str) -> f64 {
    let line = text.lines().find(|line| line.starts_with(name));
    line.and_then(|line| line.rsplit(' ').next()?.parse().ok()).unwrap_or(0.0)
}

struct Counters {
    usage: Vec<Usage>,
    control_bytes: f64,
    server_bytes: f64,
}

#[allow(clippy::cast_precision_loss, reason = "byte counts of seconds")]
async fn counters(cluster: &Cluster) -> Counters {
    let mut control_bytes = 0.0;
    for index in 0..cluster.instances.len() {
        let text = cluster.metrics(index).await;
        control_bytes += metric(&text, "chervilwharf_control_bytes_total");
    }
    let processes =
        cluster.instances.iter().map(|n| n.process.as_ref().expect("the process is running").id());
    Counters {
        usage: processes.map(Usage::of).collect(),
        control_bytes,
        server_bytes: cluster.targets.iter().map(|t| t.sql_proxy.byte_count() as f64).sum(),
    }
}

#[allow(clippy::cast_precision_loss, reason = "a handful of instances")]
async fn measure(cluster: &Cluster) -> Sample {
    tokio::time::sleep(SETTLE_TIME).await;
    let (before, began) = (counters(cluster).await, Instant::now());
    tokio::time::sleep(MEASUREMENT_TIME).await;
    let (after, elapsed) = (counters(cluster).await, began.elapsed().as_secs_f64());
    let count = cluster.instances.len() as f64;
    let pairs = after.usage.iter().zip(&before.usage);
    let cpu: f64 = pairs.map(|(a, b)| a.cpu_s - b.cpu_s).sum();
    let each = |total: f64| total / elapsed / count;
    Sample {
        cpu_share: each(cpu),
        memory_bytes: after.usage.iter().map(|usage| usage.memory_bytes).sum::<f64>() / count,
        peer_bytes_per_s: each(after.control_bytes - before.control_bytes),
        server_bytes_per_s: each(after.server_bytes - before.server_bytes),
    }
}

/// A line fitted to the measured points of one resource.
struct Slope {
    line: Line,
}

fn slope(report: &mut String, name: &str, unit: &str, points: &[(f64, f64)]) -> Slope {
    let line = Line::fit(points);
    let listed: Vec<_> = points.iter().map(|(x, y)| format!("{x:.0}: {y:.3}")).collect();
    let _ = writeln!(
        report,
        "| {name} | {unit} | {} | {:.4} | {:.3} | {:.3} |",
        listed.join(", "),
        line.slope,
        line.base,
        line.residual
    );
    Slope { line }
}

const KB: f64 = 1024.0;
const MB: f64 = 1024.0 * 1024.0;

/// Measures three instances with a growing number of databases.
#[allow(clippy::cast_precision_loss, reason = "a handful of databases")]
async fn measure_owned_databases(report: &mut String) -> [Slope; 3] {
    let (mut cpu, mut memory, mut bytes) = (Vec::new(), Vec::new(), Vec::new());
    for databases in [1, 3, 6, 12] {
        let cluster =
            Cluster::start(ClusterOptions { databases, ..ClusterOptions::default() }).await;
        let sample = measure(&cluster).await;
        let owned = databases as f64 / cluster.instances.len() as f64;
        cpu.push((owned, sample.cpu_share * 100.0));
        memory.push((owned, sample.memory_bytes / MB));
        bytes.push((owned, sample.server_bytes_per_s / KB));
    }
    [
        slope(report, "owned databases: processor", "% of a core", &cpu),
        slope(report, "owned databases: memory", "MB", &memory),
        slope(report, "owned databases: probes, both ways", "KB/s", &bytes),
    ]
}

/// Measures a growing number of instances with one database. Each instance watches all
/// others, up to a limit of the library.
#[allow(clippy::cast_precision_loss, reason = "a handful of instances")]
async fn measure_watched_instances(report: &mut String) -> [Slope; 2] {
    let (mut cpu, mut bytes) = (Vec::new(), Vec::new());
    for instances in [3, 5, 7, 9] {
        let cluster =
            Cluster::start(ClusterOptions { instances, ..ClusterOptions::default() }).await;
        let sample = measure(&cluster).await;
        let watched = (instances - 1) as f64;
        cpu.push((watched, sample.cpu_share * 100.0));
        bytes.push((watched, sample.peer_bytes_per_s / KB));
    }
    [
        slope(report, "watched instances: processor", "% of a core", &cpu),
        slope(report, "watched instances: heartbeats sent", "KB/s", &bytes),
    ]
}

/// Measures one instance with a growing number of idle clients.
#[allow(clippy::cast_precision_loss, reason = "a few thousand clients")]
async fn measure_idle_clients(report: &mut String) -> [Slope; 2] {
    let cluster = Cluster::start(ClusterOptions::default()).await;
    let process = cluster.instances[0].process.as_ref().expect("the process is running").id();
    let (mut memory, mut cpu, mut clients) = (Vec::new(), Vec::new(), Vec::new());
    for wanted in [0, 300, 600, 900] {
        while clients.len() < wanted {
            let account = ["tenant", "tenant2", "kiosk", "writer1"][clients.len() % 4];
            let client = cluster.connect(0, account).await;
            client.batch_execute("SELECT 1").await.expect("the statement runs");
            clients.push(client);
        }
        tokio::time::sleep(SETTLE_TIME).await;
        let before = Usage::of(process);
        tokio::time::sleep(MEASUREMENT_TIME / 2).await;
        let after = Usage::of(process);
        memory.push((wanted as f64, after.memory_bytes / MB));
        let share = (after.cpu_s - before.cpu_s) / (MEASUREMENT_TIME / 2).as_secs_f64();
        cpu.push((wanted as f64, share * 100.0));
    }
    [
        slope(report, "idle callers: memory", "MB", &memory),
        slope(report, "idle callers: processor", "% of a core", &cpu),
    ]
}

fn peer(number: usize) -> PeerInfo {
    PeerInfo {
        id: format!("instance-{number}").into(),
        address: format!("10.0.{}.{}:7000", number / 250, number % 250).into(),
        admin_address: format!("10.0.{}.{}:7001", number / 250, number % 250).into(),
        failure_domain: format!("domain-{}", number % 12).into(),
        leaving: false,
        configuration_version: 1,
    }
}

fn configuration_text(databases: usize) -> String {
    let mut text = String::from("{\"failure_domains\": [");
    let domains: Vec<_> = (0..12).map(|n| format!("\"domain-{n}\"")).collect();
    text.push_str(&domains.join(", "));
    text.push_str("], \"databases\": {\n");
    for number in 0..databases {
        let servers: Vec<_> = (0..3)
            .map(|s| {
                format!(
                    "{{\"id\": \"db{number}{s}\", \"address\": \"10.{}.{}.{s}:5432\", \
                     \"failure_domain\": \"domain-{}\"}}",
                    number / 250,
                    number % 250,
                    (number + s) % 12
                )
            })
            .collect();
        let comma = if number + 1 == databases { "" } else { "," };
        let _ = writeln!(text, "\"db{number}\": {{\"servers\": [{}]}}{comma}", servers.join(", "));
    }
    text.push_str("}, \"services\": {}, \"accounts\": {}}");
    text
}

/// Measures the state machine of one instance, in this process, with a growing number of
/// databases that other instances own.
#[allow(clippy::cast_precision_loss, reason = "thousands")]
fn measure_known_databases(report: &mut String) -> [Slope; 4] {
    let (mut memory, mut text_size) = (Vec::new(), Vec::new());
    let (mut tick, mut change) = (Vec::new(), Vec::new());
    let mut kept = Vec::new();
    for databases in [500, 1000, 2000, 4000] {
        // The ratio of instances to databases is that of the fleet.
        let peers = databases * 6100 / 13_000;
        let text = configuration_text(databases);
        text_size.push((databases as f64, text.len() as f64 / MB));
        let before = Usage::of(std::process::id()).memory_bytes;
        let config: Config = serde_json::from_str(&text).expect("the configuration is valid");
        let instance =
            Instance::new(peer(0), "life", MembershipTiming::default(), OwnershipTiming::default());
        let start = Instant::now();
        instance.configure(&config, 1);
        instance.membership().add_peers(start, (1..peers).map(peer));
        for number in 0..databases {
            let owner = peer(1 + number % (peers - 1)).id;
            let record = OwnerRecord { owner, term: 1 };
            let database = format!("db{number}").into();
            instance.handle(start, InstanceEvent::OwnerKnown { database, record });
        }
        let after = Usage::of(std::process::id()).memory_bytes;
        memory.push((databases as f64, (after - before) / MB));
        // Measures the first tick after a change of membership, and then the average of
        // 20 ticks that follow.
        let began = Instant::now();
        instance.handle(start + Duration::from_millis(20), InstanceEvent::Tick);
        change.push((databases as f64, began.elapsed().as_secs_f64() * 1000.0));
        let began = Instant::now();
        for tick in 2..22 {
            instance.handle(start + Duration::from_millis(20 * tick), InstanceEvent::Tick);
        }
        tick.push((databases as f64, began.elapsed().as_secs_f64() * 1000.0 / 20.0));
        kept.push((instance, config));
    }
    drop(kept);
    [
        slope(report, "known databases (with their share of instances): memory", "MB", &memory),
        slope(report, "known databases: size of the text", "MB", &text_size),
        slope(report, "known databases: one tick", "ms", &tick),
        slope(report, "known databases: tick after a change of membership", "ms", &change),
    ]
}

/// Runs all measurements and returns the two tables of docs/CAPACITY.md.
pub async fn run() -> String {
    let mut report = String::from(
        "| slope | unit | points | for each | at zero | largest residual |\n\
         | --- | --- | --- | --- | --- | --- |\n",
    );
    let known = measure_known_databases(&mut report);
    let owned = measure_owned_databases(&mut report).await;
    let instances = measure_watched_instances(&mut report).await;
    let idle_clients = measure_idle_clients(&mut report).await;
    report.push('\n');
    extrapolate(&mut report, &known, &owned, &instances, &idle_clients);
    report
}

/// Number of instances that one instance exchanges heartbeats with in the fleet: for each
/// database that it owns, two successors watch it; it watches as many owners itself, and
/// three more instances in rotation.
const FLEET_WATCHED_INSTANCES: f64 = 2.0 * FLEET_DATABASES / FLEET_INSTANCES + 3.0;

fn extrapolate(
    report: &mut String,
    known: &[Slope; 4],
    owned: &[Slope; 3],
    instances: &[Slope; 2],
    idle_clients: &[Slope; 2],
) {
    let databases_per_instance = FLEET_DATABASES / FLEET_INSTANCES;
    report.push_str("| at 6,100 nodes and 13,000 databases | each node | unit | bound |\n");
    report.push_str("| --- | --- | --- | --- |\n");
    let mut row = |what: &str, value: f64, unit: &str, bound: &str| {
        let _ = writeln!(report, "| {what} | {value:.3} | {unit} | {bound} |");
    };
    let tick_share = known[2].line.at(FLEET_DATABASES) / 20.0 * 100.0;
    let owner_cpu = owned[0].line.slope * databases_per_instance;
    let peers_cpu = instances[0].line.slope * FLEET_WATCHED_INSTANCES;
    row("processor: ticks over all known databases", tick_share, "% of a core", "");
    row("processor: owned databases", owner_cpu, "% of a core", "");
    row("processor: heartbeats", peers_cpu, "% of a core", "");
    let idle_cpu = owned[0].line.base;
    row("processor: process at rest", idle_cpu, "% of a core", "");
    let sum = idle_cpu + tick_share + owner_cpu + peers_cpu;
    row("processor: sum", sum, "% of a core", "2.6");
    row("tick after a change of membership", known[3].line.at(FLEET_DATABASES), "ms", "");
    let base = owned[1].line.base;
    let known_memory = known[0].line.at(FLEET_DATABASES);
    let owner_memory = owned[1].line.slope * databases_per_instance;
    row("memory: process at rest", base, "MB", "");
    row("memory: known databases and instances", known_memory, "MB", "");
    row("memory: owned databases", owner_memory, "MB", "");
    row("memory: control, sum", base + known_memory + owner_memory, "MB", "128");
    row(
        "memory: idle callers, not control",
        idle_clients[0].line.slope * FLEET_CLIENTS_PER_INSTANCE,
        "MB",
        "",
    );
    let probes = owned[2].line.slope * databases_per_instance;
    // The measurement used the heartbeat interval of a small fleet; a large fleet uses
    // a longer one.
    let timing = MembershipTiming::default();
    let interval_ratio = timing.heartbeat_interval.as_secs_f64()
        / timing.heartbeat_interval_large_fleet.as_secs_f64();
    let heartbeats = instances[1].line.slope * FLEET_WATCHED_INSTANCES * interval_ratio;
    row("bytes: probes of idle databases, both ways", probes, "KB/s", "");
    row("bytes: heartbeats sent", heartbeats, "KB/s", "");
    row("bytes: sum", probes + heartbeats, "KB/s", "4");
    row("text of the configuration", known[1].line.at(FLEET_DATABASES), "MB", "1");
}
