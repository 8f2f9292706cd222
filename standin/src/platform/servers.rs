//! A group of database servers that speak the platform's wire.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncBufReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::BufReader;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// A committed write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Term in which it was committed.
    pub term: u64,
    /// Number in the log.
    pub index: u64,
    /// Id of the statement that wrote it.
    pub request: String,
    /// What it writes.
    pub item: String,
    /// The new value.
    pub data: String,
}

/// A statement of a client that a server ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Number of the server.
    pub server: usize,
    /// Connection it came on.
    pub connection: u64,
    /// Who opened that connection, as the server was told.
    pub caller: String,
    /// Its id.
    pub request: String,
    /// Its text, a prepared name replaced by the shape.
    pub text: String,
    /// Session values of the connection.
    pub values: BTreeMap<String, String>,
    /// Whether it ran inside a transaction.
    pub in_transaction: bool,
    /// When.
    pub at: Instant,
}

struct Server {
    id: String,
    address: SocketAddr,
    log: Vec<Entry>,
    applied: usize,
    lag: Duration,
    /// Ends all connections when it changes.
    lives: watch::Sender<u64>,
    up: bool,
    /// Statements that contain this text run, and their answer is lost.
    lose_answers_of: Option<String>,
    /// Whether the connection ends instead of the lost answer.
    breaks: bool,
    /// So many statements are refused as too many.
    busy_left: usize,
    connections: usize,
    started: usize,
    /// It says that it is about to leave.
    leaving: bool,
    /// The term in which it goes on as a primary after another was promoted.
    former_primary_term: Option<u64>,
}

struct State {
    group: String,
    term: u64,
    leader: usize,
    servers: Vec<Server>,
    runs: Vec<Run>,
    next_connection: u64,
    /// Whether a primary goes on, until it is demoted, when another is promoted.
    old_primary_stays_writable: bool,
}

/// A group of servers.
#[derive(Clone)]
pub struct Group {
    state: Arc<Mutex<State>>,
}

