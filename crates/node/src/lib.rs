//! Entry and agent as a library: the threads and sockets around the pure decision logic.
//!
//! # Architecture
//!
//! Each daemon has one control thread. It owns the daemon's control state, the board, and makes every decision whose
//! effect outlives a call. Traffic runs on the worker threads of the runtime, with one task per call at the entry and
//! one task per attempt at the agent. Traffic waits for the control thread only for single decisions. Otherwise it
//! reads published snapshots and reports facts over bounded channels.
//!
//! ```text
//! caller ─HTTP─► entry::server ─► entry::call_driver ─HTTP frames─► agent::server ─► agent::attempt ─HTTP─► endpoint
//!                     │ snapshot        │ facts                          │ offer          │ claim
//!                entry::control ◄───────┘                           agent::control    agent::claims ─► platform
//!                     ▲                                                   │
//!                     └──────────── tarpc: announce ──────────────────────┘
//! ```
//!
//! The daemons of the command line only parse settings, start [`entry::Entry`] or [`agent::Agent`], wait for a signal
//! and call `drain`.

pub mod agent;
pub mod clock;
pub mod entry;
mod entry_links;
pub mod error;
mod guarded_body;
pub mod health;
pub mod http_client;
pub mod http_server;
mod mailbox;
pub mod metrics;
pub mod request_body;
pub mod settings;
