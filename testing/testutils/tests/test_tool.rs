//! The command-line tool against a deployment of real processes.

use chervilwharf_standin::fault_proxy::Behaviour;
use chervilwharf_standin::store::StoreFaults;
use chervilwharf_testutils::cluster::Cluster;
use chervilwharf_testutils::cluster::ClusterOptions;
use chervilwharf_testutils::cluster::wait_for;
use serde_json::Value;

fn version_of(cluster: &Cluster) -> u64 {
    cluster.store.get("configuration").unwrap().0
}

async fn in_force(cluster: &Cluster, instance: usize) -> Option<u64> {
    cluster.status(instance).await?["configuration_version"].as_u64()
}

#[tokio::test(flavor = "multi_thread")]
async fn test_applied_configuration_is_in_force_everywhere() {
    let mut cluster = Cluster::start(ClusterOptions::default()).await;
    cluster.config.services.get_mut("availability").unwrap().priority = 9;
    let file = cluster.write_text("next.json", &cluster.config);
    let base = version_of(&cluster).to_string();
    let path = file.to_str().unwrap();
    let diff = cluster.tool(&["diff", path]).await;
    assert!(diff.output.contains("+      \"priority\": 9"), "{diff:?}");
    let run = cluster.tool(&["apply", path, "--base", &base, "--wait"]).await;
    assert_eq!(run.code, 0, "{run:?}");
    let version = version_of(&cluster);
    for instance in 0..3 {
        assert_eq!(in_force(&cluster, instance).await, Some(version));
    }
    let history = cluster.tool(&["--json", "history"]).await;
    let history: Value = serde_json::from_str(&history.output).unwrap();
    assert_eq!(history[0]["author"], "tester");
    assert_eq!(history[1]["author"], "test");
}

/// Guards against lost updates of the configuration: two operators start from the same
/// version and apply their changes one after the other, and the second one overwrites the
/// first without a check of the version.
#[tokio::test(flavor = "multi_thread")]
async fn test_conflicting_apply_reports_the_other_author_and_the_difference() {
    let mut cluster = Cluster::start(ClusterOptions::default()).await;
    let base = version_of(&cluster).to_string();
    cluster.config.services.get_mut("availability").unwrap().priority = 7;
    let first = cluster.write_text("first.json", &cluster.config);
    cluster.config.services.get_mut("availability").unwrap().priority = 8;
    let second = cluster.write_text("second.json", &cluster.config);
    let (first, second) = (first.to_str().unwrap(), second.to_str().unwrap());
    let run = cluster.tool(&["apply", first, "--base", &base, "--author", "anna"]).await;
    assert_eq!(run.code, 0, "{run:?}");
    let run = cluster.tool(&["apply", second, "--base", &base, "--author", "jan"]).await;
    assert_eq!(run.code, 5, "{run:?}");
    assert!(run.errors.contains("anna"), "{run:?}");
    assert!(run.errors.contains("+      \"priority\": 8"), "{run:?}");
    let (_, stored) = cluster.store.get("configuration").unwrap();
    assert!(stored.contains("\\\"priority\\\": 7"));
}

/// Guards against a change that is applied twice, or reported as failed although it is in
/// force: the store executes the update but its answer is lost, and the tool treats this
/// as a failure instead of reading the configuration back.
#[tokio::test(flavor = "multi_thread")]
async fn test_lost_answer_of_the_store_is_resolved() {
    let cluster = Cluster::start(ClusterOptions::default()).await;
    let file = cluster.write_text("next.json", &cluster.config);
    let base = version_of(&cluster);
    cluster.store.set_faults(StoreFaults { lose_answers: 1, ..StoreFaults::default() });
    let path = file.to_str().unwrap();
    let run = cluster.tool(&["apply", path, "--base", &base.to_string(), "--wait"]).await;
    assert_eq!(run.code, 0, "{run:?}");
    let (version, stored) = cluster.store.get("configuration").unwrap();
    assert!(run.output.contains(&format!("version {version} is accepted")), "{run:?}");
    assert!(stored.contains("\"author\":\"tester\""));
}

#[tokio::test(flavor = "multi_thread")]
async fn test_invalid_configuration_is_refused_with_locations_and_changes_nothing() {
    let mut cluster = Cluster::start(ClusterOptions::default()).await;
    cluster.config.accounts.get_mut("kiosk").unwrap().services = vec!["gatess".into()];
    let file = cluster.write_text("bad.json", &cluster.config);
    let base = version_of(&cluster);
    let path = file.to_str().unwrap();
    let run = cluster.tool(&["check", path]).await;
    assert_eq!(run.code, 2);
    assert!(run.output.contains("did you mean \"gates\"?"), "{run:?}");
    let run = cluster.tool(&["apply", path, "--base", &base.to_string()]).await;
    assert_eq!(run.code, 2, "{run:?}");
    assert_eq!(version_of(&cluster), base);
}

