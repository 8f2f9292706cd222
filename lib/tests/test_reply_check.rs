//! Exploration of the replies on one connection to a server that repeats some of them, whole or
//! cut off, at any later place. The statements, their checks and confirmations are those of the
//! engine; the network is left out.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Arc;

use chervilwharf_lib::reply_check;
use chervilwharf_lib::reply_check::Purpose;
use chervilwharf_lib::reply_check::ReceivedReply;
use chervilwharf_lib::reply_check::ReplyCheck;
use chervilwharf_lib::reply_check::ReplyFault;
use chervilwharf_lib::reply_check::RowAgreement;
use chervilwharf_lib::reply_check::Rows;
use chervilwharf_lib::reply_check::SentStatement;
use chervilwharf_lib::server_refusal::RefusalKind;
use chervilwharf_lib::server_refusal::ServerRefusal;
use chervilwharf_lib::statement::Answer;
use chervilwharf_lib::statement::Statement;
use chervilwharf_lib::statement::TransactionState;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Number of random sequences that a test plays.
const SEQUENCES: u64 = 100_000;

/// Most sequences until the loss of a rule is noticed.
const SEQUENCES_WITHOUT_RULE: u64 = 100_000;

/// Most repetitions in one sequence. Two of them may be in a row.
const MAX_REPETITIONS: usize = 2;

/// Number of operations of a sequence.
const OPERATIONS: usize = 4;

/// A rule that the exploration can leave out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rule {
    /// A signature that was delivered before is a repetition.
    RepeatedSignature,
    /// A client's statement has a signature, one of the proxy has none.
    Signed,
    /// A refusal counts only if the next replies are in order.
    Confirmation,
    /// BEGIN is followed by statements that show its reply to be in order.
    OrderTestAfterBegin,
    /// Rows that may begin with other rows are read again.
    Agreement,
}

/// How much of a reply is repeated.
#[derive(Clone, Copy, Debug)]
enum Extent {
    Whole,
    /// The first rows, without the end of the reply.
    Rows(usize),
}

/// A repetition: reply number `reply`, sent again before reply number `before`.
#[derive(Clone, Copy, Debug)]
struct Repetition {
    reply: usize,
    before: usize,
    extent: Extent,
}

#[derive(Clone, Debug)]
struct Reply {
    result: Result<Answer, ServerRefusal>,
    state: TransactionState,
}

/// What the server did with a client's statement.
#[derive(Clone, Debug)]
struct Run {
    signature: Option<Arc<str>>,
    rows: Vec<Arc<str>>,
    in_transaction: bool,
}

struct Server {
    state: TransactionState,
    replies: Vec<Reply>,
    repetitions: Vec<Repetition>,
    /// Decides whether a refusal in a transaction makes it fail.
    random: StdRng,
    /// What the proxy has not read yet: replies, or rows of one that was cut off.
    sent: VecDeque<Result<Reply, Vec<Arc<str>>>>,
}

impl Server {
    /// Runs a statement, or refuses it, and sends the reply after the repetitions that are due.
    fn run(&mut self, statement: &Statement, is_client: bool, refuses: bool) -> Run {
        let number = self.replies.len();
        let was_open = self.state == TransactionState::Open;
        // One that has failed refuses every statement.
        let in_transaction = self.state != TransactionState::Idle;
        let mut run = Run { signature: None, rows: Vec::new(), in_transaction };
        let fails = self.state == TransactionState::Failed
            && !matches!(statement, Statement::Rollback | Statement::Commit);
        let nested = was_open && matches!(statement, Statement::Begin { .. });
        let result = if refuses || fails || nested {
            if was_open && self.random.random() {
                self.state = TransactionState::Failed;
            } else if matches!(statement, Statement::Commit) {
                self.state = TransactionState::Idle;
            }
            let kind = if fails || nested { RefusalKind::Malformed } else { RefusalKind::Busy };
            Err(ServerRefusal { kind, text: "".into() })
        } else {
            match statement {
                Statement::Begin { .. } => self.state = TransactionState::Open,
                Statement::Commit | Statement::Rollback => self.state = TransactionState::Idle,
                Statement::Read { item } => {
                    run.rows = vec![item.clone(), format!("{item} again").into()];
                    run.rows.truncate(1 + item.len() % 2);
                }
                _ => {}
            }
            let signature = if is_client { format!("s{number}") } else { String::new() };
            run.signature = is_client.then(|| signature.as_str().into());
            Ok(Answer { rows: run.rows.clone(), signature: signature.into() })
        };
        let due = self.repetitions.iter().filter(|r| r.before == number && r.reply < number);
        for repetition in due {
            let reply = &self.replies[repetition.reply];
            match (repetition.extent, &reply.result) {
                (Extent::Whole, _) => self.sent.push_back(Ok(reply.clone())),
                (Extent::Rows(count), Ok(answer)) => {
                    let count = count.min(answer.rows.len());
                    self.sent.push_back(Err(answer.rows[..count].to_vec()));
                }
                (Extent::Rows(_), Err(_)) => {}
            }
        }
        let reply = Reply { result, state: self.state };
        self.replies.push(reply.clone());
        self.sent.push_back(Ok(reply));
        run
    }

