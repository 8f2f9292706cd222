//! Statements that an instance forwards while holders of their group are overloaded.

mod stubs;

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use chervilwharf_daemon::engine::clock::now;
use chervilwharf_daemon::engine::peers::ForwardedStatementHandler;
use chervilwharf_daemon::engine::request::Failure;
use chervilwharf_daemon::engine::session::Session;
use chervilwharf_daemon::engine::session::SessionStart;
use chervilwharf_daemon::engine::shared::Engine;
use chervilwharf_lib::account::KeyDigest;
use chervilwharf_lib::catalog::Catalog;
use chervilwharf_lib::catalog::Consistency;
use chervilwharf_lib::catalog::GroupSettings;
use chervilwharf_lib::catalog::Route;
use chervilwharf_lib::engine_protos::GroupLoad;
use chervilwharf_lib::engine_protos::Statement as ForwardedStatement;
use chervilwharf_lib::engine_protos::StatementReply;
use chervilwharf_lib::engine_protos::WaitOutlook;
use chervilwharf_lib::error_kind::ErrorKind;
use chervilwharf_lib::fleet::InstanceRecord;
use chervilwharf_lib::group_load::LOAD_VALIDITY;
use chervilwharf_lib::id::GroupId;
use chervilwharf_lib::id::InstanceId;
use chervilwharf_lib::statement::Statement;
use stubs::NoServer;
use stubs::holder::Holder;
use stubs::instance;
use tokio::net::TcpListener;

const GROUP: &str = "db";

/// The shortest and the longest backlog that holders report.
const BACKLOG_MS: [u64; 2] = [200, 320];

/// What the simulated holders have in common.
#[derive(Default)]
struct Holders {
    /// Holders that are overloaded.
    overloaded: HashSet<InstanceId>,
    /// The holders that statements arrived at, in order.
    arrived: Vec<InstanceId>,
    /// Version of the last report.
    version: u64,
}

/// A holder that answers every statement, or refuses it because it is overloaded.
#[derive(Clone)]
struct HolderSession {
    id: InstanceId,
    backlog_ms: u64,
    holders: Arc<Mutex<Holders>>,
}

#[async_trait]
impl ForwardedStatementHandler for HolderSession {
    async fn run(&mut self, statement: ForwardedStatement) -> StatementReply {
        let mut holders = self.holders.lock().expect("never poisoned");
        holders.arrived.push(self.id.clone());
        holders.version += 1;
        let version = holders.version;
        let load = GroupLoad { life: 1, version, ..GroupLoad::default() };
        if !holders.overloaded.contains(&self.id) {
            let in_transaction = statement.in_transaction;
            return StatementReply {
                in_transaction,
                load: Some(load),
                ..StatementReply::default()
            };
        }
        let outlook = WaitOutlook {
            primary: true,
            priority: 1,
            expected_wait_ms: self.backlog_ms,
            refuses: true,
        };
        let load = GroupLoad { waiting: 5, outlooks: vec![outlook], ..load };
        StatementReply {
            error: ErrorKind::Overloaded.name().to_owned(),
            retry_after_ms: 5,
            load: Some(load),
            ..StatementReply::default()
        }
    }
}

/// An entry without connections, and eight simulated holders.
struct World {
    session: Session,
    ids: Vec<InstanceId>,
    holders: Arc<Mutex<Holders>>,
    statements: usize,
}

impl World {
    async fn new() -> Self {
        let holders: Arc<Mutex<Holders>> = Arc::default();
        let mut records = Vec::new();
        for number in 0..9 {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let peer_address = listener.local_addr().expect("bound");
            let record = InstanceRecord { peer_address, ..instance(&format!("h{number}")) };
            let backlog_ms = BACKLOG_MS[number % 2];
            let (id, holders) = (record.id.clone(), holders.clone());
            let session = HolderSession { id, backlog_ms, holders };
            let holder = Holder::new(move || session.clone()).with_signs_of_life();
            tokio::spawn(holder.serve(listener));
            records.push(record);
        }
        let engine = entry(&records);
        let key = KeyDigest::of("");
        let start = SessionStart { database: "app", key, client: None, accepted_at: None };
        let ids = engine.candidates(&GROUP.into(), &[]);
        let ids = ids.into_iter().map(|candidate| candidate.record.id).collect();
        let session = Session::begin(engine, start).await.expect("the route exists");
        Self { session, ids, holders, statements: 0 }
    }

    /// Makes these holders overloaded, and the others not.
    fn overload(&self, ids: &[InstanceId]) {
        let mut holders = self.holders.lock().expect("never poisoned");
        holders.overloaded = ids.iter().cloned().collect();
    }

    async fn run(&mut self, statement: Statement) -> Result<(), Failure> {
        self.statements += 1;
        let id = format!("r{}", self.statements);
        self.session.run(id.as_str().into(), statement).await.result.map(|_| ())
    }

    async fn write(&mut self) -> Result<(), Failure> {
        self.run(Statement::Write { item_and_data: "1 x".into() }).await
    }

