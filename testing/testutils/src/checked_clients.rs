//! Clients that use all kinds of routes at once, and the comparison of what they were answered
//! with what the stand-in servers ran.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chervilwharf_standin::platform::client::Answer;
use chervilwharf_standin::platform::client::Client;
use chervilwharf_standin::platform::servers::Group;
use chervilwharf_standin::platform::servers::Run;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::task::JoinSet;

/// Databases that the clients use: one for each kind of route.
pub const DATABASES: [&str; 3] = ["latest", "bounded", "own"];

const OPERATIONS_PER_SESSION: std::ops::RangeInclusive<usize> = 20..=60;

/// Pause before a client connects again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(5);

/// Longest pause of a client between two statements of a transaction, in which repetitions can
/// arrive.
const MAX_TRANSACTION_PAUSE: Duration = Duration::from_millis(30);

/// Answers after which nothing of a statement or transaction may have been kept.
const PROMISES: [&str; 7] =
    ["BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY", "NOSTMT"];

/// A way in which an answer or a run can be wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// A success has the signature of another statement, or none.
    AnotherAnswer,
    /// A success has other rows than the server returned for the statement.
    OtherRows,
    /// A write was answered as not run, and is in the log.
    WriteToldAsNotRun,
    /// A write is in the log twice.
    WrittenTwice,
    /// A statement of a transaction ran outside of it or on another connection, or a statement
    /// ran inside the transaction of another client.
    OutsideTransaction,
    /// A commit was answered as failed, and a write of the transaction is in the log.
    CommitToldAsFailed,
    /// A transaction whose client did not ask for a commit is in the log, or a part of one.
    UnaskedCommit,
    /// A write or a commit was acknowledged and is not in the log.
    AcknowledgedAndLost,
    /// A statement ran with another text or with session values of another client, or no client
    /// sent it.
    ChangedStatement,
    /// A client received an answer that it cannot read, or none in time.
    UnusableAnswer,
}

/// How the statements on one database were answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Number of reads, writes and commits that were sent. All numbers are of these.
    pub sent: u64,
    /// Number of successes.
    pub successes: u64,
    /// Number of answers that leave open whether the statement ran.
    pub unknown: u64,
    /// Number of answers that guarantee that nothing was kept.
    pub refused: u64,
    /// Number of statements whose connection ended without an answer.
    pub unanswered: u64,
    /// Number of successes with the answer of another statement.
    pub answers_of_others: u64,
    /// Number of successes with other rows than those of the statement.
    pub other_rows: u64,
}

/// What the comparison found.
#[derive(Debug)]
pub struct Findings {
    /// Examples of each violation.
    pub violations: BTreeMap<Violation, Vec<String>>,
    /// Counts by database.
    pub counts: BTreeMap<&'static str, Counts>,
    /// Number of repetitions that the servers sent.
    pub repetitions: u64,
}

impl fmt::Display for Findings {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} repetitions", self.repetitions)?;
        for (database, counts) in &self.counts {
            write!(formatter, "; {database} {counts:?}")?;
        }
        for (kind, found) in &self.violations {
            write!(formatter, "; {kind:?} {} times, first {}", found.len(), found[0])?;
        }
        Ok(())
    }
}

/// A statement that a client sent.
struct Sent {
    database: &'static str,
    id: String,
    /// Text of the statement as a server has to run it.
    text: String,
    /// Value of the session variable `zone`.
    zone: String,
    /// `None` if the connection ended without an answer.
    answer: Option<Answer>,
}

impl Sent {
    fn is_success(&self) -> bool {
        self.answer.as_ref().is_some_and(|answer| answer.error.is_none())
    }

    fn is_promise(&self) -> bool {
        self.answer.as_ref().is_some_and(|answer| PROMISES.contains(&answer.code()))
    }
}

/// What a client did: a single statement, or a transaction with its commit or rollback last.
struct Operation {
    statements: Vec<Sent>,
    is_transaction: bool,
}

/// What all clients share.
struct Shared {
    addresses: Vec<SocketAddr>,
    is_stopped: AtomicBool,
    /// Number of answered reads, writes and commits by database, in the order of [`DATABASES`].
    answered: [AtomicU64; DATABASES.len()],
}

/// Clients that work until they are stopped. A task for each.
pub struct CheckedClients {
    shared: Arc<Shared>,
    tasks: JoinSet<Vec<Operation>>,
}