    /// The next reply as it arrives: rows of replies that were cut off go before its own.
    fn read(&mut self) -> Reply {
        let mut before = Vec::new();
        loop {
            match self.sent.pop_front().expect("a reply for each statement") {
                Err(rows) => before.extend(rows),
                Ok(mut reply) => {
                    if let Ok(answer) = &mut reply.result {
                        answer.rows.splice(..0, before);
                    }
                    return reply;
                }
            }
        }
    }
}

/// A statement to be sent.
#[derive(Clone, Debug)]
struct Step {
    statement: Statement,
    purpose: Purpose,
}

impl Step {
    fn internal(statement: Statement) -> Self {
        Self { statement, purpose: Purpose::Internal }
    }
}

/// The proxy's side of one connection.
struct Connection {
    server: Server,
    check: ReplyCheck,
    without: Option<Rule>,
    random: StdRng,
    violations: Vec<String>,
    next_number: usize,
    /// Whether the statements sent now belong to a transaction.
    in_transaction: bool,
}

/// What the server did with each step of an exchange, and the replies once they are confirmed.
type Exchanged = (Vec<Run>, Vec<(Reply, Rows)>);

/// Why an operation ended without a result: the connection was closed.
struct Closed;

impl Connection {
    fn new(seed: u64, repetitions: Vec<Repetition>, without: Option<Rule>) -> Self {
        let server = Server {
            state: TransactionState::Idle,
            replies: Vec::new(),
            repetitions,
            random: StdRng::seed_from_u64(!seed),
            sent: VecDeque::new(),
        };
        Self {
            server,
            check: ReplyCheck::default(),
            without,
            random: StdRng::seed_from_u64(seed),
            violations: Vec::new(),
            next_number: 0,
            in_transaction: false,
        }
    }

    /// Reads and checks the reply to a step, with one rule left out.
    fn read(&mut self, step: &Step, confirms: bool) -> Result<(Reply, Rows), ReplyFault> {
        let reply = self.server.read();
        let mut checked = reply.clone();
        self.next_number += 1;
        let number = self.next_number;
        if let Ok(answer) = &mut checked.result {
            match self.without {
                Some(Rule::RepeatedSignature) if !answer.signature.is_empty() => {
                    answer.signature = format!("{} {number}", answer.signature).into();
                }
                Some(Rule::Signed) => {
                    let is_client = step.purpose != Purpose::Internal;
                    answer.signature =
                        if is_client { format!("any {number}").into() } else { "".into() };
                }
                _ => {}
            }
        }
        let received =
            ReceivedReply { result: &checked.result, state: checked.state, rows: Rows::Certain };
        if confirms {
            self.check.check_confirmation(&step.statement, received)?;
            return Ok((reply, Rows::Certain));
        }
        let sent = SentStatement { statement: &step.statement, purpose: step.purpose };
        let rows = self.check.check(sent, received)?;
        Ok((reply, rows))
    }

    /// Sends steps, of which those in `refused` are refused by the server, and returns what the
    /// server did with each, and the replies once they are confirmed.
    fn exchange(&mut self, steps: &[Step], refused: &[bool]) -> Result<Exchanged, Closed> {
        let began_in = self.check.state();
        let send = |(step, refused): (&Step, &bool)| {
            let is_client = step.purpose != Purpose::Internal;
            self.server.run(&step.statement, is_client, *refused)
        };
        let runs: Vec<_> = steps.iter().zip(refused).map(send).collect();
        if self.in_transaction && runs.iter().any(|run| !run.in_transaction) {
            self.violations.push("a statement ran outside of its transaction".to_owned());
        }
        let mut replies: Vec<(Reply, Rows)> = Vec::new();
        for step in steps {
            replies.push(self.read(step, false).map_err(|_| Closed)?);
        }
        let has_refusal = replies.iter().any(|(reply, _)| reply.result.is_err());
        if has_refusal && self.without != Some(Rule::Confirmation) {
            let nonce = self.random.random();
            let commits = steps.iter().any(|step| step.statement == Statement::Commit);
            let confirmation = self.check.confirmation(began_in, commits, nonce);
            let confirmation: Vec<_> = confirmation.into_iter().map(Step::internal).collect();
            for step in &confirmation {
                self.server.run(&step.statement, false, false);
            }
            for step in &confirmation {
                self.read(step, true).map_err(|_| Closed)?;
            }
            if let (Some((last, _)), true) = (replies.last_mut(), commits) {
                last.state = self.check.state();
            }
        }
        Ok((runs, replies))
    }

