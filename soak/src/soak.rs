//! One run: callers at work while a series of faults goes by.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use chervilwharf_testutils::cluster::PATIENCE;
use tokio::task::JoinSet;

use crate::checks;
use crate::deployment::Deployment;
use crate::deployment::LOOK_AGAIN;
use crate::deployment::added_name;
use crate::fault::Fault;
use crate::history::Heard;
use crate::schedule::Selection;
use crate::schedule::Shape;
use crate::schedule::Timed;
use crate::schedule::series;
use crate::workload::Caller;
use crate::workload::Crowd;
use crate::workload::look_for_databases;

/// Number of callers.
const CALLERS: usize = 8;

/// Operations that each caller has to get through before and after the faults.
const PROGRESS: u64 = 10;

/// What one run gave.
#[derive(Clone, Debug)]
pub struct Report {
    /// Its seed.
    pub seed: u64,
    /// The faults.
    pub series: Vec<Timed>,
    /// Writes that were acknowledged.
    pub kept: usize,
    /// Writes of which callers were told that nothing is kept.
    pub not_kept: usize,
    /// Writes of which nobody could say.
    pub unknown: usize,
    /// Reads that were answered.
    pub reads: usize,
    /// Primaries that were replaced.
    pub promotions: usize,
    /// Time from each configuration after a silence until it was in force at all
    /// instances, unless another silence began meanwhile.
    pub in_force_after: Vec<Duration>,
    /// Promises that were broken.
    pub broken: Vec<String>,
}

/// Runs the series of a seed. `timed` says whether promises about time are
/// checked as well, which a busy machine can break.
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

/// Brings each fault about at its time and ends it.
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
    // Where two faults overlapped, the end of one may have been before the
    // beginning of the other's effect: all is made well once more.
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

/// A configuration that is written when the faults are over is in force everywhere.
async fn wait_for_configuration(deployment: &Deployment, broken: &mut Vec<String>) {
    deployment.add_database();
    let number = deployment.added();
    for instance in deployment.unaware_of(number, Instant::now() + PATIENCE).await {
        broken.push(format!("{} does not know {}", instance.name, added_name(number)));
    }
}

/// Whether a server that leaves can be replaced and is seen to leave.
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

/// Removes settings and logs, unless they tell why something went wrong.
fn clean_up(deployment: &Deployment, report: &Report) {
    if !report.broken.is_empty() {
        eprintln!("settings and logs of seed {}: {}", report.seed, deployment.folder().display());
        return;
    }
    if let Err(error) = std::fs::remove_dir_all(deployment.folder()) {
        eprintln!("{} stays: {error}", deployment.folder().display());
    }
}
