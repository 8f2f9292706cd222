//! Runs series of faults, one after the other, and prints a line for each.

use std::process::ExitCode;

use argh::FromArgs;
use chervilwharf_soak::series::Shape;
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
    /// check promises about time as well, which a busy machine can break
    #[argh(switch)]
    timed: bool,
    /// show the faults of each series
    #[argh(switch)]
    verbose: bool,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let mut failed = 0;
    for seed in arguments.first..arguments.first + arguments.seeds {
        let report = soak::run(seed, Shape::default(), arguments.timed).await;
        let verdict = if report.broken.is_empty() { "held" } else { "BROKEN" };
        println!(
            "seed {seed}: {verdict}; {} faults, {} writes kept, {} not, {} unknown, {} reads, \
             {} promotions",
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

/// Broken promises of one seed that are printed.
const SHOWN: usize = 10;
