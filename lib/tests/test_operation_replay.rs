//! Replay of an overload by transactions and single statements that share few connections, with
//! waits that the clock of an operation limits.

use std::time::Duration;

use chervilwharf_lib::operation_clock::CLIENT_ROUND_TRIP;
use chervilwharf_lib::operation_clock::EndedOperation;
use chervilwharf_lib::operation_clock::OperationClock;
use chervilwharf_lib::operation_clock::TimeParts;
use chervilwharf_lib::operation_clock::TransactionFigures;
use chervilwharf_lib::operation_clock::wait_limit;
use chervilwharf_lib::statement_timing;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

const OBJECTIVE_MS: u64 = 400;
const DEADLINE_MS: u64 = 800;
const CONNECTIONS: usize = 4;
const STATEMENT_MS: u64 = 10;

/// A transaction has 12 statements, the longest in use; BEGIN and COMMIT come on top.
const TRANSACTION_STATEMENTS: u32 = 14;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// How long the first statement of a transaction may wait in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rule {
    /// As long as a single statement.
    WholeObjective,
    /// For what the clock of the operation leaves.
    OperationClock,
}

struct Waiting {
    arrived_ms: u64,
    is_transaction: bool,
    in_time_until_ms: u64,
}

/// What the operations of a replay ended as.
#[derive(Debug, Default)]
struct Outcome {
    in_time: usize,
    /// Number of transactions among those in time.
    transactions: usize,
    late: usize,
    refused: usize,
}

/// Runs an operation that has waited, by its own clock.
fn run(waited_ms: u64, is_transaction: bool) -> EndedOperation {
    let mut clock = OperationClock::default();
    let mut now = Duration::ZERO;
    let statements = if is_transaction { TRANSACTION_STATEMENTS } else { 1 };
    for number in 0..statements {
        clock.begin_statement(now);
        // BEGIN is answered at once; the statement after it needs a connection.
        let waits = number == u32::from(is_transaction);
        let waited = if waits { ms(waited_ms) } else { Duration::ZERO };
        let at_server = if number == 0 && is_transaction { 0 } else { STATEMENT_MS };
        now += waited + ms(at_server);
        let parts = TimeParts { waited, at_server: ms(at_server), ..TimeParts::default() };
        clock.end_statement(now, &parts, true, false);
        now += CLIENT_ROUND_TRIP;
    }
    clock.end_operation().expect("served to its end")
}

/// How long an operation holds its connection.
fn held_ms(is_transaction: bool) -> u64 {
    if is_transaction {
        u64::from(TRANSACTION_STATEMENTS - 1) * (STATEMENT_MS + 6)
    } else {
        STATEMENT_MS
    }
}

/// Plays a minute with more arrivals than the connections can serve.
fn replay(seed: u64, rule: Rule) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut outcome = Outcome::default();
    let mut waiting: Vec<Waiting> = Vec::new();
    let mut free_at_ms = [0; CONNECTIONS];
    let mut figures = TransactionFigures::new(&run(0, true));
    let objective = ms(OBJECTIVE_MS);
    for now_ms in 0..60_000 {
        for (per_s, is_transaction) in [(140.0, false), (16.0, true)] {
            if rng.random_bool(per_s / 1_000.0) {
                let max_wait = if is_transaction && rule == Rule::OperationClock {
                    wait_limit(objective, objective.saturating_sub(figures.following(2)))
                } else {
                    statement_timing::max_wait(objective)
                };
                let until = ms(now_ms) + max_wait;
                let in_time_until_ms = u64::try_from(until.as_millis()).expect("a minute");
                waiting.push(Waiting { arrived_ms: now_ms, is_transaction, in_time_until_ms });
            }
        }
        let before = waiting.len();
        waiting.retain(|request| request.arrived_ms + DEADLINE_MS > now_ms + 100);
        outcome.refused += before - waiting.len();
        for free_at in free_at_ms.iter_mut().filter(|free_at| **free_at <= now_ms) {
            let order = |index: &usize| {
                let request = &waiting[*index];
                (request.in_time_until_ms <= now_ms, request.arrived_ms)
            };
            let Some(next) = (0..waiting.len()).min_by_key(order) else {
                break;
            };
            let request = waiting.remove(next);
            *free_at = now_ms + held_ms(request.is_transaction);
            let ended = run(now_ms - request.arrived_ms, request.is_transaction);
            if request.is_transaction {
                figures.observe(&ended);
            }
            if ended.is_late(objective) {
                outcome.late += 1;
            } else {
                outcome.in_time += 1;
                outcome.transactions += usize::from(request.is_transaction);
            }
        }
    }
    outcome
}

/// Guards against an overload in which transactions wait as long as single statements, and are
/// then late by the time of their own statements, while others could still have been in time.
#[test]
fn test_overload_with_transactions_serves_more_operations_in_time_by_the_operations_clock() {
    for seed in 0..8 {
        let before = replay(seed, Rule::WholeObjective);
        let after = replay(seed, Rule::OperationClock);
        assert!(after.in_time > before.in_time, "seed {seed}: {before:?} -> {after:?}");
        assert!(after.transactions > before.transactions, "seed {seed}: {before:?} -> {after:?}");
        assert!(after.late < before.late, "seed {seed}: {before:?} -> {after:?}");
    }
}
