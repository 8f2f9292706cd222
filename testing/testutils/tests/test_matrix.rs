//! A part of the fault matrix. `cargo run --release -p chervilwharf-testutils --bin
//! matrix` runs all of it.

use chervilwharf_testutils::matrix::Fault;
use chervilwharf_testutils::matrix::STEPS;
use chervilwharf_testutils::matrix::Verdict;
use chervilwharf_testutils::matrix::run_cell;

/// Selected steps, each with one fault: on every network link and with most kinds of
/// faults.
const CELLS: [(&str, Fault); 9] = [
    ("write: forward", Fault::KillOwner),
    ("write: statement", Fault::ForgetPrimary),
    ("write: COMMIT sent", Fault::KillPrimary),
    ("write: COMMIT answered", Fault::OneWayPrimary),
    ("write: answer to entry", Fault::FreezeOwner),
    ("read: at replica", Fault::FreezePrimary),
    ("transaction: COMMIT sent", Fault::KillPrimary),
    ("takeover: fence", Fault::StoreDown),
    ("takeover: promote", Fault::KillOwner),
];

#[tokio::test(flavor = "multi_thread")]
async fn test_part_of_the_matrix_holds() {
    for (name, fault) in CELLS {
        let step = STEPS.into_iter().find(|step| step.name == name).unwrap();
        let verdict = run_cell(step, fault).await;
        println!("{name} / {fault:?}: {verdict}");
        assert_eq!(verdict, Verdict::Held, "{name} / {fault:?}");
    }
}
