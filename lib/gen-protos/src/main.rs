//! Generates the message types in `lib/src/protos` from the `.proto` files in the
//! same folder. Run it after a change of these files and commit the result, so that
//! other builds need neither this program nor `protoc`.

use std::error::Error;
use std::path::Path;

fn main() -> Result<(), Box<dyn Error>> {
    let protos = Path::new(env!("CARGO_MANIFEST_DIR")).join("../src/protos");
    let descriptors = protox::compile(["peer.proto", "engine.proto"], [&protos])?;
    prost_build::Config::new().out_dir(&protos).compile_fds(descriptors)?;
    Ok(())
}
