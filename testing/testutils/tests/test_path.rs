//! The whole path, from a caller's SQL to a replicated database.

use std::time::Duration;

use chervilwharf_testutils::clients::first_value;
use chervilwharf_testutils::clients::sqlstate;
use chervilwharf_testutils::cluster::Cluster;
use chervilwharf_testutils::cluster::Shape;
use chervilwharf_testutils::cluster::wait_for;
use tokio_postgres::types::Type;

/// Far above what a read takes, so that replicas lack what was just written.
const LAG: Duration = Duration::from_millis(500);

#[tokio::test(flavor = "multi_thread")]
async fn test_write_at_one_instance_is_read_at_another() {
    let cluster = Cluster::start(Shape::default()).await;
    let writer = cluster.connect(0, "tenant").await;
    writer.batch_execute("CREATE TABLE t (id INTEGER PRIMARY KEY, name TEXT)").await.unwrap();
    for round in 0..20 {
        let text = format!("INSERT INTO t VALUES ({round}, 'n{round}')");
        writer.batch_execute(&text).await.unwrap();
        let reader = cluster.connect(round % 3, "tenant").await;
        let rows = reader.query("SELECT id, name FROM t ORDER BY id", &[]).await.unwrap();
        assert_eq!(rows.len(), round + 1);
        assert_eq!(rows[round].get::<_, i64>(0), i64::try_from(round).unwrap());
        assert_eq!(rows[round].get::<_, String>(1), format!("n{round}"));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn test_prepared_statements_with_parameters_of_each_type() {
    let cluster = Cluster::start(Shape::default()).await;
    let client = cluster.connect(1, "tenant").await;
    client.batch_execute("CREATE TABLE p (i BIGINT, f DOUBLE, t TEXT, b BYTEA)").await.unwrap();
    let types = [Type::INT8, Type::FLOAT8, Type::TEXT, Type::BYTEA];
    let insert =
        client.prepare_typed("INSERT INTO p VALUES ($1, $2, $3, $4)", &types).await.unwrap();
    let bytes: &[u8] = &[0, 1, 254, 255];
    client.execute(&insert, &[&7_i64, &1.5_f64, &"text", &bytes]).await.unwrap();
    client
        .execute(&insert, &[&8_i64, &None::<f64>, &None::<String>, &None::<Vec<u8>>])
        .await
        .unwrap();
    let select = client.prepare_typed("SELECT i, f, t, b FROM p WHERE i = $1", &[Type::INT8]);
    let select = select.await.unwrap();
    let row = client.query_one(&select, &[&7_i64]).await.unwrap();
    assert_eq!(row.get::<_, i64>(0), 7);
    assert!((row.get::<_, f64>(1) - 1.5).abs() < f64::EPSILON);
    assert_eq!(row.get::<_, String>(2), "text");
    assert_eq!(row.get::<_, Vec<u8>>(3), bytes);
    let row = client.query_one(&select, &[&8_i64]).await.unwrap();
    assert_eq!(row.get::<_, Option<String>>(2), None);
}

#[tokio::test(flavor = "multi_thread")]
async fn test_transaction_commits_or_rolls_back_as_a_whole() {
    let cluster = Cluster::start(Shape::default()).await;
    let mut client = cluster.connect(2, "tenant").await;
    client.batch_execute("CREATE TABLE t (id INTEGER PRIMARY KEY)").await.unwrap();
    let transaction = client.transaction().await.unwrap();
    transaction.batch_execute("INSERT INTO t VALUES (1)").await.unwrap();
    transaction.batch_execute("INSERT INTO t VALUES (2)").await.unwrap();
    transaction.commit().await.unwrap();
    let transaction = client.transaction().await.unwrap();
    transaction.batch_execute("INSERT INTO t VALUES (3)").await.unwrap();
    let error = transaction.batch_execute("INSERT INTO t VALUES (1)").await.unwrap_err();
    assert_eq!(sqlstate(&error), "23505");
    let error = transaction.batch_execute("SELECT 1").await.unwrap_err();
    assert_eq!(sqlstate(&error), "25P02");
    transaction.rollback().await.unwrap();
    let count = client.simple_query("SELECT count(*) FROM t").await.unwrap();
    assert_eq!(first_value(&count).as_deref(), Some("2"));
}

#[tokio::test(flavor = "multi_thread")]
async fn test_text_of_several_statements_is_one_transaction() {
    let cluster = Cluster::start(Shape::default()).await;
    let client = cluster.connect(0, "tenant").await;
    client.batch_execute("CREATE TABLE t (id INTEGER PRIMARY KEY)").await.unwrap();
    let failing = "INSERT INTO t VALUES (1); INSERT INTO t VALUES (1)";
    let error = client.batch_execute(failing).await.unwrap_err();
    assert_eq!(sqlstate(&error), "23505");
    client.batch_execute("INSERT INTO t VALUES (1); INSERT INTO t VALUES (2)").await.unwrap();
    let count = client.simple_query("SELECT count(*) FROM t").await.unwrap();
    assert_eq!(first_value(&count).as_deref(), Some("2"));
}

#[tokio::test(flavor = "multi_thread")]
async fn test_repeated_request_id_runs_once_and_gets_the_first_answer() {
    let cluster = Cluster::start(Shape::default()).await;
    let client = cluster.connect(0, "tenant").await;
    client.batch_execute("CREATE TABLE t (n INTEGER)").await.unwrap();
    let statement = "INSERT INTO t VALUES (1) /*request_id='charge-1'*/";
    client.batch_execute(statement).await.unwrap();
    for instance in 0..3 {
        let other = cluster.connect(instance, "tenant").await;
        other.batch_execute(statement).await.unwrap();
    }
    let reused = "INSERT INTO t VALUES (2) /*request_id='charge-1'*/";
    let error = client.batch_execute(reused).await.unwrap_err();
    assert_eq!(sqlstate(&error), "22023");
    // Another account's id of the same name is another request.
    let stranger = cluster.connect(0, "tenant2").await;
    cluster.set_lag(LAG).await;
    stranger.batch_execute(reused).await.unwrap();
    // Who wrote the second row sees both at once; others when replicas have it.
    let count = stranger.simple_query("SELECT count(*) FROM t").await.unwrap();
    assert_eq!(first_value(&count).as_deref(), Some("2"));
    wait_for("replicas have both rows", async || {
        let count = client.simple_query("SELECT count(*) FROM t").await.unwrap();
        first_value(&count).as_deref() == Some("2")
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_bad_input_gets_a_clear_error_and_affects_no_other_client() {
    let cluster = Cluster::start(Shape::default()).await;
    let neighbour = cluster.connect(0, "tenant").await;
    let wrong = cluster.try_connect(0, "tenant", "wrong", "db1").await.err().unwrap();
    assert_eq!(sqlstate(&wrong), "28P01");
    let unknown = cluster.try_connect(0, "nobody", "nobody", "db1").await.err().unwrap();
    assert_eq!(sqlstate(&unknown), "28P01");
    let client = cluster.connect(0, "tenant").await;
    let error = client.batch_execute("SELEC 1").await.unwrap_err();
    assert_eq!(sqlstate(&error), "42601");
    let error = client.batch_execute("SELECT * FROM no_such_table").await.unwrap_err();
    assert_eq!(sqlstate(&error), "42P01");
    let error = client.batch_execute("COPY t FROM STDIN").await.unwrap_err();
    assert_eq!(sqlstate(&error), "0A000");
    let error = client.batch_execute("SET search_path = x").await.unwrap_err();
    assert_eq!(sqlstate(&error), "0A000");
    let large = format!("SELECT '{}'", "x".repeat(1024 * 1024 + 1));
    let error = client.batch_execute(&large).await.unwrap_err();
    assert_eq!(sqlstate(&error), "54000");
    client.batch_execute("SET chervilwharf.service = 'gates'").await.unwrap();
    let error = client.batch_execute("SELECT 1").await.unwrap_err();
    assert_eq!(sqlstate(&error), "42501");
    client.batch_execute("SET chervilwharf.service = 'bookings'").await.unwrap();
    client.batch_execute("SELECT 1").await.unwrap();
    neighbour.batch_execute("SELECT 1").await.unwrap();
}

/// Slots in use at the primary.
async fn slots_in_use(cluster: &Cluster) -> u64 {
    let (owner, _, primary) = cluster.serving("db1").await.unwrap();
    let status = cluster.status(owner).await.unwrap();
    let servers = status["databases"]["db1"]["serving_here"]["servers"].as_array().unwrap();
    let primary = servers.iter().find(|server| server["server"] == primary.as_str());
    primary.unwrap()["slots_in_use"].as_u64().unwrap()
}

/// Symptom: a caller gets the answer of a request it never made. Sequence: a
/// request waits for a lock; another with the same id and another statement
/// arrives. Cause: copies in progress are told apart by their id alone.
#[tokio::test(flavor = "multi_thread")]
async fn test_id_of_a_request_in_progress_is_refused_for_another_statement() {
    let cluster = Cluster::start(Shape::default()).await;
    let holder = cluster.connect(0, "tenant").await;
    holder.batch_execute("CREATE TABLE t (id INTEGER)").await.unwrap();
    holder.batch_execute("BEGIN").await.unwrap();
    holder.batch_execute("INSERT INTO t VALUES (0)").await.unwrap();
    let first = cluster.connect(1, "tenant").await;
    let waiting = tokio::spawn(async move {
        first.batch_execute("INSERT INTO t VALUES (1) /*request_id='same'*/").await
    });
    wait_for("the first request waits", async || slots_in_use(&cluster).await == 1).await;
    let second = cluster.connect(2, "tenant").await;
    let other = "INSERT INTO t VALUES (2) /*request_id='same'*/";
    let error = second.batch_execute(other).await.unwrap_err();
    assert_eq!(sqlstate(&error), "22023");
    holder.batch_execute("COMMIT").await.unwrap();
    waiting.await.unwrap().unwrap();
}

/// Symptom: transactions stand still until their deadlines. Sequence: one
/// holds a lock, others wait for it in all slots of the primary, and the next
/// statement of the first waits for a slot. Cause: an open transaction has to
/// queue behind those who wait for it.
#[tokio::test(flavor = "multi_thread")]
async fn test_open_transaction_does_not_wait_behind_requests_that_wait_for_it() {
    let cluster = Cluster::start(Shape::default()).await;
    let holder = cluster.connect(0, "tenant").await;
    holder.batch_execute("CREATE TABLE t (id INTEGER)").await.unwrap();
    holder.batch_execute("BEGIN").await.unwrap();
    holder.batch_execute("INSERT INTO t VALUES (0)").await.unwrap();
    let mut waiters = Vec::new();
    for id in 1..=6 {
        let waiter = cluster.connect(id % 3, "tenant").await;
        waiters.push(tokio::spawn(async move {
            waiter.batch_execute(&format!("INSERT INTO t VALUES ({id})")).await
        }));
    }
    wait_for("the slots of the primary are taken", async || slots_in_use(&cluster).await == 3)
        .await;
    holder.batch_execute("INSERT INTO t VALUES (7)").await.unwrap();
    holder.batch_execute("COMMIT").await.unwrap();
    for waiter in waiters {
        waiter.await.unwrap().unwrap();
    }
}

/// Symptom: a transaction is acknowledged, and its first statements are
/// missing. Sequence: the link between entry and owner goes silent between two
/// statements; the owner rolls back; the next statement comes over a new link.
/// Cause: the owner takes it for the first of a new transaction.
#[tokio::test(flavor = "multi_thread")]
async fn test_transaction_whose_link_was_lost_does_not_continue_in_a_new_one() {
    let cluster = Cluster::start(Shape::default()).await;
    let (owner, _, _) = cluster.serving("db1").await.unwrap();
    let client = cluster.connect((owner + 1) % 3, "tenant").await;
    client.batch_execute("CREATE TABLE t (id INTEGER)").await.unwrap();
    client.batch_execute("BEGIN").await.unwrap();
    client.batch_execute("INSERT INTO t VALUES (1)").await.unwrap();
    cluster.instances[owner].peer_proxy.blackhole_open_connections();
    // The heartbeats notice, and the owner rolls back with the old link; or
    // another instance succeeds it first, whose term fences the transaction.
    wait_for("the owner holds no transaction", async || {
        let status = cluster.status(owner).await.unwrap();
        let serving = &status["databases"]["db1"]["serving_here"];
        serving.is_null() || serving["open_transactions"] == 0
    })
    .await;
    let error = client.batch_execute("INSERT INTO t VALUES (2)").await.unwrap_err();
    assert_eq!(sqlstate(&error), "40001");
    client.batch_execute("ROLLBACK").await.unwrap();
    let count = client.simple_query("SELECT count(*) FROM t").await.unwrap();
    assert_eq!(first_value(&count).as_deref(), Some("0"));
}
