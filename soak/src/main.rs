//! Runs series of faults, one after the other, and prints a line for each.

use std::process::ExitCode;

use argh::FromArgs;
use chervilwharf_soak::schedule::Selection;
use chervilwharf_soak::schedule::Shape;
use chervilwharf_soak::schedule::series;
use chervilwharf_soak::soak;

/// Soaks instances in overlapping faults and checks what the proxy promises.
#[derive(FromArgs)]
struct Arguments {
    /// first seed (default: 1)
    #[argh(option, default = "1")]
    first: u64,
    /// number of seeds (default: 10)
    #[argh(option, default = "10")]
    seeds: u64,
    /// faults: any (default), planned (only what operators do on purpose: stops, servers
    /// that leave, configurations), copies (any, and the store comes back from copies), or
    /// silences (the store or connections to it go silent, beside planned work)
    #[argh(option, default = "Selection::Any", from_str_fn(selection))]
    faults: Selection,
    /// check promises about time as well, which a busy machine can break
    #[argh(switch)]
    timed: bool,
    /// only series with a fault whose name contains this
    #[argh(option, default = "String::new()")]
    with: String,
    /// show the faults of each series
    #[argh(switch)]
    verbose: bool,
}

fn selection(name: &str) -> Result<Selection, String> {
    match name {
        "any" => Ok(Selection::Any),
        "planned" => Ok(Selection::PlannedWork),
        "copies" => Ok(Selection::StoreCopies),
        "silences" => Ok(Selection::Silences),
        _ => Err(format!("'{name}' is none of any, planned, copies, silences")),
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let shape = Shape { selection: arguments.faults, ..Shape::default() };
    let mut failed = 0;
    let holds = |seed: &u64| {
        let mut faults = series(*seed, shape).into_iter();
        faults.any(|timed| format!("{:?}", timed.fault).contains(&arguments.with))
    };
    let wanted = usize::try_from(arguments.seeds).unwrap_or(usize::MAX);
    let last = arguments.first.saturating_add(arguments.seeds.saturating_mul(SEARCHED));
    for seed in (arguments.first..last).filter(holds).take(wanted) {
        let report = soak::run(seed, shape, arguments.timed).await;
        let verdict = if report.broken.is_empty() { "held" } else { "BROKEN" };
        let in_force = report.in_force_after.iter().max();
        let in_force = in_force.map_or_else(String::new, |after| {
            format!(
                ", {} configurations in force after {after:.2?} at most",
                report.in_force_after.len()
            )
        });
        println!(
            "seed {seed}: {verdict}; {} faults, {} writes kept, {} not, {} unknown, {} reads, \
             {} promotions{in_force}",
            report.series.len(),
            report.kept,
            report.not_kept,
            report.unknown,
            report.reads,
            report.promotions,
        );
        if arguments.verbose || !report.broken.is_empty() {
            for timed in &report.series {
                println!("    {:>6.1?} {:?} for {:.1?}", timed.at, timed.fault, timed.lasts);
            }
        }
        for line in report.broken.iter().take(SHOWN) {
            println!("    {line}");
        }
        failed += u64::from(!report.broken.is_empty());
    }
    println!("{} seeds, {failed} with a broken promise", arguments.seeds);
    if failed > 0 { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}

/// Seeds that are looked through for each that is wanted.
const SEARCHED: u64 = 1_000;

/// Broken promises of one seed that are printed.
const SHOWN: usize = 10;
