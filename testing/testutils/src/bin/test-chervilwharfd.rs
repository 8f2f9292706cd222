//! The daemon as a binary of this package, so that building the tests also rebuilds the
//! daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    chervilwharf_daemon::command::main()
}
