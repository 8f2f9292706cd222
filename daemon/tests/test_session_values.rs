//! Statements run with the values and the account of their own session, whatever happens to
//! the pooled connections that sessions share.

mod stubs;
mod values_world;

use std::collections::BTreeMap;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use chervilwharf_daemon::engine::forwarded_session::ForwardedSession;
use chervilwharf_daemon::engine::peers::ForwardedStatementHandler;
use chervilwharf_daemon::engine::records;
use chervilwharf_daemon::engine::session::Reply;
use chervilwharf_daemon::engine::session::Session;
use chervilwharf_daemon::engine::shard::ConnectionCounts;
use chervilwharf_lib::account::KeyDigest;
use chervilwharf_lib::connection_setup::SessionValues;
use chervilwharf_lib::engine_protos;
use chervilwharf_lib::engine_protos::Execution;
use chervilwharf_lib::engine_protos::SessionValue;
use chervilwharf_lib::engine_protos::statement::Begin;
use chervilwharf_lib::engine_protos::statement::Work;
use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::id::AccountId;
use chervilwharf_lib::statement::Statement;
use chervilwharf_lib::statement::TransactionState;
use futures::poll;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use values_world::Exchange;
use values_world::ValuesWorld;
use values_world::route;
use values_world::start;

/// Begins a session and sets its value `zone`.
async fn session(world: &ValuesWorld, key: &str, value: &str) -> (Session, SessionValues) {
    let mut session =
        Session::begin(world.engine.clone(), start("app", key)).await.expect("the route exists");
    let set = Statement::Set { name: "zone".into(), value: value.into() };
    session.run("set".into(), set).await.result.expect("the value is set");
    (session, BTreeMap::from([("zone".into(), value.into())]))
}

fn read() -> Statement {
    Statement::Read { item: "1".into() }
}

fn write() -> Statement {
    Statement::Write { item_and_data: "1 x".into() }
}

/// Guards against a statement that runs with the values of another session. A request gets a
/// connection that was set up for another session. Before the request uses it, the primary
/// lease ends, so the connection is given back unused, and the same session gets it again. The
/// connection must not count as set up for that session, since the setup statements were not
/// sent.
async fn test_connection_given_back_unused(statement: Statement) {
    let mut world = ValuesWorld::new(1, true).await;
    let (mut first, first_values) = session(&world, "key", "first").await;
    let (mut second, second_values) = session(&world, "key", "second").await;
    world.shared.expect("a", None, &first_values);
    world.shared.expect("b", None, &second_values);
    {
        let mut running = Box::pin(first.run("a".into(), read()));
        let mut waiting = Box::pin(second.run("b".into(), statement));
        while !is_running_at_server(&world) {
            assert!(poll!(&mut running).is_pending());
            tokio::task::yield_now().await;
        }
        // The first statement is at the server; the second waits for the connection.
        assert!(poll!(&mut running).is_pending());
        assert!(poll!(&mut waiting).is_pending());
        assert_eq!(world.engine.shard(&values_world::GROUP.into()).waiting(), 1);
        world.shared.release_one_exchange();
        running.await.result.expect("the server answers");
        // The second statement has been granted the connection, but has not been polled yet.
        world.end_term();
        assert!(poll!(&mut waiting).is_pending());
        world.start_next_term();
        for _ in 0..8 {
            world.shared.release_one_exchange();
        }
        waiting.await.result.expect("the server is the primary again");
    }
    let violations = world.shared.with_checker(|checker| checker.violations.clone());
    assert!(violations.is_empty(), "{violations:?}");
}

/// Whether a statement counts as running at the server.
fn is_running_at_server(world: &ValuesWorld) -> bool {
    let shard = world.engine.shard(&values_world::GROUP.into());
    shard.with_group(|group| group.server(values_world::SERVER).is_some_and(|s| s.running > 0))
}

#[tokio::test]
async fn test_read_on_a_connection_given_back_unused_has_its_own_values() {
    test_connection_given_back_unused(read()).await;
}

#[tokio::test]
async fn test_write_on_a_connection_given_back_unused_has_its_own_values() {
    test_connection_given_back_unused(write()).await;
}

