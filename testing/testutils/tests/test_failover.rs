//! What must hold when a primary or an owner fails, with callers at work.

use chervilwharf_standin::fault_proxy::Behaviour;
use chervilwharf_standin::fault_proxy::Flow;
use chervilwharf_standin::store::StoreFaults;
use chervilwharf_testutils::checker;
use chervilwharf_testutils::checker::Style;
use chervilwharf_testutils::checker::Violations;
use chervilwharf_testutils::checker::Workload;
use chervilwharf_testutils::cluster::Cluster;
use chervilwharf_testutils::cluster::Shape;
use chervilwharf_testutils::cluster::wait_for;

/// Writes each writer must have acknowledged before and after the fault.
const PROGRESS: usize = 20;

/// Runs callers, brings a fault about, waits until all of them get on, and
/// compares what they heard with what is there.
async fn survive(style: Style, fault: impl AsyncFnOnce(&mut Cluster)) -> Cluster {
    let mut cluster = Cluster::start(Shape::default()).await;
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
    let (_, _, primary) = cluster.serving("db1").await.expect("served");
    cluster.target(&primary)
}

async fn owner(cluster: &Cluster) -> usize {
    cluster.serving("db1").await.expect("served").0
}

/// Symptom: writes hang or are lost. Sequence: the primary's process is
/// killed between two writes. Cause: nobody promotes a replica, or the wrong
/// one.
#[tokio::test(flavor = "multi_thread")]
async fn test_killed_primary_is_replaced_and_nothing_acknowledged_is_lost() {
    let cluster = survive(Style::Statement, async |cluster| {
        let index = primary(cluster).await;
        cluster.targets[index].process.as_mut().unwrap().kill();
    })
    .await;
    let (_, term, _) = cluster.serving("db1").await.unwrap();
    assert!(term > 1);
}

/// Symptom: a transaction is half there, or there twice. Sequence: the
/// primary is killed while transactions are open. Cause: COMMIT repeated
/// without the ledger, or told as "not run" when it ran.
#[tokio::test(flavor = "multi_thread")]
async fn test_killed_primary_leaves_transactions_atomic() {
    survive(Style::Transaction, async |cluster| {
        let index = primary(cluster).await;
        cluster.targets[index].process.as_mut().unwrap().kill();
    })
    .await;
}

