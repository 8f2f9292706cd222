//! The command line: arguments, exit codes, and the dispatch to the commands.

use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use chervilwharf_lib::verifier;

use crate::apply;
use crate::burn;
use crate::client::Client;
use crate::configuration;
use crate::explain;
use crate::load;
use crate::loss;
use crate::request;
use crate::status;

/// Operates chervilwharf and reports the outcome of requests.
///
/// Exit codes: 0 success, 1 failure, 2 invalid arguments or configuration, 3 the
/// request did not run, 4 the request is in flight, 5 another update changed the
/// configuration first.
#[derive(FromArgs)]
#[argh(example = "Check a configuration file: {command_name} check services.json")]
#[argh(
    example = "Apply it: {command_name} --store http://10.0.0.5:7000 apply services.json --base 41 --wait"
)]
#[argh(
    example = "Get the outcome of a request: {command_name} --store http://10.0.0.5:7000 request charge-17 --account tenant-app --database lease-ledger-1"
)]
pub struct Arguments {
    /// base address of the platform's store; default: environment variable
    /// `CHERVILWHARF_STORE`
    #[argh(option)]
    store: Option<String>,
    /// print JSON instead of text
    #[argh(switch)]
    json: bool,
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Check(CheckCommand),
    Apply(ApplyCommand),
    Show(ShowCommand),
    Diff(DiffCommand),
    History(HistoryCommand),
    Status(StatusCommand),
    Load(LoadCommand),
    Request(RequestCommand),
    Explain(ExplainCommand),
    Report(ReportCommand),
    Verifier(VerifierCommand),
}

/// Check a configuration file and report each error with line and column.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct CheckCommand {
    /// configuration file
    #[argh(positional)]
    file: PathBuf,
}

/// Apply a configuration file, unless the configuration has changed since its base
/// version.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct ApplyCommand {
    /// configuration file
    #[argh(positional)]
    pub file: PathBuf,
    /// version that the file is based on, as printed by `show`; 0 if the store holds none
    #[argh(option)]
    pub base: u64,
    /// wait until it is in force on every instance that answers
    #[argh(switch)]
    pub wait: bool,
    /// time limit of the wait in seconds
    #[argh(option, default = "60")]
    pub wait_limit_s: u64,
    /// name that the history shows; default: environment variable USER
    #[argh(option)]
    pub author: Option<String>,
}

/// Print the configuration; its version and author go to standard error.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
struct ShowCommand {}

/// Print what a configuration file would change.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
struct DiffCommand {
    /// configuration file
    #[argh(positional)]
    file: PathBuf,
}

/// Print who changed the configuration, and when.
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
struct HistoryCommand {}

/// Print instances, databases, owners and servers.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct StatusCommand {}

/// Summarize the load of a deployment from the metrics of its instances: who waits, who is
/// refused and why, and which instances have outdated information.
#[derive(FromArgs)]
#[argh(subcommand, name = "load")]
pub struct LoadCommand {
    /// addresses of the metrics of instances, each a host or IP address and a port
    #[argh(positional)]
    pub addresses: Vec<String>,
    /// read again after every this many seconds, and print rates between two reads
    #[argh(option, arg_name = "seconds")]
    pub watch: Option<u64>,
    /// highest number of rows of a table
    #[argh(option, default = "10")]
    pub top: usize,
    /// print JSON instead of text, one object for each read
    #[argh(switch)]
    pub json: bool,
}

/// Report the outcome of a request: it ran once, did not run, or is in flight.
///
/// A request that did not run is also prevented from running later.
#[derive(FromArgs)]
#[argh(subcommand, name = "request")]
pub struct RequestCommand {
    /// id of the request
    #[argh(positional)]
    pub id: String,
    /// client account that sent the request
    #[argh(option)]
    pub account: String,
    /// database that the request was sent to
    #[argh(option)]
    pub database: String,
}