    /// The holders that statements arrived at since the last call.
    fn take_arrived(&self) -> Vec<InstanceId> {
        std::mem::take(&mut self.holders.lock().expect("never poisoned").arrived)
    }
}

/// An instance beside these that does not hold the group.
fn entry(others: &[InstanceRecord]) -> Arc<Engine> {
    let group: GroupId = GROUP.into();
    let route = Arc::new(Route {
        database: "app".into(),
        group: group.clone(),
        consistency: Consistency::Latest,
        timeout: Duration::from_secs(60),
        objective: Duration::from_secs(10),
        priority: 1,
        is_public: true,
    });
    for number in 0..100 {
        let me = instance(&format!("e{number}"));
        let engine = Arc::new(Engine::new(me.clone(), Arc::new(NoServer)));
        engine.apply_instance_list(others.iter().cloned().chain([me]).collect());
        let settings = GroupSettings { max_connections: 60, sync_replicas: 0 };
        engine.set_catalog(&Arc::new(Catalog {
            version: 1,
            routes: HashMap::from([(route.database.clone(), route.clone())]),
            groups: HashMap::from([(group.clone(), settings)]),
            ..Catalog::default()
        }));
        if !engine.is_holder(&group) {
            return engine;
        }
    }
    panic!("no entry without connections");
}

/// Guards against a request that is refused because the holder that its session uses is
/// overloaded, though others have free capacity, and against requests that are then sent to
/// that holder again and again.
#[tokio::test]
async fn test_request_is_tried_at_one_more_holder_after_a_refusal() {
    let mut world = World::new().await;
    world.write().await.expect("served");
    let usual = world.take_arrived();
    world.overload(&usual);
    world.write().await.expect("served by another holder");
    let arrived = world.take_arrived();
    assert_eq!(arrived.len(), 2);
    assert_eq!(arrived[0], usual[0]);
    world.write().await.expect("served");
    let next = world.take_arrived();
    assert!(next.len() == 1 && next[0] != usual[0], "{next:?}");
    // The same holds for the first statement of a transaction, which then stays there.
    world.run(Statement::Begin { read_only: false }).await.expect("begun");
    world.write().await.expect("served");
    world.overload(&world.ids);
    world.write().await.expect_err("its holder is overloaded");
    let arrived = world.take_arrived();
    assert!(arrived.len() == 2 && arrived[0] == arrived[1], "{arrived:?}");
}

/// Guards against requests that are sent to one overloaded holder after another.
#[tokio::test]
async fn test_no_third_holder_is_tried() {
    let mut world = World::new().await;
    world.overload(&world.ids);
    let failure = world.write().await.expect_err("all are overloaded");
    assert_eq!(failure.kind, ErrorKind::Overloaded);
    assert_eq!(world.take_arrived().len(), 2);
}

/// Guards against requests that are sent although all holders would refuse them, against callers
/// that return all at once, and against an entry that does not learn that the overload ended.
#[tokio::test]
async fn test_requests_that_all_holders_would_refuse_are_refused_at_once() {
    // On a busy machine, reports can become invalid before the last request.
    for _ in 0..20 {
        if refuses_at_once().await {
            return;
        }
    }
    panic!("no attempt took less than the validity of a report");
}

/// Returns whether all requests were sent while the first reports were valid.
async fn refuses_at_once() -> bool {
    let mut world = World::new().await;
    world.overload(&world.ids);
    let began_at = now();
    let valid_until = began_at + LOAD_VALIDITY;
    // Two holders are asked for each of the first requests, until all have reported.
    for _ in 0..4 {
        world.write().await.expect_err("all are overloaded");
    }
    let asked = world.take_arrived().len();
    let mut failures = Vec::new();
    for _ in 0..32 {
        let failure = world.write().await.expect_err("all are overloaded");
        failures.push((now().saturating_sub(began_at), failure));
    }
    let sent = world.take_arrived().len();
    if now() > valid_until {
        return false;
    }
    assert_eq!(asked, world.ids.len());
    // Also the refusals of requests that were sent, after all holders have reported. The reports
    // are that old at most, and the backlogs have become shorter by that.
    let [shortest, longest] = BACKLOG_MS.map(Duration::from_millis);
    let spread = |(age, failure): &(Duration, Failure)| {
        let after = failure.retry_after.unwrap_or_default();
        after + *age >= shortest && after <= longest
    };
    assert!(failures.iter().all(spread), "{failures:?}");
    assert_eq!(sent, 4, "one request in eight");
    assert!(failures.iter().all(|(_, failure)| failure.kind == ErrorKind::Overloaded));
    let after = failures.iter().filter_map(|(_, failure)| failure.retry_after);
    let after: HashSet<_> = after.map(|after| after.as_millis()).collect();
    assert!(after.len() > 10, "{after:?}");
    world.overload(&[]);
    while world.write().await.is_err() {}
    world.write().await.expect("the overload ended");
    true
}
