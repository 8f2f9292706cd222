//! A short soak; the long one is run by hand with `cargo run --release -p
//! chervilwharf-soak`.

use chervilwharf_soak::schedule::Selection;
use chervilwharf_soak::schedule::Shape;
use chervilwharf_soak::schedule::series;
use chervilwharf_soak::soak;

/// Seeds of the short soak.
const SEEDS: [u64; 3] = [1, 2, 3];

#[tokio::test(flavor = "multi_thread")]
async fn test_guarantees_hold_under_fault_schedules() {
    for seed in SEEDS {
        let report = soak::run(seed, Shape::default(), false).await;
        println!("{report:?}");
        assert!(report.broken.is_empty(), "seed {seed}: {:#?}", report.broken);
        assert!(report.kept > 0 && report.reads > 0, "seed {seed}: nothing was served");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn test_guarantees_hold_when_the_store_is_restored_from_backups() {
    let shape = Shape { selection: Selection::StoreCopies, ..Shape::default() };
    let report = soak::run(1, shape, false).await;
    println!("{report:?}");
    assert!(report.broken.is_empty(), "{:#?}", report.broken);
}

/// Guards against a configuration that waits for a call that the store swallowed.
#[tokio::test(flavor = "multi_thread")]
async fn test_configurations_are_in_force_after_outages_of_the_store() {
    let shape = Shape { selection: Selection::Silences, ..Shape::default() };
    let report = soak::run(1, shape, false).await;
    println!("{report:?}");
    assert!(report.broken.is_empty(), "{:#?}", report.broken);
    assert!(!report.in_force_after.is_empty(), "no silence was followed to its end");
}

#[tokio::test(flavor = "multi_thread")]
async fn test_planned_operations_drop_no_request() {
    let shape = Shape { selection: Selection::PlannedWork, ..Shape::default() };
    let report = soak::run(1, shape, false).await;
    println!("{report:?}");
    assert!(report.broken.is_empty(), "{:#?}", report.broken);
}

#[test]
fn test_a_seed_gives_the_same_schedule_each_time() {
    let shape = Shape::default();
    assert_eq!(series(7, shape), series(7, shape));
    assert_ne!(series(7, shape), series(8, shape));
}
