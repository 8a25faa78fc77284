//! Interface to a rank's control endpoints.
//!
//! A platform provides its paths and codecs as a [`RankAdapter`], a struct of constants and function pointers.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sycamorestile_expert_map::held_switch;
use sycamorestile_table::adapter;
use thiserror::Error;

/// Membership of a rank in a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Name of the group.
    pub group: Arc<str>,
    /// Index of the rank.
    pub rank: u32,
    /// Number of ranks in the group.
    pub size: u32,
}

/// Report of a rank.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// Membership of the rank, or `None` while it is in no group.
    pub membership: Option<Membership>,
    /// State of the rank in a map switch.
    pub view: held_switch::RankView,
    /// Factor by which the rank's work takes longer than usual; 1 for a rank of normal speed.
    pub slowness: f64,
    /// Start time of the rank's process, in milliseconds since the Unix epoch. Counts start at zero then.
    pub started_at_ms: u64,
}

/// Largest number of ranks of a group.
const MAX_GROUP_SIZE: u32 = 4_096;
/// Largest pass, epoch or version, up to which numbers are exact in JSON.
const MAX_COUNTER: u64 = 1 << 53;

/// The reason why a report can't be that of a sound rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ImplausibleReport {
    /// A group has no such number of ranks.
    #[error("a group of {0} ranks")]
    GroupSize(u32),
    /// The rank is not one of its group.
    #[error("rank {rank} of {size}")]
    Rank {
        /// Index of the rank.
        rank: u32,
        /// Number of ranks in the group.
        size: u32,
    },
    /// A pass, epoch or version is higher than any can be.
    #[error("the counter {0}")]
    Counter(u64),
    /// The slowness is not a positive number.
    #[error("the slowness is not a positive number")]
    Slowness,
}

impl Report {
    /// Checks that the report can be that of a sound rank. A coordinator allocates and computes by its numbers.
    ///
    /// # Errors
    ///
    /// Returns the first number that can't be.
    pub fn check(&self) -> Result<(), ImplausibleReport> {
        if let Some(Membership { rank, size, .. }) = self.membership {
            if !(1..=MAX_GROUP_SIZE).contains(&size) {
                return Err(ImplausibleReport::GroupSize(size));
            }
            if rank >= size {
                return Err(ImplausibleReport::Rank { rank, size });
            }
        }
        let view = &self.view;
        let armed = view.armed.iter().flat_map(|a| [a.version, a.pass]);
        let counters = [view.epoch, view.pass, view.in_force, view.sequence].into_iter();
        let mut counters = counters.chain(view.prepared).chain(view.held).chain(armed);
        if let Some(counter) = counters.find(|counter| *counter > MAX_COUNTER) {
            return Err(ImplausibleReport::Counter(counter));
        }
        let is_positive = self.slowness.is_finite() && self.slowness > 0.0;
        is_positive.then_some(()).ok_or(ImplausibleReport::Slowness)
    }
}

/// Sizes of a group's maps, as declared for its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MapSizes {
    /// Number of sets of layers. Each set has a map of its own.
    pub sets: usize,
    /// Number of experts in a set.
    pub experts: usize,
    /// Highest number of experts of a set that one rank can hold.
    pub slots_per_rank: usize,
    /// Highest number of experts of a set that one map may add to a rank.
    pub max_new_per_rank: usize,
}

/// Experts of one rank, indexed by set.
pub type RankExperts = Vec<Vec<u32>>;

/// Experts of all ranks, indexed by set and rank.
pub type GroupExperts = Vec<Vec<Vec<u32>>>;

/// An order to a rank, with all that is needed to send it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankOrder {
    /// The order and the rank to send it to.
    pub pending: held_switch::PendingOrder,
    /// Leadership number of the coordinator. A rank refuses orders with a lower number than it has seen.
    pub number: u64,
    /// The map, if the order prepares one.
    pub map: Option<GroupExperts>,
}

/// Result of decoding map sizes; `None` if no service has maps.
pub type MapSizesResult = Result<Option<MapSizes>, adapter::DecodeError>;

/// Paths and codecs of a platform's ranks.
#[derive(Debug, Clone, Copy)]
pub struct RankAdapter {
    /// Path of the rank's report.
    pub report_path: &'static str,
    /// Decodes a report.
    pub decode_report: fn(&[u8]) -> Result<Report, adapter::DecodeError>,
    /// Path of the rank's expert counts.
    pub counts_path: &'static str,
    /// Decodes expert counts, set by set.
    pub decode_counts: fn(&[u8]) -> Result<Vec<u64>, adapter::DecodeError>,
    /// Path of the rank's part of the map.
    pub map_path: &'static str,
    /// Decodes the rank's part of the map.
    pub decode_map: fn(&[u8]) -> Result<RankExperts, adapter::DecodeError>,
    /// Path to which orders are posted.
    pub order_path: &'static str,
    /// Encodes the body of an order.
    pub encode_order: fn(&RankOrder) -> Vec<u8>,
    /// Response status of a rank that has seen a higher leadership number.
    pub outdated_status: u16,
    /// Decodes the declarations and returns the map sizes of the given service, or of the first service that has maps.
    pub decode_map_sizes: fn(&[u8], Option<&str>) -> MapSizesResult,
}
