//! gRPC API for operators, generated from `proto/sycamorestile/v1/operator.proto`.
//!
//! [`v1`] contains the messages, the client and the server that `sycamorestile-operator-gen` generates. They are
//! documented in the schema. [`convert`] converts between these messages and the types of `sycamorestile-core`.

pub mod convert;

/// Generated code of version 1 of the API.
#[allow(
    missing_docs,
    clippy::allow_attributes_without_reason,
    clippy::clone_on_ref_ptr,
    clippy::all,
    clippy::pedantic,
    reason = "generated code"
)]
#[rustfmt::skip]
#[path = "generated/sycamorestile.v1.rs"]
pub mod v1;
