//! The command line of the stand-ins.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;

use crate::store::Store;
use crate::target::Target;
use crate::target::TargetOptions;

/// Stand-ins for what surrounds chervilwharf.
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
    /// where it takes connections
    #[argh(option, default = "any_port()")]
    address: SocketAddr,
    /// where it serves its log
    #[argh(option, default = "any_port()")]
    replication_address: SocketAddr,
    /// cost of a new connection in milliseconds
    #[argh(option, default = "0")]
    connect_cost_ms: u64,
    /// added cost of a statement in milliseconds
    #[argh(option, default = "0")]
    statement_cost_ms: u64,
    /// statements run at once
    #[argh(option, default = "3")]
    slots: usize,
    /// connections accepted
    #[argh(option, default = "64")]
    connections: usize,
    /// file that keeps log and term over a restart
    #[argh(option)]
    log_file: Option<PathBuf>,
    /// the only login accepted; any if omitted
    #[argh(option)]
    login: Option<String>,
}

/// Runs a store until it is killed.
#[derive(FromArgs)]
#[argh(subcommand, name = "store")]
struct StoreCommand {
    /// where it listens
    #[argh(option, default = "any_port()")]
    address: SocketAddr,
}

fn any_port() -> SocketAddr {
    (std::net::Ipv4Addr::LOCALHOST, 0).into()
}

/// Runs the program with the arguments of the process.
///
/// # Errors
///
/// When something cannot be started.
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
