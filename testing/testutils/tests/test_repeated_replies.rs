//! Servers with the PostgreSQL protocol that send a reply, or a part of one, once more.

use std::time::Duration;

use chervilwharf_daemon::batch_reply::BatchError;
use chervilwharf_daemon::batch_reply::row_values;
use chervilwharf_daemon::batch_reply::text_value;
use chervilwharf_daemon::postgres::ServerAddress;
use chervilwharf_daemon::postgres::ServerConnection;
use chervilwharf_daemon::postgres::Step;
use chervilwharf_daemon::target::PgTarget;
use chervilwharf_daemon::target::Target as _;
use chervilwharf_lib::protos::Result as StatementResult;
use chervilwharf_standin::target::Target;
use chervilwharf_standin::target::TargetOptions;
use chervilwharf_standin::target_repeats::Part;
use chervilwharf_standin::target_repeats::Repetition;
use chervilwharf_standin::target_repeats::ReplyRepeater;

const TIMEOUT: Duration = Duration::from_secs(5);

const PARTS: [Part; 4] =
    [Part::Whole, Part::RowsWithoutEnd, Part::EndWithoutRows, Part::ReadyForQuery];

/// Delays of the repetition: before the next batch, during it, and while the connection is
/// idle.
const DELAYS_MS: [u64; 3] = [0, 1, 20];

/// A primary, and a proxy that repeats its replies.
struct Server {
    _target: Target,
    repeater: ReplyRepeater,
    address: ServerAddress,
}

async fn start() -> Server {
    let target = Target::start(TargetOptions::new("a")).await.unwrap();
    let repeater = ReplyRepeater::start(target.address).await.unwrap();
    let address = ServerAddress {
        address: repeater.address,
        login: "proxy".into(),
        password: "".into(),
        database: "db".into(),
    };
    let control = PgTarget::new(address.clone(), TIMEOUT);
    control.fence(1, &"holder".into()).await.unwrap();
    control.promote(1, &"holder".into()).await.unwrap();
    Server { _target: target, repeater, address }
}

fn values(result: &StatementResult) -> Vec<Option<String>> {
    result.rows.iter().map(|row| text_value(&row_values(row), 0)).collect()
}

/// What one batch returned, in a form that names the statement that it belongs to.
fn answer_of(run: Result<Vec<StatementResult>, BatchError>) -> Option<String> {
    match run {
        Ok(results) => Some(format!("{:?}", results.last().map(values))),
        Err(BatchError::Refused { message, .. }) => Some(message),
        Err(_) => None,
    }
}

/// Runs batches of one kind with numbers of their own while replies are repeated. Returns
/// those answers that are not the batch's own, and the number of own answers.
async fn wrong_answers(
    server: &Server,
    repetition: Repetition,
    batch: impl Fn(usize) -> (Vec<Step>, String),
) -> (Vec<String>, usize) {
    let mut wrong = Vec::new();
    let mut right = 0;
    let mut connection = ServerConnection::open(&server.address, TIMEOUT).await.unwrap();
    server.repeater.set(Some(repetition));
    for number in 0..40 {
        let (steps, expected) = batch(number);
        let run = tokio::time::timeout(TIMEOUT, connection.run(&steps)).await;
        let answer = answer_of(run.expect("the server answers"));
        match answer {
            Some(answer) if answer == expected => right += 1,
            Some(answer) => wrong.push(format!("{repetition:?} {number}: {answer}")),
            None => {}
        }
        if number % 4 == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        if !connection.is_reusable() {
            connection = ServerConnection::open(&server.address, TIMEOUT).await.unwrap();
        }
    }
    server.repeater.set(None);
    (wrong, right)
}

