//! Which endpoint gets a call.
//!
//! All ranks of a group step together, so a call that makes one rank the slowest delays every answer of the group.
//! The price of an endpoint is therefore its own predicted wait, plus what the call would add to its group's slowest
//! rank times everyone it would hold back, less what a cached prefix saves.

use rand::{Rng, RngExt};

use crate::load;
use crate::name;

/// Price of leaving the failure domain, in microseconds.
const REMOTE_COST_US: u64 = 20_000;
/// Price of a member that has been silent for a while, in microseconds.
const SUSPECT_COST_US: u64 = 500_000;
/// Candidates that are drawn for pricing.
const SAMPLE_SIZE: usize = 4;
/// Candidates with part of the prompt that are priced besides.
const MAX_PREFIX_CANDIDATES: usize = 4;
/// Step time that one more call of a rank adds when nothing is known, in microseconds.
const DEFAULT_STEP_PER_CALL_US: u64 = 100;
/// Steps for which one call stays, for pricing.
const STEPS_PER_CALL: u64 = 64;

/// An endpoint that could take a call.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The endpoint.
    pub endpoint: name::Name,
    /// Its group, if it is a rank.
    pub group: Option<name::Name>,
    /// Its last reported load.
    pub load: load::Load,
    /// Calls sent to it that the report can't yet show, those of other entries reckoned like one's own.
    pub unreported_calls: u32,
    /// Whether it stands in the entry's failure domain.
    pub local: bool,
    /// Whether it has been silent for a while.
    pub suspect: bool,
    /// Its slowness relative to its peers, in hundredths; 100 is usual.
    pub slowness: u32,
    /// Prompt blocks that it is likely to hold.
    pub cached_blocks: u32,
}

/// What the router needs to know of a call.
#[derive(Debug, Clone, Copy, Default)]
pub struct PromptSize {
    /// Whole blocks of the prompt.
    pub blocks: u32,
}

/// How groups are looked at; `Ignore` serves as a baseline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum GroupCostModel {
    /// The slowest rank of the group counts.
    #[default]
    SlowestRank,
    /// Only the call's own wait counts.
    Ignore,
}

impl Candidate {
    /// Calls that it holds, reported or not.
    pub fn calls(&self) -> u64 {
        u64::from(self.load.running) + u64::from(self.load.queued) + u64::from(self.unreported_calls)
    }

    fn wait_us(&self) -> u64 {
        let corrected = load::Load {
            queued: self.load.queued.saturating_add(self.unreported_calls),
            ..self.load
        };
        corrected.wait_us()
    }
}

/// Index of the candidate of lowest price; `None` without candidates.
pub fn choose<R>(candidates: &[Candidate], prompt: PromptSize, cost_model: GroupCostModel, rng: &mut R) -> Option<usize>
where
    R: Rng,
{
    let sample = sample_candidates(candidates, prompt, rng);
    let costs = sample
        .into_iter()
        .map(|index| (cost(candidates, index, prompt, cost_model), index));
    // Equal costs are common when little is known; a random pick keeps entries from moving in step.
    let mut best: Option<(u64, usize)> = None;
    let mut ties = 0_u32;
    for (cost, index) in costs {
        match best {
            Some((lowest, _)) if cost > lowest => {}
            Some((lowest, _)) if cost == lowest => {
                ties += 1;
                if rng.random_range(0..=ties) == 0 {
                    best = Some((cost, index));
                }
            }
            _ => {
                best = Some((cost, index));
                ties = 0;
            }
        }
    }
    best.map(|(_, index)| index)
}

/// Candidates to price: a few at random, and those that hold part of the prompt.
///
/// Loads are known late and every entry knows the same ones. Were each to take the cheapest of all, they would all take
/// the same endpoint until the next report.
fn sample_candidates<R>(candidates: &[Candidate], prompt: PromptSize, rng: &mut R) -> Vec<usize>
where
    R: Rng,
{
    let mut shuffled: Vec<usize> = (0..candidates.len()).collect();
    let count = SAMPLE_SIZE.min(shuffled.len());
    for index in 0..count {
        let other = rng.random_range(index..shuffled.len());
        shuffled.swap(index, other);
    }
    let mut indices = shuffled[..count].to_vec();
    if prompt.blocks > 0 {
        let with_prefix = (0..candidates.len()).filter(|index| candidates[*index].cached_blocks > 0);
        indices.extend(with_prefix.take(MAX_PREFIX_CANDIDATES));
    }
    indices
}

/// Price of giving the call to `candidates[at]`, in microseconds.
pub fn cost(candidates: &[Candidate], index: usize, prompt: PromptSize, cost_model: GroupCostModel) -> u64 {
    let candidate = &candidates[index];
    let first = u64::from(candidate.load.first_us);
    let own_cost = (candidate.wait_us() + first) * u64::from(candidate.slowness.max(1)) / 100;
    let group_cost = match cost_model {
        // Among endpoints that cost the same, the one with the fewest calls leaves the most room.
        GroupCostModel::SlowestRank => group_step_cost_us(candidates, index) + candidate.calls(),
        GroupCostModel::Ignore => 0,
    };
    let remote = if candidate.local { 0 } else { REMOTE_COST_US };
    let suspect = if candidate.suspect { SUSPECT_COST_US } else { 0 };
    let blocks = u64::from(prompt.blocks.max(1));
    let saved = first * u64::from(candidate.cached_blocks.min(prompt.blocks)) / blocks;
    (own_cost + group_cost + remote + suspect).saturating_sub(saved)
}

/// Microseconds that everyone in the group loses to the call, over the steps for which it stays.
fn group_step_cost_us(candidates: &[Candidate], index: usize) -> u64 {
    let candidate = &candidates[index];
    let Some(group) = &candidate.group else { return 0 };
    let ranks = candidates.iter().filter(|c| c.group.as_ref() == Some(group));
    let (slowest, total) = ranks.fold((0, 0), |(max, sum): (u64, u64), c| {
        (max.max(c.calls()), sum + c.calls())
    });
    let increase = (candidate.calls() + 1).saturating_sub(slowest);
    let per_call = match (u64::from(candidate.load.gap_us), slowest) {
        (0, _) | (_, 0) => DEFAULT_STEP_PER_CALL_US,
        (gap, slowest) => (gap / slowest).max(1),
    };
    increase * per_call * STEPS_PER_CALL * (total + 1) / (candidate.calls() + 1).max(1)
}
