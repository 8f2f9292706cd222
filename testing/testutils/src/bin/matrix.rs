//! Runs the fault matrix and prints a table of the results of its cells.

use std::sync::Arc;

use argh::FromArgs;
use chervilwharf_testutils::matrix;
use chervilwharf_testutils::matrix::FAULTS;
use chervilwharf_testutils::matrix::STEPS;
use chervilwharf_testutils::matrix::Verdict;
use tokio::sync::Semaphore;

/// Injects every fault at every step and checks the guarantees of the proxy.
#[derive(FromArgs)]
struct Arguments {
    /// number of cells that run at the same time
    #[argh(option, default = "3")]
    parallel: usize,
    /// run only steps whose name contains this text
    #[argh(option, default = "String::new()")]
    step: String,
    /// run only faults whose name contains this text
    #[argh(option, default = "String::new()")]
    fault: String,
}

#[tokio::main]
async fn main() -> std::process::ExitCode {
    let arguments: Arguments = argh::from_env();
    let permits = Arc::new(Semaphore::new(arguments.parallel));
    let mut cells = Vec::new();
    for step in STEPS.into_iter().filter(|step| step.name.contains(&arguments.step)) {
        for fault in FAULTS {
            let name = format!("{fault:?}");
            if !name.contains(&arguments.fault) {
                continue;
            }
            let permits = permits.clone();
            let cell = tokio::spawn(async move {
                let _permit = permits.acquire().await;
                let verdict = matrix::run_cell(step, fault).await;
                eprintln!("{} / {fault:?}: {verdict}", step.name);
                verdict
            });
            cells.push((step.name, name, cell));
        }
    }
    let (mut held, mut violated, mut not_run) = (0, 0, 0);
    println!("| step | fault | verdict |\n| --- | --- | --- |");
    for (step, fault, cell) in cells {
        let verdict = cell.await.unwrap_or_else(|error| Verdict::NotRun(error.to_string()));
        match verdict {
            Verdict::Held => held += 1,
            Verdict::Violated(_) => violated += 1,
            Verdict::NotRun(_) => not_run += 1,
        }
        println!("| {step} | {fault} | {verdict} |");
    }
    println!("\nheld {held}, violated {violated}, not run {not_run}");
    if violated > 0 { std::process::ExitCode::FAILURE } else { std::process::ExitCode::SUCCESS }
}
