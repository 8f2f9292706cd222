//! Stand-in for the platform's store and its promotion call, with faults that tests can inject.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::extract::Path;
use axum::extract::Query;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::platform::servers::Group;

/// How the store handles requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Handles all requests.
    #[default]
    Up,
    /// Refuses every request and executes none.
    Down,
    /// Executes writes but sends no response to them.
    AnswersLost,
    /// Accepts requests and never responds to them, not even after the mode changes.
    Silent,
}

/// Objects in the store, and the changes that led to them.
#[derive(Clone, Default)]
struct History {
    revision: u64,
    objects: BTreeMap<(String, String), Value>,
    events: Vec<(u64, String, Value)>,
    /// Revision up to which changes are discarded; watches from before it fail.
    discarded_until: u64,
}

/// A backup of the store.
pub struct StoreBackup(History);

/// Changes by the operator and the servers that a restore from a backup lost.
pub struct LostChanges {
    written: Vec<(String, String, Value)>,
    removed: Vec<(String, String)>,
}

/// Kinds that the operator and the servers write, and write again after a restore.
const REPEATED_KINDS: [&str; 2] = ["config", "servers"];

#[derive(Default)]
struct StoreState {
    history: History,
    /// Number of restores from a backup; `None` if responses do not report it.
    era: Option<u64>,
    mode: Mode,
    /// Highest fencing token received for each group.
    tokens: HashMap<String, u64>,
    promotions: Vec<(String, String, u64)>,
    /// Watches so far: the kind, and the revision from which it was watched.
    watches: Vec<(String, u64)>,
    /// Number of requests to create an object, by kind.
    creations: HashMap<String, usize>,
    /// JSON texts that stand for themselves in responses, at the places of their placeholders.
    texts: Vec<String>,
}

/// Changes objects of a kind in the responses of [`Store::serve_view`].
type Rewrite = Arc<dyn Fn(&str, &mut Value) + Send + Sync>;

/// A running store.
#[derive(Clone)]
pub struct Store {
    /// Address on which the store listens.
    pub address: SocketAddr,
    state: Arc<Mutex<StoreState>>,
    changes: watch::Sender<u64>,
    groups: Arc<Mutex<Vec<Group>>>,
    promote_time: Duration,
    rewrite: Option<Rewrite>,
}

impl Store {
    /// Starts an empty store. A promoted server becomes the primary `promote_time` after the
    /// promotion call.
    pub async fn start(promote_time: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let store = Self {
            address: listener.local_addr().unwrap(),
            state: Arc::default(),
            changes: watch::Sender::new(0),
            groups: Arc::default(),
            promote_time,
            rewrite: None,
        };
        store.clone().serve(listener);
        store
    }

    fn serve(self, listener: TcpListener) {
        let router = Router::new()
            .route("/-/objects/{kind}", get(list).post(create))
            .route("/-/objects/{kind}/{name}", get(read).put(replace).delete(remove))
            .route("/promote", post(promote))
            .with_state(self);
        tokio::spawn(async move { axum::serve(listener, router).await });
    }

