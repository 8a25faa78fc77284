//! Expert maps of a group: planning them, and switching ranks from one map to the next.
//!
//! This crate performs no I/O. [`planner::Planner`] reads one row of expert loads per period and decides which slots
//! change their expert. [`baseline`] plans maps from scratch, for comparison. [`replay`] runs both over a recorded
//! [`trace::Trace`]. [`switch`] and [`held_switch`] switch all ranks of a group to a new map at the same step; the
//! latter is for engines that do not promise to refuse stale orders, and [`group_planner`] plans its maps.
//!
//! ```text
//! loads ──► forecast ──► planner (search over layout) ──► moves ──► switch: prepare, arm, commit on every rank
//! ```

pub mod baseline;
pub mod expert;
pub mod forecast;
pub mod group_planner;
pub mod held_switch;
pub mod layout;
pub mod leadership;
pub mod loads;
pub mod pass_rate;
pub mod planner;
pub mod rebalance;
pub mod replay;
pub mod search;
pub mod shape;
pub mod slowness_report;
pub mod switch;
pub mod time_constant;
pub mod trace;
pub mod weights;
