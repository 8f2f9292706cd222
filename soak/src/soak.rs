//! One run of the soak: clients work while the faults of a schedule are injected; then
//! the checks compare what clients and servers observed.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use chervilwharf_testutils::account_load::RECOVERY_TIME;
use chervilwharf_testutils::cluster::WAIT_TIMEOUT;
use tokio::task::JoinSet;

use crate::accounts::AccountClients;
use crate::checks;
use crate::deployment::Deployment;
use crate::deployment::POLL_INTERVAL;
use crate::deployment::added_database_name;
use crate::fault::Fault;
use crate::history::FaultPeriod;
use crate::history::ReportedOutcome;
use crate::schedule::ScheduledFault;
use crate::schedule::Selection;
use crate::schedule::SoakOptions;
use crate::schedule::fault_schedule;
use crate::workload::WorkloadClient;
use crate::workload::WorkloadState;
use crate::workload::check_added_databases;

/// Number of clients.
const CLIENTS: usize = 8;

/// Operations that each client has to complete before the faults, and again after them.
const PROGRESS: u64 = 10;

/// The result of one run.
#[derive(Clone, Debug)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// The faults that were injected.
    pub schedule: Vec<ScheduledFault>,
    /// Number of writes that were acknowledged.
    pub kept: usize,
    /// Number of writes that were reported as not stored.
    pub not_kept: usize,
    /// Number of writes whose outcome was not reported.
    pub unknown: usize,
    /// Number of reads that were answered.
    pub reads: usize,
    /// Number of promotions that the platform accepted.
    pub promotions: usize,
    /// For each configuration that was written after an outage of the store: the time
    /// until it was in force at all instances, unless another outage began meanwhile.
    pub in_force_after: Vec<Duration>,
    /// Violations of guarantees, one line each.
    pub violations: Vec<String>,
}

/// Runs the fault schedule of a seed and checks the guarantees. `check_times` enables the
/// checks of time limits, which a heavily loaded machine can exceed.
pub async fn run(seed: u64, options: SoakOptions, check_times: bool) -> Report {
    let deployment = Arc::new(Deployment::new(options).await);
    let workload = Arc::new(WorkloadState::new(deployment.clone(), CLIENTS));
    let mut clients = JoinSet::new();
    for number in 0..CLIENTS {
        clients.spawn(WorkloadClient::new(workload.clone(), number, seed).run());
    }
    clients.spawn(check_added_databases(workload.clone(), seed));
    let has_limits = options.selection == Selection::AccountLimits;
    let account_clients = has_limits.then(|| AccountClients::start(&deployment));
    let mut violations = Vec::new();
    wait_for_progress(&workload, "before the faults", &mut violations).await;
    let faults = fault_schedule(seed, options);
    inject_faults(&deployment, &faults).await;
    wait_for_progress(&workload, "after the faults", &mut violations).await;
    wait_for_configuration(&deployment, &mut violations).await;
    if let Some(clients) = account_clients {
        // Long enough to observe requests that no fault can have delayed.
        tokio::time::sleep(RECOVERY_TIME * 2).await;
        violations.extend(clients.finish(&deployment).await);
    }
    workload.stop.store(true, Ordering::SeqCst);
    while let Some(ended) = clients.join_next().await {
        if let Err(error) = ended {
            violations.push(format!(
                "a client panicked, possibly because no answer came in time: {error}"
            ));
        }
    }
    for instance in &deployment.instances {
        if !instance.is_running() {
            violations.push(format!("{} exited unexpectedly", instance.name));
        }
    }
    let log = deployment.group.log(deployment.group.leader());
    let runs = deployment.group.runs();
    violations.extend(checks::check_history(&deployment.history, &log, &runs));
    let server_ids: Vec<_> =
        (0..deployment.group.size()).map(|number| deployment.group.id(number)).collect();
    let answers = deployment.history.answers.lock().expect("never poisoned").clone();
    violations.extend(checks::check_answers(&answers, &runs, &server_ids));
    violations.extend(checks::check_promotions(&deployment.store.promotions()));
    if check_times && can_check_draining(&faults) {
        let periods = deployment.history.drain_periods.lock().expect("never poisoned").clone();
        violations.extend(checks::check_draining(&periods, &runs));
    }
    if check_times {
        let in_force_after = deployment.history.in_force_after.lock().expect("never poisoned");
        violations.extend(checks::check_configuration_times(&in_force_after));
    }
    if options.selection == Selection::PlannedOperations {
        let dropped = deployment.history.dropped_requests.lock().expect("never poisoned").clone();
        let stops = deployment.history.stops.lock().expect("never poisoned").clone();
        violations.extend(checks::check_stops(&dropped, &stops));
    }
    let report = report(seed, faults, &deployment, violations);
    deployment.remove_folder(!report.violations.is_empty());
    report
}