    /// Serves the same objects at another address, where `rewrite` changes each object of a
    /// kind before it is returned. With it, each instance can be given other addresses, such as
    /// those of proxies between this and that instance.
    pub async fn serve_view(
        &self,
        rewrite: impl Fn(&str, &mut Value) + Send + Sync + 'static,
    ) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        Self { address, rewrite: Some(Arc::new(rewrite)), ..self.clone() }.serve(listener);
        address
    }

    /// The object as this view returns it.
    fn as_viewed(&self, kind: &str, mut object: Value) -> Value {
        if let Some(rewrite) = &self.rewrite {
            rewrite(kind, &mut object);
        }
        object
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap()
    }

    /// Sets how the store handles requests from now on.
    pub fn set_mode(&self, mode: Mode) {
        self.lock().mode = mode;
    }

    /// Discards all changes so far, so that watches from earlier revisions fail.
    pub fn discard_history(&self) {
        let history = &mut self.lock().history;
        history.discarded_until = history.revision;
        history.events.clear();
    }

    /// Reports this era, the number of restores, in all responses from now on. Each restore
    /// increments it.
    pub fn set_reported_era(&self, era: u64) {
        self.lock().era = Some(era);
    }

    /// Takes a backup.
    #[must_use]
    pub fn copy(&self) -> StoreBackup {
        StoreBackup(self.lock().history.clone())
    }

    /// Restores the store from a backup. Returns the changes that the operator and the servers
    /// made after the backup was taken.
    #[must_use]
    pub fn restore(&self, backup: &StoreBackup) -> LostChanges {
        let lost = {
            let mut state = self.lock();
            let lost = LostChanges::between(&backup.0, &state.history);
            state.history = backup.0.clone();
            state.era = state.era.map(|era| era + 1);
            lost
        };
        self.notify_watchers();
        lost
    }

    /// Repeats lost changes, as the operator and the servers do after a restore.
    pub fn repeat_lost_writes(&self, lost: &LostChanges) {
        for (kind, name, spec) in &lost.written {
            self.put(kind, name, spec);
        }
        for (kind, name) in &lost.removed {
            self.delete(kind, name);
        }
    }

    /// Returns the current revision.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.lock().history.revision
    }

    /// Changes objects of another kind until the store has this revision.
    pub fn advance_to(&self, revision: u64) {
        while self.revision() < revision {
            self.put("others", "counter", &json!({ "at": self.revision() }));
        }
    }

    /// Returns the accepted promotion orders: group, server and fencing token of each.
    #[must_use]
    pub fn promotions(&self) -> Vec<(String, String, u64)> {
        self.lock().promotions.clone()
    }

    /// Returns the number of requests so far to create an object of a kind, including refused
    /// ones.
    #[must_use]
    pub fn creations(&self, kind: &str) -> usize {
        self.lock().creations.get(kind).copied().unwrap_or_default()
    }

    /// Returns the number of watches so far of a kind from this revision or a later one.
    #[must_use]
    pub fn watches(&self, kind: &str, revision: u64) -> usize {
        let state = self.lock();
        let of_kind = state.watches.iter().filter(|(k, _)| k == kind);
        of_kind.filter(|(_, after)| *after >= revision).count()
    }

    /// Returns the names of all objects of a kind.
    #[must_use]
    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = self.lock();
        let of_kind = state.history.objects.keys().filter(|(k, _)| k == kind);
        of_kind.map(|(_, name)| name.clone()).collect()
    }

    /// Adds a group and publishes its servers.
    pub fn add_group(&self, group: &Group) {
        self.groups.lock().unwrap().push(group.clone());
        for number in 0..group.size() {
            self.publish_server(group, number, "ready");
        }
    }

    /// Writes the object of a server, as the server itself does.
    pub fn publish_server(&self, group: &Group, number: usize, state: &str) {
        let role = if group.acts_as_primary(number) { "primary" } else { "replica" };
        let spec = json!({
            "service": group.name(), "address": group.address(number).to_string(),
            "zone": "a", "version": "v1", "slots": 3, "state": state, "cold_left_ms": 0,
            "db_role": role, "seq": 1,
        });
        self.put("servers", &group.id(number), &spec);
    }

    /// Removes the object of a server.
    pub fn remove_server(&self, group: &Group, number: usize) {
        self.delete("servers", &group.id(number));
    }

    /// Creates or replaces an object, as the operator does.
    pub fn put(&self, kind: &str, name: &str, spec: &Value) {
        self.lock().history.put(kind, name, spec);
        self.notify_watchers();
    }

    /// Stores any JSON value as an object, as a faulty writer might.
    pub fn put_raw(&self, kind: &str, name: &str, object: &Value) {
        {
            let history = &mut self.lock().history;
            history.revision += 1;
            history.objects.insert((kind.to_owned(), name.to_owned()), object.clone());
            let event = json!({ "removed": false, "object": object });
            history.events.push((history.revision, kind.to_owned(), event));
        }
        self.notify_watchers();
    }

    /// Returns a value that stands for a JSON text within an object. The text is put into
    /// responses as it is, also if it is nested too deeply for a [`Value`] or is no JSON.
    #[must_use]
    pub fn text(&self, text: &str) -> Value {
        let texts = &mut self.lock().texts;
        texts.push(text.to_owned());
        json!(placeholder(texts.len() - 1))
    }

    /// Removes an object.
    pub fn delete(&self, kind: &str, name: &str) {
        self.lock().history.delete(kind, name);
        self.notify_watchers();
    }

    fn notify_watchers(&self) {
        self.changes.send_replace(self.revision());
    }

    /// Returns the response to a request that the mode refuses. In the mode `Silent` it never
    /// returns.
    async fn refuse_if_unavailable(&self) -> Option<Response> {
        let mode = self.lock().mode;
        if mode == Mode::Silent {
            std::future::pending::<()>().await;
        }
        (mode == Mode::Down).then(|| self.lock().with_era_header(StatusCode::SERVICE_UNAVAILABLE))
    }

    /// Changes an object if it has this revision, and returns the response.
    fn change_at(
        &self,
        kind: &str,
        name: &str,
        revision: Option<u64>,
        change: impl FnOnce(&mut History, Value) -> Value,
    ) -> Response {
        let mut state = self.lock();
        let response = state.history.change_at(kind, name, revision, change);
        state.with_era_header(response)
    }

    /// Returns the response to a write, or never returns if the mode loses it.
    async fn respond(&self, response: Response) -> Response {
        let lost = self.lock().mode == Mode::AnswersLost;
        if lost {
            std::future::pending::<()>().await;
        }
        response
    }
}

