//! The command line of `chervilwharfd`.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use chervilwharf_lib::settings;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::logging;
use crate::start::Daemon;

/// Runs one instance of chervilwharf until it gets SIGTERM.
#[derive(FromArgs)]
struct Arguments {
    /// file with the settings of this instance, see docs/CONFIGURATION.md
    #[argh(option)]
    settings: PathBuf,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

/// Exit code when the settings are invalid or the instance cannot start.
const START_FAILED_EXIT_CODE: u8 = 2;

/// Runs the program with the command-line arguments of the process.
pub fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("chervilwharfd: {message}");
            ExitCode::from(START_FAILED_EXIT_CODE)
        }
    }
}

fn run(arguments: &Arguments) -> Result<(), String> {
    let path = arguments.settings.display();
    let text = std::fs::read_to_string(&arguments.settings)
        .map_err(|error| format!("{path} cannot be read: {error}"))?;
    let settings = settings::parse(&text).map_err(|error| format!("{path}: {error}"))?;
    if arguments.check {
        println!("{path}: good");
        return Ok(());
    }
    logging::start(&settings.log).map_err(|error| error.to_string())?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(|error| format!("cannot start the worker threads: {error}"))?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| e.to_string())?;
        let daemon = Daemon::start(settings).await.map_err(|error| error.to_string())?;
        // With port 0 in the settings, the parent process reads the actual ports
        // from this line.
        println!(
            "ready client={} peer={} admin={}",
            daemon.client_address, daemon.peer_address, daemon.admin_address
        );
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        daemon.stop().await;
        Ok(())
    })
}