    /// Compares what the client gets for a statement with what the server did.
    fn judge(&mut self, run: &Run, reply: &Reply) {
        match (&reply.result, &run.signature) {
            (Ok(answer), Some(signature)) if answer.signature == *signature => {
                if answer.rows != run.rows {
                    self.violations.push(format!("{:?} in place of {:?}", answer.rows, run.rows));
                }
            }
            (Ok(answer), own) => {
                self.violations.push(format!("signature {} in place of {own:?}", answer.signature));
            }
            (Err(_), Some(signature)) => {
                self.violations.push(format!("{signature} ran and was told as refused"));
            }
            (Err(_), None) => {}
        }
    }

    fn item(&mut self) -> Arc<str> {
        // Few items, so that reads of the same one follow each other.
        format!("item{}", "x".repeat(self.random.random_range(0..4))).into()
    }

    fn refuses(&mut self) -> bool {
        self.random.random_ratio(1, 4)
    }

    /// A single read, which is tried again while its rows are in doubt.
    fn read_item(&mut self, at_primary: bool) -> Result<(), Closed> {
        let item = self.item();
        let mut agreement = RowAgreement::default();
        for _ in 0..6 {
            let read = Step {
                statement: Statement::Read { item: item.clone() },
                purpose: Purpose::ClientRead,
            };
            let refuses = self.refuses();
            let (steps, refused) = if at_primary {
                let begin = Step::internal(Statement::Begin { read_only: false });
                (
                    vec![begin, read, Step::internal(Statement::Rollback)],
                    vec![false, refuses, false],
                )
            } else {
                (vec![read], vec![refuses])
            };
            let main = usize::from(at_primary);
            let (runs, replies) = self.exchange(&steps, &refused)?;
            let (reply, rows) = &replies[main];
            if let Ok(answer) = &reply.result {
                let rows =
                    if self.without == Some(Rule::Agreement) { Rows::Certain } else { *rows };
                if !agreement.accepts(answer, rows) {
                    continue;
                }
            } else {
                // A refused read is tried elsewhere; whether it ran does not matter.
                return Ok(());
            }
            let (run, reply) = (runs[main].clone(), reply.clone());
            self.judge(&run, &reply);
            return Ok(());
        }
        Ok(())
    }

    /// A single write, whose refusal is told to the client.
    fn write_item(&mut self) -> Result<(), Closed> {
        let item_and_data = self.item();
        let statement = Statement::Write { item_and_data };
        let refuses = self.refuses();
        let step = Step { statement, purpose: Purpose::ClientWrite };
        let (runs, replies) = self.exchange(&[step], &[refuses])?;
        self.judge_write(&runs[0], &replies[0])
    }

    fn judge_write(&mut self, run: &Run, (reply, rows): &(Reply, Rows)) -> Result<(), Closed> {
        if *rows == Rows::InDoubt && self.without != Some(Rule::Agreement) {
            return Err(Closed);
        }
        self.judge(run, reply);
        Ok(())
    }

    fn transaction(&mut self) -> Result<(), Closed> {
        let refuses = self.refuses();
        let mut steps = vec![Step::internal(Statement::Begin { read_only: false })];
        if self.without != Some(Rule::OrderTestAfterBegin) {
            steps.extend(reply_check::order_test_in_transaction().map(Step::internal));
        }
        let mut refused = vec![false; steps.len()];
        refused[0] = refuses;
        let (_, replies) = self.exchange(&steps, &refused)?;
        if replies[0].0.result.is_err() {
            return Ok(());
        }
        if replies.iter().any(|(reply, _)| reply.result.is_err()) {
            return Err(Closed);
        }
        self.in_transaction = true;
        for _ in 0..self.random.random_range(1..3) {
            if self.statement_in_transaction()? == TransactionState::Failed {
                return self.roll_back();
            }
        }
        if self.random.random() {
            return self.roll_back();
        }
        self.in_transaction = false;
        let refuses = self.refuses();
        let commit = Step { statement: Statement::Commit, purpose: Purpose::ClientWrite };
        let (runs, replies) = self.exchange(&[commit], &[refuses])?;
        self.judge_write(&runs[0], &replies[0])?;
        if replies[0].0.state == TransactionState::Failed {
            return self.roll_back();
        }
        Ok(())
    }

