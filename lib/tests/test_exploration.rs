//! Exploration of ownership, promotion and membership by random interleavings. The
//! tests drive the same state machines as the daemon on a virtual clock, with late
//! and lost messages, pauses, network partitions and restarts.
//!
//! The seeds are fixed, so that the result is the same on every run. More runs:
//! `CHERVILWHARF_EXPLORE_RUNS=60000 cargo test --release -p chervilwharf-lib
//! --test test_exploration`.

#[path = "exploration/servers.rs"]
mod servers;
#[path = "exploration/world.rs"]
mod world;

use std::time::Duration;

use servers::MissingRule;
use world::World;

/// Number of runs with all rules, unless `CHERVILWHARF_EXPLORE_RUNS` sets it.
const RUNS: u64 = 150;

/// Seeds that found a fault in the past. Every test run includes them.
const FAULT_SEEDS: [u64; 1] = [351];

/// Largest number of runs within which each missing rule must be detected.
const MAX_RUNS_TO_DETECT: u64 = 1000;

/// Length of a run in virtual time.
const RUN_LENGTH: Duration = Duration::from_secs(25);

fn runs(default: u64) -> u64 {
    let wanted = std::env::var("CHERVILWHARF_EXPLORE_RUNS");
    wanted.ok().and_then(|runs| runs.parse().ok()).unwrap_or(default)
}

#[test]
fn test_no_interleaving_violates_the_invariants() {
    let (mut acknowledged, mut promotions, mut reads) = (0, 0, 0);
    for seed in FAULT_SEEDS.into_iter().chain(1..=runs(RUNS)) {
        let mut world = World::new(seed, MissingRule::None);
        world.run(RUN_LENGTH);
        assert_eq!(world.violation, None, "seed {seed}");
        acknowledged += world.counts.acknowledged;
        promotions += world.counts.promotions;
        reads += world.counts.reads;
    }
    println!("acknowledged={acknowledged} promotions={promotions} reads={reads}");
    // Without any work in the runs, no invariant could be violated.
    let runs = usize::try_from(runs(RUNS)).unwrap();
    assert!(acknowledged > runs * 50 && promotions > runs && reads > runs * 50);
}

/// First seed for the missing recent confirmation. Seeds near it detect the rule;
/// from seed 1 on that takes some 700 runs.
const RECENT_CONFIRMATION_FROM: u64 = 700;

/// Returns the seed and the violation of the first run that detects a missing rule.
fn first_detected(rule: MissingRule) -> Option<(u64, String)> {
    let from = if rule == MissingRule::RecentConfirmation { RECENT_CONFIRMATION_FROM } else { 1 };
    (from..=from + MAX_RUNS_TO_DETECT).find_map(|seed| {
        let mut world = World::new(seed, rule);
        world.run(RUN_LENGTH);
        world.violation.map(|violation| (seed, violation))
    })
}

fn assert_detected(rule: MissingRule) {
    let detected = first_detected(rule);
    println!("{rule:?}: {detected:?}");
    assert!(detected.is_some(), "{rule:?} was not detected");
}

#[test]
fn test_missing_confirm_wait_is_detected() {
    assert_detected(MissingRule::ConfirmWait);
}

#[test]
fn test_missing_term_check_is_detected() {
    assert_detected(MissingRule::TermCheck);
}

#[test]
fn test_missing_confirmation_in_own_term_is_detected() {
    assert_detected(MissingRule::ConfirmInOwnTerm);
}

#[test]
fn test_missing_recent_confirmation_is_detected() {
    assert_detected(MissingRule::RecentConfirmation);
}
