//! Messages between sycamorestile's own processes.
//!
//! Control messages are unary `tarpc` calls: agents send heartbeats to entries and entries exchange digests
//! ([`entry_control`]), and entries cancel attempts and drain agents ([`agent_control`]). The response to an
//! [attempt](attempt_request) is a stream of [`frame`]s in an HTTP body, because `tarpc` has no streaming calls.
//!
//! Every message is a typed value that a `serde` codec encodes and decodes.

pub mod agent_control;
pub mod attempt_request;
pub mod codec;
pub mod entry_control;
pub mod frame;