impl Group {
    /// Starts a group; the first server leads.
    pub async fn start(group: &str, size: usize, lag: Duration) -> Self {
        let mut servers = Vec::new();
        let mut listeners = Vec::new();
        for number in 0..size {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            servers.push(Server {
                id: format!("i-{group}-{number}"),
                address: listener.local_addr().unwrap(),
                log: Vec::new(),
                applied: 0,
                lag,
                lives: watch::Sender::new(0),
                up: true,
                lose_answers_of: None,
                breaks: false,
                busy_left: 0,
                connections: 0,
                started: 0,
                leaving: false,
                former_primary_term: None,
            });
            listeners.push(listener);
        }
        let state = State {
            group: group.to_owned(),
            term: 1,
            leader: 0,
            servers,
            runs: Vec::new(),
            next_connection: 0,
            old_primary_stays_writable: false,
        };
        let group = Self { state: Arc::new(Mutex::new(state)) };
        for (number, listener) in listeners.into_iter().enumerate() {
            tokio::spawn(group.clone().accept(number, listener));
        }
        group
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Name of the group.
    #[must_use]
    pub fn name(&self) -> String {
        self.lock().group.clone()
    }

    /// Number of its servers.
    #[must_use]
    pub fn size(&self) -> usize {
        self.lock().servers.len()
    }

    /// Id of a server.
    #[must_use]
    pub fn id(&self, number: usize) -> String {
        self.lock().servers[number].id.clone()
    }

    /// Address of a server, as the platform lists it.
    #[must_use]
    pub fn address(&self, number: usize) -> SocketAddr {
        self.lock().servers[number].address
    }

    /// Number of the primary.
    #[must_use]
    pub fn leader(&self) -> usize {
        self.lock().leader
    }

    /// All statements of clients that ran.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// What a server received.
    #[must_use]
    pub fn log(&self, number: usize) -> Vec<Entry> {
        self.lock().servers[number].log.clone()
    }

    /// Connections open at a server now.
    #[must_use]
    pub fn connections(&self, number: usize) -> usize {
        self.lock().servers[number].connections
    }

    /// Connections opened at a server so far.
    #[must_use]
    pub fn started(&self, number: usize) -> usize {
        self.lock().servers[number].started
    }

    /// Ends all connections of a server and opens no more.
    pub fn crash(&self, number: usize) {
        let mut state = self.lock();
        state.servers[number].up = false;
        state.servers[number].lives.send_modify(|life| *life += 1);
    }

    /// A crashed server is back, with what the primary has.
    pub fn restart(&self, number: usize) {
        let mut state = self.lock();
        let log = state.servers[state.leader].log.clone();
        let server = &mut state.servers[number];
        server.up = true;
        server.former_primary_term = None;
        server.applied = server.applied.min(log.len());
        server.log = log;
    }

    /// A server says that it is about to leave, or that it stays.
    pub fn set_draining(&self, number: usize, leaving: bool) {
        self.lock().servers[number].leaving = leaving;
    }

    /// Whether a server is about to leave.
    #[must_use]
    pub fn is_draining(&self, number: usize) -> bool {
        self.lock().servers[number].leaving
    }

    /// The platform lists another address for a server, which leads to it.
    pub fn set_address(&self, number: usize, address: SocketAddr) {
        self.lock().servers[number].address = address;
    }

    /// Statements that contain this text run from now on without an answer.
    pub fn lose_answers_of(&self, number: usize, prefix: Option<&str>) {
        self.lock().servers[number].lose_answers_of = prefix.map(str::to_owned);
    }

    /// As [`Self::lose_answers_of`], and the connection ends at once.
    pub fn disconnect_on_answers_of(&self, number: usize, text: Option<&str>) {
        self.lose_answers_of(number, text);
        self.lock().servers[number].breaks = text.is_some();
    }

    /// The next statements are refused as too many.
    pub fn refuse_as_busy(&self, number: usize, count: usize) {
        self.lock().servers[number].busy_left = count;
    }

    /// A server applies what it received only after this time.
    pub fn set_lag(&self, number: usize, lag: Duration) {
        self.lock().servers[number].lag = lag;
    }

    /// From now on a primary goes on, until it is demoted, when another one is
    /// promoted.
    pub fn keep_old_primaries_writable(&self) {
        self.lock().old_primary_stays_writable = true;
    }

    /// Whether a primary goes on when another one is promoted.
    #[must_use]
    pub fn keeps_old_primaries_writable(&self) -> bool {
        self.lock().old_primary_stays_writable
    }

    /// Whether a server takes itself for the primary.
    #[must_use]
    pub fn acts_as_primary(&self, number: usize) -> bool {
        self.lock().leads(number)
    }

    /// Makes a server the primary of the next term.
    pub fn promote(&self, id: &str) -> bool {
        let mut state = self.lock();
        let Some(number) = state.servers.iter().position(|s| s.id == id && s.up) else {
            return false;
        };
        if state.leader == number {
            return true;
        }
        let old = state.leader;
        if state.old_primary_stays_writable && state.servers[old].up {
            state.servers[old].former_primary_term = Some(state.term);
        }
        state.term += 1;
        state.leader = number;
        state.servers[number].former_primary_term = None;
        let log = state.servers[number].log.clone();
        let following =
            state.servers.iter_mut().filter(|server| server.former_primary_term.is_none());
        for server in following {
            let common = server.log.iter().zip(&log).take_while(|(a, b)| a == b).count();
            server.log.truncate(common);
            server.applied = server.applied.min(common);
            server.log.extend_from_slice(&log[common..]);
        }
        state.servers[number].applied = log.len();
        true
    }

    async fn accept(self, number: usize, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                return;
            };
            if self.lock().servers[number].up {
                tokio::spawn(self.clone().serve(number, stream));
            }
        }
    }

    async fn serve(self, number: usize, stream: TcpStream) {
        let mut life = {
            let mut state = self.lock();
            state.servers[number].connections += 1;
            state.servers[number].started += 1;
            state.servers[number].lives.subscribe()
        };
        tokio::select! {
            () = self.serve_session(number, stream) => {}
            _ = life.changed() => {}
        }
        self.lock().servers[number].connections -= 1;
    }

    async fn serve_session(&self, number: usize, stream: TcpStream) {
        let (read, mut write) = stream.into_split();
        let mut lines = BufReader::new(read).lines();
        let mut session = {
            let mut state = self.lock();
            state.next_connection += 1;
            Session::new(state.next_connection)
        };
        while let Ok(Some(line)) = lines.next_line().await {
            let answer = match line.split_once(' ') {
                Some(("START", rest)) => {
                    session.caller = rest.split(' ').nth(1).unwrap_or_default().to_owned();
                    Some(self.answer_start(number, rest))
                }
                Some(("QUERY", rest)) => {
                    let (id, text) = rest.split_once(' ').unwrap();
                    self.answer_query(number, &mut session, id, text)
                }
                _ => return,
            };
            match answer {
                Some(answer) => write.write_all(answer.as_bytes()).await.unwrap_or(()),
                // A lost answer: nothing more comes on this connection.
                None if self.lock().servers[number].breaks => return,
                None => std::future::pending().await,
            }
        }
    }

    fn answer_start(&self, number: usize, rest: &str) -> String {
        let state = self.lock();
        let mut fields = rest.split(' ');
        let group = fields.next().unwrap();
        let id = fields.nth(1);
        let server = &state.servers[number];
        if group != state.group || id.is_some_and(|id| id != server.id) {
            return "ERROR MISROUTED another server\r\n".to_owned();
        }
        format!("READY I {}\r\n", state.position(number))
    }

    fn answer_query(
        &self,
        number: usize,
        session: &mut Session,
        id: &str,
        text: &str,
    ) -> Option<String> {
        let mut state = self.lock();
        let result = state.run(number, session, id, text);
        let lost = state.servers[number].lose_answers_of.as_deref();
        if id != "-" && lost.is_some_and(|prefix| text.contains(prefix)) {
            return None;
        }
        let mut answer = String::new();
        match result {
            Ok(rows) => {
                for row in rows {
                    answer.extend(["ROW ", &row, "\r\n"]);
                }
                let server = &state.servers[number].id;
                let signature = if id == "-" { "-".into() } else { format!("sig.{server}.{id}") };
                answer.extend(["DONE ", &signature, "\r\n"]);
            }
            Err(code) => answer.extend(["ERROR ", code, " refused\r\n"]),
        }
        let position = state.position(number);
        Some(format!("{answer}READY {} {position}\r\n", session.state))
    }
}

