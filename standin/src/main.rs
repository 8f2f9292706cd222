//! `chervilwharf-standin`: runs a stand-in as a separate process.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    chervilwharf_standin::command::main()
}
