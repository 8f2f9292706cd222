//! The fault matrix: every fault at every step, each cell in a deployment of
//! its own, with a check of what every caller was told.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use chervilwharf_standin::fault_proxy::Behaviour;
use chervilwharf_standin::fault_proxy::Direction;
use chervilwharf_standin::fault_proxy::FaultProxy;
use chervilwharf_standin::fault_proxy::Flow;
use chervilwharf_standin::store::Store;
use chervilwharf_standin::store::StoreFaults;

use crate::checker;
use crate::checker::Style;
use crate::checker::Violations;
use crate::checker::Workload;
use crate::cluster::Cluster;
use crate::cluster::Shape;
use crate::process::signal;

/// A step, told by bytes that pass at it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Its name in the table.
    pub name: &'static str,
    place: Place,
    direction: Direction,
    bytes: &'static [u8],
    /// The fault comes once the bytes have passed.
    after: bool,
    style: Style,
    /// The primary is killed first, to bring a takeover about.
    in_takeover: bool,
}

/// Where the bytes pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    /// Between callers and the owner's entry.
    Callers,
    /// Between other instances and the owner.
    Owner,
    /// Between the owner and the primary.
    Primary,
    /// Between the owner and a replica.
    Replica,
    /// Between the primary and its replicas.
    Log,
}

const fn step(
    name: &'static str,
    place: Place,
    direction: Direction,
    bytes: &'static [u8],
    after: bool,
) -> Step {
    let style = Style::Statement;
    Step { name, place, direction, bytes, after, style, in_takeover: false }
}

const fn in_transaction(step: Step) -> Step {
    Step { style: Style::Transaction, ..step }
}

const fn in_takeover(step: Step) -> Step {
    Step { in_takeover: true, ..step }
}

use Direction::Down;
use Direction::Up;

/// All steps.
pub const STEPS: [Step; 17] = [
    step("write: accept", Place::Callers, Up, b"INSERT INTO marks", false),
    step("write: forward", Place::Owner, Up, b"INSERT INTO marks", false),
    step("write: statement", Place::Primary, Up, b"INSERT INTO marks", true),
    step("write: statement answered", Place::Primary, Down, b"INSERT 0 1", false),
    step("write: COMMIT sent", Place::Primary, Up, b"INSERT INTO chervilwharf_ledger", true),
    step("write: COMMIT answered", Place::Primary, Down, b"COMMIT", false),
    step("write: confirm", Place::Log, Down, b"INSERT INTO marks", false),
    step("write: answer to entry", Place::Owner, Down, b"INSERT 0 1", false),
    step("write: answer to caller", Place::Callers, Down, b"INSERT 0 1", false),
    step("read: forward", Place::Owner, Up, b"SELECT id FROM marks", false),
    step("read: at replica", Place::Replica, Up, b"SELECT id FROM marks", true),
    step("read: answer to entry", Place::Owner, Down, b"SELECT ", false),
    in_transaction(step("transaction: BEGIN", Place::Primary, Up, b"BEGIN", true)),
    in_transaction(step("transaction: statement", Place::Primary, Up, b"SELECT count", true)),
    in_transaction(step(
        "transaction: COMMIT sent",
        Place::Primary,
        Up,
        b"INSERT INTO chervilwharf_ledger",
        true,
    )),
    in_takeover(step("takeover: fence", Place::Replica, Up, b"chervilwharf_fence", true)),
    in_takeover(step("takeover: promote", Place::Replica, Up, b"chervilwharf_promote", true)),
];

/// A fault of the matrix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The primary's process is killed.
    KillPrimary,
    /// The primary stands still for a while.
    FreezePrimary,
    /// The primary's connections are closed and refused for a while.
    CutPrimary,
    /// The primary hears, but nobody hears it, for a while.
    OneWayPrimary,
    /// Open connections to the primary go silent for good.
    ForgetPrimary,
    /// The owner's process is killed.
    KillOwner,
    /// The owner stands still for longer than its currency.
    FreezeOwner,
    /// Links to the owner are closed and refused for a while.
    CutOwner,
    /// Open links to the owner go silent for good.
    ForgetOwner,
    /// Answers of the owner come late.
    LateOwner,
    /// Replicas apply two seconds late.
    LagReplicas,
    /// The store is down for a while.
    StoreDown,
    /// Every call to the store takes a second longer for a while.
    StoreSlow,
    /// The store loses the answers to updates.
    StoreLosesAnswers,
    /// Two at once.
    KillPrimaryAndOwner,
    /// Two at once.
    FreezePrimaryStoreDown,
    /// Two at once.
    KillOwnerStoreDown,
}