struct Session {
    connection: u64,
    caller: String,
    state: char,
    plain: bool,
    writes: Vec<(String, String, String)>,
    values: BTreeMap<String, String>,
    prepared: BTreeMap<String, (String, String)>,
}

impl Session {
    fn new(connection: u64) -> Self {
        Self {
            connection,
            caller: String::new(),
            state: 'I',
            plain: false,
            writes: Vec::new(),
            values: BTreeMap::new(),
            prepared: BTreeMap::new(),
        }
    }
}

impl State {
    fn leads(&self, number: usize) -> bool {
        self.leader == number || self.servers[number].former_primary_term.is_some()
    }

    fn term_of(&self, number: usize) -> u64 {
        self.servers[number].former_primary_term.unwrap_or(self.term)
    }

    fn demote(&mut self, number: usize, term: u64) {
        let log = self.servers[self.leader].log.clone();
        let server = &mut self.servers[number];
        if server.former_primary_term.is_some_and(|old| old < term) {
            server.former_primary_term = None;
            let common = server.log.iter().zip(&log).take_while(|(a, b)| a == b).count();
            server.applied = server.applied.min(common);
            server.log = log;
        }
    }

    fn position(&self, number: usize) -> String {
        let server = &self.servers[number];
        match server.applied.checked_sub(1).map(|last| &server.log[last]) {
            Some(entry) => format!("{}.{}", entry.term, entry.index),
            None => "1.0".to_owned(),
        }
    }

