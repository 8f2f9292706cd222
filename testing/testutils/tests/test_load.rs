//! What happens when more is asked than the servers can do.

use std::time::Duration;

use chervilwharf_testutils::clients::sqlstate;
use chervilwharf_testutils::cluster::Cluster;
use chervilwharf_testutils::cluster::Shape;

/// Availability checks at the same time, far more than the slots can serve.
const CHECKERS: usize = 80;

/// Requests of each caller.
const REQUESTS: usize = 4;

/// What a statement costs: more than the time a check has, so that no check
/// can succeed, however slow the callers of the test are.
const STATEMENT_COST: Duration = Duration::from_millis(150);

/// Symptom: bookings fail when the call centre checks availability. Sequence:
/// many checks that only the primary can answer fill its queue. Cause: the
/// queue knows no priority, or holds what cannot make its deadline.
#[tokio::test(flavor = "multi_thread")]
async fn test_overload_by_checks_is_refused_with_a_retry_time_and_does_not_affect_bookings() {
    let shape = Shape { statement_cost: STATEMENT_COST, ..Shape::default() };
    let cluster = Cluster::start(shape).await;
    let setup = cluster.connect(0, "tenant").await;
    setup.batch_execute("CREATE TABLE t (id INTEGER)").await.unwrap();
    let mut checkers = Vec::new();
    for number in 0..CHECKERS {
        let client = cluster.connect(number % 3, "callcentre").await;
        client.batch_execute("SET chervilwharf.max_age_ms = '0'").await.unwrap();
        client.batch_execute("SET chervilwharf.deadline_ms = '100'").await.unwrap();
        checkers.push(tokio::spawn(async move {
            let mut refusals = Vec::new();
            for _ in 0..REQUESTS {
                if let Err(error) = client.batch_execute("SELECT count(*) FROM t").await {
                    refusals.push(error);
                }
            }
            refusals
        }));
    }
    let mut bookings = Vec::new();
    for number in 0..3 {
        let client = cluster.connect(number, "tenant").await;
        bookings.push(tokio::spawn(async move {
            for id in 0..REQUESTS {
                client.batch_execute(&format!("INSERT INTO t VALUES ({id})")).await?;
            }
            Ok::<(), tokio_postgres::Error>(())
        }));
    }
    for booking in bookings {
        booking.await.unwrap().unwrap();
    }
    let mut refusals = Vec::new();
    for checker in checkers {
        refusals.extend(checker.await.unwrap());
    }
    assert!(!refusals.is_empty());
    for error in &refusals {
        let error_info = error.as_db_error().unwrap();
        assert!(["53300", "57014", "57P03"].contains(&sqlstate(error)), "{error:?}");
        assert!(error_info.hint().unwrap().starts_with("retry_after_ms="), "{error:?}");
        assert!(error_info.detail().unwrap().starts_with("outcome=not run"), "{error:?}");
    }
}
