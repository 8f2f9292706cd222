//! Failover experiment: measures how long no write is acknowledged after a fault (the
//! write outage).

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use chervilwharf_standin::fault_proxy::Behaviour;
use chervilwharf_standin::store::StoreFaults;

use crate::checker::History;
use crate::checker::ReportedOutcome;
use crate::checker::Workload;
use crate::checker::WriteKind;
use crate::cluster::Cluster;
use crate::cluster::ClusterOptions;
use crate::experiments::stats::summary;

/// The fault that is injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process of the primary is killed.
    Kill,
    /// The process of the primary is suspended.
    Freeze,
    /// Connections to the primary are closed and refused.
    Cut,
    /// Packets to and from the primary are dropped.
    Silent,
    /// The process of the owner is killed.
    OwnerKill,
    /// The process of the owner is suspended.
    OwnerFreeze,
    /// The owner receives SIGTERM.
    Stop,
}

impl Fault {
    /// Returns the fault of a name on the command line.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        Some(match name {
            "kill" => Self::Kill,
            "freeze" => Self::Freeze,
            "cut" => Self::Cut,
            "silent" => Self::Silent,
            "owner-kill" => Self::OwnerKill,
            "owner-freeze" => Self::OwnerFreeze,
            "stop" => Self::Stop,
            _ => return None,
        })
    }
}

/// Options of a deployment with the network delays and connection costs of one of two
/// reference sites, `pl-mid` and `pnw`.
///
/// # Panics
///
/// When the name is unknown.
#[must_use]
pub fn reference_options(name: &str) -> ClusterOptions {
    match name {
        "pl-mid" => ClusterOptions {
            delay: Duration::from_micros(500),
            connect_cost: Duration::from_millis(10),
            ..ClusterOptions::default()
        },
        "pnw" => ClusterOptions {
            domains: 4,
            instances: 4,
            delay: Duration::from_micros(1500),
            connect_cost: Duration::from_millis(30),
            connections: 40,
            ..ClusterOptions::default()
        },
        _ => panic!("unknown deployment {name}, expected pl-mid or pnw"),
    }
}

/// The result of one run. The phases are zero if the owner's log does not contain them.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailoverTimes {
    /// Time from the last write acknowledged before the fault to the first one
    /// acknowledged after it.
    pub write_outage: Duration,
    /// Time from the fault to the decision of the owner to take over.
    pub detection: Duration,
    /// Time from that decision until the owner serves the database.
    pub takeover: Duration,
    /// Number of writes that were not acknowledged, whatever their outcome.
    pub not_acknowledged: usize,
}

fn epoch_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(0)
}

/// Injects a fault into a new deployment and measures the write outage.
///
/// # Panics
///
/// When the deployment does not start or does not recover.
pub async fn run_once(options: ClusterOptions, fault: Fault, store_down: bool) -> FailoverTimes {
    let mut cluster = Cluster::start(options).await;
    let workload =
        Workload::start_with_pause(&cluster, WriteKind::Statement, Duration::from_millis(1)).await;
    workload.wait_for_progress(50).await;
    let (owner, _, primary) = cluster.serving("db1").await.expect("the database is served");
    let primary = cluster.target(&primary);
    if store_down {
        cluster.store.set_faults(StoreFaults { down: true, ..StoreFaults::default() });
    }
    let (at, at_ms) = (Instant::now(), epoch_ms());
    apply(&mut cluster, fault, primary, owner);
    workload.wait_for_progress(50).await;
    let (history, _) = workload.stop().await;
    if std::env::var_os("EXPERIMENT_TRACE").is_some() {
        print_slow_writes(&history, at);
    }
    let (detection, takeover) = read_phases(&cluster, at_ms);
    FailoverTimes {
        write_outage: longest_write_outage(&history, at),
        detection,
        takeover,
        not_acknowledged: history
            .values()
            .flatten()
            .filter(|write| write.reported != ReportedOutcome::Acknowledged)
            .count(),
    }
}

