//! Failover of primaries and owners under a client workload. The owner of a database is
//! the instance that serves it; the primary is the server that executes its writes.

use std::time::Duration;

use chervilwharf_standin::fault_proxy::Behaviour;
use chervilwharf_standin::fault_proxy::Flow;
use chervilwharf_standin::store::StoreFaults;
use chervilwharf_testutils::checker;
use chervilwharf_testutils::checker::Violations;
use chervilwharf_testutils::checker::Workload;
use chervilwharf_testutils::checker::WriteKind;
use chervilwharf_testutils::cluster::Cluster;
use chervilwharf_testutils::cluster::ClusterOptions;
use chervilwharf_testutils::cluster::wait_for;

/// Writes that each writer has to get acknowledged before the fault, and again after it.
const PROGRESS: usize = 20;

/// Network delay in each direction to a slow replica, which still answers in time.
const SLOW_REPLICA_DELAY: Duration = Duration::from_millis(25);

/// Network delay in each direction to a replica whose answers take longer than the interval
/// between two probes.
const VERY_SLOW_REPLICA_DELAY: Duration = Duration::from_millis(40);

/// Starts a workload, injects a fault, waits until all writers make progress again, and
/// compares the outcomes reported to the clients with the contents of the database.
async fn check_recovery(style: WriteKind, fault: impl AsyncFnOnce(&mut Cluster)) -> Cluster {
    let mut cluster = Cluster::start(ClusterOptions::default()).await;
    let workload = Workload::start(&cluster, style).await;
    workload.wait_for_progress(PROGRESS).await;
    fault(&mut cluster).await;
    workload.wait_for_progress(PROGRESS).await;
    let (history, stale) = workload.stop().await;
    let violations = checker::check(&cluster, &history, stale).await;
    assert_eq!(violations, Violations::default());
    cluster
}

async fn primary(cluster: &Cluster) -> usize {
    let (_, _, primary) = cluster.serving("db1").await.expect("the database is served");
    cluster.target(&primary)
}

async fn owner(cluster: &Cluster) -> usize {
    cluster.serving("db1").await.expect("the database is served").0
}

/// Guards against writes that hang or are lost after the process of the primary is
/// killed, because no replica or the wrong one is promoted.
#[tokio::test(flavor = "multi_thread")]
async fn test_killed_primary_is_replaced_and_nothing_acknowledged_is_lost() {
    let cluster = check_recovery(WriteKind::Statement, async |cluster| {
        let index = primary(cluster).await;
        cluster.targets[index].process.as_mut().unwrap().kill();
    })
    .await;
    let (_, term, _) = cluster.serving("db1").await.unwrap();
    assert!(term > 1);
}

/// Guards against transactions that are stored in part or twice after the primary is
/// killed while they are open. This happens if a COMMIT is repeated without a look-up in
/// the ledger, or reported as "not run" although it ran.
#[tokio::test(flavor = "multi_thread")]
async fn test_killed_primary_leaves_transactions_atomic() {
    check_recovery(WriteKind::Transaction, async |cluster| {
        let index = primary(cluster).await;
        cluster.targets[index].process.as_mut().unwrap().kill();
    })
    .await;
}

/// Guards against the loss of writes that the old primary acknowledges: the primary is
/// suspended, a replica is promoted, the old primary resumes and still accepts writes in
/// its old term.
#[tokio::test(flavor = "multi_thread")]
async fn test_frozen_primary_cannot_acknowledge_after_it_resumes() {
    check_recovery(WriteKind::Statement, async |cluster| {
        let (_, before, _) = cluster.serving("db1").await.unwrap();
        let index = primary(cluster).await;
        cluster.targets[index].process.as_ref().unwrap().freeze();
        wait_for("another primary serves", async || {
            cluster.serving("db1").await.is_some_and(|(_, term, _)| term > before)
        })
        .await;
        cluster.targets[index].process.as_ref().unwrap().thaw();
    })
    .await;
}

/// Guards against clients that wait forever when all packets to and from the primary are
/// dropped while its connections stay open, because missing answers are not treated as a
/// failure.
#[tokio::test(flavor = "multi_thread")]
async fn test_unresponsive_primary_is_replaced() {
    check_recovery(WriteKind::Statement, async |cluster| {
        let index = primary(cluster).await;
        cluster.targets[index].sql_proxy.set(Behaviour::unresponsive());
        cluster.targets[index].log_proxy.set(Behaviour::unresponsive());
    })
    .await;
}

/// Guards against writes that all time out although the primary answers: the primary is
/// cut off from its replicas but not from the owner, and the owner monitors only the
/// answers of the primary.
#[tokio::test(flavor = "multi_thread")]
async fn test_primary_that_no_replica_hears_is_replaced() {
    check_recovery(WriteKind::Statement, async |cluster| {
        let index = primary(cluster).await;
        cluster.targets[index].log_proxy.set(Behaviour::cut());
    })
    .await;
}