impl LostChanges {
    fn between(backup: &History, lost: &History) -> Self {
        let is_repeated = |(kind, _): &&(String, String)| REPEATED_KINDS.contains(&kind.as_str());
        let written = lost.objects.iter().filter(|(key, _)| is_repeated(key));
        let written = written.filter(|(key, object)| backup.objects.get(*key) != Some(object));
        let written = written
            .map(|((kind, name), object)| (kind.clone(), name.clone(), object["spec"].clone()));
        let removed = backup.objects.keys().filter(is_repeated);
        let removed = removed.filter(|key| !lost.objects.contains_key(*key));
        Self { written: written.collect(), removed: removed.cloned().collect() }
    }
}

fn placeholder(number: usize) -> String {
    format!("@text-{number}@")
}

impl StoreState {
    /// Encodes the body of a response.
    fn body(&self, body: &Value) -> String {
        let encoded = body.to_string();
        self.texts.iter().enumerate().fold(encoded, |encoded, (number, text)| {
            encoded.replace(&format!("\"{}\"", placeholder(number)), text)
        })
    }

    /// Adds the era to a response, if the store reports it.
    fn with_era_header(&self, answer: impl IntoResponse) -> Response {
        let mut response = answer.into_response();
        if let Some(era) = self.era {
            response.headers_mut().insert("store-era", era.into());
        }
        response
    }
}

impl History {
    fn put(&mut self, kind: &str, name: &str, spec: &Value) -> Value {
        self.revision += 1;
        let meta = json!({
            "name": name, "rev": self.revision, "created": 1, "finalizers": [],
            "deleting": false,
        });
        let object = json!({ "meta": meta, "spec": spec, "status": null });
        self.objects.insert((kind.to_owned(), name.to_owned()), object.clone());
        let event = json!({ "removed": false, "object": object });
        self.events.push((self.revision, kind.to_owned(), event));
        object
    }

    fn delete(&mut self, kind: &str, name: &str) -> bool {
        let Some(object) = self.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return false;
        };
        self.revision += 1;
        let event = json!({ "removed": true, "object": object });
        self.events.push((self.revision, kind.to_owned(), event));
        true
    }

    /// Changes an object if it has this revision. The response holds the object that `change`
    /// returns, or the present one if its revision differs.
    fn change_at(
        &mut self,
        kind: &str,
        name: &str,
        revision: Option<u64>,
        change: impl FnOnce(&mut Self, Value) -> Value,
    ) -> Response {
        match self.get(kind, name) {
            None => StatusCode::NOT_FOUND.into_response(),
            Some(object) if object["meta"]["rev"].as_u64() != revision => {
                (StatusCode::CONFLICT, Json(object)).into_response()
            }
            Some(object) => Json(change(self, object)).into_response(),
        }
    }

    fn get(&self, kind: &str, name: &str) -> Option<Value> {
        self.objects.get(&(kind.to_owned(), name.to_owned())).cloned()
    }
}

async fn list(
    State(store): State<Store>,
    Path(kind): Path<String>,
    Query(query): Query<HashMap<String, String>>,
) -> Response {
    if let Some(refusal) = store.refuse_if_unavailable().await {
        return refusal;
    }
    if let Some(after) = query.get("watch") {
        let wait = query.get("wait_ms").map_or(0, |wait| wait.parse().unwrap());
        return watch_changes(&store, &kind, after.parse().unwrap(), wait).await;
    }
    let state = store.lock();
    let of_kind = state.history.objects.iter().filter(|((k, _), _)| *k == kind);
    let items: Vec<_> = of_kind.map(|(_, object)| store.as_viewed(&kind, object.clone())).collect();
    let revision = state.history.revision;
    let body = json!({ "items": items, "has_more": false, "store_revision": revision });
    state.with_era_header(state.body(&body))
}