/// All faults.
pub const FAULTS: [Fault; 17] = [
    Fault::KillPrimary,
    Fault::FreezePrimary,
    Fault::CutPrimary,
    Fault::OneWayPrimary,
    Fault::ForgetPrimary,
    Fault::KillOwner,
    Fault::FreezeOwner,
    Fault::CutOwner,
    Fault::ForgetOwner,
    Fault::LateOwner,
    Fault::LagReplicas,
    Fault::StoreDown,
    Fault::StoreSlow,
    Fault::StoreLosesAnswers,
    Fault::KillPrimaryAndOwner,
    Fault::FreezePrimaryStoreDown,
    Fault::KillOwnerStoreDown,
];

/// How a cell ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Everything held.
    Held,
    /// Something did not.
    Violated(String),
    /// The step did not come about.
    NotRun(String),
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Held => f.write_str("held"),
            Self::Violated(what) => write!(f, "VIOLATED: {what}"),
            Self::NotRun(why) => write!(f, "not run: {why}"),
        }
    }
}

/// Writes each writer must have acknowledged before and after the fault.
const PROGRESS: usize = 8;

/// Longest wait for the bytes of a step.
const STEP_LIMIT: Duration = Duration::from_secs(10);

/// How long a passing fault lasts: beyond detection and currency.
const FAULT_TIME: Duration = Duration::from_millis(2500);

/// Lag of the replicas in the column that has one.
const REPLICA_LAG: Duration = Duration::from_secs(2);

/// Longest wait until all callers get on again.
const RECOVERY_LIMIT: Duration = Duration::from_secs(40);

/// Everything a fault can act on, detached from the deployment so that it can
/// be brought about in the middle of passing bytes.
#[derive(Clone)]
struct Levers {
    primary_process: u32,
    owner_process: u32,
    primary_sql: FaultProxy,
    primary_log: FaultProxy,
    owner_peer: FaultProxy,
    store: Store,
}

impl Levers {
    fn apply(&self, fault: Fault) {
        // A process that an earlier fault of the cell has ended gets no more.
        let signal = |process, number| {
            let _ = signal(process, number);
        };
        match fault {
            Fault::KillPrimary => signal(self.primary_process, libc::SIGKILL),
            Fault::FreezePrimary => signal(self.primary_process, libc::SIGSTOP),
            Fault::CutPrimary => self.primary(Behaviour::cut()),
            Fault::OneWayPrimary => {
                self.primary(Behaviour { down: Flow::Discard, ..Behaviour::default() });
            }
            Fault::ForgetPrimary => self.primary_sql.blackhole_open_connections(),
            Fault::KillOwner => signal(self.owner_process, libc::SIGKILL),
            Fault::FreezeOwner => signal(self.owner_process, libc::SIGSTOP),
            Fault::CutOwner => self.owner_peer.set(Behaviour::cut()),
            Fault::ForgetOwner => self.owner_peer.blackhole_open_connections(),
            Fault::LateOwner => self.owner_peer.set(Behaviour::delayed(Duration::from_millis(150))),
            // Set before the callers start.
            Fault::LagReplicas => {}
            Fault::StoreDown => {
                self.store.set_faults(StoreFaults { down: true, ..StoreFaults::default() });
            }
            Fault::StoreSlow => {
                self.store.set_faults(StoreFaults { delay_ms: 1000, ..StoreFaults::default() });
            }
            Fault::StoreLosesAnswers => {
                self.store.set_faults(StoreFaults { lose_answers: 5, ..StoreFaults::default() });
            }
            Fault::KillPrimaryAndOwner => {
                self.apply(Fault::KillPrimary);
                self.apply(Fault::KillOwner);
            }
            Fault::FreezePrimaryStoreDown => {
                self.apply(Fault::FreezePrimary);
                self.apply(Fault::StoreDown);
            }
            Fault::KillOwnerStoreDown => {
                self.apply(Fault::KillOwner);
                self.apply(Fault::StoreDown);
            }
        }
    }

    fn primary(&self, behaviour: Behaviour) {
        self.primary_sql.set(behaviour);
        self.primary_log.set(behaviour);
    }

