//! Explores random faults of the instances that count an account's operations: in no
//! window do more operations start than the limit and its tolerance allow.

mod quota_simulation;

use quota_simulation::LIMIT;
use quota_simulation::QuotaSimulation;
use quota_simulation::Rule;
use quota_simulation::TOLERANCE;

/// Highest number of operations allowed in a window.
fn allowed() -> f64 {
    let window_s = TOLERANCE.window.as_secs_f64();
    (LIMIT.rate_per_s * window_s + LIMIT.burst) * (1.0 + TOLERANCE.excess) + TOLERANCE.slack
}

fn count(value: usize) -> f64 {
    f64::from(u32::try_from(value).expect("few operations"))
}

/// Operations per second that the clients of an overloaded account request: five times
/// its limit.
const HOT_PER_S: f64 = 200.0;

const SEEDS: u64 = 400;

#[test]
fn test_hot_account_stays_within_its_limit_under_faults() {
    let mut keeper_changes = 0;
    for seed in 0..SEEDS {
        let observed = QuotaSimulation::new(seed, None).run(HOT_PER_S, true);
        assert!(count(observed.max_in_window) <= allowed(), "seed {seed}: {observed:?}");
        assert_eq!(observed.double_keepers, 0, "seed {seed}: {observed:?}");
        keeper_changes += observed.keeper_changes;
    }
    assert!(keeper_changes > 1_000, "{keeper_changes} changes of keeper");
}

#[test]
fn test_account_below_its_limit_is_not_refused() {
    let (mut started, mut refused) = (0, 0);
    for seed in 0..SEEDS {
        let observed = QuotaSimulation::new(seed, None).run(LIMIT.rate_per_s * 0.625, false);
        started += observed.started;
        refused += observed.refused;
    }
    // No keeper has been elected yet in the first moments.
    assert!(count(refused) < 0.002 * count(started), "{refused} of {started}");
}

#[test]
fn test_hot_account_gets_what_its_limit_allows() {
    for seed in 0..40 {
        let observed = QuotaSimulation::new(seed, None).run(HOT_PER_S, false);
        assert!(
            count(observed.max_in_window) > LIMIT.rate_per_s * 5.0,
            "seed {seed}: {observed:?}"
        );
    }
}

/// Whether leaving out the rule leads to a detected violation for at least one seed.
fn is_detected(rule: Rule) -> bool {
    (0..SEEDS).any(|seed| {
        let observed = QuotaSimulation::new(seed, Some(rule)).run(HOT_PER_S, true);
        count(observed.max_in_window) > allowed() || observed.double_keepers > 0
    })
}

#[test]
fn test_each_removed_rule_causes_a_violation() {
    let rules = [
        Rule::Majority,
        Rule::OneVotePerVoter,
        Rule::LeaseExpires,
        Rule::SmallInitialBurst,
        Rule::LimitedWithoutKeeper,
        Rule::UnlistedInstancesCount,
        Rule::PeersReportUnlisted,
        Rule::WaitAfterRestore,
    ];
    for rule in rules {
        assert!(is_detected(rule), "leaving out {rule:?} is not detected");
    }
}
