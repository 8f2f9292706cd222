//! Withdrawal of statements that another instance sent and got no answer to.

use std::time::Duration;

use chervilwharf_lib::received_statements::DeliveryState;
use chervilwharf_lib::received_statements::ReceivedStatements;

const START: Duration = Duration::from_secs(1_000);
const SENT_AGO: Duration = Duration::from_millis(80);
const TICKET: u64 = 7;

fn after(seconds: u64) -> Duration {
    START + Duration::from_secs(seconds)
}

/// Guards against a statement that runs after its sender was answered that it is withdrawn.
#[test]
fn test_withdrawn_statement_does_not_run_when_it_arrives() {
    let mut received = ReceivedStatements::new(START);
    assert_eq!(received.withdraw(after(1), TICKET, SENT_AGO), DeliveryState::Withdrawn);
    assert!(!received.begin(after(31), TICKET));
    assert_eq!(
        received.withdraw(after(32), TICKET, SENT_AGO),
        DeliveryState::Withdrawn,
        "asked again"
    );
}

/// Guards against a statement that has run and is reported as not arrived.
#[test]
fn test_statement_that_arrived_is_not_withdrawn() {
    let mut received = ReceivedStatements::new(START);
    assert!(received.begin(after(1), TICKET));
    assert_eq!(received.withdraw(after(2), TICKET, SENT_AGO), DeliveryState::Unresolved);
    received.end(after(3), TICKET);
    assert!(received.begin(after(9), TICKET + 1), "another statement arrives meanwhile");
    assert_eq!(received.withdraw(after(9), TICKET, Duration::from_secs(8)), DeliveryState::Ended);
}

/// Guards against a statement that is reported as not arrived although it has run, and
/// its record was removed or belonged to an earlier run of this instance.
#[test]
fn test_statement_of_unknown_state_is_not_withdrawn() {
    let mut received = ReceivedStatements::new(START);
    let before_start = received.withdraw(after(1), TICKET, Duration::from_secs(2));
    assert_eq!(before_start, DeliveryState::Unresolved);
    let forgotten = received.withdraw(after(100), TICKET, Duration::from_secs(9));
    assert_eq!(forgotten, DeliveryState::Unresolved);
}
