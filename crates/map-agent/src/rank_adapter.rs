//! How a rank is asked and told.
//!
//! A platform's adapter fills the table of functions.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sycamorestile_expert_map::held_switch;
use sycamorestile_table::adapter;

/// Which rank of which group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Name of the group.
    pub group: Arc<str>,
    /// Index of the rank.
    pub rank: u32,
    /// Ranks of the group.
    pub size: u32,
}

/// What a rank reports.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// `None` while the rank is in no group.
    pub membership: Option<Membership>,
    /// Its part in a change of maps.
    pub view: held_switch::RankView,
    /// Times as long as usual that it takes for its work.
    pub slowness: f64,
    /// When it was started, in milliseconds since the epoch.
    pub started_at_ms: u64,
}

/// Sizes of a group's maps, from the declared services.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MapSizes {
    /// Sets of layers with a map each.
    pub sets: usize,
    /// Experts of a set.
    pub experts: usize,
    /// Most experts of a set that one rank holds.
    pub slots_per_rank: usize,
    /// Most experts of a set that one map may bring to a rank.
    pub max_new_per_rank: usize,
}

/// Experts of one rank by set.
pub type RankExperts = Vec<Vec<u32>>;

/// Experts by set and rank.
pub type GroupExperts = Vec<Vec<Vec<u32>>>;

/// An order with what it needs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankOrder {
    /// What is ordered of which rank.
    pub pending: held_switch::PendingOrder,
    /// Number of the coordinator.
    pub number: u64,
    /// The map, for an order that prepares one.
    pub map: Option<GroupExperts>,
}

/// Sizes of maps, where a service has maps.
pub type MapSizesResult = Result<Option<MapSizes>, adapter::DecodeError>;

/// The table of functions.
#[derive(Debug, Clone, Copy)]
pub struct RankAdapter {
    /// Path of the report.
    pub report_path: &'static str,
    /// Reads it.
    pub decode_report: fn(&[u8]) -> Result<Report, adapter::DecodeError>,
    /// Path of the counts.
    pub counts_path: &'static str,
    /// Reads them, set by set.
    pub decode_counts: fn(&[u8]) -> Result<Vec<u64>, adapter::DecodeError>,
    /// Path of the rank's own map.
    pub map_path: &'static str,
    /// Reads it: experts by set.
    pub decode_map: fn(&[u8]) -> Result<RankExperts, adapter::DecodeError>,
    /// Path of orders.
    pub order_path: &'static str,
    /// Writes an order.
    pub encode_order: fn(&RankOrder) -> Vec<u8>,
    /// Status that says that a higher number was seen.
    pub outdated_status: u16,
    /// Reads the sizes of a group's maps from the declarations, for a service or for the first that has maps.
    pub decode_map_sizes: fn(&[u8], Option<&str>) -> MapSizesResult,
}