impl CheckedClients {
    /// Starts as many clients for each database, which connect to instances at these addresses.
    /// The seed determines what they send.
    #[must_use]
    pub fn start(addresses: &[SocketAddr], clients_per_database: usize, seed: u64) -> Self {
        let shared = Arc::new(Shared {
            addresses: addresses.to_vec(),
            is_stopped: AtomicBool::new(false),
            answered: Default::default(),
        });
        let mut tasks = JoinSet::new();
        for number in 0..DATABASES.len() * clients_per_database {
            tasks.spawn(CheckedClient::new(shared.clone(), number, seed).run());
        }
        Self { shared, tasks }
    }

    /// Returns the number of reads, writes and commits that were answered on the database with the
    /// fewest.
    #[must_use]
    pub fn least_answered(&self) -> u64 {
        let counts = self.shared.answered.iter().map(|count| count.load(Ordering::Relaxed));
        counts.min().unwrap_or_default()
    }

    /// Stops the clients and compares what they were answered with what the servers of the group
    /// ran. The group forgets these runs.
    pub async fn finish(mut self, group: &Group) -> Findings {
        self.shared.is_stopped.store(true, Ordering::Relaxed);
        let mut operations = Vec::new();
        let mut found = Found::new();
        while let Some(ended) = self.tasks.join_next().await {
            match ended {
                Ok(of_client) => operations.extend(of_client),
                Err(error) => found.push((Violation::UnusableAnswer, error.to_string())),
            }
        }
        compare(group, &operations, found)
    }
}

struct CheckedClient {
    shared: Arc<Shared>,
    number: usize,
    random: StdRng,
    next_data: usize,
    operations: Vec<Operation>,
}

impl CheckedClient {
    fn new(shared: Arc<Shared>, number: usize, seed: u64) -> Self {
        let random = StdRng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(number as u64));
        Self { shared, number, random, next_data: 0, operations: Vec::new() }
    }

    fn is_stopped(&self) -> bool {
        self.shared.is_stopped.load(Ordering::Relaxed)
    }

    fn database(&self) -> &'static str {
        DATABASES[self.number % DATABASES.len()]
    }

    async fn run(mut self) -> Vec<Operation> {
        while !self.is_stopped() {
            self.run_session().await;
            tokio::time::sleep(RECONNECT_PAUSE).await;
        }
        self.operations
    }

    /// Runs a session until an answer leaves it unusable. Returns `None` if it ended early.
    async fn run_session(&mut self) -> Option<()> {
        let addresses = &self.shared.addresses;
        let address = addresses[self.random.random_range(0..addresses.len())];
        let mut client = Client::try_connect(address, &format!("c{}", self.number)).await?;
        client.start_session(self.database()).await.filter(|answer| answer.error.is_none())?;
        let number = self.number;
        // All clients use the same names for different values and shapes.
        let set_up = [
            format!("SET zone z{number}"),
            format!("PREPARE s1 WRITE write{number}"),
            format!("PREPARE s2 READ read{number}"),
        ];
        for text in set_up {
            client.try_query(&text).await.filter(|answer| answer.error.is_none())?;
        }
        for _ in 0..self.random.random_range(OPERATIONS_PER_SESSION) {
            if self.is_stopped() {
                break;
            }
            let operation = if self.random.random_bool(0.3) {
                self.run_transaction(&mut client).await
            } else {
                let statement = self.run_random_statement(&mut client).await;
                Operation { statements: vec![statement], is_transaction: false }
            };
            let last = operation.statements.last().and_then(|sent| sent.answer.as_ref());
            let is_idle = last.is_some_and(|answer| answer.state == "I");
            self.operations.push(operation);
            if !is_idle {
                break;
            }
        }
        Some(())
    }

    async fn run_transaction(&mut self, client: &mut Client) -> Operation {
        let mut statements = vec![self.query(client, "BEGIN".to_owned()).await];
        for _ in 0..self.random.random_range(1..=4) {
            if statements.last().is_some_and(Sent::is_success) {
                statements.push(self.run_random_statement(client).await);
            }
            if self.random.random_bool(0.5) {
                let pause = self.random.random_range(Duration::ZERO..=MAX_TRANSACTION_PAUSE);
                tokio::time::sleep(pause).await;
            }
        }
        let is_open = statements.last().is_some_and(Sent::is_success);
        let ends_with = if is_open && self.random.random_bool(0.8) { "COMMIT" } else { "ROLLBACK" };
        statements.push(self.query(client, ends_with.to_owned()).await);
        Operation { statements, is_transaction: true }
    }

    async fn run_random_statement(&mut self, client: &mut Client) -> Sent {
        let item = match self.random.random_range(0..4) {
            0 => "shared".to_owned(),
            1 => "rows3-shared".to_owned(),
            2 => format!("rows2-own{}", self.number),
            _ => format!("own{}", self.number),
        };
        self.next_data += 1;
        let data = format!("data{}-{}", self.number, self.next_data);
        let text = match self.random.random_range(0..10) {
            0..=2 => format!("READ {item}"),
            3..=4 => format!("EXECUTE s2 {item}"),
            5..=7 => format!("WRITE {item} {data}"),
            _ => format!("EXECUTE s1 {item} {data}"),
        };
        self.query(client, text).await
    }

    async fn query(&self, client: &mut Client, text: String) -> Sent {
        let answer = client.try_query(&text).await;
        if answer.is_some() && runs_at_server(&text) {
            let count = &self.shared.answered[self.number % DATABASES.len()];
            count.fetch_add(1, Ordering::Relaxed);
        }
        let number = self.number;
        let text = text
            .replace("EXECUTE s1 ", &format!("EXECUTE write{number} "))
            .replace("EXECUTE s2 ", &format!("EXECUTE read{number} "));
        let zone = format!("z{number}");
        Sent { database: self.database(), id: client.last_id(), text, zone, answer }
    }
}

