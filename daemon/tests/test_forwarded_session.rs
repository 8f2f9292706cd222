//! Replies to statements that another instance forwards.

mod stubs;

use std::sync::Arc;
use std::time::Duration;

use chervilwharf_daemon::engine::forwarded_session::ForwardedSession;
use chervilwharf_daemon::engine::peers::ForwardedStatementHandler;
use chervilwharf_daemon::engine::records;
use chervilwharf_daemon::engine::shared::Engine;
use chervilwharf_lib::catalog::Catalog;
use chervilwharf_lib::catalog::Consistency;
use chervilwharf_lib::catalog::GroupSettings;
use chervilwharf_lib::catalog::Route;
use chervilwharf_lib::engine_protos;
use chervilwharf_lib::engine_protos::Execution;
use chervilwharf_lib::engine_protos::SessionValue;
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

/// Guards against a session that reads a replica without its own commit. The instance that
/// a statement is forwarded to refuses it, since it does not hold the group or has lost the
/// transaction. If the refusal returned no floor, the session would lose the position of its
/// commit, and its next read could go to a replica that lags behind.
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

/// Guards against an instance that has just started and refuses the first statements of a group
/// that it holds, because it does not have the configuration yet.
#[tokio::test]
async fn test_started_holder_waits_for_its_configuration_before_it_refuses_a_statement() {
    let engine = Arc::new(Engine::new(instance("one"), Arc::new(NoServer)));
    let starting = engine.clone();
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let group = GroupSettings { max_connections: 20, sync_replicas: 0 };
        let groups = [("db".into(), group)].into_iter().collect();
        let catalog = Catalog { version: 1, groups, ..Catalog::default() };
        assert!(starting.set_catalog(&Arc::new(catalog)));
        starting.set_fleet_known();
    });
    let reply = ForwardedSession::new(engine).run(statement()).await;
    assert_ne!(reply.error, ErrorKind::NotOwner.name());
}

/// Guards against a text of another instance that a server reads as more than one field or
/// message. An instance of an earlier version may forward what this one refuses.
#[tokio::test]
async fn test_forwarded_texts_that_cannot_be_sent_to_a_server_are_refused() {
    let engine = Arc::new(Engine::new(instance("one"), Arc::new(NoServer)));
    let value = |name: &str, value: &str| SessionValue { name: name.into(), value: value.into() };
    let execution = |shape: &str, arguments: &str| {
        let (shape, arguments) = (shape.to_owned(), arguments.to_owned());
        Some(Work::Execute(Execution { writes: true, shape, arguments }))
    };
    let mut refused = Vec::new();
    for end in ["\r", "\n", "\0", "\r\n"] {
        let text = format!("a{end}b");
        refused.extend([
            engine_protos::Statement { id: text.clone(), ..statement() },
            engine_protos::Statement { account: text.clone(), ..statement() },
            engine_protos::Statement { values: vec![value(&text, "x")], ..statement() },
            engine_protos::Statement { values: vec![value("x", &text)], ..statement() },
            engine_protos::Statement { work: Some(Work::Read(text.clone())), ..statement() },
            engine_protos::Statement { work: Some(Work::Write(text.clone())), ..statement() },
            engine_protos::Statement { work: execution(&text, "x"), ..statement() },
            engine_protos::Statement { work: execution("x", &text), ..statement() },
        ]);
    }
    refused.extend([
        engine_protos::Statement { id: String::new(), ..statement() },
        engine_protos::Statement { id: "a b".to_owned(), ..statement() },
        engine_protos::Statement { account: "a b".to_owned(), ..statement() },
        engine_protos::Statement { values: vec![value("a b", "x")], ..statement() },
        engine_protos::Statement { values: vec![value("", "x")], ..statement() },
        engine_protos::Statement { values: vec![value("x", "")], ..statement() },
        engine_protos::Statement { work: Some(Work::Read(String::new())), ..statement() },
        engine_protos::Statement { work: execution("", "x"), ..statement() },
        engine_protos::Statement { work: execution("x", ""), ..statement() },
    ]);
    for statement in refused {
        let shown = format!("{statement:?}");
        let reply = ForwardedSession::new(engine.clone()).run(statement).await;
        assert_eq!(reply.error, ErrorKind::BadStatement.name(), "{shown}");
    }
    let accepted = engine_protos::Statement {
        values: vec![value("zone", "two words")],
        work: execution("mark READ messages", "box7  done "),
        ..statement()
    };
    let reply = ForwardedSession::new(engine).run(accepted).await;
    assert_eq!(reply.error, ErrorKind::NotOwner.name());
}
