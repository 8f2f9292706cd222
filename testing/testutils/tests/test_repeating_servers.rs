//! A deployment whose servers send replies once more.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use chervilwharf_standin::target_repeats::Part;
use chervilwharf_standin::target_repeats::Repetition;
use chervilwharf_standin::target_repeats::ReplyRepeater;
use chervilwharf_testutils::clients::ErrorOutcome;
use chervilwharf_testutils::clients::error_outcome;
use chervilwharf_testutils::clients::first_value;
use chervilwharf_testutils::cluster::Cluster;
use chervilwharf_testutils::cluster::ClusterOptions;
use chervilwharf_testutils::cluster::wait_for;
use tokio_postgres::Client;

/// Clients that run at the same time.
const CLIENTS: usize = 6;

/// Time for which clients run with each kind of repetition.
const PHASE: Duration = Duration::from_secs(2);

/// What clients found.
#[derive(Default)]
struct Findings {
    reads: usize,
    acknowledged: Vec<String>,
    not_run: Vec<String>,
    unknown: usize,
    wrong: Vec<String>,
}

async fn run_client(client: Client, number: usize, findings: Arc<Mutex<Findings>>) {
    let began = Instant::now();
    let mut own = Vec::new();
    for count in 0_usize.. {
        if began.elapsed() > PHASE {
            return;
        }
        let id = format!("{}-{number}-{count}", uuid::Uuid::now_v7());
        if count % 3 == 0 {
            let run = client.batch_execute(&format!("INSERT INTO t VALUES ('{id}')")).await;
            let mut found = findings.lock().unwrap();
            match run {
                Ok(()) => {
                    found.acknowledged.push(id.clone());
                    own.push(id);
                }
                Err(error) if error_outcome(&error) == ErrorOutcome::NotRun => {
                    found.not_run.push(id);
                }
                Err(_) => found.unknown += 1,
            }
            continue;
        }
        let (sql, expected) = match own.last() {
            Some(last) if count % 3 == 1 => (format!("SELECT id FROM t WHERE id = '{last}'"), last),
            _ => (format!("SELECT '{id}'"), &id),
        };
        let run = client.simple_query(&sql).await;
        let mut found = findings.lock().unwrap();
        match run {
            Ok(messages) => {
                found.reads += 1;
                let value = first_value(&messages);
                if value.as_ref() != Some(expected) {
                    found.wrong.push(format!("{sql} returned {value:?}"));
                }
            }
            Err(error) if error.as_db_error().is_none() => return,
            Err(_) => {}
        }
    }
}

/// Guards against answers of other clients, acknowledged writes that are missing and
/// refused ones that ran, when all connections to the servers repeat replies: those of reads, writes, look-ups in the
/// ledger, fences, promotions and probes.
#[tokio::test(flavor = "multi_thread")]
async fn test_no_answer_is_another_clients_when_servers_repeat_replies() {
    let mut cluster = Cluster::start_without_instances(ClusterOptions::default()).await;
    let mut repeaters = Vec::new();
    for node in &cluster.targets {
        let address = node.process.as_ref().unwrap().ready["target"].parse().unwrap();
        let repeater = ReplyRepeater::start(address).await.unwrap();
        node.sql_proxy.set_upstream(repeater.address);
        repeaters.push(repeater);
    }
    cluster.store_configuration("test");
    for index in 0..cluster.instances.len() {
        cluster.start_instance(index);
    }
    cluster.list_instances();
    cluster.wait_until_served().await;
    let set_up = cluster.connect(0, "tenant").await;
    set_up.batch_execute("CREATE TABLE t (id TEXT)").await.unwrap();
    let findings: Arc<Mutex<Findings>> = Arc::default();
    for part in [Part::Whole, Part::RowsWithoutEnd, Part::EndWithoutRows, Part::ReadyForQuery] {
        for delay in [Duration::ZERO, Duration::from_millis(30)] {
            for repeater in &repeaters {
                repeater.set(Some(Repetition { part, delay, one_in: 12 }));
            }
            let mut running = Vec::new();
            for number in 0..CLIENTS {
                let client = cluster.connect(number % 3, "tenant").await;
                running.push(tokio::spawn(run_client(client, number, findings.clone())));
            }
            for client in running {
                client.await.unwrap();
            }
        }
    }
    let repeated: u64 = repeaters.iter().map(ReplyRepeater::repeated_count).sum();
    for repeater in &repeaters {
        repeater.set(None);
    }
    let found = std::mem::take(&mut *findings.lock().unwrap());
    println!(
        "{repeated} repetitions, {} reads, {} acknowledged, {} not run, {} unknown, {} wrong",
        found.reads,
        found.acknowledged.len(),
        found.not_run.len(),
        found.unknown,
        found.wrong.len()
    );
    assert!(found.wrong.is_empty(), "{} wrong, such as {}", found.wrong.len(), found.wrong[0]);
    let reader = cluster.connect(0, "tenant").await;
    wait_for("the database is read", async || {
        reader.simple_query("SELECT count(*) FROM t").await.is_ok()
    })
    .await;
    for (ids, expected) in [(&found.acknowledged, "1"), (&found.not_run, "0")] {
        for id in ids {
            let sql = format!("SELECT count(*) FROM t WHERE id = '{id}'");
            let messages = reader.simple_query(&sql).await.unwrap();
            assert_eq!(first_value(&messages).as_deref(), Some(expected), "rows of {id}");
        }
    }
    assert!(repeated > 100 && found.reads > 500 && found.acknowledged.len() > 100);
}