#[tokio::test(flavor = "multi_thread")]
async fn test_request_command_reports_each_of_the_three_states() {
    let cluster = Cluster::start(ClusterOptions::default()).await;
    let client = cluster.connect(0, "tenant").await;
    client.batch_execute("CREATE TABLE t (n INTEGER)").await.unwrap();
    client.batch_execute("INSERT INTO t VALUES (1) /*request_id='ran'*/").await.unwrap();
    let ask = async |id: &str| {
        let arguments = ["request", id, "--account", "tenant", "--database", "db1"];
        cluster.tool(&arguments).await
    };
    let run = ask("ran").await;
    assert_eq!(run.code, 0, "{run:?}");
    assert!(run.output.contains("ran once"), "{run:?}");
    let run = ask("never").await;
    assert_eq!(run.code, 3, "{run:?}");
    // The answer is final: a request with this id can no longer run.
    let late = client.batch_execute("INSERT INTO t VALUES (2) /*request_id='never'*/").await;
    let error = late.unwrap_err();
    assert_eq!(error.code().unwrap().code(), "57014");
    assert_eq!(ask("never").await.code, 3);
    // No replica receives anything, so the write stays in flight.
    for target in &cluster.targets {
        target.log_proxy.set(Behaviour::unresponsive());
    }
    let waiting = tokio::spawn(async move {
        client.batch_execute("INSERT INTO t VALUES (3) /*request_id='waits'*/").await
    });
    wait_for("the write is in flight", async || ask("waits").await.code == 4).await;
    for target in &cluster.targets {
        target.log_proxy.set(Behaviour::default());
    }
    let outcome = waiting.await.unwrap();
    wait_for("the outcome of the write is known", async || {
        [0, 3].contains(&ask("waits").await.code)
    })
    .await;
    let ran = ask("waits").await.code == 0;
    assert!(outcome.is_err() || ran);
}

#[tokio::test(flavor = "multi_thread")]
async fn test_status_and_burn_report_cover_the_deployment() {
    let cluster = Cluster::start(ClusterOptions::default()).await;
    let client = cluster.connect(0, "tenant").await;
    for _ in 0..10 {
        client.batch_execute("SELECT 1").await.unwrap();
    }
    let run = cluster.tool(&["--json", "status"]).await;
    assert_eq!(run.code, 0, "{run:?}");
    let status: Value = serde_json::from_str(&run.output).unwrap();
    assert_eq!(status["instances"].as_array().unwrap().len(), 3);
    assert_eq!(status["databases"]["db1"]["servers"].as_array().unwrap().len(), 3);
    let svg = cluster.folder().join("burn.svg");
    let run = cluster.tool(&["--json", "report", "burn", "--svg", svg.to_str().unwrap()]).await;
    assert_eq!(run.code, 0, "{run:?}");
    let report: Value = serde_json::from_str(&run.output).unwrap();
    let services = report["services"].as_array().unwrap();
    let bookings = services.iter().find(|service| service["service"] == "bookings").unwrap();
    assert_eq!(bookings["windows"][0]["total"], 10);
    assert_eq!(bookings["alert"], "none");
    assert!(std::fs::read_to_string(svg).unwrap().contains("<svg"));
    let text = cluster.tool(&["status"]).await;
    assert!(text.output.contains("database db1: owner entry-"), "{text:?}");
}

/// Guards against an instance that cannot start during an outage of the store, because it
/// gets the configuration only from the store and not from its peers.
#[tokio::test(flavor = "multi_thread")]
async fn test_instance_started_while_the_store_is_down_gets_the_configuration_from_its_peers() {
    let mut cluster = Cluster::start(ClusterOptions::default()).await;
    let version = version_of(&cluster);
    cluster.instances[2].process.as_mut().unwrap().kill();
    cluster.store.set_faults(StoreFaults { down: true, ..StoreFaults::default() });
    cluster.start_instance(2);
    wait_for("the configuration is in force on the new instance", async || {
        in_force(&cluster, 2).await == Some(version)
    })
    .await;
    let client = cluster.connect(2, "tenant").await;
    client.batch_execute("SELECT 1").await.unwrap();
}

/// Guards against a reverted change: the store is restored from a backup with an older
/// version of the configuration, and an instance applies it without a check of the
/// version.
#[tokio::test(flavor = "multi_thread")]
async fn test_store_restored_to_an_older_version_reverts_nothing() {
    let mut cluster = Cluster::start(ClusterOptions::default()).await;
    let older = cluster.store.get("configuration").unwrap();
    cluster.config.services.get_mut("availability").unwrap().priority = 9;
    let version = cluster.store_configuration("later");
    for instance in 0..3 {
        wait_for("the later version is in force", async || {
            in_force(&cluster, instance).await == Some(version)
        })
        .await;
    }
    cluster.store.restore("configuration", older.0, &older.1);
    cluster.instances[0].process.as_mut().unwrap().kill();
    cluster.start_instance(0);
    wait_for("the restarted instance has the later version", async || {
        in_force(&cluster, 0).await == Some(version)
    })
    .await;
    for instance in 1..3 {
        assert_eq!(in_force(&cluster, instance).await, Some(version));
    }
}
