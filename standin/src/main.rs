//! `chervilwharf-standin`: stand-ins as processes of their own.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    chervilwharf_standin::command::main()
}
