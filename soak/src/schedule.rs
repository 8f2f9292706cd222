//! Fault schedules: a seed determines which faults happen in a run, when, and for how
//! long. Faults can overlap.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::fault::Fault;
use crate::fault::RepeatedReplies;

/// A fault with its start time and duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledFault {
    /// The fault.
    pub fault: Fault,
    /// When the fault begins, measured from the start of the schedule.
    pub starts_at: Duration,
    /// How long the fault lasts.
    pub duration: Duration,
}

/// Which faults a schedule can contain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Selection {
    /// All faults except those that only the other selections add.
    #[default]
    Any,
    /// Only planned operations.
    PlannedOperations,
    /// As `Any`, and the store is restored from backups.
    StoreRestores,
    /// The store or connections to it become unresponsive, besides draining servers and
    /// new configurations.
    StoreOutages,
    /// As `Any`, with client accounts that have limits, a second group of servers, and a restart
    /// of all instances at the same time as another fault.
    AccountLimits,
}

/// Size of the deployment under test, and which faults are injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SoakOptions {
    /// Number of instances.
    pub instances: usize,
    /// Number of database servers.
    pub servers: usize,
    /// Time within which all faults begin.
    pub injection_time: Duration,
    /// Which faults the schedule can contain.
    pub selection: Selection,
}

impl Default for SoakOptions {
    fn default() -> Self {
        let injection_time = Duration::from_secs(8);
        Self { instances: 3, servers: 3, injection_time, selection: Selection::Any }
    }
}

/// Number of faults of one schedule, drawn from this range.
const FAULT_COUNT: std::ops::RangeInclusive<usize> = 3..=7;

/// Duration of a fault in milliseconds, drawn from this range, which goes beyond all
/// timeouts of the proxy.
const FAULT_DURATION_MS: std::ops::RangeInclusive<u64> = 200..=3_500;

/// Probability that a fault is a restore of the store, in `Selection::StoreRestores`.
const STORE_RESTORE_PROBABILITY: f64 = 0.4;

/// Probability that a fault makes the store or its connections unresponsive, in
/// `Selection::StoreOutages`.
const STORE_OUTAGE_PROBABILITY: f64 = 0.7;

/// Returns the fault schedule of a seed, ordered by start time.
#[must_use]
pub fn fault_schedule(seed: u64, options: SoakOptions) -> Vec<ScheduledFault> {
    let mut random = StdRng::seed_from_u64(seed);
    let count = random.random_range(FAULT_COUNT);
    let injection_time_ms = u64::try_from(options.injection_time.as_millis()).unwrap_or(u64::MAX);
    let mut schedule: Vec<ScheduledFault> = (0..count)
        .map(|_| ScheduledFault {
            fault: random_fault(&mut random, options),
            starts_at: Duration::from_millis(random.random_range(0..injection_time_ms.max(1))),
            duration: Duration::from_millis(random.random_range(FAULT_DURATION_MS)),
        })
        .collect();
    if options.selection == Selection::AccountLimits {
        let other = schedule[random.random_range(0..schedule.len())];
        schedule.push(ScheduledFault { fault: Fault::RestartAllInstances, ..other });
    }
    schedule.sort_by_key(|scheduled| scheduled.starts_at);
    schedule
}

fn random_fault(random: &mut StdRng, options: SoakOptions) -> Fault {
    let instance = random.random_range(0..options.instances);
    let server = random.random_range(0..options.servers);
    let repeated = RepeatedReplies::ALL[random.random_range(0..RepeatedReplies::ALL.len())];
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
        Fault::RepeatReplies(server, repeated),
        Fault::LagServer(server),
        Fault::LeavingServer(server),
        Fault::StoreDown,
        Fault::StoreSilent,
        Fault::StoreLosesAnswers,
        Fault::StoreForgets,
        Fault::Configuration,
    ];
    if options.selection == Selection::StoreRestores
        && random.random_bool(STORE_RESTORE_PROBABILITY)
    {
        return Fault::StoreComesBack;
    }
    if options.selection == Selection::StoreOutages && random.random_bool(STORE_OUTAGE_PROBABILITY)
    {
        let outages = [Fault::StoreSwallows, Fault::ForgetAllStoreConnections];
        return outages[random.random_range(0..outages.len())];
    }
    let faults = match options.selection {
        Selection::Any | Selection::StoreRestores | Selection::AccountLimits => any.as_slice(),
        Selection::PlannedOperations => planned.as_slice(),
        Selection::StoreOutages => &[Fault::LeavingServer(server), Fault::Configuration],
    };
    faults[random.random_range(0..faults.len())]
}