async fn check_all(batch: impl Fn(usize) -> (Vec<Step>, String)) {
    let server = start().await;
    let mut wrong = Vec::new();
    let mut right = 0;
    for part in PARTS {
        for delay_ms in DELAYS_MS {
            let delay = Duration::from_millis(delay_ms);
            let repetition = Repetition { part, delay, one_in: 2 };
            let (found, own) = wrong_answers(&server, repetition, &batch).await;
            wrong.extend(found);
            right += own;
        }
    }
    assert!(server.repeater.repeated_count() > 20);
    assert!(right > 100, "only {right} of 480 batches got their own answer");
    assert!(wrong.is_empty(), "{} of 480, such as {:?}", wrong.len(), &wrong[0]);
}

/// Guards against a read that is answered with the rows of an earlier read of another client.
#[tokio::test(flavor = "multi_thread")]
async fn test_read_gets_no_rows_of_a_repeated_reply() {
    check_all(|number| {
        let text = format!("read-{number}");
        let steps = vec![
            Step::internal("BEGIN READ ONLY"),
            Step::new(format!("SELECT '{text}'")),
            Step::internal("COMMIT"),
            Step::new(format!("SELECT '{text}'")),
        ];
        (steps, format!("{:?}", Some(vec![Some(text)])))
    })
    .await;
}

/// Guards against a statement that is reported as refused, and so as not run, because an
/// earlier statement of another client was refused.
#[tokio::test(flavor = "multi_thread")]
async fn test_refusal_of_another_statement_is_not_delivered() {
    check_all(|number| {
        if number % 2 == 0 {
            let steps = vec![Step::new(format!("SELECT * FROM missing_{number}"))];
            return (steps, format!("no such table: missing_{number}"));
        }
        let text = format!("read-{number}");
        let steps = vec![Step::new(format!("SELECT '{text}'"))];
        (steps, format!("{:?}", Some(vec![Some(text)])))
    })
    .await;
}

/// Guards against a call of a control function that gets the answer of an earlier call: a
/// position of another promotion, or a state from before the fence.
#[tokio::test(flavor = "multi_thread")]
async fn test_control_call_gets_no_answer_of_an_earlier_call() {
    for part in PARTS {
        for delay_ms in DELAYS_MS {
            let server = start().await;
            let control = PgTarget::new(server.address.clone(), TIMEOUT);
            let delay = Duration::from_millis(delay_ms);
            server.repeater.set(Some(Repetition { part, delay, one_in: 2 }));
            for term in 2..12 {
                let holder = "holder".into();
                let case = format!("{part:?} after {delay:?}, term {term}");
                // A call may fail, but only without an answer.
                if let Ok(state) = control.fence(term, &holder).await {
                    assert_eq!((state.term, state.is_primary), (term, false), "{case}: fence");
                }
                if let Ok(first) = control.promote(term, &holder).await {
                    assert_eq!(first.term, term, "{case}: promotion");
                }
                if let Ok(state) = control.state().await {
                    assert_eq!((state.term, state.is_primary), (term, true), "{case}: state");
                }
            }
        }
    }
}

/// Guards against a statement in an open transaction that gets the reply to an earlier one,
/// and against a refusal in an aborted transaction that hides such a shift.
#[tokio::test(flavor = "multi_thread")]
async fn test_statement_of_a_transaction_gets_no_earlier_reply() {
    let server = start().await;
    let mut own = 0;
    for part in PARTS {
        for delay_ms in DELAYS_MS {
            let delay = Duration::from_millis(delay_ms);
            server.repeater.set(Some(Repetition { part, delay, one_in: 3 }));
            for round in 0..10 {
                let mut connection =
                    ServerConnection::open(&server.address, TIMEOUT).await.unwrap();
                if connection.run(&[Step::internal("BEGIN")]).await.is_err() {
                    continue;
                }
                for number in 0..4 {
                    let text = format!("{round}-{number}");
                    let run = connection.run(&[Step::new(format!("SELECT '{text}'"))]).await;
                    let Some(answer) = answer_of(run) else { break };
                    assert_eq!(answer, format!("{:?}", Some(vec![Some(text)])), "{part:?}");
                    own += 1;
                }
                if !connection.is_answer_complete() {
                    continue;
                }
                let refused = connection.run(&[Step::new("SELECT * FROM missing")]).await;
                let Some(answer) = answer_of(refused) else { continue };
                assert_eq!(answer, "no such table: missing", "{part:?} after {delay:?}");
                let aborted = connection.run(&[Step::new("SELECT 1")]).await;
                let Some(answer) = answer_of(aborted) else { continue };
                assert_eq!(answer, "current transaction is aborted", "{part:?} after {delay:?}");
                own += 1;
            }
        }
    }
    assert!(own > 60, "only {own} statements got their own answer");
}

