//! Random failures around changes of primary, where old primaries go on: no
//! commit is acknowledged by one that was succeeded, no read that must see every
//! commit misses one, and a planned change loses nothing.

mod lease_world;

use right_world::TakenOut;
use right_world::World;

/// Runs of the test; the variable `EXPLORATION_SEEDS` asks for more.
const SEEDS: u64 = 250;
const STEPS: usize = 1_500;

fn seeds() -> u64 {
    std::env::var("EXPLORATION_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(SEEDS)
}

/// The first broken promise of a run.
fn explore(seed: u64, taken_out: TakenOut) -> (World, Option<String>) {
    let mut world = World::new(seed, taken_out);
    for _ in 0..STEPS {
        world.step();
        if let Some(violation) = world.violation.take() {
            return (world, Some(violation));
        }
    }
    (world, None)
}

#[test]
fn test_no_run_uses_an_old_primary() {
    let (mut promotions, mut served, mut copies) = (0, 0, 0);
    for seed in 0..seeds() {
        let (world, violation) = explore(seed, TakenOut::Nothing);
        assert_eq!(violation, None, "seed {seed}");
        promotions += world.promotions;
        served += world.served;
        copies += world.copies_restored;
    }
    println!("{promotions} promotions, {served} commits acknowledged, {copies} copies");
    assert!(copies as u64 > seeds() / 2, "the store comes back from copies: {copies}");
    assert!(promotions as u64 > seeds() / 2, "the runs bring changes about: {promotions}");
    assert!(served as u64 > seeds() * 100, "the runs serve: {served}");
}

/// Each rule is needed: without it some run breaks a promise.
fn assert_noticed(taken_out: TakenOut) {
    assert_noticed_by(taken_out, 0..2_000);
}

/// As [`assert_noticed`], for rules on a store that comes back from copies.
fn assert_noticed_with_copies(taken_out: TakenOut) {
    assert_noticed_by(taken_out, (1..8_000).step_by(2));
}

fn assert_noticed_by(taken_out: TakenOut, mut seeds: impl Iterator<Item = u64>) {
    let noticed = seeds.find_map(|seed| {
        let (_, violation) = explore(seed, taken_out);
        violation.map(|violation| (seed, violation))
    });
    println!("{taken_out:?}: {noticed:?}");
    assert!(noticed.is_some(), "nothing notices that {taken_out:?} is missing");
}

#[test]
fn test_old_primary_used_without_the_right_is_noticed() {
    assert_noticed(TakenOut::Right);
}

#[test]
fn test_late_acknowledgement_without_a_check_is_noticed() {
    assert_noticed(TakenOut::CheckOfAcknowledgements);
}

#[test]
fn test_order_without_waiting_for_silent_instances_is_noticed() {
    assert_noticed(TakenOut::WaitForSilent);
}

#[test]
fn test_order_without_a_majority_is_noticed() {
    assert_noticed(TakenOut::Majority);
}

#[test]
fn test_vote_of_an_instance_that_forgot_its_promise_is_noticed() {
    assert_noticed(TakenOut::OrdersBeforeVotes);
}

#[test]
fn test_planned_change_without_waiting_for_the_successor_is_noticed() {
    assert_noticed(TakenOut::WaitForReceived);
}

#[test]
fn test_reading_of_a_copy_without_grants_of_its_era_is_noticed() {
    assert_noticed_with_copies(TakenOut::GrantsBeforeStore);
}

#[test]
fn test_duty_taken_after_a_copy_without_the_word_of_most_is_noticed() {
    assert_noticed_with_copies(TakenOut::WordOfMost);
}

#[test]
fn test_vote_of_a_new_life_that_trusts_a_copy_is_noticed() {
    assert_noticed_with_copies(TakenOut::OrdersOfTheEra);
}

#[test]
fn test_token_counted_on_from_a_copy_is_noticed() {
    assert_noticed_with_copies(TakenOut::TokensOfTheEra);
}
