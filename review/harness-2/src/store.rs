//! The platform's store, and its call that promotes a server.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Request;
use crate::json::Json;

#[derive(Default)]
struct State {
    revision: u64,
    /// Spec and revision of each object, by kind and name.
    objects: BTreeMap<(String, String), (u64, Json)>,
    /// Changes: revision, kind, whether removed, object.
    events: Vec<(u64, String, bool, Json)>,
}

/// Promotes the server of this id, and returns the status of the answer.
type Promote = Box<dyn Fn(&str) -> u16 + Send>;

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
    promote: Arc<Mutex<Option<Promote>>>,
}

fn text(value: &str) -> Json {
    Json::Text(value.to_owned())
}

fn number(value: u64) -> Json {
    Json::Number(value.to_string())
}

fn table(fields: Vec<(&str, Json)>) -> Json {
    Json::Table(fields.into_iter().map(|(name, value)| (name.to_owned(), value)).collect())
}

fn object(name: &str, revision: u64, spec: &Json) -> Json {
    let meta = table(vec![
        ("name", text(name)),
        ("rev", number(revision)),
        ("created", number(1)),
        ("finalizers", Json::List(Vec::new())),
        ("deleting", Json::Bool(false)),
    ]);
    table(vec![("meta", meta), ("spec", spec.clone()), ("status", Json::Null)])
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: &Json) -> Json {
        let key = (kind.to_owned(), name.to_owned());
        if let Some((revision, present)) = self.objects.get(&key)
            && present == spec
        {
            return object(name, *revision, spec);
        }
        self.revision += 1;
        let stored = object(name, self.revision, spec);
        self.objects.insert(key, (self.revision, spec.clone()));
        self.events.push((self.revision, kind.to_owned(), false, stored.clone()));
        stored
    }

    fn remove(&mut self, kind: &str, name: &str) {
        if let Some((_, spec)) = self.objects.remove(&(kind.to_owned(), name.to_owned())) {
            self.revision += 1;
            let removed = object(name, self.revision, &spec);
            self.events.push((self.revision, kind.to_owned(), true, removed));
        }
    }

    fn get(&self, kind: &str, name: &str) -> Option<(u64, Json)> {
        let (revision, spec) = self.objects.get(&(kind.to_owned(), name.to_owned()))?;
        Some((*revision, object(name, *revision, spec)))
    }
}

impl Store {
    pub fn start(ip: &str) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("it is bound");
        let store = Self { address, shared: Arc::default(), promote: Arc::default() };
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(&stream));
            }
        });
        store
    }

    /// Writes an object as the operator and the servers do. Returns when it is acknowledged.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let spec = Json::parse(spec).expect("valid JSON");
        self.shared.0.lock().unwrap().put(kind, name, &spec);
        self.shared.1.notify_all();
    }

    /// Removes an object, as the platform does with the entry of a server that has left.
    pub fn remove(&self, kind: &str, name: &str) {
        self.shared.0.lock().unwrap().remove(kind, name);
        self.shared.1.notify_all();
    }

    /// Sets what the call that promotes does. Without it, the call changes nothing.
    pub fn on_promote(&self, promote: impl Fn(&str) -> u16 + Send + 'static) {
        *self.promote.lock().unwrap() = Some(Box::new(promote));
    }

    fn serve(&self, stream: &TcpStream) {
        let Some(request) = http::read_request(stream) else {
            return;
        };
        let (status, body) = self.answer(&request);
        http::respond(stream, status, &body);
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        if request.path == "/promote" {
            let body = Json::parse(&request.body).unwrap_or(Json::Null);
            let id = body.get("id").as_text().unwrap_or_default();
            let promote = self.promote.lock().unwrap();
            return (promote.as_ref().map_or(200, |promote| promote(id)), "{}".to_owned());
        }
        let Some(path) = request.path.strip_prefix("/-/objects/") else {
            return (404, "{}".to_owned());
        };
        let (kind, name) = match path.split_once('/') {
            Some((kind, name)) => (kind, Some(name)),
            None => (path, None),
        };
        let answer = match (request.method.as_str(), name) {
            ("GET", None) => match request.query("watch") {
                Some(after) => self.watch(kind, after.parse().unwrap_or(0), request),
                None => self.list(kind),
            },
            ("GET", Some(name)) => match self.shared.0.lock().unwrap().get(kind, name) {
                Some((_, object)) => (200, object.to_string()),
                None => (404, "{}".to_owned()),
            },
            ("POST", None) => self.create(kind, request),
            ("PUT", Some(name)) => self.replace(kind, name, request),
            ("DELETE", Some(name)) => self.delete(kind, name, request),
            _ => (404, "{}".to_owned()),
        };
        self.shared.1.notify_all();
        answer
    }

    fn list(&self, kind: &str) -> (u16, String) {
        let state = self.shared.0.lock().unwrap();
        let of_kind = state.objects.iter().filter(|((k, _), _)| k == kind);
        let items = of_kind.map(|((_, name), (revision, spec))| object(name, *revision, spec));
        let page = table(vec![
            ("items", Json::List(items.collect())),
            ("has_more", Json::Bool(false)),
            ("store_revision", number(state.revision)),
        ]);
        (200, page.to_string())
    }

    fn watch(&self, kind: &str, after: u64, request: &Request) -> (u16, String) {
        let wait = request.query("wait_ms").and_then(|wait| wait.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.shared.0.lock().unwrap();
        loop {
            let newer = state.events.iter().filter(|(at, k, ..)| *at > after && k == kind);
            let events: Vec<_> = newer
                .map(|(_, _, removed, object)| {
                    table(vec![("removed", Json::Bool(*removed)), ("object", object.clone())])
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = number(state.revision);
                let body =
                    table(vec![("events", Json::List(events)), ("store_revision", revision)]);
                return (200, body.to_string());
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn create(&self, kind: &str, request: &Request) -> (u16, String) {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let Some(name) = body.get("meta").get("name").as_text() else {
            return (400, "{}".to_owned());
        };
        let mut state = self.shared.0.lock().unwrap();
        match state.get(kind, name) {
            Some((_, present)) => (409, present.to_string()),
            None => (200, state.put(kind, name, body.get("spec")).to_string()),
        }
    }

    fn replace(&self, kind: &str, name: &str, request: &Request) -> (u16, String) {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let expected = body.get("meta").get("rev").as_u64();
        let mut state = self.shared.0.lock().unwrap();
        match state.get(kind, name) {
            None => (404, "{}".to_owned()),
            Some((revision, present)) if expected.is_some_and(|e| e != revision) => {
                (409, present.to_string())
            }
            Some(_) => (200, state.put(kind, name, body.get("spec")).to_string()),
        }
    }

    fn delete(&self, kind: &str, name: &str, request: &Request) -> (u16, String) {
        let expected: Option<u64> = request.query("rev").and_then(|rev| rev.parse().ok());
        let mut state = self.shared.0.lock().unwrap();
        match state.get(kind, name) {
            None => (404, "{}".to_owned()),
            Some((revision, present)) if expected.is_some_and(|e| e != revision) => {
                (409, present.to_string())
            }
            Some((_, present)) => {
                state.remove(kind, name);
                (200, present.to_string())
            }
        }
    }
}
