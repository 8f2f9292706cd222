//! A short soak with a few seeds. `cargo run --release -p chervilwharf-soak` runs a
//! longer one.

use chervilwharf_soak::repeated_replies;
use chervilwharf_soak::schedule::Selection;
use chervilwharf_soak::schedule::SoakOptions;
use chervilwharf_soak::schedule::fault_schedule;
use chervilwharf_soak::soak;

/// Seeds of the short soak.
const SEEDS: [u64; 3] = [1, 2, 3];

/// Number of statements on each database in the short run against servers that repeat replies.
const SHORT_STATEMENTS: u64 = 2_000;

#[tokio::test(flavor = "multi_thread")]
async fn test_guarantees_hold_under_fault_schedules() {
    for seed in SEEDS {
        let report = soak::run(seed, SoakOptions::default(), false).await;
        println!("{report:?}");
        assert!(report.violations.is_empty(), "seed {seed}: {:#?}", report.violations);
        assert!(report.kept > 0 && report.reads > 0, "seed {seed}: nothing was served");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn test_guarantees_hold_when_the_store_is_restored_from_backups() {
    let options = SoakOptions { selection: Selection::StoreRestores, ..SoakOptions::default() };
    let report = soak::run(1, options, false).await;
    println!("{report:?}");
    assert!(report.violations.is_empty(), "{:#?}", report.violations);
}

/// Guards against an instance that applies a configuration late because it still waits
/// for a call that the store never answers.
#[tokio::test(flavor = "multi_thread")]
async fn test_configurations_are_in_force_after_outages_of_the_store() {
    let options = SoakOptions { selection: Selection::StoreOutages, ..SoakOptions::default() };
    let report = soak::run(1, options, false).await;
    println!("{report:?}");
    assert!(report.violations.is_empty(), "{:#?}", report.violations);
    assert!(
        !report.in_force_after.is_empty(),
        "no configuration was measured after an outage of the store"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn test_planned_operations_drop_no_request() {
    let options = SoakOptions { selection: Selection::PlannedOperations, ..SoakOptions::default() };
    let report = soak::run(1, options, false).await;
    println!("{report:?}");
    assert!(report.violations.is_empty(), "{:#?}", report.violations);
}

/// Guards against more operations of an account at the servers than its limit allows, and
/// against refusals of an account below its limit that go on after the faults.
#[tokio::test(flavor = "multi_thread")]
async fn test_limits_of_accounts_hold_under_fault_schedules() {
    let options = SoakOptions { selection: Selection::AccountLimits, ..SoakOptions::default() };
    for seed in SEEDS {
        let report = soak::run(seed, options, false).await;
        println!("{report:?}");
        assert!(report.violations.is_empty(), "seed {seed}: {:#?}", report.violations);
    }
}

/// Guards against answers of other statements while servers repeat replies: whole, late, cut off
/// and in bursts.
#[tokio::test(flavor = "multi_thread")]
async fn test_answers_are_those_of_their_statements_when_servers_repeat_replies() {
    let report = repeated_replies::run(1, SHORT_STATEMENTS).await;
    println!("{report:?}");
    assert!(report.findings.repetitions > 0, "nothing was repeated");
    assert!(report.held(), "{}", report.findings);
}

#[test]
fn test_a_seed_gives_the_same_schedule_each_time() {
    let options = SoakOptions::default();
    assert_eq!(fault_schedule(7, options), fault_schedule(7, options));
    assert_ne!(fault_schedule(7, options), fault_schedule(8, options));
}