/// Accounts, each with a key that equals its name.
const ACCOUNTS: [&str; 3] = ["a", "b", "c"];

type Running = Pin<Box<dyn Future<Output = Client>>>;

/// A client that is connected to this instance, or to another one that forwards its
/// statements.
enum Client {
    Local(Session, Option<AccountId>, SessionValues),
    Forwarded(ForwardedSession, Option<AccountId>, SessionValues),
}

impl Client {
    async fn new(world: &ValuesWorld, rng: &mut StdRng) -> Self {
        let values: SessionValues =
            BTreeMap::from([("zone".into(), rng.random_range(0..3).to_string().into())]);
        let has_accounts = world.engine.catalog().accounts.is_some();
        let account = ACCOUNTS[rng.random_range(0..ACCOUNTS.len())];
        let key = account;
        let account = has_accounts.then(|| account.into());
        if rng.random_bool(0.5) {
            return Self::Forwarded(ForwardedSession::new(world.engine.clone()), account, values);
        }
        let (session, values) = session(world, key, &values["zone"]).await;
        Self::Local(session, account, values)
    }

    /// Runs a statement, or a transaction of two, as `kind` says.
    async fn operate(self, shared: Arc<values_world::Shared>, key: u64, kind: u32) -> Self {
        match self {
            Self::Local(mut session, account, mut values) => {
                if kind == 4 {
                    values.insert("unit".into(), key.to_string().into());
                    let set = Statement::Set { name: "unit".into(), value: values["unit"].clone() };
                    session.run("set".into(), set).await.result.expect("the value is set");
                }
                let id = format!("{key}");
                shared.expect(&id, account.as_ref(), &values);
                operate_locally(&mut session, &id, kind).await;
                Self::Local(session, account, values)
            }
            Self::Forwarded(mut forwarded_session, account, values) => {
                let id = format!("{key}");
                shared.expect(&id, account.as_ref(), &values);
                operate_forwarded(&mut forwarded_session, &id, kind, account.as_ref(), &values)
                    .await;
                Self::Forwarded(forwarded_session, account, values)
            }
        }
    }
}

async fn operate_locally(session: &mut Session, id: &str, kind: u32) {
    let transaction = kind == 3;
    // The results are ignored. The server checks the values of each statement.
    if transaction {
        let _begun = session.run("begin".into(), Statement::Begin { read_only: false }).await;
    }
    let statement = if kind == 1 { write() } else { read() };
    let _ran = session.run(id.into(), statement).await;
    if transaction {
        let _committed = session.run(id.into(), Statement::Commit).await;
    }
}

async fn operate_forwarded(
    forwarded_session: &mut ForwardedSession,
    id: &str,
    kind: u32,
    account: Option<&AccountId>,
    values: &SessionValues,
) {
    let execution = Execution { writes: false, shape: "q1".to_owned(), arguments: "1".to_owned() };
    let work = match kind {
        1 => Work::Write("1 x".to_owned()),
        2 => Work::Execute(execution),
        _ => Work::Read("1".to_owned()),
    };
    let values = values
        .iter()
        .map(|(name, value)| SessionValue { name: name.to_string(), value: value.to_string() });
    let begin = if kind == 3 { Begin::ReadWrite } else { Begin::No };
    let statement = engine_protos::Statement {
        id: id.to_owned(),
        route: Some(records::encode_route(&route())),
        time_left_ms: 200,
        values: values.collect(),
        begin: begin.into(),
        work: Some(work),
        account: account.map(ToString::to_string).unwrap_or_default(),
        key_digest: KeyDigest::of(account.map_or("", |account| account)).as_bytes().to_vec(),
        configuration_version: 2,
        ..engine_protos::Statement::default()
    };
    let reply = forwarded_session.run(statement.clone()).await;
    if reply.in_transaction && kind == 3 {
        let commit = engine_protos::Statement {
            begin: Begin::No.into(),
            in_transaction: true,
            work: Some(Work::Commit(true)),
            ..statement
        };
        let _committed = forwarded_session.run(commit).await;
    }
}

