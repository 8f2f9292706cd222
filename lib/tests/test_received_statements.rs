//! Statements of other instances that arrive, or do not.

use std::time::Duration;

use chervilwharf_lib::received_statements::Fate;
use chervilwharf_lib::received_statements::ReceivedStatements;

const START: Duration = Duration::from_secs(1_000);
const SENT_AGO: Duration = Duration::from_millis(80);
const TICKET: u64 = 7;

fn after(seconds: u64) -> Duration {
    START + Duration::from_secs(seconds)
}

/// Guards against a statement that runs though its sender was told that it never will.
#[test]
fn test_withdrawn_statement_does_not_run_when_it_arrives() {
    let mut received_statements = ReceivedStatements::new(START);
    assert_eq!(received_statements.withdraw(after(1), TICKET, SENT_AGO), Fate::Withdrawn);
    assert!(!received_statements.begin(after(31), TICKET));
    assert_eq!(
        received_statements.withdraw(after(32), TICKET, SENT_AGO),
        Fate::Withdrawn,
        "asked again"
    );
}

/// Guards against a statement that ran and counts as not arrived.
#[test]
fn test_statement_that_arrived_is_not_withdrawn() {
    let mut received_statements = ReceivedStatements::new(START);
    assert!(received_statements.begin(after(1), TICKET));
    assert_eq!(received_statements.withdraw(after(2), TICKET, SENT_AGO), Fate::Open);
    received_statements.end(after(3), TICKET);
    assert!(received_statements.begin(after(9), TICKET + 1), "others come meanwhile");
    assert_eq!(received_statements.withdraw(after(9), TICKET, Duration::from_secs(8)), Fate::Ended);
}

/// Guards against a statement that ran and was forgotten, here or in an earlier life.
#[test]
fn test_statement_of_unknown_state_is_not_withdrawn() {
    let mut received_statements = ReceivedStatements::new(START);
    let earlier_life = received_statements.withdraw(after(1), TICKET, Duration::from_secs(2));
    assert_eq!(earlier_life, Fate::Open);
    let forgotten = received_statements.withdraw(after(100), TICKET, Duration::from_secs(9));
    assert_eq!(forgotten, Fate::Open);
}
