//! The command-line tool as a binary of this package, so that building the tests also
//! rebuilds the tool.

use std::process::ExitCode;

fn main() -> ExitCode {
    chervilwharf_cli::command::main()
}
