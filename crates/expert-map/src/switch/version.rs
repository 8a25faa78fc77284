//! Versions of a group's map.

use serde::{Deserialize, Serialize};

/// The version of a map. Later maps have higher versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Version(pub u64);
