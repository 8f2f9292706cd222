//! No account begins more operations than its limit allows, in any window, whatever
//! happens to the instances that count them.

mod quota_simulation;

use quota_simulation::LIMIT;
use quota_simulation::QuotaSimulation;
use quota_simulation::Rule;
use quota_simulation::TOLERANCE;

/// Operations that a window may hold.
fn allowed() -> f64 {
    let window_s = TOLERANCE.window.as_secs_f64();
    (LIMIT.rate_per_s * window_s + LIMIT.burst) * (1.0 + TOLERANCE.excess) + TOLERANCE.slack
}

fn count(value: usize) -> f64 {
    f64::from(u32::try_from(value).expect("few operations"))
}

/// Five times the limit.
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
    // The first keeper is not there in the first moments.
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

/// Whether a rule that is taken out is noticed on some seed.
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
        assert!(is_detected(rule), "{rule:?} is not noticed");
    }
}
