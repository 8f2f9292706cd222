//! `chervilwharf`: the command-line tool for operators and support engineers.

use std::process::ExitCode;

fn main() -> ExitCode {
    chervilwharf_cli::command::main()
}
