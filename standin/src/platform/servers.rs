//! Stand-in for a group of database servers that speak the platform's wire protocol, with a
//! replicated log in memory and faults that tests can inject.

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

use crate::platform::repetition::Repeater;
use crate::platform::repetition::Repetition;
use crate::platform::repetition::Reply;

/// Prefix of items of which a read returns several rows: a decimal number of rows and a hyphen
/// follow, as in `rows3-a`.
const SEVERAL_ROWS_PREFIX: &str = "rows";

/// Largest number of rows that a read returns.
const MAX_ROWS: usize = 100;

/// A committed write in a server's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Term in which it was committed.
    pub term: u64,
    /// Index in the log, from 1.
    pub index: u64,
    /// Id of the statement that wrote it.
    pub request: String,
    /// Name of the item that is written.
    pub item: String,
    /// New value of the item.
    pub data: String,
}

/// A client's statement that a server ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Index of the server in its group.
    pub server: usize,
    /// Number of the connection on which the statement arrived.
    pub connection: u64,
    /// Caller name with which the session on that connection was started.
    pub caller: String,
    /// Id of the statement.
    pub request: String,
    /// Text of the statement, with the name of a prepared statement replaced by its shape.
    pub text: String,
    /// Session values of the connection.
    pub values: BTreeMap<String, String>,
    /// Whether it ran inside a transaction.
    pub in_transaction: bool,
    /// Rows of its result.
    pub rows: Vec<String>,
    /// Time at which it ran.
    pub at: Instant,
}

struct Server {
    id: String,
    address: SocketAddr,
    log: Vec<Entry>,
    applied: usize,
    lag: Duration,
    /// Counts crashes. All connections of the server end when it changes.
    crash_count: watch::Sender<u64>,
    up: bool,
    /// Text of the statements that the server runs without sending a reply.
    lose_answers_of: Option<String>,
    /// Whether the connection ends when a reply is lost. Otherwise it stays open without a
    /// reply.
    disconnects_on_lost_answer: bool,
    /// Number of statements that are still to be refused with `BUSY`.
    busy_left: usize,
    connections: usize,
    accepted_connections: usize,
    /// Whether the server is listed as draining.
    draining: bool,
    /// Which replies the server sends once more.
    repetition: Option<Repetition>,
    /// Term in which a former primary still accepts writes after another server was promoted.
    former_primary_term: Option<u64>,
}

struct State {
    group: String,
    term: u64,
    leader: usize,
    servers: Vec<Server>,
    runs: Vec<Run>,
    next_connection: u64,
    /// Number of repeated replies that were sent.
    repetitions_sent: u64,
    /// Whether a former primary still accepts writes until it is demoted.
    old_primary_stays_writable: bool,
}

/// A group of servers.
#[derive(Clone)]
pub struct Group {
    state: Arc<Mutex<State>>,
}

impl Group {
    /// Starts a group whose first server is the primary. Replicas apply writes `lag` after
    /// they receive them.
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
                crash_count: watch::Sender::new(0),
                up: true,
                lose_answers_of: None,
                disconnects_on_lost_answer: false,
                busy_left: 0,
                connections: 0,
                accepted_connections: 0,
                draining: false,
                repetition: None,
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
            repetitions_sent: 0,
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

    /// Returns the name of the group.
    #[must_use]
    pub fn name(&self) -> String {
        self.lock().group.clone()
    }

    /// Returns the number of servers.
    #[must_use]
    pub fn size(&self) -> usize {
        self.lock().servers.len()
    }

    /// Returns the id of a server.
    #[must_use]
    pub fn id(&self, number: usize) -> String {
        self.lock().servers[number].id.clone()
    }

    /// Returns the address of a server, as the platform lists it.
    #[must_use]
    pub fn address(&self, number: usize) -> SocketAddr {
        self.lock().servers[number].address
    }

    /// Returns the index of the primary of the current term.
    #[must_use]
    pub fn leader(&self) -> usize {
        self.lock().leader
    }

