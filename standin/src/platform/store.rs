//! The platform's store and its call that promotes.

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

/// What the store does with calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Calls are answered.
    #[default]
    Up,
    /// Every call is refused; nothing is done.
    Down,
    /// Writes are done and not answered.
    AnswersLost,
    /// Calls are taken and never answered, not even later.
    Silent,
}

/// What the store keeps, and how it came about.
#[derive(Clone, Default)]
struct History {
    revision: u64,
    kept: BTreeMap<(String, String), Value>,
    events: Vec<(u64, String, Value)>,
    /// Events up to this revision are forgotten.
    forgotten: u64,
}

/// A copy of what the store kept at a moment.
pub struct StoreBackup(History);

/// What a store lost when it came back from a copy, and others write again.
pub struct LostChanges {
    written: Vec<(String, String, Value)>,
    removed: Vec<(String, String)>,
}

/// Kinds that the operator and the servers write.
const REPEATED_KINDS: [&str; 2] = ["config", "servers"];

#[derive(Default)]
struct Objects {
    history: History,
    /// Counts returns from a copy; a store that does not tell it has none.
    era: Option<u64>,
    mode: Mode,
    /// Highest token seen, by group.
    tokens: HashMap<String, u64>,
    promotions: Vec<(String, String, u64)>,
    /// Kinds that were watched, and from which revision.
    watches: Vec<(String, u64)>,
    /// Calls that create an object, by kind.
    creations: HashMap<String, usize>,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    /// Where it listens.
    pub address: SocketAddr,
    objects: Arc<Mutex<Objects>>,
    changes: watch::Sender<u64>,
    groups: Arc<Mutex<Vec<Group>>>,
    promote_time: Duration,
}

impl Store {
    /// Starts an empty store. A server that is to lead does so after
    /// `promote_time`.
    pub async fn start(promote_time: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let store = Self {
            address: listener.local_addr().unwrap(),
            objects: Arc::default(),
            changes: watch::Sender::new(0),
            groups: Arc::default(),
            promote_time,
        };
        let router = Router::new()
            .route("/-/objects/{kind}", get(list).post(create))
            .route("/-/objects/{kind}/{name}", get(read).put(replace).delete(remove))
            .route("/promote", post(promote))
            .with_state(store.clone());
        tokio::spawn(async move { axum::serve(listener, router).await });
        store
    }

