//! A series of faults that overlap, decided by a seed.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::fault::Fault;

/// A fault with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timed {
    /// What happens.
    pub fault: Fault,
    /// When, from the start of the series.
    pub at: Duration,
    /// How long.
    pub lasts: Duration,
}

/// Which faults a series can hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Selection {
    /// All of them.
    #[default]
    Any,
    /// Only what operators do on purpose.
    PlannedWork,
    /// All of them, and the store comes back from copies.
    StoreCopies,
    /// The store or connections to it go silent, beside planned work.
    Silences,
}

/// How a deployment under test looks, and what is done to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shape {
    /// Number of instances.
    pub instances: usize,
    /// Number of servers of the group.
    pub servers: usize,
    /// How long faults begin.
    pub length: Duration,
    /// Which faults.
    pub selection: Selection,
}

impl Default for Shape {
    fn default() -> Self {
        let length = Duration::from_secs(8);
        Self { instances: 3, servers: 3, length, selection: Selection::Any }
    }
}

/// Faults of one series, at least and at most.
const FAULTS: std::ops::RangeInclusive<usize> = 3..=7;

/// How long a fault lasts: from a blink to beyond all time-outs of the proxy.
const LASTS_MS: std::ops::RangeInclusive<u64> = 200..=3_500;

/// Share of the faults that are copies, where there are some.
const COPIES: f64 = 0.4;

/// Share of the faults that are silences, where there are some.
const SILENCES: f64 = 0.7;

/// The series of a seed, in order of time.
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
