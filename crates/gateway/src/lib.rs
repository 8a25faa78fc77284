//! A gateway: the HTTP entry that forwards callers' requests directly to endpoints.
//!
//! # Architecture
//!
//! A gateway runs two threads:
//!
//! - The traffic thread accepts callers' connections and sends requests to endpoints. Each connection and each stream
//!   is a task on this thread.
//! - The control thread follows the platform's table, owns the current declarations and the set of endpoints, and
//!   publishes them as a snapshot.
//!
//! The traffic thread reads the newest snapshot and never waits for the control thread.
//!
//! ```text
//! caller ─HTTP─► server ─► handle ─► proxy ─► attempt ─► waiting ─► receive ─► pool ─HTTP─► endpoint
//!                            │         │          │
//!                            │         └─► stream_forwarder, response_forwarder ─► crash_watch
//!                            ▼                                     │
//!                        snapshot        peers, fact_exchange ◄───┘ ◄─UDP─► other gateways
//!                            ▲                 ▲
//!                         control
//!                            ▲
//!                          feed ─HTTP─► the platform's table
//! ```
//!
//! A request passes from `handle`, which reads and authorizes it, to `proxy`, which chooses the next step, and to `attempt`. An attempt
//! that goes silent is kept in `waiting`, until another one has taken the request over. `receive` reads responses. A stream
//! goes on to `stream_forwarder`, a response that there is no room to read completely to `response_forwarder`. The state of a
//! request is `request::RequestContext`. Modules import each other downwards only, which a test checks.
//!
//! The names and formats of the platform are passed in as plain functions: [`header_adapter`] for the headers of
//! callers and endpoints, `sycamorestile_table::adapter` for the table. All decisions are made by
//! `sycamorestile_core::direct`.

mod attempt;
mod call;
mod context;
mod control;
mod control_state;
mod crash_metrics;
mod crash_watch;
mod endpoint_facts;
mod endpoint_slot;
mod endpoint_stream;
mod error;
mod fact_exchange;
mod handle;
pub mod header_adapter;
mod hop_by_hop;
mod metrics;
mod monitoring;
mod own_rows;
mod peer_link;
mod peer_read;
mod peers;
mod pool;
mod proxy;
mod receive;
mod refuse;
mod registered;
mod request;
mod reservation;
mod response_account;
mod response_body;
mod response_forwarder;
mod run;
mod server;
mod service_map;
pub mod settings;
mod snapshot;
mod stream_forwarder;
mod topics;
mod waiting;
mod withdrawal;

pub use error::GatewayError;
pub use run::run;