/// Guards against a limit of columns or rows that a reply of a healthy server exceeds: each
/// kind of statement is answered, and the connection stays usable.
#[tokio::test(flavor = "multi_thread")]
async fn test_replies_of_a_healthy_server_are_accepted() {
    let server = start().await;
    let mut connection = ServerConnection::open(&server.address, TIMEOUT).await.unwrap();
    let statements = [
        "CREATE TABLE t (id INTEGER)",
        "INSERT INTO t VALUES (1), (2)",
        "INSERT INTO t VALUES (3) RETURNING id",
        "SELECT * FROM t",
        "SELECT * FROM t WHERE id > 9",
        "UPDATE t SET id = id + 1",
        "SELECT * FROM missing",
        "DELETE FROM t",
        "SET x = 1",
    ];
    for sql in statements {
        let run = connection.run(&[Step::new(sql)]).await;
        assert_eq!(run.is_err(), sql.contains("missing"), "{sql}: {run:?}");
        assert!(connection.is_reusable(), "{sql}");
        let described = connection.describe(sql, &[]).await;
        assert_eq!(described.is_err(), sql.contains("missing"), "{sql}: {described:?}");
        assert!(connection.is_reusable(), "{sql}");
    }
}

/// Guards against a stand-in that goes on with a transaction after a description failed,
/// which PostgreSQL aborts.
#[tokio::test(flavor = "multi_thread")]
async fn test_failed_description_aborts_the_transaction() {
    let server = start().await;
    let mut connection = ServerConnection::open(&server.address, TIMEOUT).await.unwrap();
    connection.run(&[Step::internal("BEGIN")]).await.unwrap();
    connection.describe("SELECT * FROM missing", &[]).await.unwrap_err();
    let aborted = answer_of(connection.run(&[Step::new("SELECT 1")]).await);
    assert_eq!(aborted.as_deref(), Some("current transaction is aborted"));
}

/// Guards against the reply to an abandoned batch on a connection that is used again. The
/// future of a batch is dropped at its deadline, at the end of a term and when a client leaves.
#[tokio::test(flavor = "multi_thread")]
async fn test_connection_of_an_abandoned_batch_is_not_used_again() {
    let cost = Duration::from_millis(100);
    let options = TargetOptions { statement_cost: cost, ..TargetOptions::new("a") };
    let target = Target::start(options).await.unwrap();
    let address = ServerAddress {
        address: target.address,
        login: "proxy".into(),
        password: "".into(),
        database: "db".into(),
    };
    let mut connection = ServerConnection::open(&address, TIMEOUT).await.unwrap();
    let steps = [Step::new("SELECT 'abandoned'")];
    let run = tokio::time::timeout(cost / 10, connection.run(&steps)).await;
    assert!(run.is_err(), "{run:?}");
    assert!(!connection.is_reusable() && !connection.is_answer_complete());
    tokio::time::sleep(cost * 2).await;
    let next = connection.run(&[Step::new("SELECT 'next'")]).await;
    assert!(matches!(next, Err(BatchError::Broken(_))), "{next:?}");
    let described = connection.describe("SELECT 'next'", &[]).await;
    assert!(matches!(described, Err(BatchError::Broken(_))), "{described:?}");
}
