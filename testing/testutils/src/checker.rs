//! A client workload that writes and reads continuously, and a check that compares the
//! outcomes reported to the clients with the contents of the database.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use tokio::task::JoinHandle;
use tokio_postgres::Client;
use tokio_postgres::NoTls;
use tokio_postgres::SimpleQueryMessage;

use crate::clients::ErrorOutcome;
use crate::clients::error_outcome;
use crate::cluster::Cluster;
use crate::cluster::password;
use crate::cluster::wait_for;

/// Creates the table that the writers fill. It has no key, so that a write that ran twice
/// leaves two rows.
const CREATE_TABLE: &str = "CREATE TABLE marks (writer TEXT, id TEXT)";

/// Accounts of the writers.
pub const WRITERS: [&str; 4] = ["writer1", "writer2", "writer3", "writer4"];

/// Deadline in milliseconds that a writer sets for each statement.
const DEADLINE_MS: u64 = 4000;

/// Time after which a client abandons a connection that has not answered.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(8);

/// The outcome of a write as it was reported to its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedOutcome {
    /// The write was acknowledged.
    Acknowledged,
    /// The write was reported as not run.
    NotRun,
    /// The outcome was reported as unknown, or there was no answer.
    Unknown,
}

/// One write and its reported outcome.
#[derive(Clone, Debug)]
pub struct WriteRecord {
    /// Request id, which is also the value that is written.
    pub id: String,
    /// The reported outcome.
    pub reported: ReportedOutcome,
    /// The error message; empty if the write succeeded.
    pub error: String,
    /// When the client received the outcome.
    pub at: Instant,
    /// Time from the start of the write to its outcome.
    pub took: Duration,
}

/// All writes with their outcomes, by writer.
pub type History = BTreeMap<String, Vec<WriteRecord>>;

/// How a writer executes its writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteKind {
    /// Each write is a single statement.
    Statement,
    /// Each write is a transaction of an INSERT and a SELECT.
    Transaction,
}

/// Running writers and readers.
pub struct Workload {
    stop: Arc<AtomicBool>,
    history: Arc<Mutex<History>>,
    stale: Arc<Mutex<Vec<String>>>,
    reads: Arc<std::sync::atomic::AtomicU64>,
    tasks: Vec<JoinHandle<()>>,
}

/// Violations of guarantees that the check found, as ids of the writes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Violations {
    /// Writes that were acknowledged but are not in the database.
    pub lost: Vec<String>,
    /// Writes that are in the database more than once.
    pub duplicated: Vec<String>,
    /// Writes that were reported as "not run" but are in the database.
    pub ran_despite_not_run: Vec<String>,
    /// Writes of unknown outcome for which the inquiry gave no answer or a wrong one.
    pub unresolved: Vec<String>,
    /// Acknowledged writes that a later read of the same account did not return.
    pub stale: Vec<String>,
}