/// Cuts the primary off from its replicas, one of which is slow, and waits until it is
/// replaced.
async fn check_unheard_primary_with_slow_replica(delay: Duration) {
    check_recovery(WriteKind::Statement, async |cluster| {
        let index = primary(cluster).await;
        let slow = (0..cluster.targets.len()).find(|other| *other != index).unwrap();
        cluster.targets[slow].sql_proxy.set(Behaviour::delayed(delay));
        cluster.targets[index].log_proxy.set(Behaviour::cut());
    })
    .await;
}

/// Guards against a primary without replicas that is promoted again and again, because one
/// of the replicas answers later than the others, and the new primary is chosen without it.
#[tokio::test(flavor = "multi_thread")]
async fn test_primary_that_no_replica_hears_is_replaced_although_a_replica_is_slow() {
    check_unheard_primary_with_slow_replica(SLOW_REPLICA_DELAY).await;
}

/// Guards against a server that counts as unreachable although it answers, because its
/// answers take longer than the interval between two probes.
#[tokio::test(flavor = "multi_thread")]
async fn test_primary_that_no_replica_hears_is_replaced_although_answers_take_long() {
    check_unheard_primary_with_slow_replica(VERY_SLOW_REPLICA_DELAY).await;
}

/// Guards against duplicate writes when the answers of the primary are dropped, so that
/// COMMITs succeed without an answer: a write without an answer is sent again without a
/// look-up in the ledger.
#[tokio::test(flavor = "multi_thread")]
async fn test_lost_answers_of_the_primary_duplicate_no_write() {
    check_recovery(WriteKind::Statement, async |cluster| {
        let index = primary(cluster).await;
        let one_way = Behaviour { down: Flow::Discard, ..Behaviour::default() };
        cluster.targets[index].sql_proxy.set(one_way);
    })
    .await;
}

/// Guards against lost or duplicate writes after the owner is killed with requests in
/// progress, because its successor starts without fencing, or an entry instance repeats a
/// request that ran.
#[tokio::test(flavor = "multi_thread")]
async fn test_killed_owner_is_replaced() {
    check_recovery(WriteKind::Statement, async |cluster| {
        let index = owner(cluster).await;
        cluster.instances[index].process.as_mut().unwrap().kill();
        cluster.instances[index].process = None;
    })
    .await;
}

/// Guards against requests that hang until their deadline and end with an unknown
/// outcome, although a new owner serves within a second: the owner is killed with
/// requests of other entry instances in progress, and these wait for an answer on a link
/// that has ended.
#[tokio::test(flavor = "multi_thread")]
async fn test_requests_at_a_killed_owner_are_resolved_by_its_successor() {
    let mut cluster = Cluster::start(ClusterOptions::default()).await;
    let workload = Workload::start(&cluster, WriteKind::Statement).await;
    workload.wait_for_progress(PROGRESS).await;
    let index = owner(&cluster).await;
    cluster.instances[index].process.as_mut().unwrap().kill();
    cluster.instances[index].process = None;
    workload.wait_for_progress(PROGRESS).await;
    let (history, _) = workload.stop().await;
    let errors = history.values().flatten().map(|write| &write.error);
    let unknown: Vec<_> = errors.filter(|error| error.starts_with("40003")).collect();
    assert!(unknown.is_empty(), "{unknown:?}");
}

/// As [`test_killed_owner_is_replaced`], with the platform's store down the whole time.
#[tokio::test(flavor = "multi_thread")]
async fn test_killed_owner_is_replaced_while_the_store_is_down() {
    check_recovery(WriteKind::Statement, async |cluster| {
        cluster.store.set_faults(StoreFaults { down: true, ..StoreFaults::default() });
        let index = owner(cluster).await;
        cluster.instances[index].process.as_mut().unwrap().kill();
        cluster.instances[index].process = None;
    })
    .await;
}

/// Guards against stale reads and writes acknowledged by two owners: the owner is paused
/// for longer than its confirmation of ownership is valid, another instance takes over,
/// and the old owner resumes and answers before it checks its ownership again.
#[tokio::test(flavor = "multi_thread")]
async fn test_paused_owner_answers_nothing_stale_after_it_resumes() {
    check_recovery(WriteKind::Statement, async |cluster| {
        let (index, before, _) = cluster.serving("db1").await.unwrap();
        cluster.instances[index].process.as_ref().unwrap().freeze();
        wait_for("another instance serves", async || {
            let serving = cluster.serving("db1").await;
            serving.is_some_and(|(other, term, _)| other != index && term > before)
        })
        .await;
        cluster.instances[index].process.as_ref().unwrap().thaw();
    })
    .await;
}

/// Guards against requests that a planned stop interrupts: the owner receives SIGTERM
/// under load, and exits before it has handed over its databases and answered its
/// requests.
#[tokio::test(flavor = "multi_thread")]
async fn test_planned_stop_of_the_owner_hands_over() {
    let mut cluster = check_recovery(WriteKind::Statement, async |cluster| {
        let index = owner(cluster).await;
        cluster.instances[index].process.as_ref().unwrap().terminate();
        let process = cluster.instances[index].process.as_mut().unwrap();
        let process = std::sync::Mutex::new(process);
        wait_for("the instance exits", async || process.lock().unwrap().exit_code() == Some(0))
            .await;
        cluster.instances[index].process = None;
    })
    .await;
    cluster.wait_until_served().await;
    let _ = cluster.instances.pop();
}