/// Symptom: a write acknowledged by the old primary is missing later.
/// Sequence: the primary freezes, a replica is promoted, the primary goes on.
/// Cause: the old primary still takes writes in its old term.
#[tokio::test(flavor = "multi_thread")]
async fn test_frozen_primary_cannot_acknowledge_after_it_resumes() {
    survive(Style::Statement, async |cluster| {
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

/// Symptom: callers wait for ever. Sequence: all packets to and from the
/// primary vanish while its connections stay open. Cause: silence is not
/// taken for a failure.
#[tokio::test(flavor = "multi_thread")]
async fn test_unresponsive_primary_is_replaced() {
    survive(Style::Statement, async |cluster| {
        let index = primary(cluster).await;
        cluster.targets[index].sql_proxy.set(Behaviour::unresponsive());
        cluster.targets[index].log_proxy.set(Behaviour::unresponsive());
    })
    .await;
}

/// Symptom: every write times out although the primary answers. Sequence: the
/// primary is cut off from its replicas, not from the owner. Cause: only the
/// primary's own answers are watched.
#[tokio::test(flavor = "multi_thread")]
async fn test_primary_that_no_replica_hears_is_replaced() {
    survive(Style::Statement, async |cluster| {
        let index = primary(cluster).await;
        cluster.targets[index].log_proxy.set(Behaviour::cut());
    })
    .await;
}

/// Symptom: doubled writes. Sequence: answers of the primary vanish, so that
/// COMMITs succeed and nobody hears of it. Cause: a write whose answer is
/// missing is sent again without asking the ledger.
#[tokio::test(flavor = "multi_thread")]
async fn test_lost_answers_of_the_primary_duplicate_no_write() {
    survive(Style::Statement, async |cluster| {
        let index = primary(cluster).await;
        let one_way = Behaviour { down: Flow::Discard, ..Behaviour::default() };
        cluster.targets[index].sql_proxy.set(one_way);
    })
    .await;
}

/// Symptom: writes are lost or doubled. Sequence: the owner is killed with
/// requests in progress. Cause: its successor starts without fencing, or an
/// entry repeats a request that ran.
#[tokio::test(flavor = "multi_thread")]
async fn test_killed_owner_is_replaced() {
    survive(Style::Statement, async |cluster| {
        let index = owner(cluster).await;
        cluster.instances[index].process.as_mut().unwrap().kill();
        cluster.instances[index].process = None;
    })
    .await;
}

/// Symptom: requests hang until their deadline and end unknown though a new
/// owner serves within a second. Sequence: the owner is killed with requests
/// of other entries in progress. Cause: an entry waits for an answer on a link
/// that has just ended.
#[tokio::test(flavor = "multi_thread")]
async fn test_requests_at_a_killed_owner_are_resolved_by_its_successor() {
    let mut cluster = Cluster::start(Shape::default()).await;
    let workload = Workload::start(&cluster, Style::Statement).await;
    workload.wait_for_progress(PROGRESS).await;
    let index = owner(&cluster).await;
    cluster.instances[index].process.as_mut().unwrap().kill();
    cluster.instances[index].process = None;
    workload.wait_for_progress(PROGRESS).await;
    let (history, _) = workload.stop().await;
    let errors = history.values().flatten().map(|mark| &mark.error);
    let unknown: Vec<_> = errors.filter(|error| error.starts_with("40003")).collect();
    assert!(unknown.is_empty(), "{unknown:?}");
}

/// As above, with the platform's store down the whole time.
#[tokio::test(flavor = "multi_thread")]
async fn test_killed_owner_is_replaced_while_the_store_is_down() {
    survive(Style::Statement, async |cluster| {
        cluster.store.set_faults(StoreFaults { down: true, ..StoreFaults::default() });
        let index = owner(cluster).await;
        cluster.instances[index].process.as_mut().unwrap().kill();
        cluster.instances[index].process = None;
    })
    .await;
}

/// Symptom: a stale read, or a write acknowledged by two owners. Sequence:
/// the owner is paused for longer than its currency, another takes over, the
/// old one goes on. Cause: the old owner answers before it looks again.
#[tokio::test(flavor = "multi_thread")]
async fn test_paused_owner_answers_nothing_stale_after_it_resumes() {
    survive(Style::Statement, async |cluster| {
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

/// Symptom: a caller's request is cut off by a planned stop. Sequence: the
/// owner gets SIGTERM under load. Cause: it ends before its databases are
/// handed over and its requests answered.
#[tokio::test(flavor = "multi_thread")]
async fn test_planned_stop_of_the_owner_hands_over() {
    let mut cluster = survive(Style::Statement, async |cluster| {
        let index = owner(cluster).await;
        cluster.instances[index].process.as_ref().unwrap().terminate();
        let process = cluster.instances[index].process.as_mut().unwrap();
        let process = std::sync::Mutex::new(process);
        wait_for("the instance ends", async || process.lock().unwrap().exit_code() == Some(0))
            .await;
        cluster.instances[index].process = None;
    })
    .await;
    cluster.wait_until_served().await;
    let _ = cluster.instances.pop();
}

/// Symptom: requests hang until their deadline though the server is well.
/// Sequence: something between owner and primary loses track of the open
/// connections; new ones work. Cause: an open connection is trusted for ever.
#[tokio::test(flavor = "multi_thread")]
async fn test_unresponsive_connections_are_replaced() {
    survive(Style::Statement, async |cluster| {
        let index = primary(cluster).await;
        cluster.targets[index].sql_proxy.blackhole_open_connections();
    })
    .await;
}

/// The same for the links between instances.
#[tokio::test(flavor = "multi_thread")]
async fn test_unresponsive_links_are_replaced() {
    survive(Style::Statement, async |cluster| {
        for node in &cluster.instances {
            node.peer_proxy.blackhole_open_connections();
        }
    })
    .await;
}

/// Symptom: callers see errors when a server is taken out. Sequence: the
/// primary is marked as leaving, under load. Cause: it is dropped instead of
/// replaced after its writes have reached a replica.
#[tokio::test(flavor = "multi_thread")]
async fn test_leaving_primary_is_replaced_without_an_error() {
    let mut cluster = Cluster::start(Shape::default()).await;
    let workload = Workload::start(&cluster, Style::Statement).await;
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
    let errors: Vec<_> = history.values().flatten().filter(|mark| !mark.error.is_empty()).collect();
    assert!(errors.is_empty(), "{errors:?}");
    let violations = checker::check(&cluster, &history, stale).await;
    assert_eq!(violations, Violations::default());
    // What left gets nothing new, not even reads.
    let (owner, _, _) = cluster.serving("db1").await.unwrap();
    let status = cluster.status(owner).await.unwrap();
    let servers = status["databases"]["db1"]["serving_here"]["servers"].as_array().unwrap();
    let server = servers.iter().find(|server| server["server"] == leaving.as_str()).unwrap();
    assert_eq!(server["usable"], false);
}

/// Symptom: a server that came back answers old data, or is never used again.
/// Sequence: the primary is killed with a tail that no replica has, another is
/// promoted, the old one starts again with its log. Cause: its tail is not cut
/// back, or nobody fences it and makes it follow.
#[tokio::test(flavor = "multi_thread")]
async fn test_restarted_primary_follows_and_discards_unreplicated_entries() {
    let mut cluster = Cluster::start(Shape { durable: true, ..Shape::default() }).await;
    let workload = Workload::start(&cluster, Style::Statement).await;
    workload.wait_for_progress(PROGRESS).await;
    let index = primary(&cluster).await;
    let (_, before, _) = cluster.serving("db1").await.unwrap();
    // Its last commits reach no replica.
    cluster.targets[index].log_proxy.set(Behaviour::unresponsive());
    tokio::time::sleep(std::time::Duration::from_millis(100)).await;
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
        let in_line = |server: &serde_json::Value| {
            server["usable"] == true
                && server["term"] == term
                && server["applied"].as_str().is_some_and(|a| a.starts_with(&format!("{term}/")))
        };
        servers.len() == 3 && servers.iter().all(in_line)
    })
    .await;
    workload.wait_for_progress(PROGRESS).await;
    let (history, stale) = workload.stop().await;
    let violations = checker::check(&cluster, &history, stale).await;
    assert_eq!(violations, Violations::default());
}
