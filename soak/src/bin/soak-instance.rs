//! One instance as a program of this package, so that a run of the soak always
//! builds it anew.

use std::process::ExitCode;

fn main() -> ExitCode {
    chervilwharf_platform::start::main()
}
