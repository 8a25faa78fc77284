//! Generates the committed RPC code of `sycamorestile-operator-api` from the schema.
//!
//! The ordinary build needs no generator; run this after a change of the schema. CI runs it with a second folder as
//! argument and compares.

use std::env;
use std::path::PathBuf;

/// Schema, relative to the workspace.
const SCHEMA_FILE: &str = "proto/sycamorestile/v1/operator.proto";
/// Where the committed code lies, relative to the workspace.
const DEFAULT_OUT_DIR: &str = "crates/operator-api/src/generated";

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let out_dir = env::args_os()
        .nth(1)
        .map_or_else(|| PathBuf::from(DEFAULT_OUT_DIR), PathBuf::from);
    std::fs::create_dir_all(&out_dir)?;
    let schema = protox::compile([SCHEMA_FILE], ["proto"])?;
    tonic_prost_build::configure()
        .build_transport(true)
        .out_dir(&out_dir)
        .compile_fds(schema)?;
    Ok(())
}
