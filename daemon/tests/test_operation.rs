//! Late operations: what is counted and logged for them, and what is sent to and received from
//! holders.

mod stubs;
mod values_world;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io::Write;
use std::sync::Arc;
use std::sync::LazyLock;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use chervilwharf_daemon::engine::clock::now;
use chervilwharf_daemon::engine::event_log;
use chervilwharf_daemon::engine::forwarded_session::ForwardedSession;
use chervilwharf_daemon::engine::peers::ForwardedStatementHandler;
use chervilwharf_daemon::engine::records;
use chervilwharf_daemon::engine::request::Request;
use chervilwharf_daemon::engine::session::Session;
use chervilwharf_daemon::engine::session::SessionStart;
use chervilwharf_daemon::engine::shared::Engine;
use chervilwharf_lib::catalog::Catalog;
use chervilwharf_lib::catalog::GroupSettings;
use chervilwharf_lib::catalog::Route;
use chervilwharf_lib::engine_protos;
use chervilwharf_lib::engine_protos::StatementReply;
use chervilwharf_lib::engine_protos::statement::Begin;
use chervilwharf_lib::engine_protos::statement::Work;
use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::explanation::LogLine;
use chervilwharf_lib::explanation::parse_line;
use chervilwharf_lib::fleet::InstanceRecord;
use chervilwharf_lib::operation_clock::PREPARATION_GAP;
use chervilwharf_lib::statement::Access;
use chervilwharf_lib::statement::Prepared;
use chervilwharf_lib::statement::Statement;
use chervilwharf_lib::statement_timing;
use stubs::NoServer;
use stubs::holder::Holder;
use stubs::instance;
use tokio::net::TcpListener;
use values_world::GROUP;
use values_world::ValuesWorld;
use values_world::route;
use values_world::start;

/// The log of this process.
#[derive(Clone, Default)]
struct Log(Arc<Mutex<Vec<u8>>>);

