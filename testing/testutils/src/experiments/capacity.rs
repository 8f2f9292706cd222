//! Slopes from which docs/CAPACITY.md is worked out: what an instance needs
//! for each database it owns, each instance, each caller, and each database
//! it merely knows.

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
use crate::cluster::Shape;
use crate::experiments::stats::Line;
use crate::experiments::usage::Usage;

/// Time over which a running deployment is watched.
const WATCH_TIME: Duration = Duration::from_secs(6);

/// Time for a deployment to come to rest first.
const REST_TIME: Duration = Duration::from_secs(2);

/// Size of the fleet the page is about.
pub const NODES: f64 = 6100.0;

/// Databases of that fleet.
pub const DATABASES: f64 = 13_000.0;

/// Callers of one node of that fleet.
pub const CALLERS: f64 = 24e6 / NODES;

/// What the instances of a deployment used, on average each.
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
    let processes = cluster.instances.iter().map(|n| n.process.as_ref().expect("up").id());
    Counters {
        usage: processes.map(Usage::of).collect(),
        control_bytes,
        server_bytes: cluster.targets.iter().map(|t| t.sql_proxy.byte_count() as f64).sum(),
    }
}

#[allow(clippy::cast_precision_loss, reason = "a handful of instances")]
async fn watch(cluster: &Cluster) -> Sample {
    tokio::time::sleep(REST_TIME).await;
    let (before, began) = (counters(cluster).await, Instant::now());
    tokio::time::sleep(WATCH_TIME).await;
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

/// Points of one slope, and the text that shows them.
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

/// Owned databases: three instances, more and more databases.
#[allow(clippy::cast_precision_loss, reason = "a handful of databases")]
async fn owned(report: &mut String) -> [Slope; 3] {
    let (mut cpu, mut memory, mut bytes) = (Vec::new(), Vec::new(), Vec::new());
    for databases in [1, 3, 6, 12] {
        let cluster = Cluster::start(Shape { databases, ..Shape::default() }).await;
        let sample = watch(&cluster).await;
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

/// Instances: one database, more and more instances, each watching all others
/// up to the limit of the library.
#[allow(clippy::cast_precision_loss, reason = "a handful of instances")]
async fn instances(report: &mut String) -> [Slope; 2] {
    let (mut cpu, mut bytes) = (Vec::new(), Vec::new());
    for instances in [3, 5, 7, 9] {
        let cluster = Cluster::start(Shape { instances, ..Shape::default() }).await;
        let sample = watch(&cluster).await;
        let watched = (instances - 1) as f64;
        cpu.push((watched, sample.cpu_share * 100.0));
        bytes.push((watched, sample.peer_bytes_per_s / KB));
    }
    [
        slope(report, "watched instances: processor", "% of a core", &cpu),
        slope(report, "watched instances: heartbeats sent", "KB/s", &bytes),
    ]
}

/// Callers: idle connections to one instance.
#[allow(clippy::cast_precision_loss, reason = "a few thousand callers")]
async fn callers(report: &mut String) -> [Slope; 2] {
    let cluster = Cluster::start(Shape::default()).await;
    let process = cluster.instances[0].process.as_ref().expect("up").id();
    let (mut memory, mut cpu, mut clients) = (Vec::new(), Vec::new(), Vec::new());
    for wanted in [0, 300, 600, 900] {
        while clients.len() < wanted {
            let account = ["tenant", "tenant2", "kiosk", "writer1"][clients.len() % 4];
            let client = cluster.connect(0, account).await;
            client.batch_execute("SELECT 1").await.expect("runs");
            clients.push(client);
        }
        tokio::time::sleep(REST_TIME).await;
        let before = Usage::of(process);
        tokio::time::sleep(WATCH_TIME / 2).await;
        let after = Usage::of(process);
        memory.push((wanted as f64, after.memory_bytes / MB));
        let share = (after.cpu_s - before.cpu_s) / (WATCH_TIME / 2).as_secs_f64();
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

fn text_of(databases: usize) -> String {
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

/// Databases and instances that one instance merely knows, in this process.
#[allow(clippy::cast_precision_loss, reason = "thousands")]
fn known(report: &mut String) -> [Slope; 4] {
    let (mut memory, mut text_size) = (Vec::new(), Vec::new());
    let (mut tick, mut change) = (Vec::new(), Vec::new());
    let mut kept = Vec::new();
    for databases in [500, 1000, 2000, 4000] {
        // As many instances for each database as in the fleet.
        let peers = databases * 6100 / 13_000;
        let text = text_of(databases);
        text_size.push((databases as f64, text.len() as f64 / MB));
        let before = Usage::of(std::process::id()).memory_bytes;
        let config: Config = serde_json::from_str(&text).expect("a valid text");
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
        // The first tick after a change of membership, and those that follow.
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

/// Measures all slopes and returns the two tables of docs/CAPACITY.md.
pub async fn run() -> String {
    let mut report = String::from(
        "| slope | unit | points | for each | at zero | largest residual |\n\
         | --- | --- | --- | --- | --- | --- |\n",
    );
    let known = known(&mut report);
    let owned = owned(&mut report).await;
    let instances = instances(&mut report).await;
    let callers = callers(&mut report).await;
    report.push('\n');
    extrapolate(&mut report, &known, &owned, &instances, &callers);
    report
}

/// Instances one owner or successor exchanges heartbeats with at full size:
/// two successors watch each of its databases, it watches as many owners, and
/// three more in rotation.
const WATCHED_AT_SIZE: f64 = 2.0 * DATABASES / NODES + 3.0;

fn extrapolate(
    report: &mut String,
    known: &[Slope; 4],
    owned: &[Slope; 3],
    instances: &[Slope; 2],
    callers: &[Slope; 2],
) {
    let per_node = DATABASES / NODES;
    report.push_str("| at 6,100 nodes and 13,000 databases | each node | unit | bound |\n");
    report.push_str("| --- | --- | --- | --- |\n");
    let mut row = |what: &str, value: f64, unit: &str, bound: &str| {
        let _ = writeln!(report, "| {what} | {value:.3} | {unit} | {bound} |");
    };
    let tick_share = known[2].line.at(DATABASES) / 20.0 * 100.0;
    let owner_cpu = owned[0].line.slope * per_node;
    let peers_cpu = instances[0].line.slope * WATCHED_AT_SIZE;
    row("processor: ticks over all known databases", tick_share, "% of a core", "");
    row("processor: owned databases", owner_cpu, "% of a core", "");
    row("processor: heartbeats", peers_cpu, "% of a core", "");
    let rest_cpu = owned[0].line.base;
    row("processor: process at rest", rest_cpu, "% of a core", "");
    let sum = rest_cpu + tick_share + owner_cpu + peers_cpu;
    row("processor: sum", sum, "% of a core", "2.6");
    row("tick after a change of membership", known[3].line.at(DATABASES), "ms", "");
    let base = owned[1].line.base;
    let known_memory = known[0].line.at(DATABASES);
    let owner_memory = owned[1].line.slope * per_node;
    row("memory: process at rest", base, "MB", "");
    row("memory: known databases and instances", known_memory, "MB", "");
    row("memory: owned databases", owner_memory, "MB", "");
    row("memory: control, sum", base + known_memory + owner_memory, "MB", "128");
    row("memory: idle callers, not control", callers[0].line.slope * CALLERS, "MB", "");
    let probes = owned[2].line.slope * per_node;
    // Measured with quick heartbeats; a large fleet sends them at this pace.
    let timing = MembershipTiming::default();
    let pace = timing.heartbeat_interval.as_secs_f64()
        / timing.heartbeat_interval_large_fleet.as_secs_f64();
    let heartbeats = instances[1].line.slope * WATCHED_AT_SIZE * pace;
    row("bytes: probes of idle databases, both ways", probes, "KB/s", "");
    row("bytes: heartbeats sent", heartbeats, "KB/s", "");
    row("bytes: sum", probes + heartbeats, "KB/s", "4");
    row("text of the configuration", known[1].line.at(DATABASES), "MB", "1");
}
