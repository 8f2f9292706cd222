//! A service whose replicas receive each commit before it is acknowledged. Servers drain, leave,
//! crash, come back and are promoted; a replica may receive nothing for a while.

use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::store::Store;
use crate::wire::Lines;

/// Time that a read or write takes at a server.
const WORK: Duration = Duration::from_millis(4);

/// How long a commit waits for a replica. No answer is given after that.
const RECEIPT_LIMIT: Duration = Duration::from_secs(3);

#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub term: u64,
    pub index: u64,
    pub id: String,
}

struct Server {
    id: String,
    address: SocketAddr,
    up: bool,
    draining: bool,
    /// Whether it receives nothing.
    deaf: bool,
    /// The latest term that it heard of.
    term: u64,
    log: Vec<Entry>,
    streams: Vec<TcpStream>,
}

struct State {
    leader: usize,
    term: u64,
    servers: Vec<Server>,
    /// Server, term, and log at the promotion, of each promotion.
    promotions: Vec<(Instant, String, u64, Vec<Entry>)>,
}

#[derive(Clone)]
pub struct Replicated {
    pub name: String,
    promote_time: Duration,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Replicated {
    /// Starts three servers, the first of which is the primary.
    pub fn start(ip: &str, name: &str, promote_time: Duration) -> Self {
        let listeners: Vec<_> =
            (0..3).map(|_| TcpListener::bind((ip, 0)).expect("a free port")).collect();
        let first = Entry { term: 1, index: 1, id: "first".to_owned() };
        let servers = listeners.iter().enumerate().map(|(number, listener)| Server {
            id: format!("i-{name}-{number}"),
            address: listener.local_addr().expect("it is bound"),
            up: true,
            draining: false,
            deaf: false,
            term: 1,
            log: vec![first.clone()],
            streams: Vec::new(),
        });
        let state =
            State { leader: 0, term: 1, servers: servers.collect(), promotions: Vec::new() };
        let service = Self {
            name: name.to_owned(),
            promote_time,
            shared: Arc::new((Mutex::new(state), Condvar::new())),
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

    fn with<R>(&self, f: impl FnOnce(&mut State) -> R) -> R {
        let result = f(&mut self.shared.0.lock().unwrap());
        self.shared.1.notify_all();
        result
    }

    pub fn id(&self, number: usize) -> String {
        self.with(|state| state.servers[number].id.clone())
    }

    /// Writes the entry of a server, as it does itself.
    pub fn publish(&self, store: &Store, number: usize) {
        let (id, entry) = self.with(|state| {
            let server = &state.servers[number];
            let role = if state.leader == number { "primary" } else { "replica" };
            let phase = if server.draining { "draining" } else { "ready" };
            let entry = format!(
                r#"{{"service":"{}","address":"{}","zone":"hall1","version":"v1","slots":2,"state":"{phase}","cold_left_ms":0,"db_role":"{role}","seq":1}}"#,
                self.name, server.address
            );
            (server.id.clone(), entry)
        });
        store.put("servers", &id, &entry);
    }

    pub fn set_draining(&self, number: usize) {
        self.with(|state| state.servers[number].draining = true);
    }

    pub fn set_deaf(&self, number: usize, deaf: bool) {
        self.with(|state| {
            state.servers[number].deaf = deaf;
            if !deaf {
                state.send_log(number);
            }
        });
    }

    /// Ends all connections of a server, which accepts none until it starts again.
    pub fn stop(&self, number: usize) {
        self.with(|state| {
            let server = &mut state.servers[number];
            server.up = false;
            for stream in server.streams.drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        });
    }

    /// Starts a server with the log that it had; under another id, if one is given. It is a
    /// replica if another one leads in a later term.
    pub fn start_again(&self, number: usize, new_id: Option<&str>) {
        self.with(|state| {
            let server = &mut state.servers[number];
            server.up = true;
            server.draining = false;
            if let Some(id) = new_id {
                server.id = id.to_owned();
            }
            state.send_log(number);
        });
    }

    /// Whether a server leads, and the log that it had when it was promoted.
    pub fn promotions(&self) -> Vec<(Instant, String, u64, Vec<Entry>)> {
        self.with(|state| state.promotions.clone())
    }

    pub fn log(&self, number: usize) -> Vec<Entry> {
        self.with(|state| state.servers[number].log.clone())
    }

    /// The platform's call: the server leads the next term some time later, with what it has
    /// received by then. Returns the status of the answer.
    pub fn promote(&self, store: &Store, id: &str) -> u16 {
        let found = self.with(|state| state.servers.iter().position(|s| s.id == id && s.up));
        let Some(number) = found else {
            return 409;
        };
        if self.with(|state| state.leader == number) {
            return 200;
        }
        let (service, store, id) = (self.clone(), store.clone(), id.to_owned());
        std::thread::spawn(move || {
            std::thread::sleep(service.promote_time);
            let promoted = service.with(|state| state.promote(number, &id));
            if promoted {
                let count = service.with(|state| state.servers.len());
                for server in (0..count).filter(|n| service.with(|state| state.servers[*n].up)) {
                    service.publish(&store, server);
                }
            }
        });
        200
    }

    fn serve(&self, number: usize, stream: TcpStream) {
        let accepted = self.with(|state| {
            let server = &mut state.servers[number];
            if !server.up {
                return false;
            }
            stream.try_clone().is_ok_and(|clone| {
                server.streams.push(clone);
                true
            })
        });
        if !accepted {
            return;
        }
        let mut lines = Lines::new(stream);
        let mut phase = 'I';
        let mut writes: Vec<String> = Vec::new();
        while let Some(line) = lines.next() {
            let answer = match line.split_once(' ') {
                Some(("START", rest)) => {
                    let mut fields = rest.split(' ');
                    let (service, id) = (fields.next(), fields.nth(1));
                    let own = self.id(number);
                    if service != Some(&self.name) || id.is_some_and(|id| id != own) {
                        lines.send("ERROR MISROUTED another server\r\n");
                        return;
                    }
                    format!("READY I {}\r\n", self.position(number))
                }
                Some(("QUERY", rest)) => {
                    let (id, text) = rest.split_once(' ').unwrap_or((rest, ""));
                    match self.query(number, &mut phase, &mut writes, id, text) {
                        Some(answer) => answer,
                        None => return,
                    }
                }
                _ => return,
            };
            if !lines.send(&answer) {
                return;
            }
        }
    }

    fn position(&self, number: usize) -> String {
        self.with(|state| state.position(number))
    }

    /// The answer to a statement; `None` if there is none.
    fn query(
        &self,
        number: usize,
        phase: &mut char,
        writes: &mut Vec<String>,
        id: &str,
        text: &str,
    ) -> Option<String> {
        let text = match text.strip_prefix("AFTER ") {
            Some(rest) => {
                let (position, rest) = rest.split_once(' ')?;
                if !self.with(|state| state.has(number, position)) {
                    return Some(self.refusal(number, *phase, "LAGGING"));
                }
                rest
            }
            None => text,
        };
        let leads = self.with(|state| state.leader == number);
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        let mut row = None;
        match word {
            "BEGIN" if rest.is_empty() && !leads => {
                return Some(self.refusal(number, *phase, "READONLY"));
            }
            "BEGIN" => *phase = 'T',
            "ROLLBACK" => {
                *phase = 'I';
                writes.clear();
            }
            "READ" => {
                std::thread::sleep(WORK);
                row = Some("data".to_owned());
            }
            "WRITE" | "COMMIT" => {
                if !leads {
                    *phase = 'I';
                    return Some(self.refusal(number, 'I', "READONLY"));
                }
                std::thread::sleep(WORK);
                if word == "WRITE" {
                    writes.push(id.to_owned());
                }
                if word == "COMMIT" || *phase == 'I' {
                    *phase = 'I';
                    let written = std::mem::take(writes);
                    if !self.commit(number, written) {
                        return None;
                    }
                }
            }
            "STATUS" | "PAUSE" | "RESUME" | "DEMOTE" => {
                row = Some(self.with(|state| state.status(number)));
            }
            _ => {}
        }
        let row = row.map_or_else(String::new, |row| format!("ROW {row}\r\n"));
        let signature = if id == "-" { "-".to_owned() } else { format!("7.{}.{id}", self.name) };
        let position = self.position(number);
        Some(format!("{row}DONE {signature}\r\nREADY {phase} {position}\r\n"))
    }

    fn refusal(&self, number: usize, phase: char, code: &str) -> String {
        let position = self.position(number);
        format!("ERROR {code} {}\r\nREADY {phase} {position}\r\n", self.id(number))
    }

    /// Appends the writes of a commit and waits until one replica has received them.
    fn commit(&self, number: usize, written: Vec<String>) -> bool {
        let until = Instant::now() + RECEIPT_LIMIT;
        let mut state = self.shared.0.lock().unwrap();
        if state.leader != number || !state.servers[number].up {
            return false;
        }
        let term = state.term;
        for id in written {
            let index = state.servers[number].log.last().map_or(1, |last| last.index + 1);
            state.servers[number].log.push(Entry { term, index, id });
        }
        let last = state.servers[number].log.last().cloned();
        for other in 0..state.servers.len() {
            state.send_log(other);
        }
        loop {
            if !state.servers[number].up || state.leader != number {
                return false;
            }
            let received = |server: &Server| server.up && server.log.last() >= last.as_ref();
            let others = state.servers.iter().enumerate().filter(|(other, _)| *other != number);
            if others.map(|(_, server)| server).any(received) {
                return true;
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some((self.term, self.index).cmp(&(other.term, other.index)))
    }
}

impl State {
    /// Brings a server that can receive up to the log of the primary.
    fn send_log(&mut self, number: usize) {
        let leader = &self.servers[self.leader];
        let server = &self.servers[number];
        if number == self.leader || !leader.up || !server.up || server.deaf {
            return;
        }
        let log = leader.log.clone();
        self.servers[number].log = log;
        self.servers[number].term = self.term;
    }

    fn promote(&mut self, number: usize, id: &str) -> bool {
        if self.servers[number].id != id || !self.servers[number].up {
            return false;
        }
        self.term += 1;
        self.leader = number;
        let term = self.term;
        self.servers[number].term = term;
        self.servers[number].deaf = false;
        let log = self.servers[number].log.clone();
        self.promotions.push((Instant::now(), id.to_owned(), term, log));
        for other in 0..self.servers.len() {
            self.send_log(other);
        }
        true
    }

    fn position(&self, number: usize) -> String {
        let last = self.servers[number].log.last();
        last.map_or("-".to_owned(), |last| format!("{}.{}", last.term, last.index))
    }

    fn has(&self, number: usize, position: &str) -> bool {
        let Some((term, index)) = position.split_once('.') else {
            return true;
        };
        let (term, index) = (term.parse().unwrap_or(0), index.parse().unwrap_or(0));
        let last = self.servers[number].log.last();
        last.is_some_and(|last| (last.term, last.index) >= (term, index))
    }

    fn status(&self, number: usize) -> String {
        let server = &self.servers[number];
        let role = if self.leader == number { "primary" } else { "replica" };
        format!("{role} {} {} 0 0 0 1", server.term, self.position(number))
    }
}
