//! The command line, which runs a stand-in as a process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;

use crate::store::Store;
use crate::target::Target;
use crate::target::TargetOptions;

/// Stand-ins for the systems that chervilwharf connects to.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Target(TargetCommand),
    Store(StoreCommand),
}

/// Runs a database server until it is killed.
#[derive(FromArgs)]
#[argh(subcommand, name = "target")]
struct TargetCommand {
    /// name of the server
    #[argh(option)]
    id: String,
    /// address for client connections
    #[argh(option, default = "any_port()")]
    address: SocketAddr,
    /// address at which replicas pull its log
    #[argh(option, default = "any_port()")]
    replication_address: SocketAddr,
    /// added duration of connecting, in milliseconds
    #[argh(option, default = "0")]
    connect_cost_ms: u64,
    /// added duration of each statement, in milliseconds
    #[argh(option, default = "0")]
    statement_cost_ms: u64,
    /// number of statements that run at once
    #[argh(option, default = "3")]
    slots: usize,
    /// number of connections accepted
    #[argh(option, default = "64")]
    connections: usize,
    /// file that stores log and term, so that they survive a restart
    #[argh(option)]
    log_file: Option<PathBuf>,
    /// the only user name accepted; any if omitted
    #[argh(option)]
    login: Option<String>,
}

/// Runs a store until it is killed.
#[derive(FromArgs)]
#[argh(subcommand, name = "store")]
struct StoreCommand {
    /// address of its HTTP interface
    #[argh(option, default = "any_port()")]
    address: SocketAddr,
}

fn any_port() -> SocketAddr {
    (std::net::Ipv4Addr::LOCALHOST, 0).into()
}

/// Runs the stand-in that the arguments of the process name, until the process is killed.
/// Prints a line that begins with `ready` when it accepts connections.
///
/// # Errors
///
/// Returns an error if the stand-in cannot be started.
#[tokio::main]
pub async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let arguments: Arguments = argh::from_env();
    match arguments.command {
        Command::Target(command) => run_target(command).await,
        Command::Store(command) => {
            let store = Store::start(command.address).await?;
            println!("ready store={}", store.address);
            std::future::pending().await
        }
    }
}

async fn run_target(command: TargetCommand) -> Result<(), Box<dyn std::error::Error>> {
    let options = TargetOptions {
        address: command.address,
        replication_address: command.replication_address,
        connect_cost: Duration::from_millis(command.connect_cost_ms),
        statement_cost: Duration::from_millis(command.statement_cost_ms),
        slots: command.slots,
        connections: command.connections,
        log_file: command.log_file,
        login: command.login,
        ..TargetOptions::new(&command.id)
    };
    let target = Target::start(options).await?;
    println!("ready target={} replication={}", target.address, target.replication_address);
    std::future::pending().await
}