    fn lock(&self) -> MutexGuard<'_, Objects> {
        self.objects.lock().unwrap()
    }

    /// Sets what it does with calls from now on.
    pub fn set_mode(&self, mode: Mode) {
        self.lock().mode = mode;
    }

    /// Forgets all changes so far.
    pub fn discard_history(&self) {
        let history = &mut self.lock().history;
        history.forgotten = history.revision;
        history.events.clear();
    }

    /// Tells in all answers from now on how often it came back from a copy.
    pub fn set_reported_era(&self, era: u64) {
        self.lock().era = Some(era);
    }

    /// Copies what it keeps.
    #[must_use]
    pub fn copy(&self) -> StoreBackup {
        StoreBackup(self.lock().history.clone())
    }

    /// Comes back from a copy. Returns what the operator and the servers wrote
    /// since it was taken.
    #[must_use]
    pub fn restore(&self, copy: &StoreBackup) -> LostChanges {
        let lost = {
            let mut objects = self.lock();
            let lost = LostChanges::between(&copy.0, &objects.history);
            objects.history = copy.0.clone();
            objects.era = objects.era.map(|era| era + 1);
            lost
        };
        self.announce();
        lost
    }

    /// The operator and the servers write again what was lost.
    pub fn repeat_lost_writes(&self, lost: &LostChanges) {
        for (kind, name, spec) in &lost.written {
            self.put(kind, name, spec);
        }
        for (kind, name) in &lost.removed {
            self.delete(kind, name);
        }
    }

    /// Its revision.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.lock().history.revision
    }

    /// Changes of other kinds bring its revision up to this one.
    pub fn advance_to(&self, revision: u64) {
        while self.revision() < revision {
            self.put("others", "counter", &json!({ "at": self.revision() }));
        }
    }

    /// Orders to promote that were accepted: group, server, token.
    #[must_use]
    pub fn promotions(&self) -> Vec<(String, String, u64)> {
        self.lock().promotions.clone()
    }

    /// Calls so far that were to create an object of a kind, refused ones too.
    #[must_use]
    pub fn creations(&self, kind: &str) -> usize {
        self.lock().creations.get(kind).copied().unwrap_or_default()
    }

    /// Calls so far that watched a kind from this revision on, or from a later one.
    #[must_use]
    pub fn watches(&self, kind: &str, revision: u64) -> usize {
        let objects = self.lock();
        let of_kind = objects.watches.iter().filter(|(k, _)| k == kind);
        of_kind.filter(|(_, after)| *after >= revision).count()
    }

    /// Names of all objects of a kind.
    #[must_use]
    pub fn names(&self, kind: &str) -> Vec<String> {
        let objects = self.lock();
        let of_kind = objects.history.kept.keys().filter(|(k, _)| k == kind);
        of_kind.map(|(_, name)| name.clone()).collect()
    }

    /// Lists the servers of a group.
    pub fn add_group(&self, group: &Group) {
        self.groups.lock().unwrap().push(group.clone());
        for number in 0..group.size() {
            self.publish_server(group, number, "ready");
        }
    }

    /// Writes a server's entry as the server would.
    pub fn publish_server(&self, group: &Group, number: usize, state: &str) {
        let role = if group.acts_as_primary(number) { "primary" } else { "replica" };
        let spec = json!({
            "service": group.name(), "address": group.address(number).to_string(),
            "zone": "a", "version": "v1", "slots": 3, "state": state, "cold_left_ms": 0,
            "db_role": role, "seq": 1,
        });
        self.put("servers", &group.id(number), &spec);
    }

    /// A server is not listed any more.
    pub fn remove_server(&self, group: &Group, number: usize) {
        self.delete("servers", &group.id(number));
    }

    /// Writes an object as the operator would.
    pub fn put(&self, kind: &str, name: &str, spec: &Value) {
        self.lock().history.put(kind, name, spec);
        self.announce();
    }

    /// Keeps anything as an object, as a careless writer could.
    pub fn put_raw(&self, kind: &str, name: &str, object: &Value) {
        {
            let history = &mut self.lock().history;
            history.revision += 1;
            history.kept.insert((kind.to_owned(), name.to_owned()), object.clone());
            let event = json!({ "removed": false, "object": object });
            history.events.push((history.revision, kind.to_owned(), event));
        }
        self.announce();
    }

    /// Removes an object.
    pub fn delete(&self, kind: &str, name: &str) {
        self.lock().history.delete(kind, name);
        self.announce();
    }

    fn announce(&self) {
        self.changes.send_replace(self.revision());
    }

    /// The answer to a call that is refused. A silent store does not even say that.
    async fn refusal(&self) -> Option<Response> {
        let mode = self.lock().mode;
        if mode == Mode::Silent {
            std::future::pending::<()>().await;
        }
        (mode == Mode::Down).then(|| self.lock().with_era_header(StatusCode::SERVICE_UNAVAILABLE))
    }

    /// Changes an object, if it is at this revision.
    fn change_at(
        &self,
        kind: &str,
        name: &str,
        revision: Option<u64>,
        change: impl FnOnce(&mut History, Value) -> Value,
    ) -> Response {
        let mut objects = self.lock();
        let response = objects.history.change_at(kind, name, revision, change);
        objects.with_era_header(response)
    }

    /// The answer to a write, unless it is lost.
    async fn answer(&self, response: Response) -> Response {
        let lost = self.lock().mode == Mode::AnswersLost;
        if lost {
            std::future::pending::<()>().await;
        }
        response
    }
}

impl LostChanges {
    fn between(copy: &History, lost: &History) -> Self {
        let written_again = |(kind, _): &&(String, String)| REPEATED_KINDS.contains(&kind.as_str());
        let written = lost.kept.iter().filter(|(key, _)| written_again(key));
        let written = written.filter(|(key, object)| copy.kept.get(*key) != Some(object));
        let written = written
            .map(|((kind, name), object)| (kind.clone(), name.clone(), object["spec"].clone()));
        let removed = copy.kept.keys().filter(written_again);
        let removed = removed.filter(|key| !lost.kept.contains_key(*key));
        Self { written: written.collect(), removed: removed.cloned().collect() }
    }
}

impl Objects {
    /// An answer, with the era of the state that it shows.
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
        self.kept.insert((kind.to_owned(), name.to_owned()), object.clone());
        let event = json!({ "removed": false, "object": object });
        self.events.push((self.revision, kind.to_owned(), event));
        object
    }

    fn delete(&mut self, kind: &str, name: &str) -> bool {
        let Some(object) = self.kept.remove(&(kind.to_owned(), name.to_owned())) else {
            return false;
        };
        self.revision += 1;
        let event = json!({ "removed": true, "object": object });
        self.events.push((self.revision, kind.to_owned(), event));
        true
    }

    /// Changes an object that is at this revision. The answer holds the object
    /// that `change` returns, or the one that is at another revision.
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
        self.kept.get(&(kind.to_owned(), name.to_owned())).cloned()
    }
}

