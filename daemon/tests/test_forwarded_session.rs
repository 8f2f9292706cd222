//! What an instance answers to statements of another one's sessions.

mod stubs;

use std::sync::Arc;
use std::time::Duration;

use chervilwharf_daemon::engine::forwarded_session::ForwardedSession;
use chervilwharf_daemon::engine::peers::ForwardedStatementHandler;
use chervilwharf_daemon::engine::records;
use chervilwharf_daemon::engine::shared::Engine;
use chervilwharf_lib::catalog::Consistency;
use chervilwharf_lib::catalog::Route;
use chervilwharf_lib::engine_protos;
use chervilwharf_lib::engine_protos::statement::Work;
use chervilwharf_lib::error_kind::ErrorKind;
use stubs::NoServer;
use stubs::instance;

fn statement() -> engine_protos::Statement {
    let route = Route {
        database: "app".into(),
        group: "db".into(),
        consistency: Consistency::ReadYourWrites(Duration::from_millis(2_500)),
        timeout: Duration::from_millis(800),
        objective: Duration::from_millis(400),
        priority: 1,
        is_public: false,
    };
    engine_protos::Statement {
        id: "r1".to_owned(),
        route: Some(records::encode_route(&route)),
        time_left_ms: 800,
        floor_term: 3,
        floor_index: 1_207,
        work: Some(Work::Read("1".to_owned())),
        ..engine_protos::Statement::default()
    }
}

/// Symptom: a session that had committed read a replica without its commit.
/// Sequence: a statement of the session is refused by the instance that it goes
/// through, which does not hold the group, or has lost the transaction; the next
/// read goes to a replica that is a little behind. Cause: the refusal told the
/// session that it had no commit of its own.
#[tokio::test]
async fn test_refusals_leave_the_sessions_own_commit_known() {
    let engine = Arc::new(Engine::new(instance("one"), Arc::new(NoServer)));
    let in_transaction = engine_protos::Statement { in_transaction: true, ..statement() };
    let no_work = engine_protos::Statement { work: None, ..statement() };
    let refused = [
        (statement(), ErrorKind::NotOwner),
        (in_transaction, ErrorKind::TransactionLost),
        (no_work, ErrorKind::BadStatement),
    ];
    for (statement, kind) in refused {
        let reply = ForwardedSession::new(engine.clone()).run(statement).await;
        assert_eq!(reply.error, kind.name());
        assert_eq!((reply.floor_term, reply.floor_index), (3, 1_207), "{kind}");
    }
}
