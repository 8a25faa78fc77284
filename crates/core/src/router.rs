//! Choice of the endpoint for a call.
//!
//! All ranks of a group run their steps together, so a call that makes one rank the slowest delays every response of
//! the group. The cost of an endpoint is therefore its own predicted wait, plus the delay that the call adds to the
//! group's slowest rank multiplied by the number of calls that it delays, minus the time that a cached prefix saves.

use rand::{Rng, RngExt};

use crate::load;
use crate::name;

/// Cost of an endpoint in another failure domain, in microseconds.
const REMOTE_COST_US: u64 = 20_000;
/// Cost of an endpoint whose agent is suspected to have failed, in microseconds.
const SUSPECT_COST_US: u64 = 500_000;
/// Number of randomly chosen candidates whose cost is compared.
const SAMPLE_SIZE: usize = 4;
/// Maximum number of additional candidates that are compared because they have part of the prompt in their cache.
const MAX_PREFIX_CANDIDATES: usize = 4;
/// Step time that an additional call adds to a rank if no measurement is available, in microseconds.
const DEFAULT_STEP_PER_CALL_US: u64 = 100;
/// Assumed number of steps per call.
const STEPS_PER_CALL: u64 = 64;

/// An endpoint that can serve the call.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Name of the endpoint.
    pub endpoint: name::Name,
    /// Name of its group, if it is a rank of one.
    pub group: Option<name::Name>,
    /// Last reported load.
    pub load: load::Load,
    /// Estimated number of calls that were sent after the load was reported, assuming that the other entries sent as
    /// many as this one.
    pub unreported_calls: u32,
    /// Whether it is in the entry's failure domain.
    pub local: bool,
    /// Whether its agent is suspected to have failed, because no heartbeat arrived for some time.
    pub suspect: bool,
    /// Time to the first frame in percent of the median of its peers, at least 100.
    pub slowness: u32,
    /// Number of prompt blocks that it is likely to have cached.
    pub cached_blocks: u32,
}

/// Length of a call's prompt.
#[derive(Debug, Clone, Copy, Default)]
pub struct PromptSize {
    /// Number of complete blocks.
    pub blocks: u32,
}

/// Whether the delay that a call causes to its group counts towards the cost of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum GroupCostModel {
    /// The delay that the call adds to the group's slowest rank counts.
    #[default]
    SlowestRank,
    /// Only the call's own wait counts. This is the baseline for comparisons.
    Ignore,
}

impl Candidate {
    /// Returns the number of calls at the endpoint, both reported and estimated.
    pub fn calls(&self) -> u64 {
        u64::from(self.load.running) + u64::from(self.load.queued) + u64::from(self.unreported_calls)
    }

    /// Returns the predicted time until the call begins, in microseconds.
    fn wait_us(&self) -> u64 {
        let corrected = load::Load {
            queued: self.load.queued.saturating_add(self.unreported_calls),
            ..self.load
        };
        corrected.wait_us()
    }
}

/// Returns the index of the sampled candidate with the lowest cost; `None` if there are no candidates.
pub fn choose<R>(candidates: &[Candidate], prompt: PromptSize, cost_model: GroupCostModel, rng: &mut R) -> Option<usize>
where
    R: Rng,
{
    let sample = sample_candidates(candidates, prompt, rng);
    let costs = sample
        .into_iter()
        .map(|index| (cost(candidates, index, prompt, cost_model), index));
    // Equal costs are common while few measurements exist. Ties are broken at random, so that entries don't all choose
    // the same endpoint.
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

/// Returns the indices of the candidates to compare: a random sample, and candidates with part of the prompt in their
/// cache.
///
/// Load reports arrive with a delay, and all entries receive the same ones. If every entry chose the cheapest of all
/// candidates, they would all choose the same endpoint until the next report.
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

/// Returns the cost of sending the call to `candidates[index]`, in microseconds.
pub fn cost(candidates: &[Candidate], index: usize, prompt: PromptSize, cost_model: GroupCostModel) -> u64 {
    let candidate = &candidates[index];
    let first = u64::from(candidate.load.first_us);
    let own_cost = (candidate.wait_us() + first) * u64::from(candidate.slowness.max(1)) / 100;
    let group_cost = match cost_model {
        // The number of calls breaks ties in favour of the endpoint with the fewest.
        GroupCostModel::SlowestRank => group_step_cost_us(candidates, index) + candidate.calls(),
        GroupCostModel::Ignore => 0,
    };
    let remote = if candidate.local { 0 } else { REMOTE_COST_US };
    let suspect = if candidate.suspect { SUSPECT_COST_US } else { 0 };
    let blocks = u64::from(prompt.blocks.max(1));
    let saved = first * u64::from(candidate.cached_blocks.min(prompt.blocks)) / blocks;
    (own_cost + group_cost + remote + suspect).saturating_sub(saved)
}

/// Returns the delay that the call adds to its group's steps, summed over all calls of the group, in microseconds.
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
