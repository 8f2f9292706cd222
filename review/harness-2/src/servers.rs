//! A service: one primary and its replicas, which apply commits later.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::wire::Lines;

/// Time that a read or write takes at a server.
const WORK: Duration = Duration::from_millis(2);

/// A statement with an id, as a server received and ran it.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub service: String,
    pub server: String,
    pub id: String,
    pub text: String,
    /// Access and shape of the prepared statement that it executed.
    pub prepared: Option<(String, String)>,
    /// Number of the last commit in the log that it ran on.
    pub applied: u64,
}

struct Commit {
    at: Instant,
    item: String,
    data: String,
}

struct State {
    log: Vec<Commit>,
    runs: Vec<Run>,
}

#[derive(Clone)]
pub struct Service {
    pub name: String,
    /// Id and address of each server; the first one is the primary.
    pub servers: Vec<(String, SocketAddr)>,
    lag: Duration,
    work: Duration,
    state: Arc<Mutex<State>>,
}

struct Session {
    state: char,
    writes: Vec<(String, String)>,
    prepared: BTreeMap<String, (String, String)>,
}

impl Service {
    pub fn start(ip: &str, name: &str, size: usize, lag: Duration) -> Self {
        Self::start_with_work(ip, name, size, lag, WORK)
    }

    pub fn start_with_work(
        ip: &str,
        name: &str,
        size: usize,
        lag: Duration,
        work: Duration,
    ) -> Self {
        let listeners: Vec<_> =
            (0..size).map(|_| TcpListener::bind((ip, 0)).expect("a free port")).collect();
        let servers = listeners.iter().enumerate().map(|(number, listener)| {
            (format!("i-{name}-{number}"), listener.local_addr().expect("it is bound"))
        });
        let first = Commit { at: Instant::now(), item: "-".to_owned(), data: String::new() };
        let service = Self {
            name: name.to_owned(),
            servers: servers.collect(),
            lag,
            work,
            state: Arc::new(Mutex::new(State { log: vec![first], runs: Vec::new() })),
        };
        for (number, listener) in listeners.into_iter().enumerate() {
            let service = service.clone();
            std::thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let service = service.clone();
                    std::thread::spawn(move || service.serve(number, stream));
                }
            });
        }
        service
    }

    /// The entry of a server, as it writes it to the store.
    pub fn entry(&self, number: usize) -> String {
        let role = if number == 0 { "primary" } else { "replica" };
        format!(
            r#"{{"service":"{}","address":"{}","zone":"hall1","version":"v1","slots":3,"state":"ready","cold_left_ms":0,"db_role":"{role}","seq":1}}"#,
            self.name, self.servers[number].1
        )
    }

    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().unwrap().runs.clone()
    }

    /// The data that the primary has for an item.
    pub fn data_of(&self, item: &str) -> Option<String> {
        let state = self.state.lock().unwrap();
        let found = state.log.iter().rev().find(|commit| commit.item == item);
        found.map(|commit| commit.data.clone())
    }

    fn serve(&self, number: usize, stream: TcpStream) {
        let mut lines = Lines::new(stream);
        let mut session = Session { state: 'I', writes: Vec::new(), prepared: BTreeMap::new() };
        while let Some(line) = lines.next() {
            let answer = match line.split_once(' ') {
                Some(("START", rest)) => {
                    let mut fields = rest.split(' ');
                    let (service, id) = (fields.next(), fields.nth(1));
                    let is_this = service == Some(&self.name)
                        && id.is_none_or(|id| id == self.servers[number].0);
                    if is_this {
                        format!("READY I {}\r\n", self.position(number))
                    } else {
                        lines.send("ERROR MISROUTED another server\r\n");
                        return;
                    }
                }
                Some(("QUERY", rest)) => {
                    let (id, text) = rest.split_once(' ').unwrap_or((rest, ""));
                    self.query(number, &mut session, id, text)
                }
                _ => return,
            };
            if !lines.send(&answer) {
                return;
            }
        }
    }

    fn applied(&self, state: &State, number: usize) -> u64 {
        let due = |commit: &&Commit| number == 0 || commit.at + self.lag <= Instant::now();
        state.log.iter().take_while(due).count() as u64
    }

    fn position(&self, number: usize) -> String {
        format!("1.{}", self.applied(&self.state.lock().unwrap(), number))
    }

    fn query(&self, number: usize, session: &mut Session, id: &str, text: &str) -> String {
        let result = self.run(number, session, id, text);
        let mut answer = String::new();
        match result {
            Ok(rows) => {
                for row in rows {
                    answer.push_str(&format!("ROW {row}\r\n"));
                }
                let signature =
                    if id == "-" { "-".to_owned() } else { format!("7.{}.{id}", self.name) };
                answer.push_str(&format!("DONE {signature}\r\n"));
            }
            Err(code) => answer.push_str(&format!("ERROR {code} {}\r\n", self.servers[number].0)),
        }
        answer.push_str(&format!("READY {} {}\r\n", session.state, self.position(number)));
        answer
    }

    fn run(
        &self,
        number: usize,
        session: &mut Session,
        id: &str,
        text: &str,
    ) -> Result<Vec<String>, &'static str> {
        let mut text = text;
        if let Some(rest) = text.strip_prefix("AFTER ") {
            let (position, rest) = rest.split_once(' ').ok_or("MALFORMED")?;
            let index: u64 = position
                .split_once('.')
                .and_then(|(_, index)| index.parse().ok())
                .ok_or("MALFORMED")?;
            if self.applied(&self.state.lock().unwrap(), number) < index {
                return Err("LAGGING");
            }
            text = rest;
        }
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        if session.state == 'E' && !matches!(word, "COMMIT" | "ROLLBACK") {
            return Err("MALFORMED");
        }
        match word {
            "BEGIN" => {
                if rest.is_empty() && number != 0 {
                    return Err("READONLY");
                }
                session.state = 'T';
                Ok(Vec::new())
            }
            "ROLLBACK" => {
                session.state = 'I';
                session.writes.clear();
                Ok(Vec::new())
            }
            "COMMIT" => {
                if std::mem::replace(&mut session.state, 'I') != 'T' {
                    session.writes.clear();
                    return Err("ABORTED");
                }
                std::thread::sleep(self.work);
                self.record(number, id, text);
                self.commit(session);
                Ok(Vec::new())
            }
            "READ" => {
                std::thread::sleep(self.work);
                self.record(number, id, text);
                Ok(vec![self.value(number, rest)])
            }
            "WRITE" => self.write(number, session, id, text, rest, None),
            "SET" | "DEALLOC" => Ok(Vec::new()),
            "RESET" => {
                session.prepared.clear();
                Ok(Vec::new())
            }
            "PREPARE" => {
                let (name, rest) = rest.split_once(' ').ok_or("MALFORMED")?;
                let (access, shape) = rest.split_once(' ').ok_or("MALFORMED")?;
                if !matches!(access, "READ" | "WRITE") {
                    return Err("MALFORMED");
                }
                session.prepared.insert(name.to_owned(), (access.to_owned(), shape.to_owned()));
                Ok(Vec::new())
            }
            "EXECUTE" => {
                let (name, arguments) = rest.split_once(' ').ok_or("MALFORMED")?;
                let prepared = session.prepared.get(name).cloned().ok_or("NOSTMT")?;
                if prepared.0 == "WRITE" {
                    return self.write(number, session, id, text, arguments, Some(prepared));
                }
                std::thread::sleep(self.work);
                self.record_prepared(number, id, text, Some(prepared));
                Ok(vec![self.value(number, arguments)])
            }
            "STATUS" | "PAUSE" | "RESUME" | "DEMOTE" => {
                let role = if number == 0 { "primary" } else { "replica" };
                let received = self.state.lock().unwrap().log.len();
                let lag_ms = if number == 0 { 0 } else { self.lag.as_millis() };
                Ok(vec![format!("{role} 1 1.{received} 0 {lag_ms} 0 1")])
            }
            _ => Err("MALFORMED"),
        }
    }

    fn record(&self, number: usize, id: &str, text: &str) {
        self.record_prepared(number, id, text, None);
    }

    fn record_prepared(
        &self,
        number: usize,
        id: &str,
        text: &str,
        prepared: Option<(String, String)>,
    ) {
        let mut state = self.state.lock().unwrap();
        let applied = self.applied(&state, number);
        state.runs.push(Run {
            at: Instant::now(),
            service: self.name.clone(),
            server: self.servers[number].0.clone(),
            id: id.to_owned(),
            text: text.to_owned(),
            prepared,
            applied,
        });
    }

    fn value(&self, number: usize, item: &str) -> String {
        let state = self.state.lock().unwrap();
        let applied = usize::try_from(self.applied(&state, number)).unwrap_or(usize::MAX);
        let found = state.log[..applied].iter().rev().find(|commit| commit.item == item);
        found.map_or("none".to_owned(), |commit| commit.data.clone())
    }

    fn write(
        &self,
        number: usize,
        session: &mut Session,
        id: &str,
        text: &str,
        arguments: &str,
        prepared: Option<(String, String)>,
    ) -> Result<Vec<String>, &'static str> {
        if number != 0 {
            return Err("READONLY");
        }
        std::thread::sleep(self.work);
        self.record_prepared(number, id, text, prepared);
        let (item, data) = arguments.split_once(' ').unwrap_or((arguments, ""));
        session.writes.push((item.to_owned(), data.to_owned()));
        if session.state == 'I' {
            self.commit(session);
        }
        Ok(Vec::new())
    }

    fn commit(&self, session: &mut Session) {
        let mut state = self.state.lock().unwrap();
        for (item, data) in session.writes.drain(..) {
            state.log.push(Commit { at: Instant::now(), item, data });
        }
    }
}
