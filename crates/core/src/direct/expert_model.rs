//! Expert layout of a model service's groups.

/// Number of experts of a group, and how they may be laid out on its ranks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExpertModel {
    /// Number of layer sets, each of which has its own expert map.
    pub sets: u32,
    /// Number of experts per layer set.
    pub experts: u32,
    /// Maximum number of experts of a layer set that one rank holds.
    pub slots_per_rank: u32,
    /// Maximum number of experts of a layer set that one order may load onto a rank.
    pub max_new_per_rank: u32,
}
