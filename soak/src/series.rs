//! Fault schedules: a seed determines which faults happen in a run, when, and for how
//! long. Faults can overlap.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::fault::Fault;

/// A fault with its start time and duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timed {
    /// The fault.
    pub fault: Fault,
    /// When the fault begins, measured from the start of the schedule.
    pub at: Duration,
    /// How long the fault lasts.
    pub lasts: Duration,
}

/// Which faults a schedule can contain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Selection {
    /// All faults except those that only the other selections add.
    #[default]
    Any,
    /// Only planned operations.
    PlannedWork,
    /// As `Any`, and the store is restored from backups.
    StoreCopies,
    /// The store or connections to it become unresponsive, besides draining servers and new configurations.
    Silences,
}

/// Size of the deployment under test, and which faults are injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shape {
    /// Number of instances.
    pub instances: usize,
    /// Number of database servers.
    pub servers: usize,
    /// Time within which all faults begin.
    pub length: Duration,
    /// Which faults the schedule can contain.
    pub selection: Selection,
}

impl Default for Shape {
    fn default() -> Self {
        let length = Duration::from_secs(8);
        Self { instances: 3, servers: 3, length, selection: Selection::Any }
    }
}

/// Number of faults of one schedule, drawn from this range.
const FAULTS: std::ops::RangeInclusive<usize> = 3..=7;

/// Duration of a fault in milliseconds, drawn from this range, which goes beyond all
/// timeouts of the proxy.
const LASTS_MS: std::ops::RangeInclusive<u64> = 200..=3_500;

/// Probability that a fault is a restore of the store, in `Selection::StoreCopies`.
const COPIES: f64 = 0.4;

/// Probability that a fault makes the store or its connections unresponsive, in
/// `Selection::Silences`.
const SILENCES: f64 = 0.7;

/// Returns the fault schedule of a seed, ordered by start time.
#[must_use]
pub fn series(seed: u64, shape: Shape) -> Vec<Timed> {
    let mut random = StdRng::seed_from_u64(seed);
    let count = random.random_range(FAULTS);
    let length_ms = u64::try_from(shape.length.as_millis()).unwrap_or(u64::MAX);
    let mut series: Vec<Timed> = (0..count)
        .map(|_| Timed {
            fault: any_fault(&mut random, shape),
            at: Duration::from_millis(random.random_range(0..length_ms.max(1))),
            lasts: Duration::from_millis(random.random_range(LASTS_MS)),
        })
        .collect();
    series.sort_by_key(|timed| timed.at);
    series
}

fn any_fault(random: &mut StdRng, shape: Shape) -> Fault {
    let instance = random.random_range(0..shape.instances);
    let server = random.random_range(0..shape.servers);
    let planned = [
        Fault::StopInstance(instance),
        Fault::StopInstance(instance),
        Fault::LeavingServer(server),
        Fault::Configuration,
    ];
    let any = [
        Fault::KillInstance(instance),
        Fault::KillAllInstances,
        Fault::FreezeInstance(instance),
        Fault::StopInstance(instance),
        Fault::CutFromStore(instance),
        Fault::ForgetStoreConnections(instance),
        Fault::CrashServer(server),
        Fault::SilenceServer(server),
        Fault::MuteServer(server),
        Fault::DelayServer(server),
        Fault::ForgetServerConnections(server),
        Fault::LoseCommitAnswers(server),
        Fault::LoseWriteAnswers(server),
        Fault::BreakCommitAnswers(server),
        Fault::BreakWriteAnswers(server),
        Fault::BusyServer(server),
        Fault::LagServer(server),
        Fault::LeavingServer(server),
        Fault::StoreDown,
        Fault::StoreSilent,
        Fault::StoreLosesAnswers,
        Fault::StoreForgets,
        Fault::Configuration,
    ];
    if shape.selection == Selection::StoreCopies && random.random_bool(COPIES) {
        return Fault::StoreComesBack;
    }
    if shape.selection == Selection::Silences && random.random_bool(SILENCES) {
        let silences = [Fault::StoreSwallows, Fault::ForgetAllStoreConnections];
        return silences[random.random_range(0..silences.len())];
    }
    let faults = match shape.selection {
        Selection::Any | Selection::StoreCopies => any.as_slice(),
        Selection::PlannedWork => planned.as_slice(),
        Selection::Silences => &[Fault::LeavingServer(server), Fault::Configuration],
    };
    faults[random.random_range(0..faults.len())]
}
