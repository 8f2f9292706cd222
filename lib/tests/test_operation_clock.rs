//! Tests of the clock of an operation, and of the wait that it allows for a connection.

use std::time::Duration;

use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::operation_clock::CLIENT_ROUND_TRIP;
use chervilwharf_lib::operation_clock::EndedOperation;
use chervilwharf_lib::operation_clock::OperationClock;
use chervilwharf_lib::operation_clock::OperationPart;
use chervilwharf_lib::operation_clock::PREPARATION_GAP;
use chervilwharf_lib::operation_clock::TimeParts;
use chervilwharf_lib::operation_clock::TransactionFigures;
use chervilwharf_lib::operation_clock::wait_limit;
use chervilwharf_lib::statement_timing;
use quickcheck::quickcheck;

const OBJECTIVE: Duration = ms(100);

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn at_server(time: Duration) -> TimeParts {
    TimeParts { at_server: time, ..TimeParts::default() }
}

/// Runs statements that take `each` at a server, with a pause of the client after each.
fn run(
    clock: &mut OperationClock,
    statements: u32,
    each: Duration,
    pause: Duration,
) -> EndedOperation {
    let mut now: Moment = ms(1_000);
    for _ in 0..statements {
        clock.begin_statement(now);
        now += each;
        clock.end_statement(now, &at_server(each), true, false);
        now += pause;
    }
    clock.end_operation().expect("served to its end")
}

/// Guards against late transactions that no log line names: each statement meets the
/// objective, but the transaction does not. It is counted once.
#[test]
fn test_transaction_of_twelve_statements_in_time_is_late_once() {
    let mut clock = OperationClock::default();
    let mut now: Moment = ms(1_000);
    for _ in 0..12 {
        clock.begin_statement(now);
        now += ms(20);
        clock.end_statement(now, &at_server(ms(20)), true, false);
        assert!(ms(20) < OBJECTIVE);
        now += ms(50);
    }
    let ended = clock.end_operation().expect("served to its end");
    assert!(ended.is_late(OBJECTIVE));
    assert_eq!((ended.statements, ended.largest_part()), (12, OperationPart::AtServer));
    assert_eq!(clock.end_operation(), None, "the operation ended before");
}

/// Guards against transactions that count as late because their client paused.
#[test]
fn test_pauses_of_the_client_do_not_count() {
    let without = run(&mut OperationClock::default(), 4, ms(10), CLIENT_ROUND_TRIP);
    let with = run(&mut OperationClock::default(), 4, ms(10), ms(5_000));
    assert_eq!(without, with);
    assert_eq!(with.took, (ms(10) + CLIENT_ROUND_TRIP) * 4);
    assert!(!with.is_late(OBJECTIVE));
}

/// Guards against operations of near clients that count as late because of assumed round trips.
/// The next statement of a transaction cannot arrive before one round trip has passed.
#[test]
fn test_observed_gap_bounds_the_round_trip() {
    let mut clock = OperationClock::default();
    let ended = run(&mut clock, 4, ms(10), ms(2));
    assert_eq!(ended.client, ms(8));
    // The next operation of the session uses the same bound, also without a gap.
    assert_eq!(run(&mut clock, 1, ms(10), ms(900)).client, ms(2));
}

/// Guards against a clock that is reset by each statement of a transaction.
#[test]
fn test_left_objective_shrinks_with_each_statement_of_a_transaction() {
    let mut clock = OperationClock::default();
    clock.begin_statement(ms(0));
    assert_eq!(clock.left(ms(5), OBJECTIVE), ms(95));
    clock.end_statement(ms(30), &at_server(ms(30)), true, false);
    clock.begin_statement(ms(500));
    assert_eq!(clock.left(ms(510), OBJECTIVE) + CLIENT_ROUND_TRIP, ms(100 - 30 - 10));
    clock.end_statement(ms(900), &at_server(ms(400)), true, false);
    clock.begin_statement(ms(1_000));
    assert_eq!(clock.left(ms(1_000), OBJECTIVE), Duration::ZERO);
    clock.end_operation();
    clock.begin_statement(ms(2_000));
    assert_eq!(clock.left(ms(2_000), OBJECTIVE), OBJECTIVE);
}