impl Write for Log {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

static LOG: LazyLock<Log> = LazyLock::new(|| {
    let log = Log::default();
    event_log::start_with("one".into(), Box::new(log.clone())).unwrap();
    log
});

/// Number of calls of [`late_lines`], to tell their last lines apart.
static CALLS: AtomicUsize = AtomicUsize::new(0);

/// The lines about late requests and operations whose id begins with `prefix`.
async fn late_lines(prefix: &str) -> Vec<LogLine> {
    // Lines are written in order, so those of earlier events come before this one.
    let last = format!("end {}", CALLS.fetch_add(1, Ordering::Relaxed));
    event_log::emit(&Event::new(EventKind::Stopped).with("text", &last));
    loop {
        let text = String::from_utf8(LOG.0.lock().unwrap().clone()).unwrap();
        if text.contains(&format!("\"{last}\"")) {
            let lines = text.lines().filter_map(parse_line);
            let late = |line: &LogLine| {
                matches!(&*line.event, "operation_late" | "request_late")
                    && line.text("id").is_some_and(|id| id.starts_with(prefix))
            };
            return lines.filter(late).collect();
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// A field of a line as it is written.
fn field(line: &LogLine, name: &str) -> String {
    line.fields[name].to_string()
}

fn read() -> Statement {
    Statement::Read { item: "1".into() }
}

/// A world with one connection, in which a statement takes as long as the test says, and a
/// session.
async fn slow_world() -> (ValuesWorld, Session) {
    LazyLock::force(&LOG);
    let world = ValuesWorld::new(1, true).await;
    let session = Session::begin(world.engine.clone(), start("app", "key")).await.unwrap();
    (world, session)
}

/// Runs a statement whose exchanges with the server end after `took`.
async fn run(world: &ValuesWorld, session: &mut Session, id: &str, what: Statement, took: u64) {
    world.shared.expect(id, None, &BTreeMap::new());
    let release = async {
        tokio::time::sleep(Duration::from_millis(took)).await;
        // The first statement of a transaction is preceded by BEGIN, in an exchange of its own.
        world.shared.release_one_exchange();
        if id.ends_with("first") {
            world.shared.release_one_exchange();
        }
    };
    let (reply, ()) = tokio::join!(session.run(id.into(), what), release);
    reply.result.expect("the server answers");
}

fn assert_counted(engine: &Engine, line: &str) {
    let text = engine.metrics().text(engine);
    assert!(text.contains(line), "{line} is not in {text}");
}

/// Guards against a late transaction that is counted for each late statement, or not at all
/// since each of its statements met the objective.
#[tokio::test]
async fn test_transaction_that_is_late_in_total_is_counted_and_logged_once() {
    let (world, mut session) = slow_world().await;
    let begin = Statement::Begin { read_only: false };
    session.run("sum-begin".into(), begin).await.result.expect("no server is needed");
    for id in ["sum-first", "sum-2", "sum-3", "sum-4"] {
        tokio::time::sleep(Duration::from_millis(30)).await;
        run(&world, &mut session, id, read(), 90).await;
    }
    assert!(late_lines("sum").await.is_empty(), "no statement is late");
    tokio::time::sleep(Duration::from_millis(30)).await;
    run(&world, &mut session, "sum-commit", Statement::Commit, 90).await;
    let lines = late_lines("sum").await;
    let [line] = &lines[..] else {
        panic!("one line: {lines:?}");
    };
    assert_eq!(line.event, "operation_late");
    assert_eq!(line.text("id"), Some("sum-commit"));
    assert_eq!([field(line, "statements"), field(line, "client_ms")], ["6", "36.0"]);
    assert!(line.number("took_ms") > line.number("objective_ms"), "{line:?}");
    let parts: f64 = ["waited_ms", "opening_ms", "at_server_ms", "way_ms", "client_ms", "own_ms"]
        .map(|part| line.number(part))
        .iter()
        .sum();
    assert!((parts - line.number("took_ms")).abs() < 1.0, "{line:?}");
    let late = r#"chervilwharf_operations_late_total{group="db",part="at_server"} 1"#;
    assert_counted(&world.engine, late);
    assert_counted(&world.engine, r#"chervilwharf_operations_total{group="db"} 1"#);
}

/// Guards against single statements that are no longer logged when they are late.
#[tokio::test]
async fn test_late_single_statement_is_an_operation_of_its_own() {
    let (world, mut session) = slow_world().await;
    let write = Statement::Write { item_and_data: "1 x".into() };
    run(&world, &mut session, "alone-late", write, 450).await;
    run(&world, &mut session, "alone-in-time", read(), 1).await;
    let lines = late_lines("alone").await;
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert_eq!(lines[0].event, "operation_late");
    assert_eq!(field(&lines[0], "statements"), "1");
    assert_counted(&world.engine, r#"chervilwharf_operations_total{group="db"} 2"#);
}

/// Gap between the messages of the test; longer than the round trip that the clock assumes for
/// clients.
const GAP: Duration = Duration::from_millis(7);

/// Runs two reads of 380 ms in a new session, `pause` after it was set up by three statements.
/// Returns the ids' prefix of the lines; `None` if the machine was too busy to keep to the times.
async fn prepare_and_read(attempt: usize, pause: Duration) -> Option<(Arc<Engine>, String)> {
    LazyLock::force(&LOG);
    let world = ValuesWorld::new(1, true).await;
    let mut earlier = now();
    let mut is_timely = true;
    let connected = SessionStart { accepted_at: Some(earlier), ..start("app", "key") };
    let mut session = Session::begin(world.engine.clone(), connected).await.expect("begun");
    let prefix = format!("prepared-{attempt}-{}", pause.as_millis());
    for name in ["a", "b", "c"] {
        tokio::time::sleep(GAP).await;
        let prepared = Prepared { access: Access::Read, shape: "q".into() };
        let prepare = Statement::Prepare { name: name.into(), prepared };
        let began_at = now();
        session.run(format!("{prefix}-{name}").into(), prepare).await.result.expect("no server");
        is_timely &= now().saturating_sub(earlier) < PREPARATION_GAP;
        earlier = began_at;
    }
    tokio::time::sleep(pause).await;
    for id in ["first", "second"] {
        let id = format!("{prefix}-{id}-read");
        let began_at = now();
        is_timely &= id.contains("second") || began_at.saturating_sub(earlier) < pause + GAP;
        run(&world, &mut session, &id, read(), 380).await;
        is_timely &= now().saturating_sub(began_at) < Duration::from_millis(392);
    }
    is_timely.then_some((world.engine, prefix))
}

/// The lines about late operations of [`prepare_and_read`], and the engine.
async fn late_after_preparation(pause: Duration) -> (Arc<Engine>, Vec<LogLine>) {
    for attempt in 0..20 {
        if let Some((engine, prefix)) = prepare_and_read(attempt, pause).await {
            return (engine, late_lines(&prefix).await);
        }
    }
    panic!("no attempt kept to the times");
}

/// Guards against late operations of clients that open a session for each, of which no line
/// tells, and against a second operation that counts the set-up of the session again.
#[tokio::test]
async fn test_operation_that_is_late_with_its_preparation_is_counted_once() {
    let (engine, lines) = late_after_preparation(GAP).await;
    let [line] = &lines[..] else {
        panic!("one line: {lines:?}");
    };
    assert!(line.text("id").is_some_and(|id| id.ends_with("first-read")), "{line:?}");
    assert_eq!(field(line, "statements"), "1");
    // The gaps after the beginning of the session and after three statements, and round trips
    // for the connection and the read, as long as the shortest of these gaps.
    let (gap, longest_gap) = (GAP.as_secs_f64() * 1e3, PREPARATION_GAP.as_secs_f64() * 1e3);
    let client = line.number("client_ms");
    assert!((6.0 * gap..6.0 * longest_gap).contains(&client), "{line:?}");
    let (preparation, own) = (line.number("preparation_ms"), line.number("own_ms"));
    assert!((5.0 * gap..client - gap + 0.2 + own).contains(&preparation), "{line:?}");
    assert!(line.number("took_ms") - preparation < line.number("objective_ms"), "{line:?}");
    let late = r#"chervilwharf_operations_late_total{group="db",part="at_server"} 1"#;
    assert_counted(&engine, late);
    assert_counted(&engine, r#"chervilwharf_operations_total{group="db"} 2"#);
}

/// Guards against operations of clients with open sessions that count as late because of a set-up
/// that nobody waited for.
#[tokio::test]
async fn test_preparation_before_a_pause_makes_no_operation_late() {
    let (engine, lines) = late_after_preparation(Duration::from_secs(1)).await;
    assert!(lines.is_empty(), "{lines:?}");
    assert_counted(&engine, r#"chervilwharf_operations_total{group="db"} 2"#);
}

/// Guards against a line or a count for a client that disconnects before its operation.
#[tokio::test]
async fn test_client_that_disconnects_in_the_preparation_leaves_no_line() {
    LazyLock::force(&LOG);
    let world = ValuesWorld::new(1, true).await;
    let connected = SessionStart { accepted_at: Some(now()), ..start("app", "key") };
    let mut session = Session::begin(world.engine.clone(), connected).await.expect("begun");
    let set = Statement::Set { name: "zone".into(), value: "a".into() };
    session.run("left-set".into(), set).await.result.expect("no server is needed");
    drop(session);
    assert!(late_lines("left").await.is_empty());
    let text = world.engine.metrics().text(&world.engine);
    assert!(!text.contains("chervilwharf_operations_total{"), "{text}");
}

/// Guards against a line about an operation that nobody waits for: its client disconnected.
#[tokio::test]
async fn test_client_that_disconnects_in_a_transaction_leaves_no_line() {
    let (world, mut session) = slow_world().await;
    let begin = Statement::Begin { read_only: false };
    session.run("gone-begin".into(), begin).await.result.expect("no server is needed");
    run(&world, &mut session, "gone-first", read(), 250).await;
    run(&world, &mut session, "gone-2", read(), 250).await;
    drop(session);
    assert!(late_lines("gone").await.is_empty());
    let text = world.engine.metrics().text(&world.engine);
    assert!(!text.contains("chervilwharf_operations_total{"), "{text}");
}

/// Guards against a transaction that uses the whole objective to wait for a connection.
#[test]
fn test_statement_with_less_of_the_objective_left_waits_less() {
    let arrived_at = now();
    let deadline = arrived_at + route().timeout;
    let request = |objective_left| Request {
        id: "r".into(),
        route: route(),
        arrived_at,
        deadline,
        objective_left,
    };
    let whole = statement_timing::max_wait(route().objective);
    let wait = |left: u64| {
        let left = Some(Duration::from_millis(left));
        request(left).in_time_until(arrived_at).saturating_sub(arrived_at)
    };
    assert_eq!(request(None).in_time_until(arrived_at), arrived_at + whole);
    assert_eq!(wait(400), whole);
    assert_eq!(wait(300) + Duration::from_millis(100), whole);
    assert_eq!(wait(0), whole / 4);
    // An attempt at another server still gets time to open a connection there.
    let later = arrived_at + whole;
    assert_eq!(request(None).in_time_until(later), later + whole / 2);
}

fn forwarded_read(id: &str) -> engine_protos::Statement {
    engine_protos::Statement {
        id: id.to_owned(),
        route: Some(records::encode_route(&route())),
        time_left_ms: 785,
        work: Some(Work::Read("1".to_owned())),
        ..engine_protos::Statement::default()
    }
}

/// Guards against the opening of a connection that counts as a wait in the queue, or that counts
/// again for later users of the connection.
#[tokio::test]
async fn test_opening_of_a_connection_is_told_apart_from_the_queue() {
    let world = ValuesWorld::new(1, false).await;
    world.shared.opening_ms.store(60, Ordering::Relaxed);
    let mut forwarded = ForwardedSession::new(world.engine.clone());
    let first = forwarded.run(forwarded_read("opening-1")).await;
    assert_eq!(first.error, "");
    assert!(first.opening_ms >= 55 && first.waited_ms < first.opening_ms, "{first:?}");
    let second = forwarded.run(forwarded_read("opening-2")).await;
    assert_eq!((second.error.as_str(), second.opening_ms), ("", 0));
}

/// Runs a statement that occupies the only connection, then the first statement of a forwarded
/// transaction, then a single statement. Returns which of the latter two is served first.
async fn first_served(objective_left_ms: Option<u64>) -> &'static str {
    let (world, mut occupying) = slow_world().await;
    let mut single = Session::begin(world.engine.clone(), start("app", "key")).await.unwrap();
    let mut forwarded = ForwardedSession::new(world.engine.clone());
    for id in ["order-transaction", "order-single"] {
        world.shared.expect(id, None, &BTreeMap::new());
    }
    let first = engine_protos::Statement {
        begin: Begin::ReadWrite.into(),
        objective_left_ms,
        ..forwarded_read("order-transaction")
    };
    let served = Mutex::new(Vec::new());
    let occupy = async {
        run(&world, &mut occupying, "order-occupying", read(), 200).await;
        // Exchanges of the single statement, and of the transaction: BEGIN, the read, and the
        // rollback at its end.
        for _ in 0..4 {
            tokio::time::sleep(Duration::from_millis(10)).await;
            world.shared.release_one_exchange();
        }
    };
    let transaction = async {
        tokio::time::sleep(Duration::from_millis(10)).await;
        let reply = forwarded.run(first).await;
        assert_eq!(reply.error, "", "it is served late at worst");
        assert!(reply.waited_ms >= 150 && reply.at_server_ms > 0, "{reply:?}");
        served.lock().unwrap().push("transaction");
        drop(forwarded);
    };
    let single = async {
        tokio::time::sleep(Duration::from_millis(120)).await;
        single.run("order-single".into(), read()).await.result.expect("served");
        served.lock().unwrap().push("single");
    };
    let all = futures::future::join3(Box::pin(occupy), Box::pin(transaction), Box::pin(single));
    tokio::time::timeout(Duration::from_secs(5), all).await.expect("all are served");
    served.into_inner().unwrap()[0]
}

/// Guards against a holder that serves transactions before single statements which can still be
/// in time, although the transaction cannot. An instance of an earlier build sends no field; its
/// transactions wait by the whole objective.
#[tokio::test]
async fn test_holder_decides_by_what_is_left_of_the_objective() {
    assert_eq!(first_served(Some(20)).await, "single");
    assert_eq!(first_served(None).await, "transaction");
}

/// What arrived at a holder.
#[derive(Default)]
struct Arrived {
    statements: Mutex<Vec<engine_protos::Statement>>,
}

/// A session of a holder: each statement takes 30 ms, of which it reports 25 ms.
struct HolderSession(Arc<Arrived>, bool);

#[async_trait]
impl ForwardedStatementHandler for HolderSession {
    async fn run(&mut self, statement: engine_protos::Statement) -> StatementReply {
        tokio::time::sleep(Duration::from_millis(30)).await;
        let ends = matches!(statement.work, Some(Work::Commit(_)));
        let is_first = statement.begin != 0;
        self.1 = !ends && (self.1 || is_first);
        self.0.statements.lock().unwrap().push(statement);
        StatementReply {
            signature: "s".to_owned(),
            in_transaction: self.1,
            waited_ms: if is_first { 10 } else { 0 },
            opening_ms: if is_first { 5 } else { 0 },
            at_server_ms: if is_first { 10 } else { 25 },
            ..StatementReply::default()
        }
    }
}

/// An instance that forwards all statements to one of two holders, which are the same stub.
/// The first link is closed `closed_after` it was opened, without a reply. Other links are served
/// meanwhile: if both holders were unresponsive, the statement would rightly be refused.
async fn forwarding_instance(closed_after: Option<Duration>) -> (Arc<Engine>, Arc<Arrived>) {
    LazyLock::force(&LOG);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer_address = listener.local_addr().unwrap();
    let arrived = Arc::new(Arrived::default());
    let at_holder = arrived.clone();
    let holder = Holder::new(move || HolderSession(at_holder.clone(), false)).with_signs_of_life();
    tokio::spawn(async move {
        if let Some(closed_after) = closed_after {
            let first = listener.accept().await.unwrap();
            tokio::spawn(async move {
                tokio::time::sleep(closed_after).await;
                drop(first);
            });
        }
        holder.serve(listener).await;
    });
    let me = InstanceRecord { capacity_millicores: 1, ..instance("me") };
    let engine = Arc::new(Engine::new(me.clone(), Arc::new(NoServer)));
    let holder_record =
        |id| InstanceRecord { peer_address, capacity_millicores: 1_000_000, ..instance(id) };
    engine.apply_instance_list(vec![me, holder_record("h1"), holder_record("h2")]);
    let route = Arc::new(Route { objective: Duration::from_millis(100), ..(*route()).clone() });
    assert!(engine.set_catalog(&Arc::new(Catalog {
        version: 1,
        routes: HashMap::from([(route.database.clone(), route)]),
        groups: HashMap::from([(
            GROUP.into(),
            GroupSettings { max_connections: 3, sync_replicas: 0 }
        )]),
        ..Catalog::default()
    })));
    engine.set_fleet_known();
    assert!(!engine.is_holder(&GROUP.into()), "the others have more capacity");
    (engine, arrived)
}

async fn run_transaction(session: &mut Session, name: &str) {
    let statements =
        [Statement::Begin { read_only: false }, read(), read(), read(), Statement::Commit];
    for (number, statement) in statements.into_iter().enumerate() {
        let id = format!("{name}-{number}");
        session.run(id.into(), statement).await.result.expect("the holder answers");
    }
}

/// Guards against a holder that lets the first statement of a transaction wait as long as a
/// single one, and against a late operation whose time at the holder is not told apart from the
/// way there.
#[tokio::test]
async fn test_holder_learns_what_is_left_and_reports_how_its_time_was_spent() {
    let (engine, holder) = forwarding_instance(None).await;
    let mut session = Session::begin(engine.clone(), start("app", "key")).await.unwrap();
    run_transaction(&mut session, "sent-a").await;
    run_transaction(&mut session, "sent-b").await;
    let sent = holder.statements.lock().unwrap().clone();
    let left: Vec<_> = sent.iter().map(|statement| statement.objective_left_ms).collect();
    let [_, _, _, _, second, ..] = left[..] else {
        panic!("two transactions of four statements each: {left:?}");
    };
    // Of 100 ms, three statements that follow the first one take some 75 ms.
    assert!(second.is_some_and(|left| left < 40), "{left:?}");
    let lines = late_lines("sent").await;
    assert_eq!(lines.len(), 2, "{lines:?}");
    for line in &lines {
        let parts = ["waited_ms", "opening_ms", "at_server_ms"].map(|part| field(line, part));
        assert_eq!(parts, ["10.0", "5.0", "85.0"], "{line:?}");
        assert!(line.number("way_ms") >= 20.0, "{line:?}");
    }
    let late = r#"chervilwharf_operations_late_total{group="db",part="at_server"} 2"#;
    assert_counted(&engine, late);
}

/// What a read leaves for its holder of an objective of 100 ms, `pause` after the beginning of the
/// session and one statement; `None` if it left all.
async fn left_after_preparation(pause: Duration) -> Option<u64> {
    let (engine, holder) = forwarding_instance(None).await;
    let connected = SessionStart { accepted_at: Some(now()), ..start("app", "key") };
    let mut session = Session::begin(engine, connected).await.expect("begun");
    tokio::time::sleep(GAP).await;
    let set = Statement::Set { name: "zone".into(), value: "a".into() };
    session.run("left-set".into(), set).await.result.expect("no server is needed");
    tokio::time::sleep(pause).await;
    session.run("left-read".into(), read()).await.result.expect("the holder answers");
    let sent = holder.statements.lock().unwrap();
    sent[0].objective_left_ms
}

/// Guards against a single statement that waits as if its client had not waited for the session.
/// A client that opened it ahead has the whole objective.
#[tokio::test]
async fn test_single_statement_waits_less_after_its_preparation() {
    // The connection, the beginning of the session and the statement: three gaps of 7 to 9 ms.
    let mut left = Vec::new();
    for _ in 0..20 {
        left.push(left_after_preparation(GAP).await);
        // On a busy machine, a gap can be longer than that of a preparation, and the statement
        // is sent later.
        if matches!(left.last(), Some(Some(73..=79))) {
            break;
        }
    }
    assert!(matches!(left.last(), Some(Some(73..=79))), "{left:?}");
    let mut left = Vec::new();
    for _ in 0..20 {
        left.push(left_after_preparation(Duration::from_millis(100)).await.unwrap_or(100));
        if left.iter().any(|left| *left > 90) {
            return;
        }
    }
    panic!("{left:?}");
}

/// Guards against the time at a holder that died being lost, or counted as time at a server: its
/// parts are not known.
#[tokio::test]
async fn test_time_at_a_holder_that_died_counts_as_way() {
    let died_after = Duration::from_millis(120);
    let (engine, _holder) = forwarding_instance(Some(died_after)).await;
    let mut session = Session::begin(engine, start("app", "key")).await.unwrap();
    let reply = session.run("died-1".into(), read()).await;
    reply.result.expect("the other holder answers");
    let lines = late_lines("died").await;
    let [line] = &lines[..] else {
        panic!("one line: {lines:?}");
    };
    assert_eq!(field(line, "at_server_ms"), "25.0");
    assert!(line.number("way_ms") >= 50.0, "{line:?}");
}
