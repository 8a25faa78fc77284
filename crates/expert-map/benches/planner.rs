//! Measures the planners on seeded traces, for `docs/design/maps.md`.

#[path = "../tests/traces/mod.rs"]
mod traces;

use std::time::Instant;

use sycamorestile_expert_map::replay;
use sycamorestile_expert_map::shape;
use sycamorestile_expert_map::weights;

use traces::Kind;

const SEEDS: [u64; 3] = [1, 2, 3];

fn replay(
    kind: Kind,
    ranks: u32,
    slots: u32,
    experts: u32,
    seed: u64,
    planner: replay::PlannerKind,
    weights: weights::Weights,
) -> replay::ReplayRun {
    let trace = traces::generate(kind, experts as usize, seed);
    let shape = shape::Shape::new(ranks, slots, experts).expect("the experts fit");
    let started = Instant::now();
    replay::run(&trace, shape, weights, planner, || {
        started.elapsed().as_secs_f64() * 1e3
    })
}

fn main() {
    for (ranks, slots, experts) in [(12, 9, 64), (32, 9, 256)] {
        for kind in traces::ALL {
            for planner in replay::PlannerKind::ALL {
                let runs =
                    SEEDS.map(|seed| replay(kind, ranks, slots, experts, seed, planner, weights::Weights::default()));
                let scores = runs.map(|run| run.score(planner.name()));
                let mean = scores.iter().map(|s| s.mean_skew).sum::<f64>() / 3.0;
                let worst = scores.iter().map(|s| s.worst_skew).fold(0.0, f64::max);
                let moves = scores.iter().map(|s| s.moves).sum::<usize>() / 3;
                let plan = scores.iter().map(|s| s.plan_ms).fold(0.0, f64::max) / 39.0;
                println!(
                    "{ranks:>2} x {experts:>3}  {kind:<12?}{:<8} mean {mean:.3}  worst {worst:.3}  moves {moves:>6}  {plan:>7.2} ms a row",
                    planner.name()
                );
            }
        }
    }
}
