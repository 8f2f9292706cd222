//! Orders to promote a server reach the platform in the order of their tokens, although it
//! may not check them.

mod voting;

use std::time::Duration;

use chervilwharf_lib::duty::DutyToken;
use chervilwharf_lib::id::InstanceId;
use chervilwharf_lib::moment::Moment;
use chervilwharf_lib::primary_lease::ORDER_LEASE;
use chervilwharf_lib::primary_lease::ORDER_SEND_LIMIT;
use chervilwharf_lib::primary_lease::Objection;
use chervilwharf_lib::primary_lease::PrimaryLease;
use chervilwharf_lib::primary_lease::PromiseTally;
use chervilwharf_lib::primary_lease::RetireRequest;
use chervilwharf_lib::voter_set::VoterSet;
use voting::lease_of;

fn at(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

fn ids() -> Vec<InstanceId> {
    ["i0", "i1", "i2"].map(Into::into).to_vec()
}

fn voters() -> VoterSet {
    VoterSet::first(0, ids())
}

/// The request of an instance for an order that promotes the same server as all others.
fn request(holder: &str, token: DutyToken) -> RetireRequest {
    RetireRequest {
        holder: holder.into(),
        life: 1,
        term: 1,
        token,
        successor: "s1".into(),
        withdrawn: 0,
        written_era: Some(0),
        voters: voters(),
    }
}

/// Whether a majority promises now for an order.
fn has_majority(leases: &mut [PrimaryLease], now: Moment, request: &RetireRequest) -> bool {
    let mut tally = PromiseTally::new(voters(), ids(), now, at(0));
    for (lease, id) in leases.iter_mut().zip(&ids()) {
        if let Ok(promise) = lease.promise(now, request) {
            tally.promised(now, id, promise);
        }
    }
    tally.has_majority()
}

/// Guards against an order that goes out after one under a higher token: an instance collects
/// promises, another one takes the duty under a higher token and orders first.
#[test]
fn test_order_is_not_confirmed_after_promises_for_a_higher_token() {
    let mut leases: Vec<_> = ids().iter().map(|id| lease_of(id, &voters())).collect();
    assert!(has_majority(&mut leases, at(1_000), &request("i0", 2)));
    let later = at(1_000) + ORDER_LEASE;
    assert!(has_majority(&mut leases, later, &request("i1", 3)));
    assert!(!has_majority(&mut leases, later, &request("i0", 2)));
    assert_eq!(leases[0].promise(later, &request("i0", 2)), Err(Objection::HigherToken(3)));
}

/// Guards against the same while the first instance has confirmed its promises and is about
/// to send its order.
#[test]
fn test_voter_makes_no_promise_while_another_instance_may_send_its_order() {
    let mut lease = lease_of(&ids()[0], &voters());
    lease.promise(at(1_000), &request("i0", 2)).unwrap();
    lease.promise(at(1_900), &request("i0", 2)).expect("the confirmation");
    let last = at(1_900) + ORDER_LEASE;
    for now in [at(1_900) + ORDER_SEND_LIMIT, last.saturating_sub(at(1))] {
        assert_eq!(lease.promise(now, &request("i1", 3)), Err(Objection::UnsentOrder(2)));
    }
    // The confirmation remains possible meanwhile.
    assert!(lease.promise(at(2_000), &request("i0", 2)).is_ok());
    assert!(lease.promise(at(2_000) + ORDER_LEASE, &request("i1", 3)).is_ok());
}

/// Guards against a group without a primary for longer than necessary: the order of the other
/// instance is settled, or this one continues under a higher token of its own.
#[test]
fn test_voter_promises_at_once_after_a_settled_order_and_to_the_same_instance() {
    let mut lease = lease_of(&ids()[0], &voters());
    lease.promise(at(1_000), &request("i0", 2)).unwrap();
    assert!(lease.promise(at(1_010), &request("i0", 3)).is_ok());
    lease.record_order_ended(3);
    lease.record_order_ended(2);
    assert!(lease.promise(at(1_020), &request("i1", 4)).is_ok());
}

/// Guards against a voter that restarted, forgot its promise and makes one for a later order
/// while the first one is about to be sent.
#[test]
fn test_voter_that_just_started_makes_no_promise() {
    let mut lease = PrimaryLease::unknown(ids()[0].clone()).with_start(at(5_000));
    lease.adopt_voters(at(5_000), &voters());
    lease.orders_known();
    assert_eq!(lease.promise(at(5_100), &request("i1", 3)), Err(Objection::JustStarted));
    assert!(lease.promise(at(5_000) + ORDER_LEASE, &request("i1", 3)).is_ok());
}
