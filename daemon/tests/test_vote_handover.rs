//! When a planned stop waits for others to take over the votes of the instance.

mod stubs;

use std::sync::Arc;
use std::time::Duration;

use chervilwharf_daemon::engine::clock::now;
use chervilwharf_daemon::engine::shared::Engine;
use chervilwharf_lib::id::GroupId;
use chervilwharf_lib::id::InstanceId;
use chervilwharf_lib::stop_plan::StopPlan;
use chervilwharf_lib::voter_set::VoterSet;
use stubs::NoServer;
use stubs::instance;

/// An instance `a` that votes on a group with `others`, all of which have records.
fn voter(others: &[&str]) -> (Engine, GroupId, VoterSet) {
    let engine = Engine::new(instance("a"), Arc::new(NoServer));
    engine.set_registered();
    engine.apply_instance_list(others.iter().map(|id| instance(id)).collect());
    let ids = ["a"].iter().chain(others).map(|id| InstanceId::from(*id)).collect();
    let (group, voters) = ("db".into(), VoterSet::first(0, ids));
    engine.adopt_voters(&engine.shard(&group), &voters);
    (engine, group, voters)
}

fn stop(engine: &Engine) {
    engine.stop(StopPlan::new(now(), Duration::from_secs(6)));
}

/// Guards against an instance that ends while its vote is needed, so that the next loss of
/// another one leaves the group without a majority.
#[test]
fn test_stop_waits_until_others_vote_in_place_of_the_instance() {
    let (engine, group, voters) = voter(&["b", "c"]);
    assert!(!engine.has_votes_to_hand_over());
    stop(&engine);
    assert!(engine.has_votes_to_hand_over());
    let staying = engine.staying_voters(&group);
    assert_eq!(**staying, [InstanceId::from("b"), InstanceId::from("c")]);
    let joint = voters.with_next(0, staying.to_vec());
    engine.adopt_voters(&engine.shard(&group), &joint);
    assert!(engine.has_votes_to_hand_over(), "the change is not complete");
    let settled = joint.settled(0, &std::collections::BTreeMap::new());
    engine.adopt_voters(&engine.shard(&group), &settled);
    assert!(!engine.has_votes_to_hand_over());
}

/// Guards against stops that take longer than they have to.
#[test]
fn test_stop_does_not_wait_while_enough_others_vote_or_nobody_else_is_there() {
    let (engine, ..) = voter(&["b", "c", "d", "e", "f"]);
    stop(&engine);
    assert!(!engine.has_votes_to_hand_over());
    let (engine, ..) = voter(&[]);
    stop(&engine);
    assert!(!engine.has_votes_to_hand_over());
}
