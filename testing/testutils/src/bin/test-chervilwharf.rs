//! The tool as a program of this package, so that a run of its tests always
//! builds it anew.

use std::process::ExitCode;

fn main() -> ExitCode {
    chervilwharf_cli::command::main()
}
