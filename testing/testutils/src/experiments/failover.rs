//! How long writes cannot land after a fault.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use chervilwharf_standin::fault_proxy::Behaviour;
use chervilwharf_standin::store::StoreFaults;

use crate::checker::Heard;
use crate::checker::History;
use crate::checker::Style;
use crate::checker::Workload;
use crate::cluster::Cluster;
use crate::cluster::Shape;
use crate::experiments::stats::summary;

/// What is done to the deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The primary's process is killed.
    Kill,
    /// The primary's process is stopped in its tracks.
    Freeze,
    /// Connections to the primary are closed and refused.
    Cut,
    /// Packets to and from the primary vanish.
    Silent,
    /// The owner's process is killed.
    OwnerKill,
    /// The owner's process is stopped in its tracks.
    OwnerFreeze,
    /// The owner gets SIGTERM.
    Stop,
}

impl Fault {
    /// Reads the name used on the command line.
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

/// Shape of one of the two deployments of the brief.
///
/// # Panics
///
/// When the name is unknown.
#[must_use]
pub fn deployment(name: &str) -> Shape {
    match name {
        "pl-mid" => Shape {
            delay: Duration::from_micros(500),
            connect_cost: Duration::from_millis(10),
            ..Shape::default()
        },
        "pnw" => Shape {
            domains: 4,
            instances: 4,
            delay: Duration::from_micros(1500),
            connect_cost: Duration::from_millis(30),
            connections: 40,
            ..Shape::default()
        },
        _ => panic!("unknown deployment {name}, expected pl-mid or pnw"),
    }
}

/// One run: the gap, and its phases as far as the owner's log tells them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gap {
    /// From the last write acknowledged before to the first after the fault.
    pub gap: Duration,
    /// From the fault to the owner's decision.
    pub detect: Duration,
    /// From the decision until it serves again.
    pub take: Duration,
    /// Writes that were not acknowledged, of any outcome.
    pub not_acknowledged: usize,
}

fn epoch_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(0)
}

/// Runs one fault against a fresh deployment.
///
/// # Panics
///
/// When the deployment does not start or does not recover.
pub async fn run_once(shape: Shape, fault: Fault, store_down: bool) -> Gap {
    let mut cluster = Cluster::start(shape).await;
    let workload = Workload::start_with(&cluster, Style::Statement, Duration::from_millis(1)).await;
    workload.wait_for_progress(50).await;
    let (owner, _, primary) = cluster.serving("db1").await.expect("served");
    let primary = cluster.target(&primary);
    if store_down {
        cluster.store.set_faults(StoreFaults { down: true, ..StoreFaults::default() });
    }
    let (at, at_ms) = (Instant::now(), epoch_ms());
    apply(&mut cluster, fault, primary, owner);
    workload.wait_for_progress(50).await;
    let (history, _) = workload.stop().await;
    if std::env::var_os("EXPERIMENT_TRACE").is_some() {
        trace_slow(&history, at);
    }
    let (detect, take) = phases(&cluster, at_ms);
    Gap {
        gap: gap_around(&history, at),
        detect,
        take,
        not_acknowledged: history
            .values()
            .flatten()
            .filter(|mark| mark.heard != Heard::Acknowledged)
            .count(),
    }
}

fn apply(cluster: &mut Cluster, fault: Fault, primary: usize, owner: usize) {
    let target = &mut cluster.targets[primary];
    match fault {
        Fault::Kill => target.process.as_mut().expect("up").kill(),
        Fault::Freeze => target.process.as_ref().expect("up").freeze(),
        Fault::Cut => {
            target.sql_proxy.set(Behaviour::cut());
            target.log_proxy.set(Behaviour::cut());
        }
        Fault::Silent => {
            target.sql_proxy.set(Behaviour::unresponsive());
            target.log_proxy.set(Behaviour::unresponsive());
        }
        Fault::OwnerKill => {
            cluster.instances[owner].process.as_mut().expect("up").kill();
            cluster.instances[owner].process = None;
        }
        Fault::OwnerFreeze => cluster.instances[owner].process.as_ref().expect("up").freeze(),
        Fault::Stop => cluster.instances[owner].process.as_ref().expect("up").terminate(),
    }
}

/// Prints the slow writes, to find out where a gap comes from.
fn trace_slow(history: &History, at: Instant) {
    for mark in history.values().flatten() {
        if mark.heard == Heard::Acknowledged && mark.took < Duration::from_millis(200) {
            continue;
        }
        let end_ms = mark.at.saturating_duration_since(at).as_millis();
        let took_ms = mark.took.as_millis();
        let (heard, error) = (mark.heard, &mark.error);
        eprintln!("{} {heard:?} {error} ended at {end_ms} ms after {took_ms} ms", mark.id);
    }
}

/// The longest stretch without an acknowledged write that ends after `at`.
fn gap_around(history: &History, at: Instant) -> Duration {
    let mut times: Vec<_> = history
        .values()
        .flatten()
        .filter(|mark| mark.heard == Heard::Acknowledged)
        .map(|mark| mark.at)
        .collect();
    times.sort_unstable();
    let pairs = times.windows(2).filter(|pair| pair[1] >= at);
    pairs.map(|pair| pair[1] - pair[0]).max().unwrap_or_default()
}

/// Reads the phases from the log lines of the instances.
fn phases(cluster: &Cluster, fault_ms: u64) -> (Duration, Duration) {
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

/// Runs a fault many times and prints the figures.
pub async fn run(deployment_name: &str, fault_name: &str, store_down: bool, runs: usize) {
    let fault = Fault::from_name(fault_name).expect("a known fault");
    let mut gaps = Vec::new();
    for _ in 0..runs {
        gaps.push(run_once(deployment(deployment_name), fault, store_down).await);
    }
    let column = |pick: fn(&Gap) -> Duration| -> String {
        let mut values: Vec<_> = gaps.iter().map(pick).collect();
        summary(&mut values)
    };
    let store = if store_down { "down" } else { "up" };
    let refused: usize = gaps.iter().map(|gap| gap.not_acknowledged).sum();
    println!(
        "| {deployment_name} | {fault_name} | {store} | {runs} | {} | {} | {} | {refused} |",
        column(|gap| gap.gap),
        column(|gap| gap.detect),
        column(|gap| gap.take),
    );
}
