//! Callers that write and read all the time, and a check afterwards of what
//! each was told against what is in the database.

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

use crate::clients::Told;
use crate::clients::told;
use crate::cluster::Cluster;
use crate::cluster::password;
use crate::cluster::wait_for;

/// Table the writers fill. It has no key, so that a row that was written
/// twice shows.
const CREATE_TABLE: &str = "CREATE TABLE marks (writer TEXT, id TEXT)";

/// Accounts of the writers.
pub const WRITERS: [&str; 4] = ["writer1", "writer2", "writer3", "writer4"];

/// Deadline a writer gives each statement.
const DEADLINE_MS: u64 = 4000;

/// A caller gives up on a connection without an answer for this long.
const CALLER_PATIENCE: Duration = Duration::from_secs(8);

/// What became of a write, as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// It was acknowledged.
    Acknowledged,
    /// It did not run.
    NotRun,
    /// Nobody could say.
    Unknown,
}

/// One write.
#[derive(Clone, Debug)]
pub struct Mark {
    /// Its request id, and the value it writes.
    pub id: String,
    /// What the caller heard.
    pub heard: Heard,
    /// The error, if there was one.
    pub error: String,
    /// When it heard it.
    pub at: Instant,
    /// How long it took.
    pub took: Duration,
}

/// All that was heard, by writer.
pub type History = BTreeMap<String, Vec<Mark>>;

/// How a writer does its writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Style {
    /// One statement each.
    Statement,
    /// A transaction of two statements, of which one marks.
    Transaction,
}

/// Callers at work.
pub struct Workload {
    stop: Arc<AtomicBool>,
    history: Arc<Mutex<History>>,
    stale: Arc<Mutex<Vec<String>>>,
    reads: Arc<std::sync::atomic::AtomicU64>,
    tasks: Vec<JoinHandle<()>>,
}

/// What the check found wrong. Empty when all held.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Violations {
    /// Acknowledged, but not in the database.
    pub lost: Vec<String>,
    /// In the database more than once.
    pub doubled: Vec<String>,
    /// Told "not run", but in the database.
    pub ran_after_all: Vec<String>,
    /// Unknown, and the inquiry gave no answer, or a wrong one.
    pub unsettled: Vec<String>,
    /// Reads that missed an acknowledged write of their own account.
    pub stale: Vec<String>,
}