/// Statements that servers ran and writes that are in the log, by the id of their statement.
struct Observed<'a> {
    runs: &'a [Run],
    /// Indices of the runs.
    by_id: HashMap<&'a str, Vec<usize>>,
    /// Indices of the runs on each connection of a server, in order.
    by_connection: HashMap<(usize, u64), Vec<usize>>,
    /// Number of entries in the log of the primary.
    logged: HashMap<String, usize>,
    server_ids: Vec<String>,
}

impl Observed<'_> {
    fn runs_of(&self, id: &str) -> impl Iterator<Item = &Run> {
        self.by_id.get(id).into_iter().flatten().map(|index| &self.runs[*index])
    }

    fn logged(&self, id: &str) -> usize {
        self.logged.get(id).copied().unwrap_or_default()
    }
}

type Found = Vec<(Violation, String)>;

fn compare(group: &Group, operations: &[Operation], mut found: Found) -> Findings {
    let runs = group.take_runs();
    let mut logged: HashMap<String, usize> = HashMap::new();
    for entry in group.log(group.leader()) {
        *logged.entry(entry.request).or_default() += 1;
    }
    let mut by_id: HashMap<&str, Vec<usize>> = HashMap::new();
    let mut by_connection: HashMap<(usize, u64), Vec<usize>> = HashMap::new();
    for (index, run) in runs.iter().enumerate() {
        by_id.entry(&run.request).or_default().push(index);
        by_connection.entry((run.server, run.connection)).or_default().push(index);
    }
    let server_ids = (0..group.size()).map(|number| group.id(number)).collect();
    let observed = Observed { runs: &runs, by_id, by_connection, logged, server_ids };
    let mut all_counts: BTreeMap<&'static str, Counts> = BTreeMap::new();
    for operation in operations {
        for sent in &operation.statements {
            let counts = all_counts.entry(sent.database).or_default();
            if runs_at_server(&sent.text) {
                count(sent, counts);
            }
            compare_answer(sent, &observed, counts, &mut found);
        }
        if operation.is_transaction {
            compare_transaction(&operation.statements, &observed, &mut found);
        } else {
            compare_single(&operation.statements[0], &observed, &mut found);
        }
    }
    compare_runs(operations, &observed, &mut found);
    let mut violations: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for (kind, text) in found {
        violations.entry(kind).or_default().push(text);
    }
    Findings { violations, counts: all_counts, repetitions: group.repetitions_sent() }
}

fn count(sent: &Sent, counts: &mut Counts) {
    counts.sent += 1;
    match sent.answer.as_ref().map(Answer::code) {
        None => counts.unanswered += 1,
        Some("DONE") => counts.successes += 1,
        Some("UNKNOWN" | "TIMEOUT") => counts.unknown += 1,
        Some(_) if sent.is_promise() => counts.refused += 1,
        Some(_) => {}
    }
}

/// Compares a success with what the server of its signature returned for the statement.
fn compare_answer(sent: &Sent, observed: &Observed<'_>, counts: &mut Counts, found: &mut Found) {
    let Some(answer) = sent.answer.as_ref().filter(|_| sent.is_success()) else {
        return;
    };
    if !runs_at_server(&sent.text) {
        if !answer.rows.is_empty() {
            found.push((Violation::OtherRows, format!("{} {answer:?}", sent.text)));
        }
        return;
    }
    let signature = answer.signature.as_deref().unwrap_or_default();
    let of_run =
        |run: &&Run| signature == format!("sig.{}.{}", observed.server_ids[run.server], sent.id);
    let mut own_runs = observed.runs_of(&sent.id).filter(of_run).peekable();
    let description = || format!("{} {} {} {answer:?}", sent.database, sent.id, sent.text);
    if own_runs.peek().is_none() {
        counts.answers_of_others += 1;
        found.push((Violation::AnotherAnswer, description()));
    } else if !own_runs.any(|run| run.rows == answer.rows) {
        counts.other_rows += 1;
        found.push((Violation::OtherRows, description()));
    }
}