/// Guards against a suspension of the machine that makes a late operation look timely.
#[test]
fn test_suspension_counts_as_time_of_the_operation() {
    let mut clock = OperationClock::default();
    clock.begin_statement(ms(1_000));
    // The machine was suspended for a minute during the statement.
    clock.end_statement(ms(61_010), &at_server(ms(10)), true, false);
    let ended = clock.end_operation().expect("served");
    assert!(ended.is_late(OBJECTIVE));
    assert_eq!(ended.largest_part(), OperationPart::Own);
}

/// Guards against refused operations, and statements that no server ran, among the late ones.
#[test]
fn test_only_operations_that_were_served_count() {
    let mut clock = OperationClock::default();
    clock.begin_statement(ms(0));
    clock.end_statement(ms(500), &TimeParts::default(), false, false);
    assert_eq!(clock.end_operation(), None, "no server was involved");
    clock.begin_statement(ms(600));
    clock.end_statement(ms(900), &TimeParts::default(), true, true);
    clock.begin_statement(ms(1_000));
    clock.end_statement(ms(1_001), &TimeParts::default(), false, false);
    assert_eq!(clock.end_operation(), None, "its first statement failed");
}

/// Answers a statement without a server, `gap` after the previous reply.
fn prepare(clock: &mut OperationClock, now: &mut Moment, gap: Duration, failed: bool) {
    *now += gap;
    clock.begin_statement(*now);
    *now += ms(1);
    clock.end_statement(*now, &TimeParts::default(), false, failed);
    assert_eq!(clock.end_operation(), None, "no server was involved");
}

/// Runs a single statement that takes `took` at a server, `gap` after the previous reply.
fn run_single(
    clock: &mut OperationClock,
    now: &mut Moment,
    gap: Duration,
    took: Duration,
) -> EndedOperation {
    *now += gap;
    clock.begin_statement(*now);
    *now += took;
    clock.end_statement(*now, &at_server(took), true, false);
    clock.end_operation().expect("served to its end")
}

/// The clock of a session that began 2 ms before `now`, on a connection accepted 1 ms earlier.
fn new_session(now: Moment) -> OperationClock {
    OperationClock::of_new_session(now.saturating_sub(ms(3)), now.saturating_sub(ms(2)), now)
}

/// Guards against late operations of clients that open a session for each: the set-up of the
/// session takes as long as the operation, and no line names them.
#[test]
fn test_set_up_of_a_session_counts_for_its_first_operation_only() {
    let mut now: Moment = ms(5_000);
    let mut clock = new_session(now);
    for _ in 0..3 {
        prepare(&mut clock, &mut now, ms(7), false);
    }
    let first = run_single(&mut clock, &mut now, ms(7), ms(80));
    assert!(ms(80) + CLIENT_ROUND_TRIP < OBJECTIVE && first.is_late(OBJECTIVE));
    // The connection, START and three statements; START took 2 ms, the others 1 ms each.
    assert_eq!(first.preparation, ms(7) * 5 + ms(5));
    assert_eq!(first.client, ms(7) * 6);
    assert_eq!(first.time_of(OperationPart::Own), ms(5));
    assert_eq!(first.took, first.preparation + ms(80) + ms(7));
    assert_eq!((first.statements, first.is_transaction()), (1, false));
    assert_eq!(first.unavoidable(), ms(7) * 6 + ms(80));

    let second = run_single(&mut clock, &mut now, ms(7), ms(80));
    assert_eq!((second.preparation, second.took), (ms(0), ms(80) + ms(7)));
    // A later operation has the statements directly before it, whatever pause came before them.
    prepare(&mut clock, &mut now, ms(900), false);
    let third = run_single(&mut clock, &mut now, ms(7), ms(80));
    assert_eq!(third.preparation, ms(7) + ms(1));
}

