//! Expert layout of a model service's groups.

/// Experts of a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExpertModel {
    /// Sets of layers with a map each.
    pub sets: u32,
    /// Experts of a set.
    pub experts: u32,
    /// Most experts of a set that one rank holds.
    pub slots_per_rank: u32,
    /// Most experts of a set that one order may bring to a rank.
    pub max_new_per_rank: u32,
}