    /// Returns all client statements that servers of the group ran.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Returns all client statements that servers of the group ran, and forgets them.
    #[must_use]
    pub fn take_runs(&self) -> Vec<Run> {
        std::mem::take(&mut self.lock().runs)
    }

    /// Returns the log entries that a server received.
    #[must_use]
    pub fn log(&self, number: usize) -> Vec<Entry> {
        self.lock().servers[number].log.clone()
    }

    /// Returns the number of open connections of a server.
    #[must_use]
    pub fn connections(&self, number: usize) -> usize {
        self.lock().servers[number].connections
    }

    /// Returns the number of connections that a server has accepted so far.
    #[must_use]
    pub fn accepted_connections(&self, number: usize) -> usize {
        self.lock().servers[number].accepted_connections
    }

    /// Ends all connections of a server, which accepts none until it is restarted.
    pub fn crash(&self, number: usize) {
        let mut state = self.lock();
        state.servers[number].up = false;
        state.servers[number].crash_count.send_modify(|count| *count += 1);
    }

    /// Restarts a crashed server with the log of the primary.
    pub fn restart(&self, number: usize) {
        let mut state = self.lock();
        let log = state.servers[state.leader].log.clone();
        let server = &mut state.servers[number];
        server.up = true;
        server.former_primary_term = None;
        server.applied = server.applied.min(log.len());
        server.log = log;
    }

    /// Sets whether the store lists a server as draining when it lists the group after a
    /// promotion.
    pub fn set_draining(&self, number: usize, draining: bool) {
        self.lock().servers[number].draining = draining;
    }

    /// Whether a server is listed as draining.
    #[must_use]
    pub fn is_draining(&self, number: usize) -> bool {
        self.lock().servers[number].draining
    }

    /// Sets the address that the platform lists for a server, such as that of a proxy in front
    /// of it.
    pub fn set_address(&self, number: usize, address: SocketAddr) {
        self.lock().servers[number].address = address;
    }

    /// From now on the server runs statements that contain this text but sends no reply;
    /// `None` ends the fault.
    pub fn lose_answers_of(&self, number: usize, prefix: Option<&str>) {
        self.lock().servers[number].lose_answers_of = prefix.map(str::to_owned);
    }

    /// Like [`Self::lose_answers_of`], but the server also closes the connection at once.
    pub fn disconnect_on_answers_of(&self, number: usize, text: Option<&str>) {
        self.lose_answers_of(number, text);
        self.lock().servers[number].disconnects_on_lost_answer = text.is_some();
    }

    /// The server refuses the next `count` statements that need a slot with `BUSY`.
    pub fn refuse_as_busy(&self, number: usize, count: usize) {
        self.lock().servers[number].busy_left = count;
    }

    /// From now on the server sends some replies once more; `None` ends the fault. Repetitions
    /// that are due later are still sent.
    pub fn repeat_replies(&self, number: usize, repetition: Option<Repetition>) {
        self.lock().servers[number].repetition = repetition;
    }

    /// Returns how often servers of the group have sent replies once more. Several replies in a
    /// row count as one.
    #[must_use]
    pub fn repetitions_sent(&self) -> u64 {
        self.lock().repetitions_sent
    }

    /// Sets the replication lag: a replica applies an entry only this long after it received it.
    pub fn set_lag(&self, number: usize, lag: Duration) {
        self.lock().servers[number].lag = lag;
    }

    /// From now on a former primary still accepts writes after another server is promoted,
    /// until it is demoted.
    pub fn keep_old_primaries_writable(&self) {
        self.lock().old_primary_stays_writable = true;
    }

    /// Whether a former primary still accepts writes until it is demoted.
    #[must_use]
    pub fn keeps_old_primaries_writable(&self) -> bool {
        self.lock().old_primary_stays_writable
    }

    /// Whether a server acts as a primary: it is the current primary, or a former one that was
    /// not demoted.
    #[must_use]
    pub fn acts_as_primary(&self, number: usize) -> bool {
        self.lock().leads(number)
    }