/// Runs concurrent clients in an order drawn from `seed`, with exchanges that are lost or
/// refused, clients that disconnect at any moment, and a primary lease that ends at any
/// moment. Returns the number of statements that ran, and the violations.
async fn explore(seed: u64, has_accounts: bool) -> (usize, Vec<String>) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world = ValuesWorld::new(2, true).await;
    if has_accounts {
        world.set_accounts(&ACCOUNTS);
    }
    let mut clients = Vec::new();
    for _ in 0..5 {
        clients.push(Client::new(&world, &mut rng).await);
    }
    let mut running: Vec<Running> = Vec::new();
    for key in 0..400 {
        match rng.random_range(0..12) {
            0..=2 if !clients.is_empty() => {
                let client = clients.swap_remove(rng.random_range(0..clients.len()));
                let kind = rng.random_range(0..5);
                running.push(Box::pin(client.operate(world.shared.clone(), key, kind)));
            }
            0..=7 if !running.is_empty() => {
                let index = rng.random_range(0..running.len());
                if let std::task::Poll::Ready(client) = poll!(&mut running[index]) {
                    drop(running.swap_remove(index));
                    clients.push(client);
                }
            }
            8 if !running.is_empty() && rng.random_bool(0.2) => {
                drop(running.swap_remove(rng.random_range(0..running.len())));
                clients.push(Client::new(&world, &mut rng).await);
            }
            9 => world.shared.release_one_exchange(),
            10 => world.shared.next_exchange(match rng.random_range(0..8) {
                0 => Exchange::LostBefore,
                1 => Exchange::LostAfter,
                2 | 3 => Exchange::Busy,
                _ => Exchange::Answered,
            }),
            11 if rng.random_bool(0.4) => {
                world.end_term();
                if let Some(first) = running.first_mut() {
                    // A client that holds an unused connection detects the end of the lease now.
                    if let std::task::Poll::Ready(client) = poll!(first) {
                        drop(running.swap_remove(0));
                        clients.push(client);
                    }
                }
                world.start_next_term();
            }
            _ => tokio::task::yield_now().await,
        }
        if key % 40 == 39 {
            // Lets the engine's pauses between attempts elapse.
            tokio::time::sleep(Duration::from_millis(16)).await;
        }
    }
    world.shared.with_checker(|checker| (checker.ran, std::mem::take(&mut checker.violations)))
}

#[tokio::test]
async fn test_statements_run_with_their_own_values_in_any_order() {
    test_any_order(false).await;
}

/// Three accounts share two connections, so that connections of one account are repeatedly
/// closed for another.
#[tokio::test]
async fn test_statements_run_in_the_name_of_their_own_account_in_any_order() {
    test_any_order(true).await;
}

async fn test_any_order(has_accounts: bool) {
    let mut ran = 0;
    // With accounts, connections are reopened, so fewer statements run for each seed.
    let seeds = if has_accounts { 90 } else { 60 };
    for seed in 0..seeds {
        let (ran_now, violations) = explore(seed, has_accounts).await;
        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
        ran += ran_now;
    }
    // If hardly any statement ran, the test would prove nothing.
    assert!(ran > 1_000, "only {ran} statements ran");
}

/// Guards against statements that run for a client whose key was removed. A session is open
/// while a configuration without its key comes into force. A check of the key only at the
/// start of the session would let it continue.
#[tokio::test]
async fn test_key_taken_away_ends_the_service_of_open_sessions() {
    let world = ValuesWorld::new(2, false).await;
    world.set_accounts(&ACCOUNTS);
    let (mut single, _) = session(&world, "a", "1").await;
    let (mut open, values) = session(&world, "a", "1").await;
    let (mut other, other_values) = session(&world, "b", "1").await;
    world.shared.expect("t", Some(&"a".into()), &values);
    world.shared.expect("o", Some(&"b".into()), &other_values);
    open.run("begin".into(), Statement::Begin { read_only: false }).await.result.expect("begun");
    open.run("t".into(), read()).await.result.expect("the read runs");
    world.set_accounts(&["b"]);
    let kind = |reply: Reply| reply.result.err().map(|failure| failure.kind);
    assert_eq!(kind(single.run("s".into(), read()).await), Some(ErrorKind::UnknownKey));
    assert_eq!(kind(open.run("u".into(), read()).await), Some(ErrorKind::UnknownKey));
    assert_eq!(open.state(), TransactionState::Failed);
    other.run("o".into(), read()).await.result.expect("the key is still valid");
    let begun = Session::begin(world.engine.clone(), start("app", "a")).await;
    assert_eq!(begun.err().map(|failure| failure.kind), Some(ErrorKind::UnknownKey));
    let (ran, violations) =
        world.shared.with_checker(|checker| (checker.ran, std::mem::take(&mut checker.violations)));
    assert_eq!((ran, violations), (2, Vec::new()));
}

