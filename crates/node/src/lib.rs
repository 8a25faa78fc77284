//! Entry and agent as a library: threads and sockets around the pure decisions.
//!
//! # Architecture
//!
//! Each daemon has one control thread that owns its blackboard and every decision that outlives a call. Traffic runs on
//! the runtime's worker threads: a task a call at the entry, a task an attempt at the agent. Traffic never waits for
//! control to finish anything but a single decision; it reads published snapshots and sends facts over bounded channels.
//!
//! ```text
//! caller ─HTTP─► entry::server ─► entry::drive ─HTTP frames─► agent::server ─► agent::attempt ─HTTP─► endpoint
//!                     │ snapshot        │ facts                    │ offer          │ claim
//!                entry::control ◄───────┘                     agent::control    agent::claims ─► platform
//!                     ▲                                             │
//!                     └──────────── tarpc: announce ────────────────┘
//! ```
//!
//! The daemons in the command line only parse settings, start [`entry::Entry`] or [`agent::Agent`], wait for a signal
//! and call `drain`.

pub mod agent;
pub mod clock;
pub mod entry;
mod entry_links;
pub mod error;
pub mod health;
pub mod http_client;
pub mod http_server;
mod mailbox;
pub mod metrics;
pub mod settings;