/// Guards against operations that count as late because their session was opened ahead of them.
#[test]
fn test_preparation_before_a_pause_of_the_client_does_not_count() {
    for (gap, counts) in [(PREPARATION_GAP, true), (PREPARATION_GAP + ms(1), false)] {
        let mut now: Moment = ms(5_000);
        let mut clock = new_session(now);
        prepare(&mut clock, &mut now, ms(7), false);
        let ended = run_single(&mut clock, &mut now, gap, ms(80));
        assert_eq!(ended.preparation > Duration::ZERO, counts, "{gap:?}");
        // After a pause within the preparation, the part that follows it counts.
        let mut now: Moment = ms(5_000);
        let mut clock = new_session(now);
        prepare(&mut clock, &mut now, gap, false);
        let ended = run_single(&mut clock, &mut now, ms(7), ms(80));
        // The connection and the gaps, and the round trip of the statement itself.
        let preparation = if counts { ms(7) + gap + ms(7) } else { ms(7) };
        assert_eq!(ended.client, preparation + ms(7), "{gap:?}");
    }
    // A client that connects ahead of its operations did not wait for the connection.
    let mut now: Moment = ms(5_000);
    let accepted_at = now.saturating_sub(PREPARATION_GAP + ms(2));
    let mut clock = OperationClock::of_new_session(accepted_at, now.saturating_sub(ms(1)), now);
    let ended = run_single(&mut clock, &mut now, ms(7), ms(80));
    assert_eq!(ended.preparation, ms(7) + ms(1));
}

/// Guards against the preparation of an operation that its client gave up counting for another
/// one: after a statement that failed, the client ends the session or begins anew.
#[test]
fn test_failed_statement_ends_the_preparation() {
    let mut now: Moment = ms(5_000);
    let mut clock = new_session(now);
    prepare(&mut clock, &mut now, ms(7), false);
    prepare(&mut clock, &mut now, ms(7), true);
    let ended = run_single(&mut clock, &mut now, ms(7), ms(80));
    assert_eq!((ended.preparation, ended.client), (ms(0), ms(7)));
}

/// Guards against operations of near clients that count as late because of the round trips that
/// are assumed for their set-up. The gap between the connection and the first message is no round
/// trip: the client sends both at once.
#[test]
fn test_gaps_of_the_preparation_bound_the_round_trip() {
    let mut now: Moment = ms(5_000);
    let mut clock = OperationClock::of_new_session(now, now, now);
    prepare(&mut clock, &mut now, ms(2), false);
    let ended = run_single(&mut clock, &mut now, ms(9), ms(80));
    // The connection, START with its gap, the statement with its gap, and the read.
    assert_eq!(ended.client, ms(2) + ms(2) + ms(9) + ms(2));
}

/// Guards against a suspension during the set-up that makes a late operation look timely, or that
/// counts as time of the client.
#[test]
fn test_suspension_during_the_preparation_counts_as_own_time() {
    let mut now: Moment = ms(100_000);
    let began_at = now.saturating_sub(ms(60_000));
    let mut clock = OperationClock::of_new_session(began_at, began_at, now);
    let ended = run_single(&mut clock, &mut now, ms(7), ms(10));
    assert!(ended.is_late(OBJECTIVE));
    assert_eq!(ended.largest_part(), OperationPart::Own);
    assert_eq!(ended.time_of(OperationPart::Own), ms(60_000));
}

/// Guards against an operation that waits for a connection as if its set-up had taken no time.
#[test]
fn test_preparation_is_subtracted_from_what_is_left() {
    let mut now: Moment = ms(5_000);
    let mut clock = new_session(now);
    prepare(&mut clock, &mut now, ms(7), false);
    now += ms(7);
    clock.begin_statement(now);
    assert!(clock.has_preparation());
    let preparation = ms(7) * 3 + ms(3);
    assert_eq!(clock.left(now + ms(5), OBJECTIVE) + preparation + ms(5), OBJECTIVE);
    // Also for the later statements of a transaction.
    clock.end_statement(now + ms(5), &TimeParts::default(), false, false);
    clock.begin_statement(now + ms(400));
    let used = preparation + ms(5) + ms(7);
    assert_eq!(clock.left(now + ms(400), OBJECTIVE) + used, OBJECTIVE);
    clock.end_statement(now + ms(410), &at_server(ms(10)), true, false);
    let ended = clock.end_operation().expect("served to its end");
    assert_eq!((ended.statements, ended.preparation), (2, preparation));
    // The set-up does not repeat, so it is not expected of the statements that follow.
    let alone = EndedOperation {
        took: ended.took.saturating_sub(preparation),
        preparation: ms(0),
        ..ended
    };
    assert_eq!(TransactionFigures::new(&ended), TransactionFigures::new(&alone));
}

