//! Organisations, the customers that send calls.

use serde::{Deserialize, Serialize};

use crate::name;

/// A declared organisation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// Name of the organisation, as sent in the `Sycamorestile-Organisation` header.
    pub name: name::Name,
    /// Rate limit in calls per second over all entries of a failure domain.
    pub calls_per_second: f64,
    /// Maximum burst of calls.
    pub burst: f64,
    /// Weight of the organisation's share of a saturated endpoint, relative to other organisations.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

fn default_weight() -> u32 {
    1
}
