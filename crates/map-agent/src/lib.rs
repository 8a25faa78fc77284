//! Agent that runs on the same instance as a rank of an expert-parallel group and manages the group's expert map.
//!
//! # Architecture
//!
//! The agent is not on the path of callers' requests, which entries send to ranks directly. It reads its rank's report
//! and expert counts, which costs the group nothing from the same instance, and sends orders to its rank. One agent of
//! a group is the coordinator. It collects the status of all ranks, plans maps with
//! `sycamorestile_expert_map::group_planner` and switches all ranks to a new map at the same pass with
//! `sycamorestile_expert_map::held_switch`.
//!
//! ```text
//! coordinator ──heartbeat──► agents ──report, counts──► own rank
//!      ▲                       │
//!      └────────status─────────┘     coordinator ──order──► agents ──order──► own rank
//! ```
//!
//! Messages between agents are datagrams, which may be lost or duplicated. Each status replaces the one before it. An
//! order is valid only at one sequence number, the count of orders that the rank has accepted, so the rank refuses a
//! duplicate.

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