/// Guards against the same failure for a forwarded statement. The instance that forwards it
/// has not received the new configuration yet, but the holder has. The holder must check the
/// key itself instead of relying on the account that the other instance sent.
#[tokio::test]
async fn test_holder_with_a_newer_configuration_decides_on_keys() {
    let world = ValuesWorld::new(2, false).await;
    world.set_accounts(&ACCOUNTS);
    world.set_accounts(&["b"]);
    let statement = |name: &str, configuration_version| engine_protos::Statement {
        id: name.to_owned(),
        route: Some(records::encode_route(&route())),
        time_left_ms: 500,
        work: Some(Work::Read("1".to_owned())),
        account: name.to_owned(),
        key_digest: KeyDigest::of(name).as_bytes().to_vec(),
        configuration_version,
        ..engine_protos::Statement::default()
    };
    for name in ["a", "b", "c"] {
        world.shared.expect(name, Some(&name.into()), &SessionValues::new());
    }
    let mut forwarded_session = ForwardedSession::new(world.engine.clone());
    let reply = forwarded_session.run(statement("a", 2)).await;
    assert_eq!(reply.error, ErrorKind::UnknownKey.name());
    assert_eq!(forwarded_session.run(statement("b", 2)).await.error, "");
    // A sender with a newer configuration may have accounts that the holder does not have.
    assert_eq!(forwarded_session.run(statement("c", 9)).await.error, "");
    let violations = world.shared.with_checker(|checker| checker.violations.clone());
    assert!(violations.is_empty(), "{violations:?}");
}

/// Number of connections that are open before they stop responding.
const OPEN: usize = 3;

/// Guards against connections that stop responding together, each of which would lose a
/// statement in turn.
#[tokio::test]
async fn test_idle_connections_are_closed_when_one_stops_responding() {
    let world = ValuesWorld::new(OPEN, true).await;
    let mut sessions = Vec::new();
    for number in 0..OPEN {
        sessions.push(session(&world, "key", &format!("{number}")).await);
    }
    let reads = sessions.iter_mut().map(|(session, values)| {
        let id = format!("read-{}", values["zone"]);
        world.shared.expect(&id, None, values);
        session.run(id.as_str().into(), read())
    });
    let reads = futures::future::join_all(reads);
    let lent = async {
        let all_lent = || {
            let shard = world.engine.shard(&values_world::GROUP.into());
            shard.with_group(|group| {
                group.server(values_world::SERVER).is_some_and(|s| s.running == OPEN)
            })
        };
        while !all_lent() {
            tokio::task::yield_now().await;
        }
        (0..OPEN).for_each(|_| world.shared.release_one_exchange());
    };
    futures::join!(reads, lent);
    assert_eq!(idle(&world), OPEN);
    world.shared.next_exchange(Exchange::Silent);
    (0..2).for_each(|_| world.shared.release_one_exchange());
    let (session, values) = &mut sessions[0];
    world.shared.expect("again", None, values);
    session.run("again".into(), read()).await.result.expect("a new connection works");
    assert_eq!(idle(&world), 1, "only the new one");
}

/// The number of idle connections to the server.
fn idle(world: &ValuesWorld) -> usize {
    let counts = world.engine.shard(&values_world::GROUP.into()).connection_counts();
    let states = counts.iter().flat_map(ConnectionCounts::by_state);
    states.filter(|(state, _)| *state == "idle").map(|(_, count)| count).sum()
}
