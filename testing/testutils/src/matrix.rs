//! The fault matrix: injects every fault at every step of processing a request or taking
//! over a database. Each cell runs in its own deployment and ends with a consistency
//! check.

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

/// A step of processing, recognized by bytes that pass a fault proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Name in the table of results.
    pub name: &'static str,
    place: Place,
    direction: Direction,
    bytes: &'static [u8],
    /// Whether the fault is injected after the bytes have passed, instead of before.
    after: bool,
    style: Style,
    /// Whether the primary is suspended first, to cause a takeover.
    in_takeover: bool,
}

/// The network link that the bytes pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    /// Between clients and the owner.
    Callers,
    /// Between other instances and the owner.
    Owner,
    /// Between instances and the primary.
    Primary,
    /// Between instances and a replica.
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

/// All steps of the matrix.
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
    /// The process of the primary is killed.
    KillPrimary,
    /// The process of the primary is suspended for [`FAULT_TIME`].
    FreezePrimary,
    /// Connections to the primary are closed and refused for [`FAULT_TIME`].
    CutPrimary,
    /// Bytes that the primary sends are dropped for [`FAULT_TIME`], while it still
    /// receives.
    OneWayPrimary,
    /// The open connections to the primary become unresponsive for good.
    ForgetPrimary,
    /// The process of the owner is killed.
    KillOwner,
    /// The process of the owner is suspended for longer than its confirmation of
    /// ownership is valid.
    FreezeOwner,
    /// Links from other instances to the owner are closed and refused for [`FAULT_TIME`].
    CutOwner,
    /// The open links from other instances to the owner become unresponsive for good.
    ForgetOwner,
    /// Bytes between other instances and the owner are delayed by 150 ms for
    /// [`FAULT_TIME`].
    LateOwner,
    /// Replicas apply entries after [`REPLICA_LAG`].
    LagReplicas,
    /// The store is down for [`FAULT_TIME`].
    StoreDown,
    /// Every call to the store takes 1 s longer for [`FAULT_TIME`].
    StoreSlow,
    /// The store executes updates, but the next five answers are lost.
    StoreLosesAnswers,
    /// Both `KillPrimary` and `KillOwner`.
    KillPrimaryAndOwner,
    /// Both `FreezePrimary` and `StoreDown`.
    FreezePrimaryStoreDown,
    /// Both `KillOwner` and `StoreDown`.
    KillOwnerStoreDown,
}

/// All faults of the matrix.
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

/// The result of a cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// All guarantees held and all writers made progress afterwards.
    Held,
    /// A guarantee was violated, or a writer made no progress afterwards.
    Violated(String),
    /// The step did not occur, so that no fault was injected.
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

/// Writes that each writer has to get acknowledged before the fault, and again after it.
const PROGRESS: usize = 8;

/// Longest wait for the bytes of a step.
const STEP_LIMIT: Duration = Duration::from_secs(10);

/// Duration of a temporary fault, longer than its detection takes and than a confirmation
/// of ownership is valid.
const FAULT_TIME: Duration = Duration::from_millis(2500);

/// Replication delay of [`Fault::LagReplicas`].
const REPLICA_LAG: Duration = Duration::from_secs(2);

/// Longest wait until all writers make progress again after the fault.
const RECOVERY_LIMIT: Duration = Duration::from_secs(40);

/// Handles to everything a fault acts on. They are independent of the `Cluster`, so that
/// a fault proxy can inject the fault from its own task while bytes pass.
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
        // The signal fails if an earlier fault of the cell has ended the process.
        let signal = |process, number| {
            let _ = signal(process, number);
        };
        match fault {
            Fault::KillPrimary => signal(self.primary_process, libc::SIGKILL),
            Fault::FreezePrimary => signal(self.primary_process, libc::SIGSTOP),
            Fault::CutPrimary => self.primary(Behaviour::cut()),
            Fault::OneWayPrimary => {
                self.primary(Behaviour { down: Flow::Swallow, ..Behaviour::default() });
            }
            Fault::ForgetPrimary => self.primary_sql.forget_open_connections(),
            Fault::KillOwner => signal(self.owner_process, libc::SIGKILL),
            Fault::FreezeOwner => signal(self.owner_process, libc::SIGSTOP),
            Fault::CutOwner => self.owner_peer.set(Behaviour::cut()),
            Fault::ForgetOwner => self.owner_peer.forget_open_connections(),
            Fault::LateOwner => self.owner_peer.set(Behaviour::delayed(Duration::from_millis(150))),
            // The lag is set before the workload starts.
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

    /// Ends the temporary faults.
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
    // Each cell has its own runtime, which ends the tasks that the cell leaves behind.
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
        // The primary is suspended and not killed, since the fault of the cell may need
        // its process.
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

/// Forgets the processes of instances that have exited, so that the check does not use
/// them.
fn forget_dead(cluster: &mut Cluster) {
    for node in &mut cluster.instances {
        let dead = node.process.as_mut().is_some_and(|process| process.exit_code().is_some());
        if dead {
            node.process = None;
        }
    }
}
