//! One run of the soak: clients work while the faults of a schedule are injected; then
//! the checks compare what clients and servers observed.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use chervilwharf_testutils::cluster::PATIENCE;
use tokio::task::JoinSet;

use crate::caller::Caller;
use crate::caller::Crowd;
use crate::caller::look_for_databases;
use crate::deployment::Deployment;
use crate::deployment::LOOK_AGAIN;
use crate::deployment::added_name;
use crate::fault::Fault;
use crate::history::Heard;
use crate::judge;
use crate::series::Selection;
use crate::series::Shape;
use crate::series::Timed;
use crate::series::series;

/// Number of clients.
const CALLERS: usize = 8;

/// Operations that each client has to complete before the faults, and again after them.
const PROGRESS: u64 = 10;

/// The result of one run.
#[derive(Clone, Debug)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// The faults that were injected.
    pub series: Vec<Timed>,
    /// Number of writes that were acknowledged.
    pub kept: usize,
    /// Number of writes that were reported as not stored.
    pub not_kept: usize,
    /// Number of writes whose outcome was not reported.
    pub unknown: usize,
    /// Number of reads that were answered.
    pub reads: usize,
    /// Number of promotions that the platform executed.
    pub promotions: usize,
    /// For each configuration that was written after an outage of the store: the time until it was in force at all instances, unless another outage began meanwhile.
    pub in_force_after: Vec<Duration>,
    /// Violations of guarantees, one line each.
    pub broken: Vec<String>,
}

/// Runs the fault schedule of a seed and checks the guarantees. `timed` enables the
/// checks of time limits, which a heavily loaded machine can exceed.
pub async fn run(seed: u64, shape: Shape, timed: bool) -> Report {
    let deployment = Arc::new(Deployment::new(shape).await);
    let crowd = Arc::new(Crowd::new(deployment.clone(), CALLERS));
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        callers.spawn(Caller::new(crowd.clone(), number, seed).run());
    }
    callers.spawn(look_for_databases(crowd.clone(), seed));
    let mut broken = Vec::new();
    wait_for_progress(&crowd, "before the faults", &mut broken).await;
    let faults = series(seed, shape);
    bring_about(&deployment, &faults).await;
    wait_for_progress(&crowd, "after the faults", &mut broken).await;
    wait_for_configuration(&deployment, &mut broken).await;
    crowd.stop.store(true, Ordering::SeqCst);
    while let Some(ended) = callers.join_next().await {
        if let Err(error) = ended {
            broken.push(format!("a caller waited for ever: {error}"));
        }
    }
    for instance in &deployment.instances {
        if !instance.is_running() {
            broken.push(format!("{} ended by itself", instance.name));
        }
    }
    let log = deployment.group.log(deployment.group.leader());
    let runs = deployment.group.runs();
    broken.extend(judge::judge(&deployment.history, &log, &runs));
    broken.extend(judge::judge_promotions(&deployment.store.promotions()));
    if timed && leaves_undisturbed(&faults) {
        let leaving = deployment.history.leaving.lock().expect("never poisoned").clone();
        broken.extend(judge::judge_leaving(&leaving, &runs));
    }
    if timed {
        let in_force_after = deployment.history.in_force_after.lock().expect("never poisoned");
        broken.extend(judge::judge_configurations(&in_force_after));
    }
    if shape.selection == Selection::PlannedWork {
        let cuts = deployment.history.cuts.lock().expect("never poisoned").clone();
        let stops = deployment.history.stops.lock().expect("never poisoned").clone();
        broken.extend(judge::judge_stops(&cuts, &stops));
    }
    let report = report(seed, faults, &deployment, broken);
    clean_up(&deployment, &report);
    report
}

/// Starts each fault at its time, ends it after its duration, and waits until all are
/// over.
async fn bring_about(deployment: &Arc<Deployment>, faults: &[Timed]) {
    let began = tokio::time::Instant::now();
    let mut running = JoinSet::new();
    for timed in faults.iter().copied() {
        let deployment = deployment.clone();
        running.spawn(async move {
            tokio::time::sleep_until(began + timed.at).await;
            timed.fault.begin(&deployment);
            tokio::time::sleep(timed.lasts).await;
            timed.fault.end(&deployment).await;
        });
    }
    while running.join_next().await.is_some() {}
    // With overlapping faults, one fault can start an instance before another one kills or suspends it. All instances are resumed and started once more.
    for number in 0..deployment.instances.len() {
        deployment.instances[number].thaw();
        deployment.start(number);
    }
}

async fn wait_for_progress(crowd: &Crowd, when: &str, broken: &mut Vec<String>) {
    let counts = || crowd.done.iter().map(|done| done.load(Ordering::SeqCst)).collect::<Vec<_>>();
    let before = counts();
    let until = Instant::now() + PATIENCE;
    loop {
        let behind =
            counts().iter().zip(&before).filter(|(now, old)| **now < **old + PROGRESS).count();
        if behind == 0 {
            return;
        }
        if Instant::now() >= until {
            broken.push(format!("{behind} callers do not get on {when}"));
            return;
        }
        tokio::time::sleep(LOOK_AGAIN).await;
    }
}

/// Writes a configuration after the faults, and adds a violation for each instance at
/// which it does not come into force.
async fn wait_for_configuration(deployment: &Deployment, broken: &mut Vec<String>) {
    deployment.add_database();
    let number = deployment.added();
    for instance in deployment.unaware_of(number, Instant::now() + PATIENCE).await {
        broken.push(format!("{} does not know {}", instance.name, added_name(number)));
    }
}

/// Whether no other fault keeps instances from moving the work away from a draining
/// server: the schedule affects at most one server, and no fault delays platform updates.
fn leaves_undisturbed(faults: &[Timed]) -> bool {
    let servers = faults.iter().filter(|timed| {
        matches!(
            timed.fault,
            Fault::CrashServer(_)
                | Fault::SilenceServer(_)
                | Fault::MuteServer(_)
                | Fault::LeavingServer(_)
                | Fault::LoseCommitAnswers(_)
                | Fault::LoseWriteAnswers(_)
                | Fault::BreakCommitAnswers(_)
                | Fault::BreakWriteAnswers(_)
                | Fault::BusyServer(_)
        )
    });
    servers.count() <= 1 && !faults.iter().any(|timed| timed.fault.hides_the_platform())
}

fn report(seed: u64, series: Vec<Timed>, deployment: &Deployment, broken: Vec<String>) -> Report {
    let writes = deployment.history.writes.lock().expect("never poisoned");
    let count = |wanted| writes.iter().filter(|write| write.heard == wanted).count();
    Report {
        seed,
        series,
        kept: count(Heard::Kept),
        not_kept: count(Heard::NotKept),
        unknown: count(Heard::Unknown),
        reads: deployment.history.reads.lock().expect("never poisoned").len(),
        promotions: deployment.store.promotions().len(),
        in_force_after: deployment.history.in_force_after.lock().expect("never poisoned").clone(),
        broken,
    }
}

/// Removes settings and logs, unless there were violations that they can explain.
fn clean_up(deployment: &Deployment, report: &Report) {
    if !report.broken.is_empty() {
        eprintln!("settings and logs of seed {}: {}", report.seed, deployment.folder().display());
        return;
    }
    if let Err(error) = std::fs::remove_dir_all(deployment.folder()) {
        eprintln!("{} stays: {error}", deployment.folder().display());
    }
}