async fn list(
    State(store): State<Store>,
    Path(kind): Path<String>,
    Query(query): Query<HashMap<String, String>>,
) -> Response {
    if let Some(refusal) = store.refusal().await {
        return refusal;
    }
    if let Some(after) = query.get("watch") {
        let wait = query.get("wait_ms").map_or(0, |wait| wait.parse().unwrap());
        return watch_changes(&store, &kind, after.parse().unwrap(), wait).await;
    }
    let objects = store.lock();
    let of_kind = objects.history.kept.iter().filter(|((k, _), _)| *k == kind);
    let items: Vec<_> = of_kind.map(|(_, object)| object.clone()).collect();
    let revision = objects.history.revision;
    let body = json!({ "items": items, "has_more": false, "store_revision": revision });
    objects.with_era_header(Json(body))
}

async fn watch_changes(store: &Store, kind: &str, after: u64, wait_ms: u64) -> Response {
    store.lock().watches.push((kind.to_owned(), after));
    let mut changes = store.changes.subscribe();
    let until = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
    loop {
        {
            let objects = store.lock();
            if objects.mode == Mode::Down {
                return objects.with_era_header(StatusCode::SERVICE_UNAVAILABLE);
            }
            let history = &objects.history;
            if after < history.forgotten || after > history.revision {
                return objects.with_era_header(StatusCode::GONE);
            }
            let newer = history.events.iter().filter(|(at, k, _)| *at > after && k == kind);
            let events: Vec<_> = newer.map(|(_, _, event)| event.clone()).collect();
            if !events.is_empty() || tokio::time::Instant::now() >= until {
                let revision = history.revision;
                let body = json!({ "events": events, "store_revision": revision });
                return objects.with_era_header(Json(body));
            }
        }
        // Either wakes the loop.
        let _timeout = tokio::time::timeout_at(until, changes.changed()).await;
    }
}

async fn read(State(store): State<Store>, Path((kind, name)): Path<(String, String)>) -> Response {
    if let Some(refusal) = store.refusal().await {
        return refusal;
    }
    let objects = store.lock();
    match objects.history.get(&kind, &name) {
        Some(object) => objects.with_era_header(Json(object)),
        None => objects.with_era_header(StatusCode::NOT_FOUND),
    }
}

async fn create(
    State(store): State<Store>,
    Path(kind): Path<String>,
    Json(body): Json<Value>,
) -> Response {
    if let Some(refusal) = store.refusal().await {
        return refusal;
    }
    let name = body["meta"]["name"].as_str().unwrap().to_owned();
    let response = {
        let mut objects = store.lock();
        *objects.creations.entry(kind.clone()).or_default() += 1;
        let response = match objects.history.get(&kind, &name) {
            Some(object) => (StatusCode::CONFLICT, Json(object)).into_response(),
            None => Json(objects.history.put(&kind, &name, &body["spec"])).into_response(),
        };
        objects.with_era_header(response)
    };
    store.announce();
    store.answer(response).await
}

async fn replace(
    State(store): State<Store>,
    Path((kind, name)): Path<(String, String)>,
    Json(body): Json<Value>,
) -> Response {
    if let Some(refusal) = store.refusal().await {
        return refusal;
    }
    let put = |history: &mut History, _| history.put(&kind, &name, &body["spec"]);
    let response = store.change_at(&kind, &name, body["meta"]["rev"].as_u64(), put);
    store.announce();
    store.answer(response).await
}

async fn remove(
    State(store): State<Store>,
    Path((kind, name)): Path<(String, String)>,
    Query(query): Query<HashMap<String, String>>,
) -> Response {
    if let Some(refusal) = store.refusal().await {
        return refusal;
    }
    let delete = |history: &mut History, object| {
        history.delete(&kind, &name);
        object
    };
    let response = store.change_at(&kind, &name, query["rev"].parse().ok(), delete);
    store.announce();
    store.answer(response).await
}

/// How late the list tells of a change of primary where the old one goes on.
const LISTING_DELAY: Duration = Duration::from_millis(300);

async fn promote(
    State(store): State<Store>,
    headers: HeaderMap,
    Json(body): Json<Value>,
) -> StatusCode {
    let token: u64 = headers["fence-token"].to_str().unwrap().parse().unwrap();
    let (name, id) = (body["service"].as_str().unwrap(), body["id"].as_str().unwrap());
    {
        let mut objects = store.lock();
        let seen = objects.tokens.entry(name.to_owned()).or_default();
        if token < *seen {
            return StatusCode::CONFLICT;
        }
        *seen = token;
        objects.promotions.push((name.to_owned(), id.to_owned(), token));
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
