//! Expert-parallel groups.

use serde::{Deserialize, Serialize};

use crate::name;

/// A declared group of ranks that run each step together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Group {
    /// Name of the group.
    pub name: name::Name,
    /// Service that the group belongs to.
    pub service: name::Name,
    /// Failure domain of all ranks in the group.
    pub failure_domain: name::Name,
    /// Number of ranks.
    pub ranks: u32,
    /// Number of experts per layer.
    pub experts: u32,
    /// Number of expert slots per rank. `ranks * slots` must be at least `experts`, and `slots` at most `experts`.
    pub slots: u32,
    /// Weight of excess step time in the objective of the expert map planner.
    #[serde(default = "default_weight")]
    pub skew_weight: f64,
    /// Weight of one expert move in the objective of the expert map planner.
    #[serde(default = "default_weight")]
    pub cost_weight: f64,
    /// Whether planning of new expert maps is disabled.
    #[serde(default)]
    pub frozen: bool,
}

fn default_weight() -> f64 {
    1.0
}
