//! Runs performance experiments against deployments of real processes and prints their
//! results as tables.

use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use chervilwharf_testutils::experiments::capacity;
use chervilwharf_testutils::experiments::failover;
use chervilwharf_testutils::experiments::latency;
use chervilwharf_testutils::experiments::log_line;
use chervilwharf_testutils::experiments::share;
use chervilwharf_testutils::experiments::share::ReadMode;

/// Runs performance experiments.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Gap(GapCommand),
    Latency(LatencyCommand),
    Throughput(ThroughputCommand),
    Share(ShareCommand),
    Capacity(CapacityCommand),
    LogLine(LogLineCommand),
}

/// Measures how long no write is acknowledged after a fault.
#[derive(FromArgs)]
#[argh(subcommand, name = "gap")]
struct GapCommand {
    /// pl-mid or pnw
    #[argh(option, default = "String::from(\"pl-mid\")")]
    deployment: String,
    /// kill, freeze, cut, silent, owner-kill, owner-freeze or stop
    #[argh(option)]
    fault: String,
    /// take the platform's store down before the fault
    #[argh(switch)]
    store_down: bool,
    /// number of runs
    #[argh(option, default = "30")]
    runs: usize,
}

/// Measures the latency that the proxy adds to a statement.
#[derive(FromArgs)]
#[argh(subcommand, name = "latency")]
struct LatencyCommand {
    /// pl-mid or pnw
    #[argh(option, default = "String::from(\"pl-mid\")")]
    deployment: String,
}

/// Measures how many statements per second a processor core can process.
#[derive(FromArgs)]
#[argh(subcommand, name = "throughput")]
struct ThroughputCommand {}

/// Measures the share of reads that replicas serve, and compares it with two baselines.
#[derive(FromArgs)]
#[argh(subcommand, name = "share")]
struct ShareCommand {
    /// replication lag in milliseconds; 0, 50, 500 and 5000 if omitted
    #[argh(option)]
    lag_ms: Option<u64>,
}

/// Measures resource use as a function of load, and writes the tables of
/// docs/CAPACITY.md.
#[derive(FromArgs)]
#[argh(subcommand, name = "capacity")]
struct CapacityCommand {
    /// file whose tables are replaced; if omitted, the tables are only printed
    #[argh(option)]
    page: Option<PathBuf>,
}

/// Measures what a log line costs the code that writes it.
#[derive(FromArgs)]
#[argh(subcommand, name = "log-line")]
struct LogLineCommand {}

/// Lines of the file between which the tables are replaced.
const TABLES_BEGIN: &str = "<!-- measured tables begin -->";
const TABLES_END: &str = "<!-- measured tables end -->";

fn replace_tables(page: &str, tables: &str) -> Option<String> {
    let (before, rest) = page.split_once(TABLES_BEGIN)?;
    let (_, after) = rest.split_once(TABLES_END)?;
    Some(format!("{before}{TABLES_BEGIN}\n\n{tables}\n{TABLES_END}{after}"))
}

async fn capacity(command: &CapacityCommand) -> std::io::Result<()> {
    let tables = capacity::run().await;
    println!("{tables}");
    let Some(path) = &command.page else {
        return Ok(());
    };
    let page = std::fs::read_to_string(path)?;
    let replaced = replace_tables(&page, &tables);
    let replaced =
        replaced.ok_or_else(|| std::io::Error::other("the file has no markers for the tables"))?;
    std::fs::write(path, replaced)
}

const LAGS_MS: [u64; 4] = [0, 50, 500, 5000];

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let arguments: Arguments = argh::from_env();
    match arguments.command {
        Command::Gap(command) => {
            failover::run(&command.deployment, &command.fault, command.store_down, command.runs)
                .await;
        }
        Command::Latency(command) => latency::run(&command.deployment).await,
        Command::Throughput(_) => latency::throughput().await,
        Command::LogLine(_) => log_line::run().await,
        Command::Capacity(command) => capacity(&command).await?,
        Command::Share(command) => {
            let lags = command.lag_ms.map_or(LAGS_MS.to_vec(), |lag| vec![lag]);
            for mode in [ReadMode::OwnWrites, ReadMode::PrimaryPosition, ReadMode::Primary] {
                for lag_ms in &lags {
                    share::run(Duration::from_millis(*lag_ms), mode).await;
                }
            }
        }
    }
    Ok(())
}
