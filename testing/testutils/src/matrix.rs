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
use crate::checker::Violations;
use crate::checker::Workload;
use crate::checker::WriteKind;
use crate::cluster::Cluster;
use crate::cluster::ClusterOptions;
use crate::process::signal;

/// A step of processing, recognized by bytes that pass a fault proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Name in the table of results.
    pub name: &'static str,
    link: Link,
    direction: Direction,
    bytes: &'static [u8],
    /// Whether the fault is injected after the bytes have passed, instead of before.
    after: bool,
    write_kind: WriteKind,
    /// Whether the primary is suspended first, to cause a takeover.
    in_takeover: bool,
}

/// The network link that the bytes pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Link {
    /// Between clients and the owner.
    Clients,
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
    link: Link,
    direction: Direction,
    bytes: &'static [u8],
    after: bool,
) -> Step {
    let write_kind = WriteKind::Statement;
    Step { name, link, direction, bytes, after, write_kind, in_takeover: false }
}

const fn in_transaction(step: Step) -> Step {
    Step { write_kind: WriteKind::Transaction, ..step }
}

const fn in_takeover(step: Step) -> Step {
    Step { in_takeover: true, ..step }
}

use Direction::Down;
use Direction::Up;

/// All steps of the matrix.
pub const STEPS: [Step; 17] = [
    step("write: accept", Link::Clients, Up, b"INSERT INTO marks", false),
    step("write: forward", Link::Owner, Up, b"INSERT INTO marks", false),
    step("write: statement", Link::Primary, Up, b"INSERT INTO marks", true),
    step("write: statement answered", Link::Primary, Down, b"INSERT 0 1", false),
    step("write: COMMIT sent", Link::Primary, Up, b"INSERT INTO chervilwharf_ledger", true),
    step("write: COMMIT answered", Link::Primary, Down, b"COMMIT", false),
    step("write: confirm", Link::Log, Down, b"INSERT INTO marks", false),
    step("write: answer to entry", Link::Owner, Down, b"INSERT 0 1", false),
    step("write: answer to caller", Link::Clients, Down, b"INSERT 0 1", false),
    step("read: forward", Link::Owner, Up, b"SELECT id FROM marks", false),
    step("read: at replica", Link::Replica, Up, b"SELECT id FROM marks", true),
    step("read: answer to entry", Link::Owner, Down, b"SELECT ", false),
    in_transaction(step("transaction: BEGIN", Link::Primary, Up, b"BEGIN", true)),
    in_transaction(step("transaction: statement", Link::Primary, Up, b"SELECT count", true)),
    in_transaction(step(
        "transaction: COMMIT sent",
        Link::Primary,
        Up,
        b"INSERT INTO chervilwharf_ledger",
        true,
    )),
    in_takeover(step("takeover: fence", Link::Replica, Up, b"chervilwharf_fence", true)),
    in_takeover(step("takeover: promote", Link::Replica, Up, b"chervilwharf_promote", true)),
];

/// A fault of the matrix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process of the primary is killed.
    KillPrimary,
    /// The process of the primary is suspended for `FAULT_DURATION`.
    FreezePrimary,
    /// Connections to the primary are closed and refused for `FAULT_DURATION`.
    CutPrimary,
    /// Bytes that the primary sends are dropped for `FAULT_DURATION`, while it still
    /// receives.
    OneWayPrimary,
    /// The open connections to the primary become unresponsive for good.
    ForgetPrimary,
    /// The process of the owner is killed.
    KillOwner,
    /// The process of the owner is suspended for longer than its confirmation of
    /// ownership is valid.
    FreezeOwner,
    /// Links from other instances to the owner are closed and refused for
    /// `FAULT_DURATION`.
    CutOwner,
    /// The open links from other instances to the owner become unresponsive for good.
    ForgetOwner,
    /// Bytes between other instances and the owner are delayed by 150 ms for
    /// `FAULT_DURATION`.
    LateOwner,
    /// Replicas apply entries after `REPLICA_LAG`.
    LagReplicas,
    /// The store is down for `FAULT_DURATION`.
    StoreDown,
    /// Every call to the store takes 1 s longer for `FAULT_DURATION`.
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
const STEP_TIMEOUT: Duration = Duration::from_secs(10);

/// Duration of a temporary fault, longer than its detection takes and than a confirmation
/// of ownership is valid.
const FAULT_DURATION: Duration = Duration::from_millis(2500);

/// Replication delay of [`Fault::LagReplicas`].
const REPLICA_LAG: Duration = Duration::from_secs(2);

/// Longest wait until all writers make progress again after the fault.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(40);

/// Handles to everything a fault acts on. They are independent of the `Cluster`, so that
/// a fault proxy can inject the fault from its own task while bytes pass.
#[derive(Clone)]
struct FaultTargets {
    primary_process: u32,
    owner_process: u32,
    primary_sql: FaultProxy,
    primary_log: FaultProxy,
    owner_peer: FaultProxy,
    store: Store,
}

