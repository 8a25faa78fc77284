//! Generates the RPC code of `sycamorestile-operator-api` from the protobuf schema.
//!
//! The generated code is committed, so an ordinary build does not run this program. Run it from the root of the
//! workspace after each change of the schema. An optional argument names another output directory: CI generates into a
//! second directory and compares the result with the committed code.

use std::env;
use std::path::PathBuf;

/// Schema file, relative to the root of the workspace.
const SCHEMA_FILE: &str = "proto/sycamorestile/v1/operator.proto";
/// Directory of the committed code, relative to the root of the workspace.
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