async fn watch_changes(store: &Store, kind: &str, after: u64, wait_ms: u64) -> Response {
    store.lock().watches.push((kind.to_owned(), after));
    let mut changes = store.changes.subscribe();
    let until = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
    loop {
        {
            let state = store.lock();
            if state.mode == Mode::Down {
                return state.with_era_header(StatusCode::SERVICE_UNAVAILABLE);
            }
            let history = &state.history;
            if after < history.discarded_until || after > history.revision {
                return state.with_era_header(StatusCode::GONE);
            }
            let newer = history.events.iter().filter(|(at, k, _)| *at > after && k == kind);
            let mut events: Vec<_> = newer.map(|(_, _, event)| event.clone()).collect();
            for event in &mut events {
                event["object"] = store.as_viewed(kind, event["object"].take());
            }
            if !events.is_empty() || tokio::time::Instant::now() >= until {
                let revision = history.revision;
                let body = json!({ "events": events, "store_revision": revision });
                return state.with_era_header(state.body(&body));
            }
        }
        // A change or the end of the wait continues the loop.
        let _timeout = tokio::time::timeout_at(until, changes.changed()).await;
    }
}

async fn read(State(store): State<Store>, Path((kind, name)): Path<(String, String)>) -> Response {
    if let Some(refusal) = store.refuse_if_unavailable().await {
        return refusal;
    }
    let state = store.lock();
    match state.history.get(&kind, &name) {
        Some(object) => state.with_era_header(state.body(&store.as_viewed(&kind, object))),
        None => state.with_era_header(StatusCode::NOT_FOUND),
    }
}

async fn create(
    State(store): State<Store>,
    Path(kind): Path<String>,
    Json(body): Json<Value>,
) -> Response {
    if let Some(refusal) = store.refuse_if_unavailable().await {
        return refusal;
    }
    let name = body["meta"]["name"].as_str().unwrap().to_owned();
    let response = {
        let mut state = store.lock();
        *state.creations.entry(kind.clone()).or_default() += 1;
        let response = match state.history.get(&kind, &name) {
            Some(object) => (StatusCode::CONFLICT, Json(object)).into_response(),
            None => Json(state.history.put(&kind, &name, &body["spec"])).into_response(),
        };
        state.with_era_header(response)
    };
    store.notify_watchers();
    store.respond(response).await
}

async fn replace(
    State(store): State<Store>,
    Path((kind, name)): Path<(String, String)>,
    Json(body): Json<Value>,
) -> Response {
    if let Some(refusal) = store.refuse_if_unavailable().await {
        return refusal;
    }
    let put = |history: &mut History, _| history.put(&kind, &name, &body["spec"]);
    let response = store.change_at(&kind, &name, body["meta"]["rev"].as_u64(), put);
    store.notify_watchers();
    store.respond(response).await
}

async fn remove(
    State(store): State<Store>,
    Path((kind, name)): Path<(String, String)>,
    Query(query): Query<HashMap<String, String>>,
) -> Response {
    if let Some(refusal) = store.refuse_if_unavailable().await {
        return refusal;
    }
    let delete = |history: &mut History, object| {
        history.delete(&kind, &name);
        object
    };
    let response = store.change_at(&kind, &name, query["rev"].parse().ok(), delete);
    store.notify_watchers();
    store.respond(response).await
}

/// Delay until the listing shows a new primary if the former one still accepts writes.
const LISTING_DELAY: Duration = Duration::from_millis(300);

async fn promote(
    State(store): State<Store>,
    headers: HeaderMap,
    Json(body): Json<Value>,
) -> StatusCode {
    let token: u64 = headers["fence-token"].to_str().unwrap().parse().unwrap();
    let (name, id) = (body["service"].as_str().unwrap(), body["id"].as_str().unwrap());
    {
        let mut state = store.lock();
        let seen = state.tokens.entry(name.to_owned()).or_default();
        if token < *seen {
            return StatusCode::CONFLICT;
        }
        *seen = token;
        state.promotions.push((name.to_owned(), id.to_owned(), token));
    }
    let groups = store.groups.lock().unwrap().clone();
    let Some(group) = groups.into_iter().find(|group| group.name() == name) else {
        return StatusCode::NOT_FOUND;
    };
    let id = id.to_owned();
    tokio::spawn(async move {
        tokio::time::sleep(store.promote_time).await;
        if group.promote(&id) {
            if group.keeps_old_primaries_writable() {
                tokio::time::sleep(LISTING_DELAY).await;
            }
            for number in 0..group.size() {
                let state = if group.is_draining(number) { "draining" } else { "ready" };
                store.publish_server(&group, number, state);
            }
        }
    });
    StatusCode::OK
}
