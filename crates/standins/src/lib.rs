//! Stand-ins for the services that sycamorestile works with, for tests and for `sycamorestile standalone`.
//!
//! * [`platform`]: a transactional table, an object store, an eventually consistent instance list and a rate-limited
//!   weight store, with fault injection.
//! * [`engine`]: all ranks of one expert-parallel group. The ranks step in lockstep, and the group counts the steps in
//!   which its ranks hold different expert maps.
//! * [`ledger`]: a plain service that makes a booking for every request and does not deduplicate, so that a call which
//!   ran twice can be seen in the balance.
//! * [`fault_proxy`]: a TCP proxy that closes, delays and stalls connections.
//!
//! None of them contains logic of the load balancer.

pub mod engine;
pub mod engine_rank;
pub mod fault_proxy;
pub mod json;
pub mod ledger;
pub mod platform;
pub mod platform_state;
pub mod text;