    /// Makes a server the primary of the next term. Returns `false` if no running server has
    /// this id.
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
        let mut crashes = {
            let mut state = self.lock();
            state.servers[number].connections += 1;
            state.servers[number].accepted_connections += 1;
            state.servers[number].crash_count.subscribe()
        };
        tokio::select! {
            () = self.serve_session(number, stream) => {}
            _ = crashes.changed() => {}
        }
        self.lock().servers[number].connections -= 1;
    }

    async fn serve_session(&self, number: usize, stream: TcpStream) {
        // Otherwise the replies to several statements that were sent together wait for delayed
        // acknowledgements.
        stream.set_nodelay(true).unwrap_or(());
        let (read, mut write) = stream.into_split();
        let mut lines = BufReader::new(read).lines();
        let mut session = {
            let mut state = self.lock();
            state.next_connection += 1;
            Session::new(state.next_connection)
        };
        let mut repeater = Repeater::new(session.connection);
        loop {
            let line = tokio::select! {
                line = lines.next_line() => line,
                repeated = repeater.next_due() => {
                    if write.write_all(repeated.as_bytes()).await.is_ok() {
                        self.lock().repetitions_sent += 1;
                    }
                    continue;
                }
            };
            let Ok(Some(line)) = line else {
                return;
            };
            let (request, answer) = match line.split_once(' ') {
                Some(("START", rest)) => {
                    session.caller = rest.split(' ').nth(1).unwrap_or_default().to_owned();
                    (None, Some(self.answer_start(number, rest)))
                }
                Some(("QUERY", rest)) => {
                    let (id, text) = rest.split_once(' ').unwrap_or((rest, ""));
                    (Some(id.to_owned()), self.answer_query(number, &mut session, id, text))
                }
                _ => return,
            };
            let Some(text) = answer else {
                // The reply is lost: the server sends nothing more on this connection.
                if self.lock().servers[number].disconnects_on_lost_answer {
                    return;
                }
                std::future::pending().await
            };
            write.write_all(text.as_bytes()).await.unwrap_or(());
            let repetition = self.lock().servers[number].repetition.clone();
            if let Some(repetition) = repetition {
                repeater.record_sent(Reply { request, text }, &repetition);
            }
        }
    }

    fn answer_start(&self, number: usize, rest: &str) -> String {
        let state = self.lock();
        let mut fields = rest.split(' ');
        let group = fields.next().unwrap_or_default();
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
    is_read_write: bool,
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
            is_read_write: false,
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
                let (position, rest) = two_fields(rest)?;
                if !self.has_applied(number, position) {
                    return Err("LAGGING");
                }
                rest
            }
            None => text,
        };
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        let leads = self.leads(number);
        let ends_transaction = matches!(word, "COMMIT" | "ROLLBACK");
        if session.state == 'E' && !ends_transaction {
            return Err("MALFORMED");
        }
        if session.state == 'T' && session.is_read_write && !leads && !ends_transaction {
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
                session.is_read_write = rest.is_empty();
                Ok(Vec::new())
            }
            "COMMIT" => self.commit(number, session, id, text),
            "ROLLBACK" => {
                session.state = 'I';
                session.writes.clear();
                Ok(Vec::new())
            }
            "READ" => Ok(self.read(number, session, id, text, rest)),
            "WRITE" => self.write(number, session, id, text, rest),
            "SET" => {
                let (name, value) = two_fields(rest)?;
                session.values.insert(name.to_owned(), value.to_owned());
                Ok(Vec::new())
            }
            "RESET" => {
                session.values.clear();
                session.prepared.clear();
                Ok(Vec::new())
            }
            "PREPARE" => {
                let (name, rest) = two_fields(rest)?;
                let (access, shape) = two_fields(rest)?;
                let prepared = (access.to_owned(), shape.to_owned());
                session.prepared.insert(name.to_owned(), prepared);
                Ok(Vec::new())
            }
            "EXECUTE" => {
                let (name, arguments) = two_fields(rest)?;
                let Some((access, shape)) = session.prepared.get(name).cloned() else {
                    return Err("NOSTMT");
                };
                let text = format!("EXECUTE {shape} {arguments}");
                if access == "WRITE" {
                    return self.write(number, session, id, &text, arguments);
                }
                Ok(self.read(number, session, id, &text, arguments))
            }
            "DEALLOC" => match session.prepared.remove(rest) {
                Some(_) => Ok(Vec::new()),
                None => Err("NOSTMT"),
            },
            "STATUS" => Ok(vec![self.status(number)]),
            "DEMOTE" => {
                self.demote(number, rest.parse().map_err(|_| "MALFORMED")?);
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

    fn has_applied(&self, number: usize, position: &str) -> bool {
        let server = &self.servers[number];
        let applied = &server.log[..server.applied];
        if position.ends_with(".0") {
            return true;
        }
        let fields = position.split_once('.');
        let index = fields.and_then(|(_, index)| index.parse::<usize>().ok());
        // Indices are consecutive from 1.
        let entry = index.and_then(|index| applied.get(index.checked_sub(1)?));
        entry.is_some_and(|entry| format!("{}.{}", entry.term, entry.index) == position)
    }

    fn value(&self, number: usize, item: &str) -> String {
        let server = &self.servers[number];
        let applied = server.log[..server.applied].iter().rev();
        let found = applied.into_iter().find(|entry| entry.item == item);
        found.map_or("none".to_owned(), |entry| entry.data.clone())
    }

    /// Returns the value of an item. If the name of the item asks for several rows, the others
    /// contain the name.
    fn rows(&self, number: usize, item: &str) -> Vec<String> {
        let count = item.strip_prefix(SEVERAL_ROWS_PREFIX);
        let count = count.and_then(|rest| rest.split_once('-')?.0.parse::<usize>().ok());
        let mut rows = vec![self.value(number, item)];
        rows.extend((2..=count.unwrap_or(1).min(MAX_ROWS)).map(|row| format!("{item} row {row}")));
        rows
    }

    fn read(
        &mut self,
        number: usize,
        session: &Session,
        id: &str,
        text: &str,
        item: &str,
    ) -> Vec<String> {
        let rows = self.rows(number, item);
        self.record_run(number, session, id, text, rows.clone());
        rows
    }

    fn record_run(
        &mut self,
        server: usize,
        session: &Session,
        id: &str,
        text: &str,
        rows: Vec<String>,
    ) {
        self.runs.push(Run {
            server,
            connection: session.connection,
            caller: session.caller.clone(),
            request: id.to_owned(),
            text: text.to_owned(),
            values: session.values.clone(),
            in_transaction: session.state == 'T',
            rows,
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
        let (item, data) = two_fields(arguments)?;
        self.record_run(number, session, id, text, Vec::new());
        let write = (id.to_owned(), item.to_owned(), data.to_owned());
        session.writes.push(write);
        if session.state == 'I' {
            self.append_writes(number, session);
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
        self.record_run(number, session, id, text, Vec::new());
        self.append_writes(number, session);
        Ok(Vec::new())
    }

    /// Appends the writes of a session to the log and sends them to the replicas.
    fn append_writes(&mut self, number: usize, session: &mut Session) {
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

/// Splits a field from the text that follows it.
fn two_fields(text: &str) -> Result<(&str, &str), &'static str> {
    text.split_once(' ').ok_or("MALFORMED")
}

/// Applies received entries at replicas, each after the lag of its server. Runs until the task
/// is dropped.
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
                let received = times[server.applied.min(times.len())..].iter();
                let due =
                    server.applied + received.take_while(|at| at.elapsed() >= server.lag).count();
                if number != leader && server.former_primary_term.is_none() {
                    server.applied = server.applied.max(due.min(server.log.len()));
                }
            }
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}
