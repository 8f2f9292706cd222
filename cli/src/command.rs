//! Arguments, exit codes and the way from one to the other.

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
use crate::loss;
use crate::request;
use crate::status;

/// Operates chervilwharf and answers what became of a request.
///
/// Exit codes: 0 done, 1 failed, 2 bad arguments or a bad text, 3 the request
/// did not run, 4 the request is in flight, 5 someone else changed the
/// configuration first.
#[derive(FromArgs)]
#[argh(example = "Check a text: {command_name} check services.json")]
#[argh(
    example = "Apply it: {command_name} --store http://10.0.0.5:7000 apply services.json --base 41 --wait"
)]
#[argh(
    example = "Ask: {command_name} --store http://10.0.0.5:7000 request charge-17 --account tenant-app --database lease-ledger-1"
)]
pub struct Arguments {
    /// base address of the platform's store; default from `CHERVILWHARF_STORE`
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
    Request(RequestCommand),
    Explain(ExplainCommand),
    Report(ReportCommand),
    Verifier(VerifierCommand),
}

/// Check a configuration text and name every error with line and column.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct CheckCommand {
    /// the text
    #[argh(positional)]
    file: PathBuf,
}

/// Put a configuration text in force, unless someone else was faster.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct ApplyCommand {
    /// the text
    #[argh(positional)]
    pub file: PathBuf,
    /// version the text was made from, as `show` tells it; 0 for the first
    #[argh(option)]
    pub base: u64,
    /// wait until it is in force on every live instance
    #[argh(switch)]
    pub wait: bool,
    /// longest wait in seconds
    #[argh(option, default = "60")]
    pub wait_limit_s: u64,
    /// who applies it; default from USER
    #[argh(option)]
    pub author: Option<String>,
}

/// Print the configuration text; its version goes to standard error.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
struct ShowCommand {}

/// Print what a text would change.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
struct DiffCommand {
    /// the text
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

/// Tell what became of a request: it ran once, did not run, or is in flight.
///
/// A request that did not run is kept from running from now on.
#[derive(FromArgs)]
#[argh(subcommand, name = "request")]
pub struct RequestCommand {
    /// name of the request
    #[argh(positional)]
    pub id: String,
    /// account that made it
    #[argh(option)]
    pub account: String,
    /// database it was made for
    #[argh(option)]
    pub database: String,
}

/// Tell from logs of instances why a request failed or was late.
///
/// Lines that name the request are marked with a star; the others are what
/// happened to its group and servers at that time.
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

/// Where requests were refused, late or unknown, and why, from logs of instances.
#[derive(FromArgs)]
#[argh(subcommand, name = "loss")]
pub struct LossCommand {
    /// also draw it over time into this SVG file
    #[argh(option)]
    pub svg: Option<PathBuf>,
    /// log files, one or more
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// How fast each service uses up the errors its objective allows.
#[derive(FromArgs)]
#[argh(subcommand, name = "burn")]
pub struct BurnCommand {
    /// also draw it into this SVG file
    #[argh(option)]
    pub svg: Option<PathBuf>,
}

/// Read a password from standard input and print its verifier for the text.
#[derive(FromArgs)]
#[argh(subcommand, name = "verifier")]
struct VerifierCommand {}

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// Done.
    Done,
    /// It could not be done.
    Failed,
    /// The arguments or the text are wrong.
    BadInput,
    /// The request did not run.
    DidNotRun,
    /// The request is in flight.
    InFlight,
    /// Someone else changed the configuration first.
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
    /// JSON instead of text.
    pub json: bool,
}

impl Output {
    /// Prints a line. A reader that closed the pipe has seen enough.
    #[allow(clippy::unused_self, reason = "callers print through their output")]
    pub fn line(&self, text: impl std::fmt::Display) {
        let _ = writeln!(std::io::stdout(), "{text}");
    }
}

/// Runs the program with the arguments of the process.
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