/// Starts each fault at its time, ends it after its duration, and waits until all are
/// over.
async fn inject_faults(deployment: &Arc<Deployment>, faults: &[ScheduledFault]) {
    let began = tokio::time::Instant::now();
    let mut running = JoinSet::new();
    for scheduled in faults.iter().copied() {
        let deployment = deployment.clone();
        running.spawn(async move {
            tokio::time::sleep_until(began + scheduled.starts_at).await;
            let since = Instant::now();
            scheduled.fault.begin(&deployment);
            tokio::time::sleep(scheduled.duration).await;
            scheduled.fault.end(&deployment).await;
            let period = FaultPeriod { since, until: Instant::now() };
            deployment.history.fault_periods.lock().expect("never poisoned").push(period);
        });
    }
    while running.join_next().await.is_some() {}
    // With overlapping faults, the end of one fault can start or resume an instance before
    // another fault kills or suspends it. All instances are therefore resumed and started
    // once more.
    for number in 0..deployment.instances.len() {
        deployment.instances[number].thaw();
        deployment.start(number);
    }
}

async fn wait_for_progress(workload: &WorkloadState, when: &str, violations: &mut Vec<String>) {
    let counts = || {
        workload
            .completed
            .iter()
            .map(|completed| completed.load(Ordering::SeqCst))
            .collect::<Vec<_>>()
    };
    let before = counts();
    let until = Instant::now() + WAIT_TIMEOUT;
    loop {
        let behind =
            counts().iter().zip(&before).filter(|(now, old)| **now < **old + PROGRESS).count();
        if behind == 0 {
            return;
        }
        if Instant::now() >= until {
            violations.push(format!("{behind} clients make no progress {when}"));
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Writes a configuration after the faults, and adds a violation for each instance at
/// which it does not come into force.
async fn wait_for_configuration(deployment: &Deployment, violations: &mut Vec<String>) {
    deployment.add_database();
    let number = deployment.added_count();
    for instance in
        deployment.instances_without_database(number, Instant::now() + WAIT_TIMEOUT).await
    {
        violations.push(format!(
            "{} does not serve {}",
            instance.name,
            added_database_name(number)
        ));
    }
}

/// Whether no other fault keeps instances from moving the work away from a draining
/// server: the schedule affects at most one server, and no fault delays platform updates.
fn can_check_draining(faults: &[ScheduledFault]) -> bool {
    let servers = faults.iter().filter(|scheduled| {
        matches!(
            scheduled.fault,
            Fault::CrashServer(_)
                | Fault::SilenceServer(_)
                | Fault::MuteServer(_)
                | Fault::LeavingServer(_)
                | Fault::LoseCommitAnswers(_)
                | Fault::LoseWriteAnswers(_)
                | Fault::BreakCommitAnswers(_)
                | Fault::BreakWriteAnswers(_)
                | Fault::BusyServer(_)
                | Fault::RepeatReplies(..)
        )
    });
    servers.count() <= 1
        && !faults.iter().any(|scheduled| scheduled.fault.delays_platform_updates())
}

fn report(
    seed: u64,
    schedule: Vec<ScheduledFault>,
    deployment: &Deployment,
    violations: Vec<String>,
) -> Report {
    let writes = deployment.history.writes.lock().expect("never poisoned");
    let count = |wanted| writes.iter().filter(|write| write.reported == wanted).count();
    Report {
        seed,
        schedule,
        kept: count(ReportedOutcome::Kept),
        not_kept: count(ReportedOutcome::NotKept),
        unknown: count(ReportedOutcome::Unknown),
        reads: deployment.history.reads.lock().expect("never poisoned").len(),
        promotions: deployment.store.promotions().len(),
        in_force_after: deployment.history.in_force_after.lock().expect("never poisoned").clone(),
        violations,
    }
}
