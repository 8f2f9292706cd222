//! A short soak with a few seeds. `cargo run --release -p chervilwharf-soak` runs a
//! longer one.

use chervilwharf_soak::series::Selection;
use chervilwharf_soak::series::Shape;
use chervilwharf_soak::series::series;
use chervilwharf_soak::soak;

/// Seeds of the short soak.
const SEEDS: [u64; 3] = [1, 2, 3];

#[tokio::test(flavor = "multi_thread")]
async fn test_promises_hold_under_series_of_faults() {
    for seed in SEEDS {
        let report = soak::run(seed, Shape::default(), false).await;
        println!("{report:?}");
        assert!(report.broken.is_empty(), "seed {seed}: {:#?}", report.broken);
        assert!(report.kept > 0 && report.reads > 0, "seed {seed}: nothing was served");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn test_promises_hold_when_the_store_comes_back_from_copies() {
    let shape = Shape { selection: Selection::StoreCopies, ..Shape::default() };
    let report = soak::run(1, shape, false).await;
    println!("{report:?}");
    assert!(report.broken.is_empty(), "{:#?}", report.broken);
}

/// Guards against an instance that applies a configuration late because it still waits
/// for a call that the store never answers.
#[tokio::test(flavor = "multi_thread")]
async fn test_configurations_are_in_force_after_silences_of_the_store() {
    let shape = Shape { selection: Selection::Silences, ..Shape::default() };
    let report = soak::run(1, shape, false).await;
    println!("{report:?}");
    assert!(report.broken.is_empty(), "{:#?}", report.broken);
    assert!(!report.in_force_after.is_empty(), "no silence was followed to its end");
}

#[tokio::test(flavor = "multi_thread")]
async fn test_planned_work_cuts_off_nothing() {
    let shape = Shape { selection: Selection::PlannedWork, ..Shape::default() };
    let report = soak::run(1, shape, false).await;
    println!("{report:?}");
    assert!(report.broken.is_empty(), "{:#?}", report.broken);
}

#[test]
fn test_a_seed_gives_the_same_series_each_time() {
    let shape = Shape::default();
    assert_eq!(series(7, shape), series(7, shape));
    assert_ne!(series(7, shape), series(8, shape));
}