    /// Ends what passes by itself.
    fn relieve(&self) {
        signal(self.primary_process, libc::SIGCONT);
        signal(self.owner_process, libc::SIGCONT);
        self.primary(Behaviour::default());
        self.owner_peer.set(Behaviour::default());
        self.store.set_faults(StoreFaults::default());
    }
}

fn arm(
    cluster: &Cluster,
    step: Step,
    fault: Fault,
    levers: &Levers,
    owner: usize,
    primary: usize,
) -> Arc<AtomicBool> {
    let fired = Arc::new(AtomicBool::new(false));
    let replicas = (0..cluster.targets.len()).filter(|index| *index != primary);
    let proxies: Vec<&FaultProxy> = match step.place {
        Place::Callers => vec![&cluster.instances[owner].client_proxy],
        Place::Owner => vec![&cluster.instances[owner].peer_proxy],
        Place::Primary => vec![&cluster.targets[primary].sql_proxy],
        Place::Log => vec![&cluster.targets[primary].log_proxy],
        Place::Replica => replicas.map(|index| &cluster.targets[index].sql_proxy).collect(),
    };
    for proxy in proxies {
        let (levers, fired) = (levers.clone(), fired.clone());
        proxy.on_bytes(step.direction, step.bytes, step.after, move || {
            if !fired.swap(true, Ordering::SeqCst) {
                levers.apply(fault);
            }
        });
    }
    fired
}

async fn wait(limit: Duration, condition: impl Fn() -> bool) -> bool {
    let deadline = Instant::now() + limit;
    while !condition() {
        if Instant::now() >= deadline {
            return false;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    true
}

/// Runs one cell.
pub async fn run_cell(step: Step, fault: Fault) -> Verdict {
    // A runtime of its own: what one cell leaves behind ends with it.
    let cell = tokio::task::spawn_blocking(move || {
        let runtime = tokio::runtime::Runtime::new().expect("threads can be started");
        runtime.block_on(run_cell_inner(step, fault))
    });
    match cell.await {
        Ok(verdict) => verdict,
        Err(_) => Verdict::Violated("a wait of the test never ended".into()),
    }
}

async fn run_cell_inner(step: Step, fault: Fault) -> Verdict {
    let mut cluster = Cluster::start(Shape::default()).await;
    if fault == Fault::LagReplicas {
        cluster.set_lag(REPLICA_LAG).await;
    }
    let workload = Workload::start(&cluster, step.style).await;
    workload.wait_for_progress(PROGRESS).await;
    let Some((owner, _, primary)) = cluster.serving("db1").await else {
        return Verdict::NotRun("nobody served".into());
    };
    let primary = cluster.target(&primary);
    let levers = Levers {
        primary_process: cluster.targets[primary].process.as_ref().expect("up").id(),
        owner_process: cluster.instances[owner].process.as_ref().expect("up").id(),
        primary_sql: cluster.targets[primary].sql_proxy.clone(),
        primary_log: cluster.targets[primary].log_proxy.clone(),
        owner_peer: cluster.instances[owner].peer_proxy.clone(),
        store: cluster.store.clone(),
    };
    let fired = arm(&cluster, step, fault, &levers, owner, primary);
    if step.in_takeover {
        // Frozen, not killed: the cell's own fault may need it alive.
        signal(levers.primary_process, libc::SIGSTOP);
    }
    if !wait(STEP_LIMIT, || fired.load(Ordering::SeqCst)).await {
        return Verdict::NotRun("the bytes of the step did not pass".into());
    }
    tokio::time::sleep(FAULT_TIME).await;
    levers.relieve();
    let progress = workload.wait_for_progress(PROGRESS);
    let recovered = tokio::time::timeout(RECOVERY_LIMIT, progress).await.is_ok();
    forget_dead(&mut cluster);
    let (history, stale) = workload.stop().await;
    let violations = checker::check(&cluster, &history, stale).await;
    if violations != Violations::default() {
        return Verdict::Violated(format!("{violations:?}"));
    }
    if !recovered {
        return Verdict::Violated("callers did not get on again".into());
    }
    Verdict::Held
}

/// Takes the dead out of the books, so that the check asks the living.
fn forget_dead(cluster: &mut Cluster) {
    for node in &mut cluster.instances {
        let dead = node.process.as_mut().is_some_and(|process| process.exit_code().is_some());
        if dead {
            node.process = None;
        }
    }
}
