//! Measurements against whole deployments of real processes.

use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use chervilwharf_testutils::experiments::capacity;
use chervilwharf_testutils::experiments::gap;
use chervilwharf_testutils::experiments::latency;
use chervilwharf_testutils::experiments::log_line;
use chervilwharf_testutils::experiments::share;
use chervilwharf_testutils::experiments::share::Mode;

/// Measures chervilwharf.
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

/// How long writes cannot land after a fault.
#[derive(FromArgs)]
#[argh(subcommand, name = "gap")]
struct GapCommand {
    /// pl-mid or pnw
    #[argh(option, default = "String::from(\"pl-mid\")")]
    deployment: String,
    /// kill, freeze, cut, silent, owner-kill, owner-freeze or stop
    #[argh(option)]
    fault: String,
    /// the platform's store is down
    #[argh(switch)]
    store_down: bool,
    /// how often
    #[argh(option, default = "30")]
    runs: usize,
}

/// What the proxy adds to a statement.
#[derive(FromArgs)]
#[argh(subcommand, name = "latency")]
struct LatencyCommand {
    /// pl-mid or pnw
    #[argh(option, default = "String::from(\"pl-mid\")")]
    deployment: String,
}

/// How many statements a core carries.
#[derive(FromArgs)]
#[argh(subcommand, name = "throughput")]
struct ThroughputCommand {}

/// Share of reads served by replicas, against two baselines.
#[derive(FromArgs)]
#[argh(subcommand, name = "share")]
struct ShareCommand {
    /// lag of the replicas in milliseconds; all four if omitted
    #[argh(option)]
    lag_ms: Option<u64>,
}

/// Measures the slopes and writes the tables of docs/CAPACITY.md anew.
#[derive(FromArgs)]
#[argh(subcommand, name = "capacity")]
struct CapacityCommand {
    /// the page whose tables are replaced; only printed if omitted
    #[argh(option)]
    page: Option<PathBuf>,
}

/// What a log line costs the one who logs it.
#[derive(FromArgs)]
#[argh(subcommand, name = "log-line")]
struct LogLineCommand {}

/// Lines of the page between which the tables stand.
const TABLES_BEGIN: &str = "<!-- measured tables begin -->";
const TABLES_END: &str = "<!-- measured tables end -->";

fn replace_tables(page: &str, tables: &str) -> Option<String> {
    let (before, idle) = page.split_once(TABLES_BEGIN)?;
    let (_, after) = idle.split_once(TABLES_END)?;
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
        replaced.ok_or_else(|| std::io::Error::other("the page has no place for them"))?;
    std::fs::write(path, replaced)
}

const LAGS_MS: [u64; 4] = [0, 50, 500, 5000];

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let arguments: Arguments = argh::from_env();
    match arguments.command {
        Command::Gap(command) => {
            gap::run(&command.deployment, &command.fault, command.store_down, command.runs).await;
        }
        Command::Latency(command) => latency::run(&command.deployment).await,
        Command::Throughput(_) => latency::throughput().await,
        Command::LogLine(_) => log_line::run().await,
        Command::Capacity(command) => capacity(&command).await?,
        Command::Share(command) => {
            let lags = command.lag_ms.map_or(LAGS_MS.to_vec(), |lag| vec![lag]);
            for mode in [Mode::OwnWrites, Mode::PrimaryPosition, Mode::Primary] {
                for lag_ms in &lags {
                    share::run(Duration::from_millis(*lag_ms), mode).await;
                }
            }
        }
    }
    Ok(())
}
