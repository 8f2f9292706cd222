//! Requests of clients of a holder that is overloaded itself.

mod stubs;
mod values_world;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use chervilwharf_daemon::engine::clock::now;
use chervilwharf_daemon::engine::forwarded_session::ForwardedSession;
use chervilwharf_daemon::engine::peers::ForwardedStatementHandler;
use chervilwharf_daemon::engine::records;
use chervilwharf_daemon::engine::request::Failure;
use chervilwharf_daemon::engine::session::Session;
use chervilwharf_daemon::engine::shared::Engine;
use chervilwharf_lib::engine_protos;
use chervilwharf_lib::engine_protos::GroupLoad;
use chervilwharf_lib::engine_protos::StatementReply;
use chervilwharf_lib::engine_protos::statement::Work;
use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::fleet::Fleet;
use chervilwharf_lib::fleet::InstanceRecord;
use chervilwharf_lib::statement::Statement;
use stubs::holder::Holder;
use stubs::instance;
use tokio::net::TcpListener;
use values_world::GROUP;
use values_world::ValuesWorld;
use values_world::route;
use values_world::start;

/// A holder with free capacity. It counts the statements that arrive.
#[derive(Clone, Default)]
struct FreeHolder(Arc<AtomicUsize>);

#[async_trait]
impl ForwardedStatementHandler for FreeHolder {
    async fn run(&mut self, _: engine_protos::Statement) -> StatementReply {
        let version = self.0.fetch_add(1, Ordering::Relaxed) as u64;
        let load = Some(GroupLoad { life: 1, version, ..GroupLoad::default() });
        StatementReply { load, ..StatementReply::default() }
    }
}

/// Lists instances at this address, so that the engine's instance holds the group beside one
/// other.
fn list_instances(engine: &Engine, peer_address: SocketAddr) {
    for attempt in 0..100 {
        let other = |number: usize| {
            let id = format!("other-{attempt}-{number}");
            InstanceRecord { peer_address, ..instance(&id) }
        };
        let records = (0..12).map(other).chain([instance("one")]).collect();
        engine.record_instance_listing(records, Fleet::replace);
        engine.holder_lists().mark_stale();
        if engine.is_holder(&GROUP.into()) {
            assert_eq!(engine.co_holders(&GROUP.into()).len(), 1);
            return;
        }
    }
    panic!("the instance never holds the group");
}

async fn write(session: &mut Session, id: &str) -> Result<(), Failure> {
    let statement = Statement::Write { item_and_data: "1 x".into() };
    session.run(id.into(), statement).await.result.map(|_| ())
}

/// Guards against clients of an overloaded holder that wait or are refused while another holder
/// has free capacity, and against requests that the other one sends on or back. The only
/// connection is lent to an idle transaction.
#[tokio::test]
async fn test_overloaded_holder_passes_on_requests_of_its_own_clients() {
    let world = ValuesWorld::new(1, false).await;
    let engine = &world.engine;
    let arrived = Arc::new(AtomicUsize::new(0));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let session = FreeHolder(arrived.clone());
    let holder = Holder::new(move || session.clone()).with_signs_of_life();
    tokio::spawn(holder.serve(listener));
    list_instances(engine, address);
    let mut sessions = Vec::new();
    for _ in 0..4 {
        sessions.push(Session::begin(engine.clone(), start("app", "")).await.expect("begun"));
    }
    let [idle, first, waiting, next] = &mut sessions[..] else {
        unreachable!("four sessions");
    };
    idle.run("b".into(), Statement::Begin { read_only: false }).await.result.expect("begun");
    write(idle, "t").await.expect("served here");
    assert_eq!(arrived.load(Ordering::Relaxed), 0, "nothing waits here");

    // The first one waits here in vain, and the other holder serves it then.
    write(first, "first").await.expect("served by the other holder");
    assert_eq!(arrived.load(Ordering::Relaxed), 1);

    // While one waits here, the next one is passed on at once.
    let shard = engine.shard(&GROUP.into());
    let passed_on = async {
        while shard.waiting() == 0 {
            tokio::task::yield_now().await;
        }
        let began_at = now();
        write(next, "next").await.expect("served by the other holder");
        let took = now().saturating_sub(began_at);
        assert_eq!(arrived.load(Ordering::Relaxed), 2);
        assert!(took < Duration::from_millis(250), "it waited here: {took:?}");

        // A statement that another instance forwards is refused, and not sent on.
        let statement = engine_protos::Statement {
            id: "forwarded".to_owned(),
            route: Some(records::encode_route(&route())),
            time_left_ms: 60,
            work: Some(Work::Write("1 x".to_owned())),
            ..engine_protos::Statement::default()
        };
        let reply = ForwardedSession::new(engine.clone()).run(statement).await;
        assert_eq!(reply.error, ErrorKind::Overloaded.name());
        assert!(reply.load.expect("a report").waiting > 0);
        assert_eq!(arrived.load(Ordering::Relaxed), 2);
    };
    let (waited, ()) = tokio::join!(write(waiting, "waiting"), passed_on);
    waited.expect("served by the other holder");
    assert_eq!(arrived.load(Ordering::Relaxed), 3);
}