    fn run(
        &mut self,
        number: usize,
        session: &mut Session,
        id: &str,
        text: &str,
    ) -> Result<Vec<String>, &'static str> {
        let text = match text.strip_prefix("AFTER ") {
            Some(rest) => {
                let (position, rest) = rest.split_once(' ').unwrap();
                if !self.holds(number, position) {
                    return Err("LAGGING");
                }
                rest
            }
            None => text,
        };
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        let leads = self.leads(number);
        let ends = matches!(word, "COMMIT" | "ROLLBACK");
        if session.state == 'E' && !ends {
            return Err("MALFORMED");
        }
        if session.state == 'T' && session.plain && !leads && !ends {
            session.state = 'E';
            return Err("READONLY");
        }
        let needs_slot = matches!(word, "READ" | "WRITE" | "EXECUTE" | "COMMIT" | "STATUS");
        if needs_slot && self.servers[number].busy_left > 0 {
            self.servers[number].busy_left -= 1;
            return Err("BUSY");
        }
        match word {
            "BEGIN" => {
                if rest.is_empty() && !leads {
                    return Err("READONLY");
                }
                session.state = 'T';
                session.plain = rest.is_empty();
                Ok(Vec::new())
            }
            "COMMIT" => self.commit(number, session, id, text),
            "ROLLBACK" => {
                session.state = 'I';
                session.writes.clear();
                Ok(Vec::new())
            }
            "READ" => {
                self.note(number, session, id, text);
                Ok(vec![self.value(number, rest)])
            }
            "WRITE" => self.write(number, session, id, text, rest),
            "SET" => {
                let (name, value) = rest.split_once(' ').unwrap();
                session.values.insert(name.to_owned(), value.to_owned());
                Ok(Vec::new())
            }
            "RESET" => {
                session.values.clear();
                session.prepared.clear();
                Ok(Vec::new())
            }
            "PREPARE" => {
                let (name, rest) = rest.split_once(' ').unwrap();
                let (access, shape) = rest.split_once(' ').unwrap();
                let prepared = (access.to_owned(), shape.to_owned());
                session.prepared.insert(name.to_owned(), prepared);
                Ok(Vec::new())
            }
            "EXECUTE" => {
                let (name, arguments) = rest.split_once(' ').unwrap();
                let Some((access, shape)) = session.prepared.get(name).cloned() else {
                    return Err("NOSTMT");
                };
                let text = format!("EXECUTE {shape} {arguments}");
                if access == "WRITE" {
                    return self.write(number, session, id, &text, arguments);
                }
                self.note(number, session, id, &text);
                Ok(vec![self.value(number, arguments)])
            }
            "STATUS" => Ok(vec![self.status(number)]),
            "DEMOTE" => {
                self.demote(number, rest.parse().unwrap());
                Ok(vec![self.status(number)])
            }
            _ => Err("MALFORMED"),
        }
    }

    fn status(&self, number: usize) -> String {
        let server = &self.servers[number];
        let role = if self.leads(number) { "primary" } else { "replica" };
        let received = server
            .log
            .last()
            .map_or("1.0".to_owned(), |entry| format!("{}.{}", entry.term, entry.index));
        let (lag_ms, connections) = (server.lag.as_millis(), server.connections);
        let term = self.term_of(number);
        format!("{role} {term} {received} 0 {lag_ms} 0 {connections}")
    }

    fn holds(&self, number: usize, position: &str) -> bool {
        let server = &self.servers[number];
        let applied = &server.log[..server.applied];
        let same = |entry: &Entry| format!("{}.{}", entry.term, entry.index) == position;
        position.ends_with(".0") || applied.iter().any(same)
    }

    fn value(&self, number: usize, item: &str) -> String {
        let server = &self.servers[number];
        let applied = server.log[..server.applied].iter().rev();
        let found = applied.into_iter().find(|entry| entry.item == item);
        found.map_or("none".to_owned(), |entry| entry.data.clone())
    }

    fn note(&mut self, server: usize, session: &Session, id: &str, text: &str) {
        self.runs.push(Run {
            server,
            connection: session.connection,
            caller: session.caller.clone(),
            request: id.to_owned(),
            text: text.to_owned(),
            values: session.values.clone(),
            in_transaction: session.state == 'T',
            at: Instant::now(),
        });
    }

    fn write(
        &mut self,
        number: usize,
        session: &mut Session,
        id: &str,
        text: &str,
        arguments: &str,
    ) -> Result<Vec<String>, &'static str> {
        if !self.leads(number) {
            return Err("READONLY");
        }
        self.note(number, session, id, text);
        let (item, data) = arguments.split_once(' ').unwrap();
        let write = (id.to_owned(), item.to_owned(), data.to_owned());
        session.writes.push(write);
        if session.state == 'I' {
            self.keep(number, session);
        }
        Ok(Vec::new())
    }

    fn commit(
        &mut self,
        number: usize,
        session: &mut Session,
        id: &str,
        text: &str,
    ) -> Result<Vec<String>, &'static str> {
        let failed = session.state != 'T';
        session.state = 'I';
        if failed || (!self.leads(number) && !session.writes.is_empty()) {
            session.writes.clear();
            return Err(if failed { "ABORTED" } else { "READONLY" });
        }
        self.note(number, session, id, text);
        self.keep(number, session);
        Ok(Vec::new())
    }

    /// Appends what a session wrote, and ships it to the replicas.
    fn keep(&mut self, number: usize, session: &mut Session) {
        let next = self.servers[number].log.last().map_or(0, |entry| entry.index) + 1;
        for (index, (request, item, data)) in (next..).zip(session.writes.drain(..)) {
            let entry = Entry { term: self.term_of(number), index, request, item, data };
            if self.servers[number].former_primary_term.is_some() {
                self.servers[number].log.push(entry);
                continue;
            }
            for (other, server) in self.servers.iter_mut().enumerate() {
                let follows = server.up && server.former_primary_term.is_none();
                if other == number || follows {
                    server.log.push(entry.clone());
                }
            }
        }
        self.servers[number].applied = self.servers[number].log.len();
    }
}

/// Lets replicas apply what they received, each after its lag, until the
/// group is dropped.
pub async fn run_replication(group: Group) {
    let mut received: Vec<Vec<Instant>> = vec![Vec::new(); group.size()];
    loop {
        {
            let mut state = group.lock();
            let leader = state.leader;
            for (number, server) in state.servers.iter_mut().enumerate() {
                let times = &mut received[number];
                times.truncate(server.log.len());
                times.resize(server.log.len(), Instant::now());
                let due = times.iter().take_while(|at| at.elapsed() >= server.lag).count();
                if number != leader && server.former_primary_term.is_none() {
                    server.applied = server.applied.max(due.min(server.log.len()));
                }
            }
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}
