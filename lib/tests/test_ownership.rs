//! Single steps of the ownership state machine.

use std::time::Duration;
use std::time::Instant;

use chervilwharf_lib::ownership;
use chervilwharf_lib::ownership::Ownership;
use chervilwharf_lib::ownership_types::FenceFailure;
use chervilwharf_lib::ownership_types::GroupServer;
use chervilwharf_lib::ownership_types::OwnershipAction;
use chervilwharf_lib::ownership_types::OwnershipEvent;
use chervilwharf_lib::ownership_types::OwnershipTiming;
use chervilwharf_lib::ownership_types::ServerState;
use chervilwharf_lib::ownership_types::TakeCause;
use chervilwharf_lib::position::Position;

fn new_ownership(life: &str) -> Ownership {
    let server =
        |id: &str| GroupServer { id: id.into(), failure_domain: "domain".into(), leaving: false };
    Ownership::new(
        "entry-1".into(),
        ownership::holder("entry-1", life),
        "domain".into(),
        "db".into(),
        vec![server("a"), server("b"), server("c")],
        OwnershipTiming::default(),
    )
}

fn granted(term: u64, received: Position) -> ServerState {
    ServerState {
        term,
        owner: ownership::holder("entry-1", "2"),
        is_primary: false,
        follows: None,
        received,
        applied: received,
        since_primary_contact: None,
    }
}

fn fence_terms(actions: &[OwnershipAction]) -> Vec<u64> {
    let term = |action: &OwnershipAction| match action {
        OwnershipAction::Fence { term, .. } => Some(*term),
        _ => None,
    };
    actions.iter().filter_map(term).collect()
}

/// Symptom: an acknowledged write is missing from fresh reads. Sequence: an
/// owner is restarted under the same name, knows no term, and fences with the
/// term it had before. Cause: servers took the name alone for the same
/// holder, and two primaries stood in one term.
#[test]
fn test_restarted_owner_takes_a_new_term() {
    let now = Instant::now();
    let mut after = new_ownership("2");
    let first = after.handle(now, OwnershipEvent::Take(TakeCause::Vacant));
    assert_eq!(fence_terms(&first), [1, 1, 1]);
    let owner = ownership::holder("entry-1", "1");
    let result = Err(FenceFailure::HigherTerm { term: 1, owner });
    let refused = OwnershipEvent::Fenced { server: "a".into(), term: 1, result };
    let second = after.handle(now, refused);
    assert_eq!(fence_terms(&second), [2, 2, 2]);
}

fn promoted_server(positions: [(&str, Position); 3]) -> String {
    let now = Instant::now();
    let mut ownership = new_ownership("2");
    ownership.handle(now, OwnershipEvent::Take(TakeCause::Vacant));
    let mut actions = Vec::new();
    for (server, position) in positions {
        let result = Ok(granted(1, position));
        let event = OwnershipEvent::Fenced { server: server.into(), term: 1, result };
        actions.extend(ownership.handle(now, event));
    }
    let promote = actions.iter().find_map(|action| match action {
        OwnershipAction::Promote { server, .. } => Some(server.to_string()),
        _ => None,
    });
    promote.unwrap()
}

/// Symptom: acknowledged writes vanish with a failover. Sequence: an old
/// primary has a long tail that was never confirmed, a replica a shorter log
/// of a newer term. Cause: logs are compared by length alone.
#[test]
fn test_log_of_newer_term_is_preferred_to_longer_log() {
    let promoted = promoted_server([
        ("a", Position::new(1, 900)),
        ("b", Position::new(2, 20)),
        ("c", Position::new(2, 19)),
    ]);
    assert_eq!(promoted, "b");
}

/// Symptom: a healthy primary is replaced after the owner was paused.
/// Sequence: the owner's process stands still for seconds; when it goes on,
/// all its probes look unanswered. Cause: its own pause is taken for the
/// silence of the server.
#[test]
fn test_own_pause_does_not_replace_the_primary() {
    let start = Instant::now();
    let mut ownership = new_ownership("2");
    ownership.handle(start, OwnershipEvent::Take(TakeCause::Vacant));
    for server in ["a", "b", "c"] {
        let result = Ok(granted(1, Position::ZERO));
        let event = OwnershipEvent::Fenced { server: server.into(), term: 1, result };
        ownership.handle(start, event);
    }
    let promoted = ["a", "b", "c"].into_iter().find(|server| {
        let result = Ok(Position::new(1, 1));
        let event = OwnershipEvent::Promoted { server: (*server).into(), term: 1, result };
        !ownership.handle(start, event).is_empty()
    });
    assert!(promoted.is_some());
    let tick = |ownership: &mut Ownership, at_ms| {
        ownership.handle(start + Duration::from_millis(at_ms), OwnershipEvent::Tick)
    };
    for at_ms in [20, 120, 220] {
        tick(&mut ownership, at_ms);
    }
    // Five seconds of nothing, then all unanswered probes at once.
    let actions = tick(&mut ownership, 5220);
    assert!(ownership.serving().is_some());
    assert!(fence_terms(&actions).is_empty());
    // Had it not been paused, the same silence is a fault: the replicas
    // answer every probe, the primary none.
    let mut fenced = Vec::new();
    for at_ms in (5240..6000).step_by(20) {
        let now = start + Duration::from_millis(at_ms);
        // In use, that is: an idle database is asked more seldom.
        ownership.requested(now);
        let actions = tick(&mut ownership, at_ms);
        fenced.extend(fence_terms(&actions));
        for action in actions {
            let OwnershipAction::Probe { server, sequence } = action else {
                continue;
            };
            if Some(&*server) != promoted {
                let state = Some(granted(1, Position::new(1, 1)));
                ownership.handle(now, OwnershipEvent::Probed { server, sequence, state });
            }
        }
    }
    assert!(!fenced.is_empty());
}