    fn roll_back(&mut self) -> Result<(), Closed> {
        self.in_transaction = false;
        let rollback = [Step::internal(Statement::Rollback)];
        let (_, replies) = self.exchange(&rollback, &[false])?;
        if replies[0].0.state == TransactionState::Idle { Ok(()) } else { Err(Closed) }
    }

    /// Returns the state in which it leaves the transaction.
    fn statement_in_transaction(&mut self) -> Result<TransactionState, Closed> {
        let item = self.item();
        let reads: bool = self.random.random();
        let (statement, purpose) = if reads {
            (Statement::Read { item }, Purpose::ClientRead)
        } else {
            (Statement::Write { item_and_data: item }, Purpose::ClientWrite)
        };
        let step = Step { statement, purpose };
        let mut agreement = RowAgreement::default();
        for _ in 0..6 {
            let refuses = self.refuses();
            let (runs, replies) = self.exchange(std::slice::from_ref(&step), &[refuses])?;
            let (reply, rows) = &replies[0];
            let Ok(answer) = &reply.result else {
                if reply.state == TransactionState::Failed {
                    // The server rolls it back, whether it ran or not.
                    return Ok(reply.state);
                }
                // It is sent again, and must not have run.
                self.judge(&runs[0], reply);
                continue;
            };
            let rows = if self.without == Some(Rule::Agreement) { Rows::Certain } else { *rows };
            if !reads && rows == Rows::InDoubt {
                return Err(Closed);
            }
            if reads && !agreement.accepts(answer, rows) {
                continue;
            }
            self.judge(&runs[0], reply);
            return Ok(reply.state);
        }
        Ok(TransactionState::Open)
    }

    fn play(&mut self) {
        for _ in 0..OPERATIONS {
            let result = match self.random.random_range(0..5) {
                0 | 1 => self.read_item(false),
                2 => self.read_item(true),
                3 => self.write_item(),
                _ => self.transaction(),
            };
            if result.is_err() {
                return;
            }
        }
    }
}

fn repetitions(random: &mut StdRng) -> Vec<Repetition> {
    let mut repetitions = Vec::new();
    for _ in 0..random.random_range(0..=MAX_REPETITIONS) {
        let reply = random.random_range(0..16);
        let before = reply + 1 + random.random_range(0..8);
        let extent = match random.random_range(0..4) {
            0 => Extent::Rows(1),
            1 => Extent::Rows(2),
            _ => Extent::Whole,
        };
        repetitions.push(Repetition { reply, before, extent });
    }
    repetitions
}

fn sequences() -> u64 {
    std::env::var("REPLY_SEQUENCES").ok().and_then(|text| text.parse().ok()).unwrap_or(SEQUENCES)
}

/// The first sequence that gives a client a wrong result.
fn first_violation(sequences: u64, without: Option<Rule>) -> Option<(u64, Vec<String>)> {
    (0..sequences).find_map(|seed| {
        let mut random = StdRng::seed_from_u64(seed);
        let repetitions = repetitions(&mut random);
        let mut connection = Connection::new(seed, repetitions, without);
        connection.play();
        (!connection.violations.is_empty()).then_some((seed, connection.violations))
    })
}

/// Guards against an answer of another statement, or a refusal of a statement that ran, after a
/// server repeated up to two replies.
#[test]
fn test_repeated_replies_give_no_client_a_wrong_answer() {
    assert_eq!(first_violation(sequences(), None), None);
}

/// Guards against a rule that has no effect, and an exploration that does not notice its loss.
#[test]
fn test_each_rule_is_needed_against_repeated_replies() {
    for rule in [
        Rule::RepeatedSignature,
        Rule::Signed,
        Rule::Confirmation,
        Rule::OrderTestAfterBegin,
        Rule::Agreement,
    ] {
        let violation = first_violation(SEQUENCES_WITHOUT_RULE, Some(rule));
        println!("{rule:?} {violation:?}");
        assert!(violation.is_some(), "without {rule:?} nothing is noticed");
    }
}