impl Violations {
    /// Whether nothing was violated.
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

/// A connection that moves to the next instance when it breaks.
struct Roamer {
    entries: Vec<SocketAddr>,
    next: usize,
    account: String,
    secret: String,
    client: Option<Client>,
}

impl Roamer {
    async fn client(&mut self) -> &Client {
        while self.client.as_ref().is_none_or(Client::is_closed) {
            let address = self.entries[self.next % self.entries.len()];
            self.next += 1;
            self.client = connect(address, &self.account, &self.secret).await;
            if self.client.is_none() {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
        self.client.as_ref().expect("connected just now")
    }

    fn drop_client(&mut self) {
        self.client = None;
    }
}

async fn write_mark(roamer: &mut Roamer, style: Style, writer: &str, id: &str) -> (Heard, String) {
    let hints = format!("/*request_id='{id}',deadline_ms='{DEADLINE_MS}'*/");
    let insert = format!("INSERT INTO marks VALUES ('{writer}', '{id}')");
    let client = roamer.client().await;
    let result = match style {
        Style::Statement => {
            let text = format!("{insert} {hints}");
            tokio::time::timeout(CALLER_PATIENCE, client.batch_execute(&text)).await
        }
        Style::Transaction => {
            let run = async {
                client.batch_execute("BEGIN").await?;
                client.batch_execute(&insert).await?;
                client.simple_query("SELECT count(*) FROM marks").await?;
                client.batch_execute(&format!("COMMIT {hints}")).await
            };
            tokio::time::timeout(CALLER_PATIENCE, run).await
        }
    };
    let error = match &result {
        Ok(Ok(())) => String::new(),
        Ok(Err(error)) => match error.as_db_error() {
            Some(error) => format!("{} {}", error.code().code(), error.message()),
            None => error.to_string(),
        },
        Err(_) => "the caller gave up".into(),
    };
    let heard = match &result {
        Ok(Ok(())) => Heard::Acknowledged,
        Ok(Err(error)) => match told(error) {
            Told::NotRun => Heard::NotRun,
            Told::Unknown => Heard::Unknown,
        },
        Err(_) => Heard::Unknown,
    };
    if heard != Heard::Acknowledged && (style == Style::Transaction || heard == Heard::Unknown) {
        roamer.drop_client();
    }
    (heard, error)
}

impl Workload {
    /// Creates the table and starts one writer and one reader for each of
    /// the accounts.
    pub async fn start(cluster: &Cluster, style: Style) -> Self {
        Self::start_with(cluster, style, Duration::from_millis(2)).await
    }

    /// As [`Self::start`], with a pause between two writes of a writer.
    ///
    /// # Panics
    ///
    /// When the table cannot be created.
    pub async fn start_with(cluster: &Cluster, style: Style, pause: Duration) -> Self {
        let client = cluster.connect(0, "writer1").await;
        client.batch_execute(CREATE_TABLE).await.expect("the table can be created");
        let mut workload = Self {
            stop: Arc::default(),
            history: Arc::default(),
            stale: Arc::default(),
            reads: Arc::default(),
            tasks: Vec::new(),
        };
        let entries: Vec<_> =
            cluster.instances.iter().map(|node| node.client_proxy.address).collect();
        for (number, writer) in WRITERS.iter().enumerate() {
            let roamer = |offset: usize| Roamer {
                entries: entries.clone(),
                next: number + offset,
                account: (*writer).to_owned(),
                secret: cluster.secret.clone(),
                client: None,
            };
            workload.spawn_writer(roamer(0), style, writer, pause);
            workload.spawn_reader(roamer(1), writer);
        }
        workload
    }

    fn spawn_writer(&mut self, mut roamer: Roamer, style: Style, writer: &str, pause: Duration) {
        let (stop, history) = (self.stop.clone(), self.history.clone());
        let writer = writer.to_owned();
        self.tasks.push(tokio::spawn(async move {
            let mut count = 0;
            while !stop.load(Ordering::Relaxed) {
                count += 1;
                let id = format!("{writer}-{count}");
                let began = Instant::now();
                let (heard, error) = write_mark(&mut roamer, style, &writer, &id).await;
                let at = Instant::now();
                let mark = Mark { id, heard, error, at, took: at - began };
                history
                    .lock()
                    .expect("never poisoned")
                    .entry(writer.clone())
                    .or_default()
                    .push(mark);
                tokio::time::sleep(pause).await;
            }
        }));
    }

    /// Reads what the account has written and compares it with what had been
    /// acknowledged before the read began.
    fn spawn_reader(&mut self, mut roamer: Roamer, writer: &str) {
        let (stop, history) = (self.stop.clone(), self.history.clone());
        let (stale, reads) = (self.stale.clone(), self.reads.clone());
        let writer = writer.to_owned();
        self.tasks.push(tokio::spawn(async move {
            while !stop.load(Ordering::Relaxed) {
                let acknowledged: Vec<String> = {
                    let history = history.lock().expect("never poisoned");
                    let marks = history.get(&writer).map(Vec::as_slice).unwrap_or_default();
                    let heard = marks.iter().filter(|mark| mark.heard == Heard::Acknowledged);
                    heard.map(|mark| mark.id.clone()).collect()
                };
                let text = format!("SELECT id FROM marks WHERE writer = '{writer}'");
                let client = roamer.client().await;
                let read = tokio::time::timeout(CALLER_PATIENCE, client.simple_query(&text)).await;
                let Ok(Ok(messages)) = read else {
                    roamer.drop_client();
                    continue;
                };
                reads.fetch_add(1, Ordering::Relaxed);
                let seen: BTreeSet<_> = rows(&messages).into_iter().collect();
                let missing = acknowledged.iter().filter(|id| !seen.contains(*id));
                stale.lock().expect("never poisoned").extend(missing.cloned());
                // Another instance for the next read: sessions roam.
                roamer.drop_client();
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        }));
    }

    /// Writes acknowledged so far.
    ///
    /// # Panics
    ///
    /// Never: the lock is never poisoned.
    #[must_use]
    pub fn acknowledged(&self) -> usize {
        let history = self.history.lock().expect("never poisoned");
        let marks = history.values().flatten();
        marks.filter(|mark| mark.heard == Heard::Acknowledged).count()
    }

    /// Reads that were answered so far.
    #[must_use]
    pub fn reads(&self) -> u64 {
        self.reads.load(Ordering::Relaxed)
    }

    /// Waits until this many more writes were acknowledged, by each writer.
    pub async fn wait_for_progress(&self, marks: usize) {
        let count = || -> BTreeMap<String, usize> {
            let history = self.history.lock().expect("never poisoned");
            let acknowledged = |marks: &Vec<Mark>| {
                marks.iter().filter(|mark| mark.heard == Heard::Acknowledged).count()
            };
            history.iter().map(|(writer, marks)| (writer.clone(), acknowledged(marks))).collect()
        };
        let before = count();
        wait_for("every writer makes progress", async || {
            let now = count();
            now.len() == WRITERS.len()
                && now.iter().all(|(w, n)| *n >= before.get(w).copied().unwrap_or(0) + marks)
        })
        .await;
    }

    /// Stops all callers and returns what they heard.
    ///
    /// # Panics
    ///
    /// When a caller panicked.
    pub async fn stop(self) -> (History, Vec<String>) {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await.expect("callers do not panic");
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

/// Asks an instance what became of a request.
pub async fn inquire(
    cluster: &Cluster,
    instance: usize,
    account: &str,
    id: &str,
) -> Option<String> {
    let admin = cluster.instances[instance].admin;
    let url = format!("http://{admin}/request?database=db1&account={account}&id={id}");
    let client = reqwest::Client::builder().no_proxy().timeout(Duration::from_secs(10));
    let client = client.build().expect("no unusual options");
    let body: Value = client.get(url).send().await.ok()?.json().await.ok()?;
    Some(body["state"].as_str()?.to_owned())
}

/// Reads all marks at the present primary, past the proxy under test.
async fn marks_at_primary(cluster: &Cluster) -> Vec<String> {
    let mut found = None;
    wait_for("the marks can be read", async || {
        for index in 0..cluster.instances.len() {
            if cluster.instances[index].process.is_none() {
                continue;
            }
            let address = cluster.instances[index].client_proxy.address;
            let Some(client) = connect(address, "kiosk", &cluster.secret).await else {
                continue;
            };
            // The kiosk reads what is fresh: everything acknowledged.
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
    found.expect("read a moment ago")
}

/// Compares what all callers heard with what is in the database.
pub async fn check(cluster: &Cluster, history: &History, stale: Vec<String>) -> Violations {
    let mut violations = Violations { stale, ..Violations::default() };
    // Settled first: an inquiry may not change what it then finds.
    let mut settled: BTreeMap<String, String> = BTreeMap::new();
    for (writer, marks) in history {
        for mark in marks.iter().filter(|mark| mark.heard == Heard::Unknown) {
            let state = settle(cluster, writer, &mark.id).await;
            settled.insert(mark.id.clone(), state);
        }
    }
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for id in marks_at_primary(cluster).await {
        *counts.entry(id).or_default() += 1;
    }
    for mark in history.values().flatten() {
        let count = counts.get(&mark.id).copied().unwrap_or(0);
        if count > 1 {
            violations.doubled.push(mark.id.clone());
        }
        match mark.heard {
            Heard::Acknowledged if count == 0 => violations.lost.push(mark.id.clone()),
            Heard::NotRun if count > 0 => violations.ran_after_all.push(mark.id.clone()),
            Heard::Unknown => {
                let state = settled.get(&mark.id).map_or("", String::as_str);
                let fits = matches!((state, count), ("ran_once", 1) | ("did_not_run", 0));
                if !fits {
                    violations.unsettled.push(format!("{} {state} but {count} rows", mark.id));
                }
            }
            _ => {}
        }
    }
    violations
}

async fn settle(cluster: &Cluster, writer: &str, id: &str) -> String {
    let answer = Mutex::new(String::new());
    wait_for("an inquiry is answered for good", async || {
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
