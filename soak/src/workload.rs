//! The client workload: clients that write and read continuously, each in its own
//! sessions.
//!
//! Each client runs one session after the other on a database chosen at random. It
//! records every write with the outcome that was reported, and every read with the value
//! that it has to return at least.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use chervilwharf_standin::platform::client::Answer;
use chervilwharf_standin::platform::client::Client;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::deployment::BOUNDED_ROUTE_STALENESS_MS;
use crate::deployment::Deployment;
use crate::deployment::OWN_ROUTE_STALENESS_MS;
use crate::deployment::added_database_name;
use crate::history::AnsweredStatement;
use crate::history::DatabaseCheck;
use crate::history::DroppedRequest;
use crate::history::Read;
use crate::history::ReportedOutcome;
use crate::history::Write;

/// The item that one client writes and all clients read.
///
/// A read of it returns three rows, so that answers with too many or too few are noticed.
const SHARED_ITEM: &str = "rows3-shared";

/// Pause between two operations of a client, drawn from this range.
const OPERATION_PAUSE_MS: std::ops::RangeInclusive<u64> = 1..=12;

/// Number of operations of one session, drawn from this range.
const OPERATIONS_PER_SESSION: std::ops::RangeInclusive<u32> = 5..=60;

/// Pause between two sessions of a client, also after a failed connection attempt.
const SESSION_PAUSE: Duration = Duration::from_millis(20);

/// Pause between two checks whether an instance serves an added database.
const DATABASE_CHECK_INTERVAL: Duration = Duration::from_millis(60);

/// Values of acknowledged writes, each with the time at which the client received the
/// acknowledgement.
#[derive(Debug, Default)]
struct Acknowledged(Vec<(Instant, String)>);

impl Acknowledged {
    fn add(&mut self, data: String) {
        self.0.push((Instant::now(), data));
    }

    /// The newest value that was acknowledged at least `age` ago.
    fn newest_older_than(&self, age: Duration) -> Option<String> {
        let mut old = self.0.iter().rev().filter(|(at, _)| at.elapsed() >= age);
        old.next().map(|(_, data)| data.clone())
    }
}

/// State that all clients of the workload share.
pub struct WorkloadState {
    /// The deployment under test.
    pub deployment: Arc<Deployment>,
    /// Set when the clients have to stop.
    pub stop: AtomicBool,
    /// Number of successful operations of each client.
    pub completed: Vec<AtomicU64>,
    shared_writes: Mutex<Acknowledged>,
}

impl WorkloadState {
    /// Creates the state for a number of clients, and starts none of them.
    #[must_use]
    pub fn new(deployment: Arc<Deployment>, size: usize) -> Self {
        Self {
            deployment,
            stop: AtomicBool::new(false),
            completed: (0..size).map(|_| AtomicU64::new(0)).collect(),
            shared_writes: Mutex::default(),
        }
    }

    fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::SeqCst)
    }
}

/// One client.
pub struct WorkloadClient {
    workload: Arc<WorkloadState>,
    number: usize,
    random: StdRng,
    write_count: u64,
    /// Acknowledged writes of this client, over all its sessions.
    acknowledged: Acknowledged,
    /// Value of the last acknowledged write in the current session.
    last_in_session: Option<String>,
    /// Index of the instance that the current session is connected to.
    instance: usize,
}

/// Whether the client can continue a session or has to open a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextStep {
    Continue,
    Reconnect,
}

fn next_step(answer: Option<&Answer>) -> NextStep {
    match answer {
        Some(answer) if answer.state == "I" => NextStep::Continue,
        _ => NextStep::Reconnect,
    }
}

fn code(answer: Option<&Answer>) -> Option<&str> {
    answer.map(Answer::code)
}

