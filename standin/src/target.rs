//! A database server: real SQL by SQLite behind the PostgreSQL protocol, a
//! log shipped to replicas with settable lag, and terms.

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

/// How a stand-in server behaves.
#[derive(Clone, Debug)]
pub struct TargetOptions {
    /// Its name, by which it is told whom to follow.
    pub id: String,
    /// Where it takes connections; port 0 for any.
    pub address: SocketAddr,
    /// Where it serves its log; port 0 for any.
    pub replication_address: SocketAddr,
    /// Cost of a new connection.
    pub connect_cost: Duration,
    /// Connections it accepts.
    pub connections: usize,
    /// Statements it runs at once.
    pub slots: usize,
    /// Time each statement takes beyond its real work.
    pub statement_cost: Duration,
    /// File that keeps log and term over a restart.
    pub log_file: Option<PathBuf>,
    /// The only login it accepts, for sessions and for its log.
    ///
    /// A port given up by a server that was killed can be given to a server
    /// of another deployment under test, whose peers still know it.
    pub login: Option<String>,
}

impl TargetOptions {
    /// A server on any port, with the brief's limits and no added cost.
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

/// What sessions, replication and control share.
pub(crate) struct TargetCore {
    pub options: TargetOptions,
    log: Mutex<ServerLog>,
    pub data: DataFile,
    /// Serialises transactions that write.
    pub write_lock: Arc<tokio::sync::Mutex<()>>,
    pub entry_appended: Notify,
    /// Whom it follows, or its term, has changed.
    pub upstream_changed: Notify,
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
    /// Where it takes connections.
    pub address: SocketAddr,
    /// Where it serves its log.
    pub replication_address: SocketAddr,
}

/// How often a replica looks for entries that have become due.
const APPLY_INTERVAL: Duration = Duration::from_millis(1);

/// Longest wait of a replica for news from its primary; also its heartbeat.
const MAX_PULL_WAIT: Duration = Duration::from_millis(50);

/// A pull without an answer for this long has failed.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);

/// Entries in one answer to a pull.
const MAX_PULLED_ENTRIES: usize = 2000;

impl Target {
    /// Starts a server on the current runtime.
    ///
    /// # Errors
    ///
    /// When an address cannot be bound or the log file cannot be used.
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

    /// Makes this server, as a replica, apply entries only after `lag`.
    pub fn set_lag(&self, lag: Duration) {
        let lag_ms = u64::try_from(lag.as_millis()).unwrap_or(u64::MAX);
        self.core.lag_ms.store(lag_ms, Ordering::Relaxed);
    }

    /// Statements it has run.
    #[must_use]
    pub fn statement_count(&self) -> u64 {
        self.core.statements.load(Ordering::Relaxed)
    }

    /// Whether it is the primary in the highest term it has seen.
    #[must_use]
    pub fn is_primary(&self) -> bool {
        self.core.log().is_primary
    }

    /// Connections open now.
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

#[derive(Serialize, Deserialize)]
struct PullRequest {
    login: Option<String>,
    term: u64,
    ends: Vec<Position>,
}

#[derive(Serialize, Deserialize)]
struct PullResponse {
    term: u64,
    is_primary: bool,
    /// Entries both logs share.
    common: usize,
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
    // Nothing new: wait for the next commit, so that a replica learns of it
    // without asking again and again.
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

async fn follow_upstream(core: Arc<TargetCore>) {
    let client = reqwest::Client::builder()
        .timeout(PULL_TIMEOUT)
        .no_proxy()
        .tcp_nodelay(true)
        .build()
        .expect("the client has no unusual settings");
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
        // A server told to follow another one does not wait for the old one.
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

/// Appends what the primary sent, unless a newer term came in between.
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

/// Applies everything received, whatever the lag: a server does so before it
/// becomes the primary.
pub(crate) fn apply_all(core: &TargetCore) {
    let mut log = core.log();
    apply_all_of(&core.data, &mut log);
}

pub(crate) fn apply_all_of(data: &DataFile, log: &mut ServerLog) {
    while let Some((entry, _)) = log.entries.get(log.applied) {
        apply_entry(data, entry);
        log.applied += 1;
    }
}
