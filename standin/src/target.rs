//! Stand-in for a database server (target): it runs SQL on SQLite behind the PostgreSQL
//! protocol, replicates its log to replicas with an adjustable lag, and refuses work of
//! other terms than its own.
//!
//! A term is the period in which one server is the primary of its group; a higher term
//! replaces a lower one. A replica pulls the log from its upstream, the primary, over HTTP.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::routing::post;
use chervilwharf_lib::position::Position;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::sync::Semaphore;

use crate::target_log::LogEntry;
use crate::target_log::ServerLog;
use crate::target_session::DataFile;
use crate::target_session::apply_entry;
use crate::target_wire;

/// Settings of a stand-in server.
#[derive(Clone, Debug)]
pub struct TargetOptions {
    /// Name of the server. Calls that make another server follow it use this name.
    pub id: String,
    /// Address for client connections. With port 0 the operating system assigns a port.
    pub address: SocketAddr,
    /// Address at which replicas pull its log. With port 0 the operating system assigns a
    /// port.
    pub replication_address: SocketAddr,
    /// Added duration of connecting.
    pub connect_cost: Duration,
    /// Largest number of open connections.
    pub connections: usize,
    /// Number of statements that it runs at once.
    pub slots: usize,
    /// Added duration of each statement.
    pub statement_cost: Duration,
    /// File that stores log and term, so that they survive a restart; without one, they
    /// are lost.
    pub log_file: Option<PathBuf>,
    /// The only user name that it accepts from clients; any if `None`. The pulls of its
    /// replicas have to carry the same login.
    ///
    /// Several deployments are tested on one machine. When a server is killed, its port
    /// can be assigned to a server of another deployment, while clients and replicas of
    /// the killed server still use the address. The login makes the new server refuse them.
    pub login: Option<String>,
}

impl TargetOptions {
    /// Settings with ports that the operating system assigns, the limits that the
    /// requirements set for a server, and no added durations.
    #[must_use]
    pub fn new(id: &str) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            id: id.to_owned(),
            address: any,
            replication_address: any,
            connect_cost: Duration::ZERO,
            connections: 64,
            slots: 3,
            statement_cost: Duration::ZERO,
            log_file: None,
            login: None,
        }
    }
}

/// State that sessions and replication share.
pub(crate) struct TargetCore {
    pub options: TargetOptions,
    log: Mutex<ServerLog>,
    pub data: DataFile,
    /// Serialises transactions that write: each holds it from its begin to its end.
    pub write_lock: Arc<tokio::sync::Mutex<()>>,
    /// Wakes open pulls after a commit on this server.
    pub entry_appended: Notify,
    /// Interrupts the current pull when a call of `chervilwharf_follow` changes the upstream.
    pub upstream_changed: Notify,
    /// One permit for each statement that may run at once.
    pub slots: Semaphore,
    pub connection_count: AtomicUsize,
    lag_ms: AtomicU64,
    statements: AtomicU64,
}

impl TargetCore {
    pub fn log(&self) -> MutexGuard<'_, ServerLog> {
        self.log.lock().expect("no code panics while it holds the log")
    }

    pub fn count_statement(&self) {
        self.statements.fetch_add(1, Ordering::Relaxed);
    }

    fn lag(&self) -> Duration {
        Duration::from_millis(self.lag_ms.load(Ordering::Relaxed))
    }
}

/// A running stand-in server.
pub struct Target {
    core: Arc<TargetCore>,
    /// Address for client connections.
    pub address: SocketAddr,
    /// Address at which replicas pull its log.
    pub replication_address: SocketAddr,
}

/// Pause after which a replica checks again for entries to apply, or for an upstream if it
/// has none.
const APPLY_INTERVAL: Duration = Duration::from_millis(1);

/// Longest time for which the primary holds a pull open when it has no new entry. Its empty
/// response then serves as a heartbeat.
const MAX_PULL_WAIT: Duration = Duration::from_millis(50);

/// Timeout of a pull.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);

/// Largest number of entries in one response to a pull.
const MAX_PULLED_ENTRIES: usize = 2000;

impl Target {
    /// Starts a server on the current Tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound, or the log file or the temporary
    /// data file cannot be used.
    pub async fn start(options: TargetOptions) -> std::io::Result<Self> {
        let listener = TcpListener::bind(options.address).await?;
        let replication = TcpListener::bind(options.replication_address).await?;
        let address = listener.local_addr()?;
        let replication_address = replication.local_addr()?;
        let log = ServerLog::new(options.log_file.as_deref())?;
        let core = Arc::new(TargetCore {
            data: DataFile::new()?,
            slots: Semaphore::new(options.slots),
            options,
            log: Mutex::new(log),
            write_lock: Arc::default(),
            entry_appended: Notify::new(),
            upstream_changed: Notify::new(),
            connection_count: AtomicUsize::new(0),
            lag_ms: AtomicU64::new(0),
            statements: AtomicU64::new(0),
        });
        apply_all(&core);
        let routes = Router::new()
            .route("/pull", post(serve_pull))
            .route("/lag/{ms}", post(set_lag))
            .with_state(core.clone());
        tokio::spawn(async move { axum::serve(replication, routes).await });
        tokio::spawn(target_wire::accept(listener, core.clone()));
        tokio::spawn(follow_upstream(core.clone()));
        tokio::spawn(apply_received(core.clone()));
        Ok(Self { core, address, replication_address })
    }

    /// Makes this server, while it is a replica, apply each entry `lag` after it received
    /// the entry.
    pub fn set_lag(&self, lag: Duration) {
        let lag_ms = u64::try_from(lag.as_millis()).unwrap_or(u64::MAX);
        self.core.lag_ms.store(lag_ms, Ordering::Relaxed);
    }

