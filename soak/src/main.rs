//! Runs the fault schedules of several seeds one after the other, and prints a result
//! line for each.

use std::process::ExitCode;

use argh::FromArgs;
use chervilwharf_soak::repeated_replies;
use chervilwharf_soak::schedule::Selection;
use chervilwharf_soak::schedule::SoakOptions;
use chervilwharf_soak::schedule::fault_schedule;
use chervilwharf_soak::soak;

/// Runs instances under overlapping faults and checks the guarantees of the proxy.
#[derive(FromArgs)]
struct Arguments {
    /// first seed (default: 1)
    #[argh(option, default = "1")]
    first: u64,
    /// number of seeds (default: 10)
    #[argh(option, default = "10")]
    seeds: u64,
    /// faults: any (default), planned (only planned operations: stops of instances,
    /// draining servers, configurations), copies (any, and the store is restored from
    /// backups), silences (the store or connections to it become unresponsive,
    /// besides planned operations), or limits (any, with client accounts that have limits,
    /// and a restart of all instances at the same time as another fault)
    #[argh(option, default = "Selection::Any", from_str_fn(selection))]
    faults: Selection,
    /// check time limits too; a heavily loaded machine can exceed them
    #[argh(switch)]
    timed: bool,
    /// run only seeds whose schedule has a fault whose name contains this text
    #[argh(option, default = "String::new()")]
    with: String,
    /// play only servers that repeat replies, with many clients, until this many reads, writes and
    /// commits were answered on each database (latest, bounded, own)
    #[argh(option)]
    repeat_replies: Option<u64>,
    /// print the faults of each seed
    #[argh(switch)]
    verbose: bool,
}

fn selection(name: &str) -> Result<Selection, String> {
    match name {
        "any" => Ok(Selection::Any),
        "planned" => Ok(Selection::PlannedOperations),
        "copies" => Ok(Selection::StoreRestores),
        "silences" => Ok(Selection::StoreOutages),
        "limits" => Ok(Selection::AccountLimits),
        _ => Err(format!(
            "unknown selection '{name}', expected any, planned, copies, silences or limits"
        )),
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    if let Some(statements) = arguments.repeat_replies {
        return play_repeated_replies(&arguments, statements).await;
    }
    let options = SoakOptions { selection: arguments.faults, ..SoakOptions::default() };
    let mut failed = 0;
    let has_matching_fault = |seed: &u64| {
        let mut faults = fault_schedule(*seed, options).into_iter();
        faults.any(|scheduled| format!("{:?}", scheduled.fault).contains(&arguments.with))
    };
    let wanted = usize::try_from(arguments.seeds).unwrap_or(usize::MAX);
    let last =
        arguments.first.saturating_add(arguments.seeds.saturating_mul(SEEDS_EXAMINED_PER_MATCH));
    for seed in (arguments.first..last).filter(has_matching_fault).take(wanted) {
        let report = soak::run(seed, options, arguments.timed).await;
        let verdict = if report.violations.is_empty() { "held" } else { "BROKEN" };
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
            report.schedule.len(),
            report.kept,
            report.not_kept,
            report.unknown,
            report.reads,
            report.promotions,
        );
        if arguments.verbose || !report.violations.is_empty() {
            for scheduled in &report.schedule {
                println!(
                    "    {:>6.1?} {:?} for {:.1?}",
                    scheduled.starts_at, scheduled.fault, scheduled.duration
                );
            }
        }
        for line in report.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
            println!("    {line}");
        }
        failed += u64::from(!report.violations.is_empty());
    }
    println!("{} seeds, {failed} with violations", arguments.seeds);
    if failed > 0 { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}

async fn play_repeated_replies(arguments: &Arguments, statements: u64) -> ExitCode {
    let mut has_failed = false;
    for seed in (arguments.first..).take(usize::try_from(arguments.seeds).unwrap_or(usize::MAX)) {
        let report = repeated_replies::run(seed, statements).await;
        let verdict = if report.held() { "held" } else { "BROKEN" };
        println!(
            "seed {seed}: {verdict}; {} repetitions sent, {} server connections accepted, {} \
             closed, {} instances exited, {:.1?}{}",
            report.findings.repetitions,
            report.connections_accepted,
            report.connections_closed,
            report.exited_instances,
            report.duration,
            if report.is_complete { "" } else { ", too few statements in time" },
        );
        for (database, counts) in &report.findings.counts {
            println!(
                "    {database}: {} statements, {} successes, {} of them answers of others, {} \
                 not whole or with other rows, {} unknown, {} refused, {} without an answer",
                counts.sent,
                counts.successes,
                counts.answers_of_others,
                counts.other_rows,
                counts.unknown,
                counts.refused,
                counts.unanswered,
            );
        }
        for (kind, found) in &report.findings.violations {
            println!("    {kind:?}: {}, first: {}", found.len(), found[0]);
        }
        has_failed |= !report.held();
    }
    if has_failed { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}

/// Number of seeds that are examined for each requested one, when `--with` skips seeds.
const SEEDS_EXAMINED_PER_MATCH: u64 = 1_000;

/// Largest number of violations that are printed for one seed.
const MAX_PRINTED_VIOLATIONS: usize = 10;