/// Explain from logs of instances why a request failed or was late.
///
/// Lines that name the request are marked with a star. The others report events of
/// its group, its servers and its instances at that time.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainCommand {
    /// id of the request
    #[argh(positional)]
    pub id: String,
    /// log files, one or more
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// Print a report.
#[derive(FromArgs)]
#[argh(subcommand, name = "report")]
struct ReportCommand {
    #[argh(subcommand)]
    report: Report,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Report {
    Burn(BurnCommand),
    Loss(LossCommand),
}

/// Report from logs of instances which requests were refused, late or of unknown
/// outcome, and why.
#[derive(FromArgs)]
#[argh(subcommand, name = "loss")]
pub struct LossCommand {
    /// also draw the numbers over time into this SVG file
    #[argh(option)]
    pub svg: Option<PathBuf>,
    /// log files, one or more
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// Report how fast each service uses up its error budget.
#[derive(FromArgs)]
#[argh(subcommand, name = "burn")]
pub struct BurnCommand {
    /// also draw the burn rates into this SVG file
    #[argh(option)]
    pub svg: Option<PathBuf>,
}

/// Read a password from standard input and print its verifier for the configuration.
#[derive(FromArgs)]
#[argh(subcommand, name = "verifier")]
struct VerifierCommand {}

/// Result of a command, which the process returns as its exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded.
    Done,
    /// The command failed.
    Failed,
    /// The arguments or the configuration are invalid.
    BadInput,
    /// The request did not run, and cannot run any more.
    DidNotRun,
    /// The request is in flight.
    InFlight,
    /// Another update changed the configuration first.
    Conflict,
}

impl From<ExitStatus> for ExitCode {
    fn from(ending: ExitStatus) -> Self {
        Self::from(match ending {
            ExitStatus::Done => 0,
            ExitStatus::Failed => 1,
            ExitStatus::BadInput => 2,
            ExitStatus::DidNotRun => 3,
            ExitStatus::InFlight => 4,
            ExitStatus::Conflict => 5,
        })
    }
}

/// Output of a command, as text or as JSON.
pub struct Output {
    /// Whether the command prints JSON instead of text.
    pub json: bool,
}

impl Output {
    /// Prints a line to standard output. Errors are ignored, since the reader may close
    /// the pipe early, like `head`.
    #[allow(clippy::unused_self, reason = "callers print through their output")]
    pub fn line(&self, text: impl std::fmt::Display) {
        let _ = writeln!(std::io::stdout(), "{text}");
    }
}

/// Runs the command that the arguments of the process name.
#[tokio::main]
pub async fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match run(arguments).await {
        Ok(ending) => ending.into(),
        Err(message) => {
            eprintln!("chervilwharf: {message}");
            ExitStatus::Failed.into()
        }
    }
}

async fn run(arguments: Arguments) -> Result<ExitStatus, String> {
    let output = Output { json: arguments.json };
    let store = arguments.store.or_else(|| std::env::var("CHERVILWHARF_STORE").ok());
    let client = || {
        let store = store.ok_or("no store given; use --store or CHERVILWHARF_STORE")?;
        Ok::<Client, String>(Client::new(&store))
    };
    match arguments.command {
        Command::Check(command) => configuration::check(&output, &command.file),
        Command::Explain(command) => explain::run(&output, &command),
        Command::Verifier(_) => make_verifier(&output),
        Command::Apply(command) => apply::run(&output, &client()?, &command).await,
        Command::Show(_) => configuration::show(&output, &client()?).await,
        Command::Diff(command) => configuration::diff(&output, &client()?, &command.file).await,
        Command::History(_) => configuration::history(&output, &client()?).await,
        Command::Status(_) => status::run(&output, &client()?).await,
        Command::Load(command) => {
            let output = Output { json: output.json || command.json };
            Ok(load::run(&output, &command).await)
        }
        Command::Request(command) => request::run(&output, &client()?, &command).await,
        Command::Report(ReportCommand { report: Report::Burn(command) }) => {
            burn::run(&output, &client()?, &command).await
        }
        Command::Report(ReportCommand { report: Report::Loss(command) }) => {
            loss::run(&output, &command)
        }
    }
}

fn make_verifier(output: &Output) -> Result<ExitStatus, String> {
    let mut password = String::new();
    std::io::stdin().read_line(&mut password).map_err(|error| error.to_string())?;
    let password = password.trim_end_matches(['\r', '\n']);
    if password.is_empty() {
        return Err("the password is empty".into());
    }
    let salt = uuid::Uuid::new_v4();
    output.line(verifier::make_verifier(password, salt.as_bytes()));
    Ok(ExitStatus::Done)
}