impl FaultTargets {
    fn apply(&self, fault: Fault) {
        // The signal fails if an earlier fault of the cell has ended the process.
        let signal = |process, number| {
            let _ = signal(process, number);
        };
        match fault {
            Fault::KillPrimary => signal(self.primary_process, libc::SIGKILL),
            Fault::FreezePrimary => signal(self.primary_process, libc::SIGSTOP),
            Fault::CutPrimary => self.set_primary_network(Behaviour::cut()),
            Fault::OneWayPrimary => {
                self.set_primary_network(Behaviour { down: Flow::Discard, ..Behaviour::default() });
            }
            Fault::ForgetPrimary => self.primary_sql.blackhole_open_connections(),
            Fault::KillOwner => signal(self.owner_process, libc::SIGKILL),
            Fault::FreezeOwner => signal(self.owner_process, libc::SIGSTOP),
            Fault::CutOwner => self.owner_peer.set(Behaviour::cut()),
            Fault::ForgetOwner => self.owner_peer.blackhole_open_connections(),
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

    fn set_primary_network(&self, behaviour: Behaviour) {
        self.primary_sql.set(behaviour);
        self.primary_log.set(behaviour);
    }

    /// Ends the temporary faults.
    fn end_faults(&self) {
        signal(self.primary_process, libc::SIGCONT);
        signal(self.owner_process, libc::SIGCONT);
        self.set_primary_network(Behaviour::default());
        self.owner_peer.set(Behaviour::default());
        self.store.set_faults(StoreFaults::default());
    }
}

fn inject_at_step(
    cluster: &Cluster,
    step: Step,
    fault: Fault,
    fault_targets: &FaultTargets,
    owner: usize,
    primary: usize,
) -> Arc<AtomicBool> {
    let fired = Arc::new(AtomicBool::new(false));
    let replicas = (0..cluster.targets.len()).filter(|index| *index != primary);
    let proxies: Vec<&FaultProxy> = match step.link {
        Link::Clients => vec![&cluster.instances[owner].client_proxy],
        Link::Owner => vec![&cluster.instances[owner].peer_proxy],
        Link::Primary => vec![&cluster.targets[primary].sql_proxy],
        Link::Log => vec![&cluster.targets[primary].log_proxy],
        Link::Replica => replicas.map(|index| &cluster.targets[index].sql_proxy).collect(),
    };
    for proxy in proxies {
        let (fault_targets, fired) = (fault_targets.clone(), fired.clone());
        proxy.on_bytes(step.direction, step.bytes, step.after, move || {
            if !fired.swap(true, Ordering::SeqCst) {
                fault_targets.apply(fault);
            }
        });
    }
    fired
}

async fn wait_until(limit: Duration, condition: impl Fn() -> bool) -> bool {
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
        Err(_) => {
            Verdict::Violated("the cell panicked, for example because a wait timed out".into())
        }
    }
}

async fn run_cell_inner(step: Step, fault: Fault) -> Verdict {
    let mut cluster = Cluster::start(ClusterOptions::default()).await;
    if fault == Fault::LagReplicas {
        cluster.set_lag(REPLICA_LAG).await;
    }
    let workload = Workload::start(&cluster, step.write_kind).await;
    workload.wait_for_progress(PROGRESS).await;
    let Some((owner, _, primary)) = cluster.serving("db1").await else {
        return Verdict::NotRun("no instance served the database".into());
    };
    let primary = cluster.target(&primary);
    let fault_targets = FaultTargets {
        primary_process: cluster.targets[primary]
            .process
            .as_ref()
            .expect("the process is running")
            .id(),
        owner_process: cluster.instances[owner]
            .process
            .as_ref()
            .expect("the process is running")
            .id(),
        primary_sql: cluster.targets[primary].sql_proxy.clone(),
        primary_log: cluster.targets[primary].log_proxy.clone(),
        owner_peer: cluster.instances[owner].peer_proxy.clone(),
        store: cluster.store.clone(),
    };
    let fired = inject_at_step(&cluster, step, fault, &fault_targets, owner, primary);
    if step.in_takeover {
        // The primary is suspended and not killed, since the fault of the cell may need
        // its process.
        signal(fault_targets.primary_process, libc::SIGSTOP);
    }
    if !wait_until(STEP_TIMEOUT, || fired.load(Ordering::SeqCst)).await {
        return Verdict::NotRun("the bytes of the step did not pass".into());
    }
    tokio::time::sleep(FAULT_DURATION).await;
    fault_targets.end_faults();
    let progress = workload.wait_for_progress(PROGRESS);
    let recovered = tokio::time::timeout(RECOVERY_TIMEOUT, progress).await.is_ok();
    remove_exited_processes(&mut cluster);
    let (history, stale) = workload.stop().await;
    let violations = checker::check(&cluster, &history, stale).await;
    if violations != Violations::default() {
        return Verdict::Violated(format!("{violations:?}"));
    }
    if !recovered {
        return Verdict::Violated("the writers made no progress after the fault".into());
    }
    Verdict::Held
}

/// Removes the processes of instances that have exited, so that the check does not use
/// them.
fn remove_exited_processes(cluster: &mut Cluster) {
    for node in &mut cluster.instances {
        let has_exited = node.process.as_mut().is_some_and(|process| process.exit_code().is_some());
        if has_exited {
            node.process = None;
        }
    }
}
