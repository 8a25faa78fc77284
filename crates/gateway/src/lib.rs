//! Entry that calls endpoints directly.
//!
//! # Architecture
//!
//! The traffic thread accepts callers and calls endpoints; each caller's connection and each stream is a task on it.
//! The control thread follows the platform's table, owns the blackboard of declarations and endpoints, and publishes a
//! [`snapshot`] of it. Traffic reads the newest snapshot and never waits for control.
//!
//! ```text
//! caller ─HTTP─► server ─► handle ─► proxy ─► pool ─HTTP─► endpoint
//!                             │        │ attempts, placement
//!                  snapshot ◄─┘        └─► stream_forwarder
//!                     ▲                         peers ◄─UDP─► other gateways
//!        control ─────┘
//!           ▲
//!          feed ─HTTP─► platform's table
//! ```
//!
//! Names and formats of the platform come in as plain functions: [`header_adapter`] for callers' and endpoints' headers,
//! `sycamorestile_table::port` for the table. Decisions are those of `sycamorestile_core::direct`.

mod attempt;
mod context;
mod control;
mod error;
mod handle;
pub mod header_adapter;
mod idle_watch;
mod metrics;
mod monitoring;
mod peers;
mod pool;
mod proxy;
mod refuse;
mod request;
mod response_body;
mod run;
mod server;
pub mod settings;
mod snapshot;
mod stream_forwarder;

pub use error::GatewayError;
pub use run::run;