    /// Number of SQL statements that it has received, without transaction control and calls
    /// of the `chervilwharf_…` functions.
    #[must_use]
    pub fn statement_count(&self) -> u64 {
        self.core.statements.load(Ordering::Relaxed)
    }

    /// Returns whether it is the primary of the highest term that it has received.
    #[must_use]
    pub fn is_primary(&self) -> bool {
        self.core.log().is_primary
    }

    /// Number of open connections.
    #[must_use]
    pub fn connection_count(&self) -> usize {
        self.core.connection_count.load(Ordering::Relaxed)
    }
}

async fn set_lag(
    State(core): State<Arc<TargetCore>>,
    axum::extract::Path(lag_ms): axum::extract::Path<u64>,
) {
    core.lag_ms.store(lag_ms, Ordering::Relaxed);
}

/// Request of a replica for log entries of its upstream.
#[derive(Serialize, Deserialize)]
struct PullRequest {
    login: Option<String>,
    /// Term of the replica.
    term: u64,
    /// Last position of each term in the replica's log.
    ends: Vec<Position>,
}

/// Answer to a pull.
#[derive(Serialize, Deserialize)]
struct PullResponse {
    term: u64,
    /// Whether the sender is the primary of the replica's term and accepts its login.
    is_primary: bool,
    /// Number of leading entries that both logs share.
    common: usize,
    /// Entries that follow them; empty unless `is_primary`.
    entries: Vec<LogEntry>,
}

async fn serve_pull(
    State(core): State<Arc<TargetCore>>,
    Json(pull): Json<PullRequest>,
) -> Json<PullResponse> {
    let entry_appended = core.entry_appended.notified();
    let response = pull_response(&core, &pull);
    if !response.entries.is_empty() || !response.is_primary {
        return Json(response);
    }
    // Without new entries, the response waits for the next commit, so that replicas
    // receive commits promptly without frequent pulls.
    let _ = tokio::time::timeout(MAX_PULL_WAIT, entry_appended).await;
    Json(pull_response(&core, &pull))
}

fn pull_response(core: &TargetCore, pull: &PullRequest) -> PullResponse {
    let log = core.log();
    let login_matches = core.options.login == pull.login;
    let is_primary = login_matches && log.is_primary && log.term == pull.term;
    let common = log.common_length(&pull.ends);
    let entries = if is_primary {
        log.entries
            .iter()
            .skip(common)
            .take(MAX_PULLED_ENTRIES)
            .map(|(entry, _)| entry.clone())
            .collect()
    } else {
        Vec::new()
    };
    PullResponse { term: log.term, is_primary, common, entries }
}

/// Pulls entries from the current upstream, as long as the server runs.
async fn follow_upstream(core: Arc<TargetCore>) {
    let client = reqwest::Client::builder()
        .timeout(PULL_TIMEOUT)
        .no_proxy()
        .tcp_nodelay(true)
        .build()
        .expect("the HTTP client accepts its fixed settings");
    loop {
        let upstream_changed = core.upstream_changed.notified();
        let next_pull = {
            let log = core.log();
            let login = core.options.login.clone();
            let pull = PullRequest { login, term: log.term, ends: log.term_ends() };
            log.upstream.clone().map(|upstream| (upstream, pull))
        };
        let Some((upstream, pull)) = next_pull else {
            tokio::time::sleep(APPLY_INTERVAL).await;
            continue;
        };
        let url = format!("http://{}/pull", upstream.address);
        let pulling = async {
            let response = client.post(url).json(&pull).send().await.ok()?;
            response.json::<PullResponse>().await.ok()
        };
        // When the upstream changes, the pull from the former upstream is abandoned.
        let response = tokio::select! {
            response = pulling => response,
            () = upstream_changed => continue,
        };
        let appended =
            response.is_some_and(|pulled| append_pulled(&core, &upstream.id, &pull, pulled));
        if !appended {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

/// Appends the entries that the primary sent, and first removes entries that the primary
/// lacks. Returns `false` and changes nothing if upstream or term have changed since the
/// pull was sent, or if the sender is not the primary of the term.
fn append_pulled(
    core: &TargetCore,
    upstream: &str,
    pull: &PullRequest,
    pulled: PullResponse,
) -> bool {
    let mut log = core.log();
    let still_follows = log.upstream.as_ref().is_some_and(|now| now.id == upstream);
    if !still_follows || log.term != pull.term || pulled.term != log.term || !pulled.is_primary {
        return false;
    }
    let now = Instant::now();
    log.primary_contact_at = Some(now);
    if log.truncate(pulled.common) {
        core.data.reset();
    }
    for entry in pulled.entries {
        log.append(entry, now);
    }
    true
}

/// Applies received entries after the lag, as long as the server runs.
async fn apply_received(core: Arc<TargetCore>) {
    loop {
        tokio::time::sleep(APPLY_INTERVAL).await;
        let lag = core.lag();
        let now = Instant::now();
        let mut log = core.log();
        while let Some((entry, received_at)) = log.entries.get(log.applied) {
            if now.saturating_duration_since(*received_at) < lag {
                break;
            }
            apply_entry(&core.data, entry);
            log.applied += 1;
        }
    }
}

/// Applies all entries of the log at once, regardless of the lag, when the server starts.
pub(crate) fn apply_all(core: &TargetCore) {
    let mut log = core.log();
    apply_all_of(&core.data, &mut log);
}

/// Applies all entries of a locked log at once, regardless of the lag. A server does so
/// before it becomes the primary.
pub(crate) fn apply_all_of(data: &DataFile, log: &mut ServerLog) {
    while let Some((entry, _)) = log.entries.get(log.applied) {
        apply_entry(data, entry);
        log.applied += 1;
    }
}
