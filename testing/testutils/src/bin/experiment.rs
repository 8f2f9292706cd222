//! Measurements against whole deployments of real processes.

use argh::FromArgs;
use chervilwharf_testutils::experiments::gap;

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

#[tokio::main]
async fn main() {
    let arguments: Arguments = argh::from_env();
    match arguments.command {
        Command::Gap(command) => {
            gap::run(&command.deployment, &command.fault, command.store_down, command.runs).await;
        }
    }
}
