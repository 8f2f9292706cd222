//! Orders of instances that have not observed the latest terms of a group.

use std::net::SocketAddr;

use chervilwharf_lib::duty::DutyOrder;
use chervilwharf_lib::duty::next_record;
use chervilwharf_lib::duty::term_to_end;
use chervilwharf_lib::fleet::InstanceRecord;

fn restarted_instance() -> InstanceRecord {
    InstanceRecord {
        id: "me".into(),
        life: 2,
        peer_address: SocketAddr::from(([127, 0, 0, 1], 1)),
        failure_domain: "a".into(),
        capacity_millicores: 250,
    }
}

/// Guards against a replaced primary that is used again: an instance that has restarted behind a
/// partition reaches servers of an early term only, and orders the promotion of one of them. By a
/// read of that order, other instances took terms for usable that had ended before.
#[test]
fn test_order_of_an_instance_that_missed_terms_leaves_them_ended() {
    let (group, me) = ("db".into(), restarted_instance());
    let latest = DutyOrder { server: "s0".into(), term: 4 };
    let last = next_record(&group, &me, None, Some(latest), 0);
    let term = term_to_end(1, Some(&last));
    let order = DutyOrder { server: "s0".into(), term: term + 1 };
    let next = next_record(&group, &me, Some(&last), Some(order), 0);
    assert_eq!((last.ended_term(), next.ended_term()), (3, 3));
    assert_eq!(term_to_end(5, Some(&last)), 5);
    assert_eq!(term_to_end(1, None), 1);
}
