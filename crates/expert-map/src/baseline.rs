//! A planner from scratch, with which the incremental one is compared.

use crate::expert;
use crate::layout;
use crate::shape;

/// Plans a map from scratch with a greedy algorithm: additional replicas go to the experts with the highest load per
/// replica, then replicas are placed in descending order of load on the least loaded rank with a free slot.
pub fn full_plan(shape: shape::Shape, loads: &[f64]) -> layout::Layout {
    let counts = replica_counts(shape, loads);
    let mut replicas: Vec<Replica> = Vec::with_capacity(shape.total_slots());
    for (index, count) in counts.iter().enumerate() {
        let replica = Replica {
            expert: expert::Expert(index as u32),
            load: loads[index] / f64::from(*count),
        };
        replicas.extend((0..*count).map(|_| replica));
    }
    replicas.sort_by(|a, b| b.load.total_cmp(&a.load).then(a.expert.cmp(&b.expert)));
    place_replicas(shape, &replicas)
}

#[derive(Debug, Clone, Copy)]
struct Replica {
    expert: expert::Expert,
    load: f64,
}

fn replica_counts(shape: shape::Shape, loads: &[f64]) -> Vec<u32> {
    let mut counts = vec![1_u32; shape.experts()];
    for _ in shape.experts()..shape.total_slots() {
        let load_of = |at: &usize| loads[*at] / f64::from(counts[*at]);
        let candidates = (0..shape.experts()).filter(|at| (counts[*at] as usize) < shape.ranks());
        let hottest = candidates.max_by(|a, b| load_of(a).total_cmp(&load_of(b)).then(b.cmp(a)));
        // If there are more slots than ranks times experts, each expert is on every rank, and the remaining slots
        // repeat expert 0.
        counts[hottest.unwrap_or(0)] += 1;
    }
    counts
}

fn place_replicas(shape: shape::Shape, replicas: &[Replica]) -> layout::Layout {
    let mut ranks: Vec<Vec<expert::Expert>> = vec![Vec::with_capacity(shape.slots_per_rank()); shape.ranks()];
    let mut rank_loads: Vec<f64> = vec![0.0; shape.ranks()];
    for replica in replicas {
        let free = (0..shape.ranks()).filter(|rank| ranks[*rank].len() < shape.slots_per_rank());
        let best = free.min_by(|a, b| {
            let held = |rank: &usize| ranks[*rank].contains(&replica.expert);
            held(a).cmp(&held(b)).then(rank_loads[*a].total_cmp(&rank_loads[*b]))
        });
        let Some(rank) = best else { break };
        ranks[rank].push(replica.expert);
        rank_loads[rank] += replica.load;
    }
    let slots = ranks.into_iter().flatten().collect();
    layout::Layout::new(shape, slots).unwrap_or_else(|e| unreachable!("the plan is not a valid map: {e}"))
}