/// Whether a server has to run the statement. The proxy may answer others itself.
fn runs_at_server(text: &str) -> bool {
    !matches!(text, "BEGIN" | "ROLLBACK")
}

fn writes(sent: &Sent) -> bool {
    sent.text.starts_with("WRITE ") || sent.text.starts_with("EXECUTE write")
}

fn compare_single(sent: &Sent, observed: &Observed<'_>, found: &mut Found) {
    if !writes(sent) {
        return;
    }
    let description = || format!("{} {} {:?}", sent.id, sent.text, sent.answer);
    let logged = observed.logged(&sent.id);
    if logged > 1 {
        found.push((Violation::WrittenTwice, description()));
    }
    if logged > 0 && sent.is_promise() {
        found.push((Violation::WriteToldAsNotRun, description()));
    }
    if logged == 0 && sent.is_success() {
        found.push((Violation::AcknowledgedAndLost, description()));
    }
    if observed.runs_of(&sent.id).any(|run| run.in_transaction) {
        found.push((Violation::OutsideTransaction, description()));
    }
}

fn compare_transaction(statements: &[Sent], observed: &Observed<'_>, found: &mut Found) {
    let texts: Vec<_> = statements.iter().map(|sent| &*sent.text).collect();
    let (Some(first), Some(end)) = (statements.get(1), statements.last()) else {
        return;
    };
    let description = || format!("{} {texts:?} {:?}", first.id, end.answer);
    let written: Vec<_> = statements.iter().filter(|sent| writes(sent)).collect();
    let logged = |sent: &&&Sent| observed.logged(&sent.id) > 0;
    let logged_count = written.iter().filter(logged).count();
    if written.iter().any(|sent| observed.logged(&sent.id) > 1) {
        found.push((Violation::WrittenTwice, description()));
    }
    if logged_count > 0 {
        if end.text != "COMMIT" {
            found.push((Violation::UnaskedCommit, description()));
        } else if end.is_promise() {
            found.push((Violation::CommitToldAsFailed, description()));
        }
        if logged_count < written.len() {
            found.push((Violation::UnaskedCommit, format!("a part of {}", description())));
        }
    } else if end.text == "COMMIT" && end.is_success() && !written.is_empty() {
        found.push((Violation::AcknowledgedAndLost, description()));
    }
    let mut ran: Vec<usize> = Vec::new();
    for sent in &statements[1..] {
        let indices = observed.by_id.get(&*sent.id).into_iter().flatten().copied();
        // The first statement may have been tried on several connections.
        let own: Vec<usize> = indices.collect();
        let skipped = if sent.id == first.id { own.len().saturating_sub(1) } else { 0 };
        ran.extend(&own[skipped..]);
    }
    let Some(connection) = ran.first().map(|index| connection_of(&observed.runs[*index])) else {
        return;
    };
    let is_inside = |run: &Run| {
        connection_of(run) == connection && (run.in_transaction || run.text == "COMMIT")
    };
    if !ran.iter().all(|index| is_inside(&observed.runs[*index])) {
        found.push((Violation::OutsideTransaction, description()));
        return;
    }
    let on_connection = observed.by_connection.get(&connection).into_iter().flatten();
    let between = on_connection.filter(|index| ran[0] < **index && **index < ran[ran.len() - 1]);
    if between.into_iter().any(|index| !ran.contains(index)) {
        found.push((Violation::OutsideTransaction, format!("another client in {}", description())));
    }
}

fn connection_of(run: &Run) -> (usize, u64) {
    (run.server, run.connection)
}

/// Compares texts and session values of all runs with those of the clients.
fn compare_runs(operations: &[Operation], observed: &Observed<'_>, found: &mut Found) {
    let sent = operations.iter().flat_map(|operation| &operation.statements);
    let by_id: HashMap<&str, &Sent> = sent.map(|sent| (&*sent.id, sent)).collect();
    for run in observed.runs {
        let is_same = by_id.get(&*run.request).is_some_and(|sent| {
            run.text == sent.text && run.values.get("zone") == Some(&sent.zone)
        });
        if !is_same {
            found.push((Violation::ChangedStatement, format!("{run:?}")));
        }
    }
}
