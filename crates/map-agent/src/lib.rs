//! Agent beside a rank of an expert-parallel group.
//!
//! # Architecture
//!
//! Calls go past this agent: entries call ranks directly. The agent reads its own rank's report and expert counts, which
//! costs the group nothing from the same machine, and carries out orders on its own rank. One agent of a group
//! coordinates: it gathers states, plans maps with `sycamorestile_expert_map::group_planner` and has every rank turn to
//! a new one at the same pass with `sycamorestile_expert_map::held_switch`.
//!
//! ```text
//! coordinator ──lead──► agents ──report, counts──► own rank
//!      ▲                  │
//!      └──────state───────┘          coordinator ──order──► agents ──order──► own rank
//! ```
//!
//! Messages are datagrams. Every one can be lost or doubled: states replace each other, and an order is valid at one
//! number of accepted orders only, so a doubled one is refused by the rank.

mod agent;
mod coordinator;
mod error;
mod message;
mod peer_links;
pub mod rank_adapter;
mod rank_client;
pub mod settings;
mod table_client;

pub use agent::run;
pub use error::MapAgentError;
