//! The instance as a binary of this package, so that building the soak also rebuilds the
//! instance.

use std::process::ExitCode;

fn main() -> ExitCode {
    chervilwharf_platform::start::main()
}
