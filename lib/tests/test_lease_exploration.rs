//! Random failures around changes of the primary, where replaced primaries continue to
//! lead. The runs check that no commit of a replaced primary is acknowledged, that no read
//! which must see every commit misses one, and that a planned change loses no commit.

mod lease_world;

use lease_world::DisabledRule;
use lease_world::World;

/// Number of runs. The environment variable `EXPLORATION_SEEDS` overrides it.
const SEEDS: u64 = 250;
const STEPS: usize = 1_500;

fn seeds() -> u64 {
    std::env::var("EXPLORATION_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(SEEDS)
}

/// Runs one seed until the first violation of a guarantee, which is returned.
fn explore(seed: u64, disabled: DisabledRule) -> (World, Option<String>) {
    run(World::new(seed, disabled))
}

fn run(mut world: World) -> (World, Option<String>) {
    for _ in 0..STEPS {
        world.step();
        if let Some(violation) = world.violation.take() {
            return (world, Some(violation));
        }
    }
    (world, None)
}

#[test]
fn test_no_run_uses_a_replaced_primary() {
    let (mut promotions, mut served, mut backups, mut voter_changes) = (0, 0, 0, 0);
    for seed in 0..seeds() {
        let (world, violation) = explore(seed, DisabledRule::Nothing);
        assert_eq!(violation, None, "seed {seed}");
        promotions += world.promotions;
        served += world.served;
        backups += world.backups_restored;
        voter_changes += world.voter_changes;
    }
    println!(
        "{promotions} promotions, {served} commits acknowledged, {backups} backups, \
        {voter_changes} changes of voters"
    );
    assert!(voter_changes as u64 > seeds() / 2, "too few changes of voters: {voter_changes}");
    assert!(backups as u64 > seeds() / 2, "too few restores of the store: {backups}");
    assert!(promotions as u64 > seeds() / 2, "too few promotions: {promotions}");
    assert!(served as u64 > seeds() * 100, "too few acknowledged commits: {served}");
}

/// Guards against two primaries in use when all voters are gone or out of reach and instances
/// that do not vote use the primary by reads of the store.
#[test]
fn test_no_run_uses_a_replaced_primary_after_the_loss_of_all_voters() {
    let (mut promotions, mut losses, mut served_to_readers) = (0, 0, 0);
    for seed in 0..seeds() {
        let (world, violation) = run(World::new(seed, DisabledRule::Nothing).with_losses());
        assert_eq!(violation, None, "seed {seed}");
        promotions += world.promotions;
        losses += world.losses;
        served_to_readers += world.served_to_readers;
    }
    println!(
        "{promotions} promotions, all voters lost {losses} times, {served_to_readers} commits \
        acknowledged to readers"
    );
    assert!(losses as u64 > seeds(), "too few losses of all voters: {losses}");
    assert!(promotions as u64 > seeds() / 4, "too few promotions: {promotions}");
    assert!(served_to_readers as u64 > seeds() * 5, "too few for readers: {served_to_readers}");
}

/// Asserts that a rule is needed: without it, some run violates a guarantee.
fn assert_detected(disabled: DisabledRule) {
    assert_detected_by(disabled, 0..2_000);
}

/// Like [`assert_detected`], for rules on a store that is restored from backups. Only runs
/// with odd seeds have such a store. In every other one of these, instances also join and
/// leave, which happens too often for such a store to be taken into use.
fn assert_detected_with_backups(disabled: DisabledRule) {
    assert_detected_by(disabled, (1..16_000).step_by(4));
}

fn assert_detected_by(disabled: DisabledRule, seeds: impl Iterator<Item = u64>) {
    assert_detected_in(disabled, seeds, |world| world);
}

/// Like [`assert_detected`], in runs in which all voters are lost. In those with odd seeds the
/// store is restored from backups, and serves no readers after that.
fn assert_detected_with_losses(disabled: DisabledRule) {
    assert_detected_in(disabled, (0..10_000).step_by(2), World::with_losses);
}

fn assert_detected_in(
    disabled: DisabledRule,
    mut seeds: impl Iterator<Item = u64>,
    prepare: impl Fn(World) -> World,
) {
    let detection = seeds.find_map(|seed| {
        let (_, violation) = run(prepare(World::new(seed, disabled)));
        violation.map(|violation| (seed, violation))
    });
    println!("{disabled:?}: {detection:?}");
    assert!(detection.is_some(), "no run detects that the rule {disabled:?} is disabled");
}

#[test]
fn test_primary_used_without_a_lease_is_detected() {
    assert_detected(DisabledRule::LeaseCheck);
}

#[test]
fn test_acknowledgement_after_the_lease_expired_is_detected() {
    assert_detected(DisabledRule::CheckBeforeAcknowledgement);
}

#[test]
fn test_order_without_waiting_for_unreachable_instances_is_detected() {
    assert_detected(DisabledRule::WaitForUnreachable);
}

#[test]
fn test_order_without_a_majority_is_detected() {
    assert_detected(DisabledRule::Majority);
}

#[test]
fn test_vote_of_a_restarted_instance_before_it_has_the_orders_is_detected() {
    assert_detected(DisabledRule::OrdersBeforeVotes);
}

#[test]
fn test_planned_change_without_waiting_for_the_successor_is_detected() {
    assert_detected(DisabledRule::WaitForSuccessorLog);
}

#[test]
fn test_read_of_a_restored_store_without_grants_of_its_era_is_detected() {
    assert_detected_with_backups(DisabledRule::GrantsInEra);
}

#[test]
fn test_duty_taken_after_a_restore_without_terms_retired_by_a_majority_is_detected() {
    assert_detected_with_backups(DisabledRule::TermsRetiredByMajority);
}

#[test]
fn test_vote_of_a_restarted_instance_by_a_restored_store_is_detected() {
    assert_detected_with_backups(DisabledRule::OrdersOfEra);
}

#[test]
fn test_votes_counted_by_the_instances_that_each_knows_are_detected() {
    assert_detected_by(DisabledRule::AgreedVoters, 0..5_000);
}

#[test]
fn test_order_without_confirmed_promises_is_detected() {
    assert_detected(DisabledRule::ConfirmedPromises);
}

#[test]
fn test_promise_while_another_instance_may_send_its_order_is_detected() {
    assert_detected(DisabledRule::OrderLease);
}

#[test]
fn test_change_of_voters_in_one_step_is_detected() {
    assert_detected(DisabledRule::JointVoters);
}

#[test]
fn test_change_of_voters_without_acknowledgements_is_detected() {
    assert_detected(DisabledRule::AcknowledgedVoters);
}

#[test]
fn test_token_continued_from_a_backup_is_detected() {
    assert_detected_with_backups(DisabledRule::TokensOfEra);
}

#[test]
fn test_replacement_without_the_store_is_detected() {
    assert_detected_with_losses(DisabledRule::WrittenOrders);
}

#[test]
fn test_order_that_makes_ended_terms_usable_is_detected() {
    assert_detected_with_losses(DisabledRule::KnownOrders);
}

/// The voters forget an order that the store does not have when all of them restart, and no time
/// that readers wait makes up for that.
#[test]
fn test_replacement_without_the_store_for_a_bounded_time_is_detected() {
    assert_detected_with_losses(DisabledRule::WrittenOrdersWithinBound);
}

#[test]
fn test_read_of_a_store_that_admits_no_readers_is_detected() {
    assert_detected_with_losses(DisabledRule::AdmittedReaders);
}

#[test]
fn test_order_without_waiting_for_readers_is_detected() {
    assert_detected_with_losses(DisabledRule::WaitForReaders);
}

#[test]
fn test_order_without_waiting_for_former_readers_is_detected() {
    assert_detected_with_losses(DisabledRule::WaitForFormerReaders);
}
