//! Decision logic of gateways, which are entries that call endpoints directly instead of through agents.
//!
//! A gateway serves endpoints that can't run an agent beside them, but that prove in their response when they did not
//! run a request. Nothing in this module does I/O: the gateway's threads pass in the current time, the observed facts
//! and the random numbers.
//!
//! ```text
//!  table feed ─► declarations (route_table, credentials) ─► freshness ──┐
//!  table feed ─► endpoint_set ────────────────────────────► placement ──┼─► attempts ─► endpoint
//!  peers, responses ──────────────────────────────────────► placement ──┘      │
//!                                                           retry_share ◄──────┘
//! ```

pub mod accepted_versions;
pub mod access;
pub mod admission;
pub mod attempts;
pub mod broken_responses;
pub mod coding;
pub mod confirmation;
mod crash;
pub mod crash_evidence;
pub mod crash_facts;
pub mod crash_record;
mod crash_tally;
pub mod credentials;
pub mod declarations;
pub mod drain;
pub mod endpoint;
pub mod endpoint_set;
pub mod event_buffer;
pub mod expert_model;
pub mod folded_set;
pub mod freshness;
pub mod gossip;
pub mod merged;
pub mod outage;
pub mod owner;
pub mod pacing;
pub mod peer_rows;
pub mod placement;
pub mod poll_schedule;
pub mod poll_timing;
mod proof_record;
mod proofs;
pub mod quarantine;
mod rate_limit;
pub mod rate_limits;
pub mod request_content;
pub mod response_class;
pub mod response_room;
pub mod response_time;
pub mod restrictions;
pub mod retry_share;
pub mod route;
pub mod route_table;
pub mod segment_list;
pub mod sharer_count;
pub mod table_availability;
pub mod table_clock;
mod ties;
pub mod topic_relay;
pub mod trials;
mod verdicts;
pub mod withdrawals;