/// Guards against a healthy connection that is closed because of its own replies.
#[test]
fn test_replies_in_order_are_accepted() {
    for seed in 0..SEQUENCES / 10 {
        let mut connection = Connection::new(seed, Vec::new(), None);
        connection.play();
        assert!(connection.server.sent.is_empty(), "seed {seed}: closed");
        assert_eq!(connection.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against a COMMIT that took effect and is told as refused. The refusal is that of an
/// earlier transaction, which it made fail, so no transaction seems to be open after it.
#[test]
fn test_repeated_refusal_of_a_failed_transaction_refuses_no_commit() {
    let mut check = ReplyCheck::default();
    let refusal = ServerRefusal { kind: RefusalKind::NotLeading, text: "".into() };
    let refused = (Err(refusal), TransactionState::Failed);
    let done = |state| (Ok(Answer::default()), state);
    let begin = Statement::Begin { read_only: false };
    let write = Statement::Write { item_and_data: "a b".into() };
    let replies = [
        (begin.clone(), Purpose::Internal, done(TransactionState::Open)),
        (write, Purpose::ClientWrite, refused.clone()),
        (Statement::Rollback, Purpose::Internal, done(TransactionState::Idle)),
        (begin, Purpose::Internal, done(TransactionState::Open)),
        (Statement::Commit, Purpose::ClientWrite, refused),
    ];
    for (statement, purpose, (result, state)) in &replies {
        let reply = ReceivedReply { result, state: *state, rows: Rows::Certain };
        let sent = SentStatement { statement, purpose: *purpose };
        assert_eq!(check.check(sent, reply), Ok(Rows::Certain), "{statement:?}");
    }
    let confirmation = check.confirmation(TransactionState::Open, true, 0);
    let committed = Ok(Answer { rows: Vec::new(), signature: "signed".into() });
    let reply =
        ReceivedReply { result: &committed, state: TransactionState::Idle, rows: Rows::Certain };
    let first = confirmation.first().expect("the refusal is confirmed before it is told");
    assert_eq!(check.check_confirmation(first, reply), Err(ReplyFault::UnexpectedSignature));
}

/// Guards against a confirmation that the repeated replies of an earlier one fit: a burst of
/// them, together with the refusal, would refuse a statement that ran.
#[test]
fn test_confirmations_differ() {
    let distinct = |state: TransactionState| {
        let mut check = ReplyCheck::default();
        let result = Ok(Answer::default());
        let begin = Statement::Begin { read_only: false };
        if state == TransactionState::Open {
            let sent = SentStatement { statement: &begin, purpose: Purpose::Internal };
            let reply = ReceivedReply { result: &result, state, rows: Rows::Certain };
            check.check(sent, reply).unwrap();
        }
        let confirmations = (0..=u8::MAX).map(|nonce| check.confirmation(state, false, nonce));
        confirmations.map(|statements| format!("{statements:?}")).collect::<HashSet<_>>().len()
    };
    assert_eq!(distinct(TransactionState::Idle), 64);
    assert_eq!(distinct(TransactionState::Open), 8);
}

/// Checks the replies to statements, each of which the server ran, in the state without a
/// transaction, and returns what is found of the rows of the last.
fn rows_of_last(replies: &[(Statement, Purpose, &[&str], &str)]) -> Rows {
    let mut check = ReplyCheck::default();
    let mut last = Rows::Certain;
    for (statement, purpose, rows, signature) in replies {
        let rows = rows.iter().map(|row| Arc::from(*row)).collect();
        let result = Ok(Answer { rows, signature: (*signature).into() });
        let state = TransactionState::Idle;
        let reply = ReceivedReply { result: &result, state, rows: Rows::Certain };
        last = check.check(SentStatement { statement, purpose: *purpose }, reply).unwrap();
    }
    last
}

/// Guards against the rows of another client's read in the answer to a read without rows, the
/// first such one on its connection.
#[test]
fn test_rows_before_the_first_read_without_rows_are_in_doubt() {
    let read = |item: &str| Statement::Read { item: item.into() };
    // The server repeats the first reply, without its end, and answers the second read without
    // rows.
    let replies: [(_, _, &[&str], _); 2] = [
        (read("a"), Purpose::ClientRead, &["row of a"], "s1"),
        (read("b"), Purpose::ClientRead, &["row of a"], "s2"),
    ];
    assert_eq!(rows_of_last(&replies), Rows::InDoubt);
}

/// Guards against unknown outcomes of all writes of a server that answers them with rows, such
/// as the number of changed records.
#[test]
fn test_equal_rows_of_writes_are_certain() {
    let write = |text: &str| Statement::Write { item_and_data: text.into() };
    let replies: [(_, _, &[&str], _); 2] = [
        (write("a x"), Purpose::ClientWrite, &["1"], "s1"),
        (write("b y"), Purpose::ClientWrite, &["1"], "s2"),
    ];
    assert_eq!(rows_of_last(&replies), Rows::Certain);
}
