//! The simulated servers and store (stand-ins) as a binary of this package, so that
//! building the tests also rebuilds them.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    chervilwharf_standin::command::main()
}
