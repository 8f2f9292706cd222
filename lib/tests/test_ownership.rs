//! Tests of single steps of the ownership state machine.

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

/// The servers of the group.
const SERVERS: [&str; 3] = ["a", "b", "c"];

fn new_ownership(incarnation: &str) -> Ownership {
    let server =
        |id: &str| GroupServer { id: id.into(), failure_domain: "domain".into(), leaving: false };
    Ownership::new(
        "entry-1".into(),
        ownership::holder_id("entry-1", incarnation),
        "domain".into(),
        "db".into(),
        vec![server("a"), server("b"), server("c")],
        OwnershipTiming::default(),
    )
}

fn granted(term: u64, received: Position) -> ServerState {
    ServerState {
        term,
        owner: ownership::holder_id("entry-1", "2"),
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

/// Guards against two primaries in one term, after which fresh reads lack
/// acknowledged writes. A restarted owner has lost its term and fences with the one
/// that it had before. If servers identify the holder by the name of the instance
/// alone, they grant that term again.
#[test]
fn test_restarted_owner_takes_a_new_term() {
    let now = Instant::now();
    let mut after = new_ownership("2");
    let first = after.handle(now, OwnershipEvent::Take(TakeCause::Vacant));
    assert_eq!(fence_terms(&first), [1, 1, 1]);
    let owner = ownership::holder_id("entry-1", "1");
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
    promoted(&actions).unwrap()
}

/// The server that an action promotes, if any.
fn promoted(actions: &[OwnershipAction]) -> Option<String> {
    actions.iter().find_map(|action| match action {
        OwnershipAction::Promote { server, .. } => Some(server.to_string()),
        _ => None,
    })
}

/// Guards against the loss of acknowledged writes by a failover that compares logs by
/// length alone. An old primary can have a longer log whose last entries were never
/// confirmed, and a replica a shorter log of a newer term.
#[test]
fn test_log_of_newer_term_is_preferred_to_longer_log() {
    let promoted = promoted_server([
        ("a", Position::new(1, 900)),
        ("b", Position::new(2, 20)),
        ("c", Position::new(2, 19)),
    ]);
    assert_eq!(promoted, "b");
}

/// Guards against the replacement of a healthy primary after the owner's process was
/// paused for seconds. When the process continues, all its probes appear to be
/// unanswered, which must not count as a failure of the server.
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
    // After a pause of five seconds, all probes are overdue at once.
    let actions = tick(&mut ownership, 5220);
    assert!(ownership.serving().is_some());
    assert!(fence_terms(&actions).is_empty());
    // Without a pause, a lack of answers is a fault: the replicas answer every
    // probe and the primary none.
    let mut fenced = Vec::new();
    for at_ms in (5240..6000).step_by(20) {
        let now = start + Duration::from_millis(at_ms);
        // The request keeps the database from being idle, in which case probes
        // would be less frequent.
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

/// A serving owner whose primary no replica hears any more. Returns it with its primary, at
/// the moment at which it fences the servers in term 2.
fn owner_that_replaces_an_unheard_primary(start: Instant) -> (Ownership, String) {
    let mut ownership = new_ownership("2");
    ownership.handle(start, OwnershipEvent::Take(TakeCause::Vacant));
    let grants = SERVERS.into_iter().flat_map(|server| {
        let result = Ok(granted(1, Position::ZERO));
        let event = OwnershipEvent::Fenced { server: server.into(), term: 1, result };
        ownership.handle(start, event)
    });
    let primary = promoted(&grants.collect::<Vec<_>>()).expect("all servers granted the term");
    let result = Ok(Position::new(1, 1));
    let event = OwnershipEvent::Promoted { server: primary.as_str().into(), term: 1, result };
    ownership.handle(start, event);
    ownership.requested(start);
    for action in ownership.handle(start, OwnershipEvent::Tick) {
        let OwnershipAction::Probe { server, sequence } = action else {
            continue;
        };
        let mut state = granted(1, Position::new(1, 1));
        if *server != *primary {
            state.follows = Some(primary.as_str().into());
            state.since_primary_contact = Some(OwnershipTiming::default().replication_timeout);
        }
        let state = Some(state);
        ownership.handle(start, OwnershipEvent::Probed { server, sequence, state });
    }
    let actions = ownership.handle(start, OwnershipEvent::Tick);
    assert_eq!(fence_terms(&actions), [2, 2, 2]);
    (ownership, primary)
}

/// Position of the log of replicas that the primary does not reach, and of the primary.
const REPLICA_POSITION: Position = Position { term: 1, index: 1 };
const PRIMARY_POSITION: Position = Position { term: 1, index: 9 };

/// Lets a server grant term 2, and returns the server that is promoted then, if any.
fn promoted_after_grant(
    ownership: &mut Ownership,
    now: Instant,
    server: &str,
    received: Position,
) -> Option<String> {
    let result = Ok(granted(2, received));
    let event = OwnershipEvent::Fenced { server: server.into(), term: 2, result };
    promoted(&ownership.handle(now, event))
}

/// Guards against a primary without replicas that is promoted again and again, while no write
/// is acknowledged: one of the replicas grants the term later than the others, and without
/// it the primary may be the only server with an acknowledged write.
#[test]
fn test_unheard_primary_is_not_promoted_again_before_a_slow_replica_answers() {
    let start = Instant::now();
    let (mut ownership, primary) = owner_that_replaces_an_unheard_primary(start);
    let replicas: Vec<_> = SERVERS.into_iter().filter(|server| *server != primary).collect();
    let at = |at_ms| start + Duration::from_millis(at_ms);
    assert_eq!(promoted_after_grant(&mut ownership, at(1), &primary, PRIMARY_POSITION), None);
    assert_eq!(promoted_after_grant(&mut ownership, at(5), replicas[0], REPLICA_POSITION), None);
    for at_ms in (20..300).step_by(20) {
        assert_eq!(promoted(&ownership.handle(at(at_ms), OwnershipEvent::Tick)), None);
    }
    let promoted = promoted_after_grant(&mut ownership, at(300), replicas[1], REPLICA_POSITION);
    assert!(promoted.is_some_and(|server| replicas.contains(&&*server)));
}

/// Guards against a database that is not served at all because a replica never answers: the
/// primary may be the only server with an acknowledged write, so no other may be promoted.
#[test]
fn test_unheard_primary_is_promoted_again_if_a_replica_never_answers() {
    let start = Instant::now();
    let (mut ownership, primary) = owner_that_replaces_an_unheard_primary(start);
    let replica = SERVERS.into_iter().find(|server| *server != primary).unwrap();
    assert_eq!(promoted_after_grant(&mut ownership, start, &primary, PRIMARY_POSITION), None);
    assert_eq!(promoted_after_grant(&mut ownership, start, replica, REPLICA_POSITION), None);
    let end = start + OwnershipTiming::default().fence_timeout;
    assert_eq!(promoted(&ownership.handle(end, OwnershipEvent::Tick)), Some(primary));
}