fn apply(cluster: &mut Cluster, fault: Fault, primary: usize, owner: usize) {
    let target = &mut cluster.targets[primary];
    match fault {
        Fault::Kill => target.process.as_mut().expect("the process is running").kill(),
        Fault::Freeze => target.process.as_ref().expect("the process is running").freeze(),
        Fault::Cut => {
            target.sql_proxy.set(Behaviour::cut());
            target.log_proxy.set(Behaviour::cut());
        }
        Fault::Silent => {
            target.sql_proxy.set(Behaviour::unresponsive());
            target.log_proxy.set(Behaviour::unresponsive());
        }
        Fault::OwnerKill => {
            cluster.instances[owner].process.as_mut().expect("the process is running").kill();
            cluster.instances[owner].process = None;
        }
        Fault::OwnerFreeze => {
            cluster.instances[owner].process.as_ref().expect("the process is running").freeze();
        }
        Fault::Stop => {
            cluster.instances[owner].process.as_ref().expect("the process is running").terminate();
        }
    }
}

/// Prints the writes that were slow or not acknowledged, which shows where a gap comes
/// from.
fn print_slow_writes(history: &History, at: Instant) {
    for write in history.values().flatten() {
        if write.reported == ReportedOutcome::Acknowledged
            && write.took < Duration::from_millis(200)
        {
            continue;
        }
        let end_ms = write.at.saturating_duration_since(at).as_millis();
        let took_ms = write.took.as_millis();
        let (reported, error) = (write.reported, &write.error);
        eprintln!("{} {reported:?} {error} ended at {end_ms} ms after {took_ms} ms", write.id);
    }
}

/// Returns the longest time without an acknowledged write that ends at `at` or later.
fn longest_write_outage(history: &History, at: Instant) -> Duration {
    let mut times: Vec<_> = history
        .values()
        .flatten()
        .filter(|write| write.reported == ReportedOutcome::Acknowledged)
        .map(|write| write.at)
        .collect();
    times.sort_unstable();
    let pairs = times.windows(2).filter(|pair| pair[1] >= at);
    pairs.map(|pair| pair[1] - pair[0]).max().unwrap_or_default()
}

/// Reads the durations of detection and takeover from the log lines of the instances.
fn read_phases(cluster: &Cluster, fault_ms: u64) -> (Duration, Duration) {
    let mut best = (Duration::ZERO, Duration::ZERO);
    for node in &cluster.instances {
        let path = cluster.folder().join(format!("{}.txt", node.id));
        let text = std::fs::read_to_string(path).unwrap_or_default();
        for line in text.lines().filter(|line| line.contains("serving database=db1")) {
            let at_ms: u64 = line.split(' ').next().and_then(|w| w.parse().ok()).unwrap_or(0);
            let took = line.split("took_ms=").nth(1).and_then(|w| w.trim().parse().ok());
            let took = Duration::from_millis(took.unwrap_or(0));
            if at_ms >= fault_ms && best.1.is_zero() {
                let total = Duration::from_millis(at_ms - fault_ms);
                best = (total.saturating_sub(took), took);
            }
        }
    }
    best
}

/// Runs a fault several times and prints a table row with the results.
pub async fn run(deployment_name: &str, fault_name: &str, store_down: bool, runs: usize) {
    let fault = Fault::from_name(fault_name).expect("a known fault");
    let mut results = Vec::new();
    for _ in 0..runs {
        results.push(run_once(reference_options(deployment_name), fault, store_down).await);
    }
    let column = |pick: fn(&FailoverTimes) -> Duration| -> String {
        let mut values: Vec<_> = results.iter().map(pick).collect();
        summary(&mut values)
    };
    let store = if store_down { "down" } else { "up" };
    let refused: usize = results.iter().map(|times| times.not_acknowledged).sum();
    println!(
        "| {deployment_name} | {fault_name} | {store} | {runs} | {} | {} | {} | {refused} |",
        column(|times| times.write_outage),
        column(|times| times.detection),
        column(|times| times.takeover),
    );
}
