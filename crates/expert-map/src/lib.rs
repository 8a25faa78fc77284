//! Expert maps of a group: how they are planned and how ranks change from one to the next.
//!
//! Everything here is pure. A [`planner::Planner`] reads a row of expert loads a period and says which slots should
//! change their expert; [`baseline`] holds the two planners that it is measured against; [`replay`] runs any of them
//! over a recorded [`trace::Trace`]; [`switch`] changes all ranks of a group to a new map in one step.
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
pub mod planner;
pub mod rebalance;
pub mod replay;
pub mod search;
pub mod shape;
pub mod switch;
pub mod time_constant;
pub mod trace;
pub mod weights;
