//! The platform's store: objects with versions, conditional updates and
//! watches, and the list of instances. Can be down, slow, or lose answers.

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

/// Largest value, as the brief says.
const MAX_VALUE_BYTES: usize = 1_000_000;

/// Longest wait of a watch.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);

/// What is wrong with the store.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Every call fails.
    pub down: bool,
    /// Every call takes this much longer.
    pub delay_ms: u64,
    /// This many updates take effect, but their answer is lost.
    pub lose_answers: u32,
}

#[derive(Clone, Debug)]
struct Object {
    version: u64,
    value: String,
}

#[derive(Debug, Default)]
struct Objects {
    version: u64,
    by_key: BTreeMap<String, Object>,
}

struct StoreCore {
    objects: Mutex<Objects>,
    changed: watch::Sender<u64>,
    faults: Mutex<StoreFaults>,
    reads: std::sync::atomic::AtomicU64,
    writes: std::sync::atomic::AtomicU64,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    core: Arc<StoreCore>,
    /// Where it listens.
    pub address: SocketAddr,
}

impl Store {
    /// Starts a store on the current runtime; port 0 takes any.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
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

    /// Its base address.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Changes what is wrong with it.
    pub fn set_faults(&self, faults: StoreFaults) {
        *self.core.faults.lock().expect("never poisoned") = faults;
    }

    /// Writes an object unconditionally and returns its version.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        self.core.put(key, value)
    }

    /// Puts an object back to an older version, as from a backup.
    ///
    /// # Panics
    ///
    /// Never: the lock is never poisoned.
    pub fn restore(&self, key: &str, version: u64, value: &str) {
        let object = Object { version, value: value.to_owned() };
        let mut objects = self.core.objects.lock().expect("never poisoned");
        objects.by_key.insert(key.to_owned(), object);
        drop(objects);
        self.core.changed.send_replace(version);
    }

    /// Reads an object, with its version.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<(u64, String)> {
        let objects = self.core.objects.lock().expect("never poisoned");
        objects.by_key.get(key).map(|object| (object.version, object.value.clone()))
    }

    /// Calls so far: reads, watches included, and writes.
    #[must_use]
    pub fn calls(&self) -> (u64, u64) {
        let load = |counter: &std::sync::atomic::AtomicU64| {
            counter.load(std::sync::atomic::Ordering::Relaxed)
        };
        (load(&self.core.reads), load(&self.core.writes))
    }

    /// Sets the list of instances.
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

#[derive(Deserialize)]
struct WatchQuery {
    after: Option<u64>,
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
