//! No account begins more operations than its limit allows, in any window, whatever
//! happens to the instances that count them.

mod quota_simulation;

use quota_world::LIMIT;
use quota_world::QuotaWorld;
use quota_world::Rule;
use quota_world::TOLERANCE;

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
    let mut keepers = 0;
    for seed in 0..SEEDS {
        let seen = QuotaWorld::new(seed, None).play(HOT_PER_S, true);
        assert!(count(seen.most) <= allowed(), "seed {seed}: {seen:?}");
        assert_eq!(seen.doubles, 0, "seed {seed}: {seen:?}");
        keepers += seen.keepers;
    }
    assert!(keepers > 1_000, "{keepers} changes of keeper");
}

#[test]
fn test_account_below_its_limit_is_not_refused() {
    let (mut begun, mut refused) = (0, 0);
    for seed in 0..SEEDS {
        let seen = QuotaWorld::new(seed, None).play(LIMIT.rate_per_s * 0.625, false);
        begun += seen.begun;
        refused += seen.refused;
    }
    // The first keeper is not there in the first moments.
    assert!(count(refused) < 0.002 * count(begun), "{refused} of {begun}");
}

#[test]
fn test_hot_account_gets_what_its_limit_allows() {
    for seed in 0..40 {
        let seen = QuotaWorld::new(seed, None).play(HOT_PER_S, false);
        assert!(count(seen.most) > LIMIT.rate_per_s * 5.0, "seed {seed}: {seen:?}");
    }
}

/// Whether a rule that is taken out is noticed on some seed.
fn is_noticed(rule: Rule) -> bool {
    (0..SEEDS).any(|seed| {
        let seen = QuotaWorld::new(seed, Some(rule)).play(HOT_PER_S, true);
        count(seen.most) > allowed() || seen.doubles > 0
    })
}

#[test]
fn test_each_removed_rule_causes_a_violation() {
    let rules = [
        Rule::Majority,
        Rule::OneVote,
        Rule::LeaseEnds,
        Rule::BeginsWithLittle,
        Rule::AloneLittle,
        Rule::UnlistedCount,
        Rule::OthersTell,
        Rule::WaitAfterCopy,
    ];
    for rule in rules {
        assert!(is_noticed(rule), "{rule:?} is not noticed");
    }
}
