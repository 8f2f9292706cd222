//! `chervilwharfd`: the proxy process, one instance of chervilwharf.

use std::process::ExitCode;

fn main() -> ExitCode {
    chervilwharf_daemon::command::main()
}
