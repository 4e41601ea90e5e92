//! Regenerates `src/generated.rs` from `proto/headlatch.proto`.
//!
//! Run it after a change of the messages: `cargo run -p headlatch-wire --example generate`.

use std::{error::Error, fs, path::Path};

fn main() -> Result<(), Box<dyn Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let files = protox::compile(["headlatch.proto"], [root.join("proto")])?;
    let folder = root.join("src");
    tonic_prost_build::configure()
        .out_dir(&folder)
        .bytes(".")
        .emit_rerun_if_changed(false)
        .compile_fds(files)?;
    fs::rename(folder.join("headlatch.v1.rs"), folder.join("generated.rs"))?;
    Ok(())
}
