//! Stand-in for the platform's store: it holds versioned objects, among them the list of
//! instances, and offers conditional updates and watches over HTTP. Tests can make it
//! unavailable or slow, or make it lose answers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::extract::Path;
use axum::extract::Query;
use axum::extract::Request;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::StatusCode;
use axum::middleware;
use axum::middleware::Next;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Largest size of a value in bytes, as required of the platform's store.
const MAX_VALUE_BYTES: usize = 1_000_000;

/// Longest time for which the store holds a watch open.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);

/// The faults that the store simulates.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Whether every call fails.
    pub down: bool,
    /// Delay that is added to every call, in milliseconds.
    pub delay_ms: u64,
    /// Number of next updates that take effect although their answer is lost.
    pub lose_answers: u32,
}

/// A stored value with the version of its last update.
#[derive(Clone, Debug)]
struct Object {
    version: u64,
    value: String,
}

/// All objects by key. One version counter serves all of them.
#[derive(Debug, Default)]
struct Objects {
    version: u64,
    by_key: BTreeMap<String, Object>,
}

/// State that the handle and the HTTP handlers share.
struct StoreCore {
    objects: Mutex<Objects>,
    /// Wakes the open watches after each update.
    changed: watch::Sender<u64>,
    faults: Mutex<StoreFaults>,
    reads: std::sync::atomic::AtomicU64,
    writes: std::sync::atomic::AtomicU64,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    core: Arc<StoreCore>,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
}

impl Store {
    /// Starts a store on the current Tokio runtime. With port 0 the operating system
    /// assigns a port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let core = Arc::new(StoreCore {
            objects: Mutex::default(),
            changed: watch::Sender::new(0),
            faults: Mutex::default(),
            reads: 0.into(),
            writes: 0.into(),
        });
        let objects = Router::new()
            .route("/objects/{*key}", get(get_object).put(put_object))
            .layer(middleware::from_fn_with_state(core.clone(), apply_faults));
        let routes = objects
            .route("/faults", post(set_faults))
            .route("/calls", get(count_calls))
            .with_state(core.clone());
        tokio::spawn(async move { axum::serve(listener, routes).await });
        Ok(Self { core, address })
    }

    /// Base address of its HTTP interface.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Sets the faults that the store simulates.
    pub fn set_faults(&self, faults: StoreFaults) {
        *self.core.faults.lock().expect("never poisoned") = faults;
    }

    /// Writes an object unconditionally and returns its version.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        self.core.put(key, value)
    }

    /// Restores an object to an older version, as from a backup.
    ///
    /// # Panics
    ///
    /// Panics if the lock is poisoned, which does not happen, since no code panics while
    /// it holds the lock.
    pub fn restore(&self, key: &str, version: u64, value: &str) {
        let object = Object { version, value: value.to_owned() };
        let mut objects = self.core.objects.lock().expect("never poisoned");
        objects.by_key.insert(key.to_owned(), object);
        drop(objects);
        self.core.changed.send_replace(version);
    }

    /// Reads the version and the value of an object.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<(u64, String)> {
        let objects = self.core.objects.lock().expect("never poisoned");
        objects.by_key.get(key).map(|object| (object.version, object.value.clone()))
    }

    /// Numbers of reads and of writes so far. Watches count as reads.
    #[must_use]
    pub fn calls(&self) -> (u64, u64) {
        let load = |counter: &std::sync::atomic::AtomicU64| {
            counter.load(std::sync::atomic::Ordering::Relaxed)
        };
        (load(&self.core.reads), load(&self.core.writes))
    }

    /// Writes the list of instances.
    pub fn set_instances(&self, instances: &Value) {
        self.put("instances", &instances.to_string());
    }
}

impl StoreCore {
    fn put(&self, key: &str, value: &str) -> u64 {
        let mut objects = self.objects.lock().expect("never poisoned");
        objects.version += 1;
        let version = objects.version;
        let object = Object { version, value: value.to_owned() };
        objects.by_key.insert(key.to_owned(), object);
        drop(objects);
        self.changed.send_replace(version);
        version
    }
}

/// Applies the simulated faults to each call, and counts the calls unless the store is down.
async fn apply_faults(
    State(core): State<Arc<StoreCore>>,
    request: Request,
    next: Next,
) -> Response {
    let faults = core.faults.lock().expect("never poisoned").clone();
    tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    if faults.down {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let is_write = request.method() == axum::http::Method::PUT;
    let counter = if is_write { &core.writes } else { &core.reads };
    counter.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let response = next.run(request).await;
    let mut faults = core.faults.lock().expect("never poisoned");
    if is_write && faults.lose_answers > 0 {
        faults.lose_answers -= 1;
        return StatusCode::GATEWAY_TIMEOUT.into_response();
    }
    response
}

/// Parameters of a read, which is a watch if `after` is set.
#[derive(Deserialize)]
struct WatchQuery {
    /// The read waits until the object has another version than this.
    after: Option<u64>,
    /// Longest wait in milliseconds.
    wait_ms: Option<u64>,
}

async fn get_object(
    State(core): State<Arc<StoreCore>>,
    Path(key): Path<String>,
    Query(watch): Query<WatchQuery>,
) -> Response {
    let wait = Duration::from_millis(watch.wait_ms.unwrap_or(0)).min(MAX_WATCH_WAIT);
    let deadline = tokio::time::Instant::now() + wait;
    let mut changed = core.changed.subscribe();
    loop {
        let object = {
            let objects = core.objects.lock().expect("never poisoned");
            objects.by_key.get(&key).cloned()
        };
        if let Some(object) = object {
            if watch.after.is_none_or(|after| object.version != after) {
                let body = json!({"version": object.version, "value": object.value});
                return Json(body).into_response();
            }
        } else if watch.after.is_none() {
            return StatusCode::NOT_FOUND.into_response();
        }
        if tokio::time::timeout_at(deadline, changed.changed()).await.is_err() {
            return StatusCode::NOT_MODIFIED.into_response();
        }
    }
}

/// Writes an object, if its version is the one in the `if-match` header or the header is
/// missing.
async fn put_object(
    State(core): State<Arc<StoreCore>>,
    Path(key): Path<String>,
    headers: HeaderMap,
    value: String,
) -> Response {
    if value.len() > MAX_VALUE_BYTES {
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    }
    let expected_version =
        headers.get("if-match").and_then(|v| v.to_str().ok()?.parse::<u64>().ok());
    let mut objects = core.objects.lock().expect("never poisoned");
    let current = objects.by_key.get(&key).map_or(0, |object| object.version);
    if expected_version.is_some_and(|expected_version| expected_version != current) {
        let value = objects.by_key.get(&key).map(|object| object.value.clone());
        let body = json!({"version": current, "value": value});
        return (StatusCode::PRECONDITION_FAILED, Json(body)).into_response();
    }
    objects.version += 1;
    let version = objects.version;
    objects.by_key.insert(key, Object { version, value });
    drop(objects);
    core.changed.send_replace(version);
    Json(json!({"version": version})).into_response()
}

async fn set_faults(State(core): State<Arc<StoreCore>>, Json(faults): Json<StoreFaults>) {
    *core.faults.lock().expect("never poisoned") = faults;
}

async fn count_calls(State(core): State<Arc<StoreCore>>) -> Json<Value> {
    let load =
        |counter: &std::sync::atomic::AtomicU64| counter.load(std::sync::atomic::Ordering::Relaxed);
    Json(json!({"reads": load(&core.reads), "writes": load(&core.writes)}))
}
