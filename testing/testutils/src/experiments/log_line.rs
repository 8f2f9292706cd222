//! Log line experiment: measures the time that writing a log line takes, and the time of
//! a request with and without logging.

use std::collections::HashMap;
use std::hint::black_box;
use std::io::sink;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use chervilwharf_daemon::engine::event_log;
use chervilwharf_daemon::engine::server_connection::ConnectError;
use chervilwharf_daemon::engine::server_connection::Connector;
use chervilwharf_daemon::engine::server_connection::ServerConnection;
use chervilwharf_daemon::engine::session::Session;
use chervilwharf_daemon::engine::session::SessionStart;
use chervilwharf_daemon::engine::shared::Engine;
use chervilwharf_lib::account::KeyDigest;
use chervilwharf_lib::catalog::Catalog;
use chervilwharf_lib::catalog::Consistency;
use chervilwharf_lib::catalog::Route;
use chervilwharf_lib::event::Event;
use chervilwharf_lib::event::EventKind;
use chervilwharf_lib::fleet::InstanceRecord;
use chervilwharf_lib::group::ServerInfo;
use chervilwharf_lib::id::AccountId;
use chervilwharf_lib::id::GroupId;
use chervilwharf_lib::statement::Statement;
use tokio::net::TcpStream;

/// Number of repetitions of one measurement.
const REPETITIONS: u32 = 200_000;

/// The event of a refused request with all fields, which gives the longest of the common
/// log lines.
fn refused_request() -> Event {
    Event::new(EventKind::RequestRefused)
        .with("id", "81391e752d014b19")
        .with("database", "ledger-a")
        .with("group", "lease-ledger-1")
        .with_count("tries", 1)
        .with("server", "i-b0232c8b4e")
        .with("floor", "1/562")
        .with_ms("waited_ms", Duration::from_micros(300_200))
        .with_ms("at_server_ms", Duration::ZERO)
        .with("reason", "overloaded")
}

/// Average time of one call over [`REPETITIONS`] calls.
fn time_of(mut call: impl FnMut()) -> Duration {
    let began_at = Instant::now();
    for _ in 0..REPETITIONS {
        call();
    }
    began_at.elapsed() / REPETITIONS
}

/// Number of requests that are measured while each still writes a log line. It is below
/// the number of lines that may be logged in a second.
const LOGGED_REQUESTS: u32 = 150;

struct NoServer;

#[async_trait]
impl Connector for NoServer {
    async fn start(
        &self,
        _: TcpStream,
        _: &GroupId,
        _: Option<&AccountId>,
        _: &ServerInfo,
    ) -> Result<Box<dyn ServerConnection>, ConnectError> {
        Err(ConnectError::Unreachable("there is no server".to_owned()))
    }
}

/// A session of an engine without servers, which answers only statements that need no
/// server.
async fn session() -> Session {
    let own_record = InstanceRecord {
        id: "instance".into(),
        life: 1,
        peer_address: SocketAddr::from(([127, 0, 0, 1], 1)),
        failure_domain: "a".into(),
        capacity_millicores: 250,
    };
    let engine = Arc::new(Engine::new(own_record, Arc::new(NoServer)));
    let route = Route {
        database: "ledger-a".into(),
        group: "lease-ledger-1".into(),
        consistency: Consistency::Latest,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(200),
        priority: 1,
        is_public: false,
    };
    let routes = HashMap::from([(route.database.clone(), Arc::new(route))]);
    engine.set_catalog(&Arc::new(Catalog { version: 1, routes, ..Catalog::default() }));
    engine.set_fleet_known();
    let start = SessionStart {
        database: "ledger-a",
        key: KeyDigest::of("key"),
        client: None,
        accepted_at: None,
    };
    let begun = Session::begin(engine, start).await;
    begun.unwrap_or_else(|failure| panic!("the session cannot be started: {failure:?}"))
}

/// Average time of a successful request, and of a refused one.
async fn request_times(session: &mut Session, count: u32) -> (Duration, Duration) {
    let began_at = Instant::now();
    for _ in 0..count {
        let set = Statement::Set { name: "zone".into(), value: "a".into() };
        black_box(session.run("81391e752d014b19".into(), set).await);
    }
    let succeeded = began_at.elapsed() / count;
    let began_at = Instant::now();
    for _ in 0..count {
        let unknown = Statement::Execute { name: "s1".into(), arguments: "1a4".into() };
        black_box(session.run("81391e752d014b19".into(), unknown).await);
    }
    (succeeded, began_at.elapsed() / count)
}

fn print_request(what: &str, (succeeded, refused): (Duration, Duration)) {
    println!("| a request that goes well, {what} | {} |", succeeded.as_nanos());
    println!("| a request that is refused, {what} | {} |", refused.as_nanos());
}

/// Runs the measurements and prints a table.
///
/// # Panics
///
/// When logging was already started in this process.
pub async fn run() {
    println!("| step | ns |\n| --- | --- |");
    let mut session = session().await;
    print_request("without logs", request_times(&mut session, REPETITIONS).await);
    event_log::start_with("instance".into(), Box::new(sink()))
        .expect("logging is started only once");
    print_request("each with its line", request_times(&mut session, LOGGED_REQUESTS).await);
    print_request("lines over their budget", request_times(&mut session, REPETITIONS).await);
    let built = time_of(|| {
        black_box(refused_request());
    });
    let event = refused_request();
    let written = time_of(|| {
        black_box(event.line(1_771_966_443_123, "instance"));
    });
    // The 200,000 events are emitted in less than a second, so almost all exceed the
    // limit of lines per second and are dropped.
    let left_out = time_of(|| event_log::emit(&event));
    println!("| the event with nine fields | {} |", built.as_nanos());
    println!("| its line as text | {} |", written.as_nanos());
    println!("| an event over its budget, left out | {} |", left_out.as_nanos());
}