impl Violations {
    /// Whether there are no violations.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

async fn connect(address: SocketAddr, account: &str, secret: &str) -> Option<Client> {
    let mut config = tokio_postgres::Config::new();
    config
        .host(address.ip().to_string())
        .port(address.port())
        .user(account)
        .password(password(account, secret))
        .dbname("db1")
        .connect_timeout(Duration::from_secs(2));
    let connecting = tokio::time::timeout(Duration::from_secs(2), config.connect(NoTls));
    let (client, connection) = connecting.await.ok()?.ok()?;
    tokio::spawn(connection);
    Some(client)
}

/// A client that connects to the next instance whenever its connection is lost.
struct RoamingClient {
    addresses: Vec<SocketAddr>,
    next_address: usize,
    account: String,
    secret: String,
    client: Option<Client>,
}

impl RoamingClient {
    async fn client(&mut self) -> &Client {
        while self.client.as_ref().is_none_or(Client::is_closed) {
            let address = self.addresses[self.next_address % self.addresses.len()];
            self.next_address += 1;
            self.client = connect(address, &self.account, &self.secret).await;
            if self.client.is_none() {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
        self.client.as_ref().expect("the connection was just made")
    }

    fn drop_client(&mut self) {
        self.client = None;
    }
}

async fn execute_write(
    roaming_client: &mut RoamingClient,
    kind: WriteKind,
    writer: &str,
    id: &str,
) -> (ReportedOutcome, String) {
    let hints = format!("/*request_id='{id}',deadline_ms='{DEADLINE_MS}'*/");
    let insert = format!("INSERT INTO marks VALUES ('{writer}', '{id}')");
    let client = roaming_client.client().await;
    let result = match kind {
        WriteKind::Statement => {
            let text = format!("{insert} {hints}");
            tokio::time::timeout(CLIENT_TIMEOUT, client.batch_execute(&text)).await
        }
        WriteKind::Transaction => {
            let run = async {
                client.batch_execute("BEGIN").await?;
                client.batch_execute(&insert).await?;
                client.simple_query("SELECT count(*) FROM marks").await?;
                client.batch_execute(&format!("COMMIT {hints}")).await
            };
            tokio::time::timeout(CLIENT_TIMEOUT, run).await
        }
    };
    let error = match &result {
        Ok(Ok(())) => String::new(),
        Ok(Err(error)) => match error.as_db_error() {
            Some(error) => format!("{} {}", error.code().code(), error.message()),
            None => error.to_string(),
        },
        Err(_) => "the client timed out".into(),
    };
    let reported = match &result {
        Ok(Ok(())) => ReportedOutcome::Acknowledged,
        Ok(Err(error)) => match error_outcome(error) {
            ErrorOutcome::NotRun => ReportedOutcome::NotRun,
            ErrorOutcome::Unknown => ReportedOutcome::Unknown,
        },
        Err(_) => ReportedOutcome::Unknown,
    };
    if reported != ReportedOutcome::Acknowledged
        && (kind == WriteKind::Transaction || reported == ReportedOutcome::Unknown)
    {
        roaming_client.drop_client();
    }
    (reported, error)
}

impl Workload {
    /// Creates the table and starts one writer and one reader for each account of
    /// [`WRITERS`].
    pub async fn start(cluster: &Cluster, kind: WriteKind) -> Self {
        Self::start_with_pause(cluster, kind, Duration::from_millis(2)).await
    }

    /// As [`Self::start`], with a given pause between two writes of a writer.
    ///
    /// # Panics
    ///
    /// When the table cannot be created.
    pub async fn start_with_pause(cluster: &Cluster, kind: WriteKind, pause: Duration) -> Self {
        let client = cluster.connect(0, "writer1").await;
        client.batch_execute(CREATE_TABLE).await.expect("the table can be created");
        let mut workload = Self {
            stop: Arc::default(),
            history: Arc::default(),
            stale: Arc::default(),
            reads: Arc::default(),
            tasks: Vec::new(),
        };
        let addresses: Vec<_> =
            cluster.instances.iter().map(|node| node.client_proxy.address).collect();
        for (number, writer) in WRITERS.iter().enumerate() {
            let roaming_client = |offset: usize| RoamingClient {
                addresses: addresses.clone(),
                next_address: number + offset,
                account: (*writer).to_owned(),
                secret: cluster.secret.clone(),
                client: None,
            };
            workload.spawn_writer(roaming_client(0), kind, writer, pause);
            workload.spawn_reader(roaming_client(1), writer);
        }
        workload
    }

    fn spawn_writer(
        &mut self,
        mut roaming_client: RoamingClient,
        kind: WriteKind,
        writer: &str,
        pause: Duration,
    ) {
        let (stop, history) = (self.stop.clone(), self.history.clone());
        let writer = writer.to_owned();
        self.tasks.push(tokio::spawn(async move {
            let mut count = 0;
            while !stop.load(Ordering::Relaxed) {
                count += 1;
                let id = format!("{writer}-{count}");
                let began = Instant::now();
                let (reported, error) =
                    execute_write(&mut roaming_client, kind, &writer, &id).await;
                let at = Instant::now();
                let write = WriteRecord { id, reported, error, at, took: at - began };
                history
                    .lock()
                    .expect("never poisoned")
                    .entry(writer.clone())
                    .or_default()
                    .push(write);
                tokio::time::sleep(pause).await;
            }
        }));
    }

    /// Spawns a reader, which reads what the account has written and compares it with
    /// the writes that were acknowledged before the read began.
    fn spawn_reader(&mut self, mut roaming_client: RoamingClient, writer: &str) {
        let (stop, history) = (self.stop.clone(), self.history.clone());
        let (stale, reads) = (self.stale.clone(), self.reads.clone());
        let writer = writer.to_owned();
        self.tasks.push(tokio::spawn(async move {
            while !stop.load(Ordering::Relaxed) {
                let acknowledged: Vec<String> = {
                    let history = history.lock().expect("never poisoned");
                    let writes = history.get(&writer).map(Vec::as_slice).unwrap_or_default();
                    let acknowledged = writes
                        .iter()
                        .filter(|write| write.reported == ReportedOutcome::Acknowledged);
                    acknowledged.map(|write| write.id.clone()).collect()
                };
                let text = format!("SELECT id FROM marks WHERE writer = '{writer}'");
                let client = roaming_client.client().await;
                let read = tokio::time::timeout(CLIENT_TIMEOUT, client.simple_query(&text)).await;
                let Ok(Ok(messages)) = read else {
                    roaming_client.drop_client();
                    continue;
                };
                reads.fetch_add(1, Ordering::Relaxed);
                let seen: BTreeSet<_> = rows(&messages).into_iter().collect();
                let missing = acknowledged.iter().filter(|id| !seen.contains(*id));
                stale.lock().expect("never poisoned").extend(missing.cloned());
                // The next read goes to another instance, as sessions can move between
                // instances.
                roaming_client.drop_client();
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        }));
    }

    /// Number of writes acknowledged so far.
    ///
    /// # Panics
    ///
    /// Never: the lock is never poisoned.
    #[must_use]
    pub fn acknowledged(&self) -> usize {
        let history = self.history.lock().expect("never poisoned");
        let writes = history.values().flatten();
        writes.filter(|write| write.reported == ReportedOutcome::Acknowledged).count()
    }

    /// Number of reads answered so far.
    #[must_use]
    pub fn reads(&self) -> u64 {
        self.reads.load(Ordering::Relaxed)
    }

    /// Waits until each writer has got `writes` more writes acknowledged.
    pub async fn wait_for_progress(&self, writes: usize) {
        let count = || -> BTreeMap<String, usize> {
            let history = self.history.lock().expect("never poisoned");
            let acknowledged = |writes: &Vec<WriteRecord>| {
                writes
                    .iter()
                    .filter(|write| write.reported == ReportedOutcome::Acknowledged)
                    .count()
            };
            history.iter().map(|(writer, writes)| (writer.clone(), acknowledged(writes))).collect()
        };
        let before = count();
        wait_for("every writer makes progress", async || {
            let now = count();
            now.len() == WRITERS.len()
                && now.iter().all(|(w, n)| *n >= before.get(w).copied().unwrap_or(0) + writes)
        })
        .await;
    }

    /// Stops all clients, and returns the outcomes of the writes and the ids of writes
    /// that stale reads missed.
    ///
    /// # Panics
    ///
    /// When a client panicked.
    pub async fn stop(self) -> (History, Vec<String>) {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await.expect("clients do not panic");
        }
        let history = self.history.lock().expect("never poisoned").clone();
        let stale = self.stale.lock().expect("never poisoned").clone();
        (history, stale)
    }
}

fn rows(messages: &[SimpleQueryMessage]) -> Vec<String> {
    messages
        .iter()
        .filter_map(|message| match message {
            SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
            _ => None,
        })
        .collect()
}

/// Asks an instance for the state of a request, through its admin endpoint.
pub async fn inquire(
    cluster: &Cluster,
    instance: usize,
    account: &str,
    id: &str,
) -> Option<String> {
    let admin = cluster.instances[instance].admin;
    let url = format!("http://{admin}/request?database=db1&account={account}&id={id}");
    let client = reqwest::Client::builder().no_proxy().timeout(Duration::from_secs(10));
    let client = client.build().expect("the HTTP client can be built");
    let body: Value = client.get(url).send().await.ok()?.json().await.ok()?;
    Some(body["state"].as_str()?.to_owned())
}

/// Reads all rows of the writers with fresh reads, which return every acknowledged write.
async fn read_all_ids(cluster: &Cluster) -> Vec<String> {
    let mut found = None;
    wait_for("the rows can be read", async || {
        for index in 0..cluster.instances.len() {
            if cluster.instances[index].process.is_none() {
                continue;
            }
            let address = cluster.instances[index].client_proxy.address;
            let Some(client) = connect(address, "kiosk", &cluster.secret).await else {
                continue;
            };
            // The service of this account has fresh reads as its default.
            let read = client.simple_query("SELECT id FROM marks").await;
            if read.is_ok() {
                return true;
            }
        }
        false
    })
    .await;
    for index in 0..cluster.instances.len() {
        if cluster.instances[index].process.is_none() || found.is_some() {
            continue;
        }
        if let Some(client) =
            connect(cluster.instances[index].client_proxy.address, "kiosk", &cluster.secret).await
        {
            found = client.simple_query("SELECT id FROM marks").await.ok().map(|m| rows(&m));
        }
    }
    found.expect("the rows were read a moment ago")
}

/// Compares the outcomes reported to all clients with the contents of the database.
pub async fn check(cluster: &Cluster, history: &History, stale: Vec<String>) -> Violations {
    let mut violations = Violations { stale, ..Violations::default() };
    // Unknown outcomes are resolved before the rows are read, so that an inquiry that
    // changes the state of its request is detected.
    let mut resolved: BTreeMap<String, String> = BTreeMap::new();
    for (writer, writes) in history {
        for write in writes.iter().filter(|write| write.reported == ReportedOutcome::Unknown) {
            let state = resolve(cluster, writer, &write.id).await;
            resolved.insert(write.id.clone(), state);
        }
    }
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for id in read_all_ids(cluster).await {
        *counts.entry(id).or_default() += 1;
    }
    for write in history.values().flatten() {
        let count = counts.get(&write.id).copied().unwrap_or(0);
        if count > 1 {
            violations.duplicated.push(write.id.clone());
        }
        match write.reported {
            ReportedOutcome::Acknowledged if count == 0 => violations.lost.push(write.id.clone()),
            ReportedOutcome::NotRun if count > 0 => {
                violations.ran_despite_not_run.push(write.id.clone());
            }
            ReportedOutcome::Unknown => {
                let state = resolved.get(&write.id).map_or("", String::as_str);
                let fits = matches!((state, count), ("ran_once", 1) | ("did_not_run", 0));
                if !fits {
                    violations.unresolved.push(format!("{} {state} but {count} rows", write.id));
                }
            }
            _ => {}
        }
    }
    violations
}

async fn resolve(cluster: &Cluster, writer: &str, id: &str) -> String {
    let answer = Mutex::new(String::new());
    wait_for("an inquiry gets a final answer", async || {
        for index in 0..cluster.instances.len() {
            if cluster.instances[index].process.is_none() {
                continue;
            }
            if let Some(state @ ("ran_once" | "did_not_run")) =
                inquire(cluster, index, writer, id).await.as_deref()
            {
                state.clone_into(&mut answer.lock().expect("never poisoned"));
                return true;
            }
        }
        false
    })
    .await;
    answer.into_inner().expect("never poisoned")
}