/// Guards against transactions that use up their objective in the queue, although their
/// statements then need it.
#[test]
fn test_first_statement_of_a_transaction_waits_less_than_a_single_statement() {
    let single = wait_limit(OBJECTIVE, OBJECTIVE);
    assert_eq!(single, statement_timing::max_wait(OBJECTIVE));
    let usual = run(&mut OperationClock::default(), 6, ms(4), CLIENT_ROUND_TRIP);
    let figures = TransactionFigures::new(&usual);
    // BEGIN has been answered; four statements follow the first one that needs a connection.
    assert_eq!(figures.following(2), ms(40));
    let first = wait_limit(OBJECTIVE, OBJECTIVE.saturating_sub(figures.following(2)));
    assert_eq!(first + ms(40), single);
}

/// Guards against transactions on a slow route that are all late, since none may wait at all.
#[test]
fn test_first_statement_on_a_slow_route_may_wait_a_quarter() {
    let slow = run(&mut OperationClock::default(), 12, ms(60), CLIENT_ROUND_TRIP);
    let following = TransactionFigures::new(&slow).following(2);
    assert!(following > OBJECTIVE);
    let limit = wait_limit(OBJECTIVE, OBJECTIVE.saturating_sub(following));
    assert_eq!(limit, statement_timing::max_wait(OBJECTIVE) / 4);
}

/// Guards against figures that include the queue: under load, transactions would then be
/// allowed less and less time to wait.
#[test]
fn test_figures_of_a_route_leave_out_waits_and_follow_changes() {
    let quiet = run(&mut OperationClock::default(), 4, ms(10), CLIENT_ROUND_TRIP);
    let waited = TimeParts { waited: ms(300), opening: ms(12), ..quiet.parts };
    let loaded = EndedOperation { took: quiet.took + ms(312), parts: waited, ..quiet };
    assert_eq!(TransactionFigures::new(&quiet), TransactionFigures::new(&loaded));
    let mut figures = TransactionFigures::new(&quiet);
    let long = run(&mut OperationClock::default(), 12, ms(10), CLIENT_ROUND_TRIP);
    for _ in 0..60 {
        figures.observe(&long);
    }
    let error = figures.following(2).abs_diff(TransactionFigures::new(&long).following(2));
    assert!(error < ms(1), "{error:?}");
}

/// Guards against the time of a holder that died, or of an earlier build that reports no parts,
/// being lost or counted as time at a server.
#[test]
fn test_exchange_without_reported_parts_counts_as_way() {
    let unknown = TimeParts::of_exchange(ms(50), ms(0), ms(0), ms(0));
    assert_eq!(unknown, TimeParts { way: ms(50), ..TimeParts::default() });
    let known = TimeParts::of_exchange(ms(50), ms(10), ms(12), ms(20));
    assert_eq!(
        (known.waited, known.opening, known.at_server, known.way),
        (ms(10), ms(12), ms(20), ms(8))
    );
}

quickcheck! {
    /// Whatever a client does, the parts of an operation add up to its time, and its preparation
    /// is contained in the round trips and the instance's own time.
    fn prop_preparation_is_contained_in_the_parts(gaps: Vec<u8>, took: u8) -> bool {
        let mut now: Moment = ms(5_000);
        let mut clock = new_session(now);
        for gap in gaps {
            prepare(&mut clock, &mut now, ms(u64::from(gap) / 8), false);
        }
        let ended = run_single(&mut clock, &mut now, ms(7), ms(took.into()));
        let parts = OperationPart::ALL.into_iter().map(|part| ended.time_of(part));
        parts.sum::<Duration>() == ended.took
            && ended.preparation <= ended.client + ended.time_of(OperationPart::Own)
    }

    /// Whatever a holder reports, the parts add up to the time of the exchange.
    fn prop_parts_add_up(exchange: u16, waited: u32, opening: u32, at_server: u32) -> bool {
        let exchange = ms(exchange.into());
        let parts = TimeParts::of_exchange(
            exchange, ms(waited.into()), ms(opening.into()), ms(at_server.into()));
        parts.total() == exchange
    }

    /// A wait in time is never longer than that of a single statement, and never shorter than a
    /// quarter of it.
    fn prop_wait_limit_is_bounded(objective: u16, left: u16) -> bool {
        let single = statement_timing::max_wait(ms(objective.into()));
        let limit = wait_limit(ms(objective.into()), ms(left.into()));
        limit <= single && limit >= single / 4
    }
}