/// Guards against requests that hang until their deadline although the server works: a
/// network device between owner and primary loses the state of the open connections,
/// while new ones work, and the owner never replaces an open connection.
#[tokio::test(flavor = "multi_thread")]
async fn test_unresponsive_connections_are_replaced() {
    check_recovery(WriteKind::Statement, async |cluster| {
        let index = primary(cluster).await;
        cluster.targets[index].sql_proxy.blackhole_open_connections();
    })
    .await;
}

/// As [`test_unresponsive_connections_are_replaced`], for the links between instances.
#[tokio::test(flavor = "multi_thread")]
async fn test_unresponsive_links_are_replaced() {
    check_recovery(WriteKind::Statement, async |cluster| {
        for node in &cluster.instances {
            node.peer_proxy.blackhole_open_connections();
        }
    })
    .await;
}

/// Guards against errors when a server is removed: the primary is marked as leaving under
/// load, and is dropped at once instead of replaced after its writes have reached a
/// replica.
#[tokio::test(flavor = "multi_thread")]
async fn test_leaving_primary_is_replaced_without_an_error() {
    let mut cluster = Cluster::start(ClusterOptions::default()).await;
    let workload = Workload::start(&cluster, WriteKind::Statement).await;
    workload.wait_for_progress(PROGRESS).await;
    let (_, _, leaving) = cluster.serving("db1").await.unwrap();
    let servers = &mut cluster.config.databases.get_mut("db1").unwrap().servers;
    let server = servers.iter_mut().find(|server| *server.id == *leaving).unwrap();
    server.leaving = true;
    cluster.store_configuration("operator");
    wait_for("another server is primary", async || {
        cluster.serving("db1").await.is_some_and(|(_, _, primary)| primary != leaving)
    })
    .await;
    workload.wait_for_progress(PROGRESS).await;
    let (history, stale) = workload.stop().await;
    let errors: Vec<_> =
        history.values().flatten().filter(|write| !write.error.is_empty()).collect();
    assert!(errors.is_empty(), "{errors:?}");
    let violations = checker::check(&cluster, &history, stale).await;
    assert_eq!(violations, Violations::default());
    // The leaving server receives no new requests, not even reads.
    let (owner, _, _) = cluster.serving("db1").await.unwrap();
    let status = cluster.status(owner).await.unwrap();
    let servers = status["databases"]["db1"]["serving_here"]["servers"].as_array().unwrap();
    let server = servers.iter().find(|server| server["server"] == leaving.as_str()).unwrap();
    assert_eq!(server["usable"], false);
}

/// Guards against a restarted server that answers stale data or is never used again: the
/// primary is killed with entries in its log that no replica has, another server is
/// promoted, and the old one restarts with its log. The fault occurs if these entries are
/// not truncated, or if the server is not fenced and made a replica.
#[tokio::test(flavor = "multi_thread")]
async fn test_restarted_primary_follows_and_discards_unreplicated_entries() {
    let mut cluster =
        Cluster::start(ClusterOptions { durable: true, ..ClusterOptions::default() }).await;
    let workload = Workload::start(&cluster, WriteKind::Statement).await;
    workload.wait_for_progress(PROGRESS).await;
    let index = primary(&cluster).await;
    let (_, before, _) = cluster.serving("db1").await.unwrap();
    // The last commits of the primary reach no replica.
    cluster.targets[index].log_proxy.set(Behaviour::unresponsive());
    tokio::time::sleep(Duration::from_millis(100)).await;
    cluster.targets[index].process.as_mut().unwrap().kill();
    wait_for("another server is primary", async || {
        cluster.serving("db1").await.is_some_and(|(_, term, _)| term > before)
    })
    .await;
    cluster.targets[index].log_proxy.set(Behaviour::default());
    cluster.start_target(index);
    wait_for("the old primary is usable again and has caught up", async || {
        let Some((owner, term, _)) = cluster.serving("db1").await else {
            return false;
        };
        let status = cluster.status(owner).await.unwrap();
        let servers = &status["databases"]["db1"]["serving_here"]["servers"];
        let servers = servers.as_array().cloned().unwrap_or_default();
        let has_caught_up = |server: &serde_json::Value| {
            server["usable"] == true
                && server["term"] == term
                && server["applied"].as_str().is_some_and(|a| a.starts_with(&format!("{term}/")))
        };
        servers.len() == 3 && servers.iter().all(has_caught_up)
    })
    .await;
    workload.wait_for_progress(PROGRESS).await;
    let (history, stale) = workload.stop().await;
    let violations = checker::check(&cluster, &history, stale).await;
    assert_eq!(violations, Violations::default());
}