impl WorkloadClient {
    /// Creates a client whose random choices are determined by a seed.
    #[must_use]
    pub fn new(workload: Arc<WorkloadState>, number: usize, seed: u64) -> Self {
        let random = StdRng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(number as u64));
        let acknowledged = Acknowledged::default();
        Self {
            workload,
            number,
            random,
            write_count: 0,
            acknowledged,
            last_in_session: None,
            instance: 0,
        }
    }

    /// Runs sessions until the workload is stopped.
    pub async fn run(mut self) {
        while !self.workload.is_stopped() {
            let database = match self.random.random_range(0..5) {
                _ if self.number == 0 => "latest",
                0 => "latest",
                1 => "bounded",
                _ => "own",
            };
            self.run_session(database).await;
            tokio::time::sleep(SESSION_PAUSE).await;
        }
    }

    async fn run_session(&mut self, database: &str) {
        self.last_in_session = None;
        let instances = &self.workload.deployment.instances;
        self.instance = self.random.random_range(0..instances.len());
        let address = instances[self.instance].client_address;
        let name = format!("c{}", self.number);
        let Some(mut client) = Client::try_connect(address, &name).await else {
            return;
        };
        let started = client.start_session(database).await;
        if code(started.as_ref()) != Some("DONE") {
            return;
        }
        let zone = format!("SET zone z{}", self.number);
        if code(client.try_query(&zone).await.as_ref()) != Some("DONE") {
            return;
        }
        for _ in 0..self.random.random_range(OPERATIONS_PER_SESSION) {
            if self.workload.is_stopped() {
                return;
            }
            let next_step = match database {
                "own" => self.run_own_operation(&mut client).await,
                "latest" if self.number == 0 => self.write_shared_item(&mut client).await,
                "latest" => self.read_shared_item(&mut client, Duration::ZERO, "latest").await,
                _ => {
                    let age = Duration::from_millis(BOUNDED_ROUTE_STALENESS_MS);
                    self.read_shared_item(&mut client, age, "bounded").await
                }
            };
            if next_step == NextStep::Reconnect {
                return;
            }
            let pause = self.random.random_range(OPERATION_PAUSE_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    async fn run_own_operation(&mut self, client: &mut Client) -> NextStep {
        match self.random.random_range(0..10) {
            0..=3 => self.write_own_item(client).await,
            4..=6 => self.run_transaction(client).await,
            _ => self.read_own_item(client).await,
        }
    }

    /// Runs a statement, and records a success, or that the connection ended without an answer.
    async fn query(&self, client: &mut Client, text: &str) -> Option<Answer> {
        let sent_at = Instant::now();
        let answer = client.try_query(text).await;
        if answer.is_none() {
            let dropped =
                DroppedRequest { instance: self.instance, sent_at, ended_at: Instant::now() };
            self.workload
                .deployment
                .history
                .dropped_requests
                .lock()
                .expect("never poisoned")
                .push(dropped);
        }
        // The proxy answers BEGIN and ROLLBACK itself.
        let runs_at_server = !matches!(text, "BEGIN" | "ROLLBACK");
        let success = answer.clone().filter(|answer| runs_at_server && answer.error.is_none());
        if let Some(answer) = success {
            let answered =
                AnsweredStatement { id: client.last_id(), text: text.to_owned(), answer };
            let history = &self.workload.deployment.history;
            history.answers.lock().expect("never poisoned").push(answered);
        }
        answer
    }

    fn next_data(&mut self) -> String {
        self.write_count += 1;
        format!("c{}-{}", self.number, self.write_count)
    }

    fn own_item(&self) -> String {
        format!("own-{}", self.number)
    }

    fn count_completed(&self) {
        self.workload.completed[self.number].fetch_add(1, Ordering::SeqCst);
    }

    /// Records the outcome of a write of `data` to `items`.
    fn record_outcome(
        &mut self,
        items: &[String],
        ids: Vec<String>,
        data: &str,
        reported: ReportedOutcome,
    ) {
        let write = Write { data: data.to_owned(), items: items.to_vec(), ids, reported };
        self.workload.deployment.history.add_write(write);
        if reported == ReportedOutcome::Kept {
            self.count_completed();
        }
    }

    async fn write_own_item(&mut self, client: &mut Client) -> NextStep {
        let (item, data) = (self.own_item(), self.next_data());
        let answer = self.query(client, &format!("WRITE {item} {data}")).await;
        let reported = ReportedOutcome::from_code(code(answer.as_ref()));
        self.record_outcome(&[item], vec![client.last_id()], &data, reported);
        self.add_acknowledged(reported, data);
        next_step(answer.as_ref())
    }

    fn add_acknowledged(&mut self, reported: ReportedOutcome, data: String) {
        if reported == ReportedOutcome::Kept {
            self.last_in_session = Some(data.clone());
            self.acknowledged.add(data);
        }
    }

    async fn run_transaction(&mut self, client: &mut Client) -> NextStep {
        let data = self.next_data();
        let items = [self.own_item(), format!("pair-{}", self.number)];
        let begun = self.query(client, "BEGIN").await;
        if begun.as_ref().is_none_or(|answer| answer.state != "T") {
            return next_step(begun.as_ref());
        }
        let mut ids = Vec::new();
        for item in &items {
            let answer = self.query(client, &format!("WRITE {item} {data}")).await;
            ids.push(client.last_id());
            if code(answer.as_ref()) != Some("DONE") {
                // COMMIT was not sent, so no write of the transaction may be stored.
                self.record_outcome(&items, ids, &data, ReportedOutcome::NotKept);
                return NextStep::Reconnect;
            }
        }
        let commits = self.random.random_range(0..5) > 0;
        let answer = self.query(client, if commits { "COMMIT" } else { "ROLLBACK" }).await;
        let reported = if commits {
            ReportedOutcome::from_code(code(answer.as_ref()))
        } else {
            ReportedOutcome::NotKept
        };
        self.record_outcome(&items, ids, &data, reported);
        self.add_acknowledged(reported, data);
        next_step(answer.as_ref())
    }

    async fn read_own_item(&mut self, client: &mut Client) -> NextStep {
        let item = self.own_item();
        let last_in_session = self.last_in_session.clone();
        let required_value = last_in_session.or_else(|| {
            self.acknowledged.newest_older_than(Duration::from_millis(OWN_ROUTE_STALENESS_MS))
        });
        let answer = self.query(client, &format!("READ {item}")).await;
        self.record_read(item, answer.as_ref(), required_value, "own writes");
        next_step(answer.as_ref())
    }

    async fn write_shared_item(&mut self, client: &mut Client) -> NextStep {
        let (item, data) = (SHARED_ITEM.to_owned(), self.next_data());
        let answer = self.query(client, &format!("WRITE {item} {data}")).await;
        let reported = ReportedOutcome::from_code(code(answer.as_ref()));
        self.record_outcome(&[item], vec![client.last_id()], &data, reported);
        if reported == ReportedOutcome::Kept {
            self.workload.shared_writes.lock().expect("never poisoned").add(data);
        }
        next_step(answer.as_ref())
    }

    async fn read_shared_item(
        &mut self,
        client: &mut Client,
        age: Duration,
        guarantee: &'static str,
    ) -> NextStep {
        let required_value =
            self.workload.shared_writes.lock().expect("never poisoned").newest_older_than(age);
        let answer = self.query(client, &format!("READ {SHARED_ITEM}")).await;
        self.record_read(SHARED_ITEM.to_owned(), answer.as_ref(), required_value, guarantee);
        next_step(answer.as_ref())
    }

    fn record_read(
        &self,
        item: String,
        answer: Option<&Answer>,
        required_value: Option<String>,
        guarantee: &'static str,
    ) {
        let Some(answer) = answer.filter(|answer| answer.code() == "DONE") else {
            return;
        };
        let value = answer.rows.first().cloned().unwrap_or_default();
        self.workload.deployment.history.add_read(Read { item, value, required_value, guarantee });
        self.count_completed();
    }
}

/// Repeatedly checks whether a random instance serves a random database that was added
/// during the run, until the workload is stopped.
pub async fn check_added_databases(workload: Arc<WorkloadState>, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let deployment = &workload.deployment;
    while !workload.is_stopped() {
        tokio::time::sleep(DATABASE_CHECK_INTERVAL).await;
        let newest = deployment.added_count();
        if newest == 0 {
            continue;
        }
        let added = random.random_range(1..=newest);
        let number = random.random_range(0..deployment.instances.len());
        let instance = &deployment.instances[number];
        let incarnation = instance.incarnation();
        let Some(mut client) = Client::try_connect(instance.client_address, "look").await else {
            continue;
        };
        let answer = client.start_session(&added_database_name(added)).await;
        let is_served = match code(answer.as_ref()) {
            Some("DONE") => true,
            Some("NODB") => false,
            _ => continue,
        };
        if instance.incarnation() == incarnation {
            let check = DatabaseCheck { instance: number, incarnation, database: added, is_served };
            deployment.history.database_checks.lock().expect("never poisoned").push(check);
        }
    }
}
