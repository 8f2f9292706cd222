//! The stand-ins as a program of this package, so that a run of its tests
//! always builds them anew.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    chervilwharf_standin::command::main()
}
