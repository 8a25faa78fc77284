//! Bounds on skew and moves of the planner for seeded traces.

#[expect(dead_code, reason = "some items are used by the benchmark only")]
mod traces;

use std::time::Instant;

use sycamorestile_expert_map::replay;
use sycamorestile_expert_map::shape;
use sycamorestile_expert_map::weights;

use traces::Kind;

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

fn replay_large_group(kind: Kind, planner: replay::PlannerKind, weights: weights::Weights) -> replay::ReplayRun {
    replay(kind, 32, 9, 256, 1, planner, weights)
}

fn mean(skews: &[f64]) -> f64 {
    skews.iter().sum::<f64>() / skews.len() as f64
}

fn moves(run: &replay::ReplayRun) -> usize {
    run.moves.iter().sum()
}

#[test]
fn drift_needs_a_thirtieth_of_the_moves_of_a_full_replan() {
    let incremental = replay_large_group(
        Kind::Drift,
        replay::PlannerKind::Incremental,
        weights::Weights::default(),
    );
    let full = replay_large_group(
        Kind::Drift,
        replay::PlannerKind::FullReplan,
        weights::Weights::default(),
    );
    let (skew, full_skew) = (mean(&incremental.skews), mean(&full.skews));
    assert!(skew <= full_skew * 1.005, "{skew} against {full_skew}");
    assert!(
        moves(&incremental) * 30 <= moves(&full),
        "{} against {}",
        moves(&incremental),
        moves(&full)
    );
}

#[test]
fn noise_alone_causes_few_moves() {
    let incremental = replay_large_group(
        Kind::Noise,
        replay::PlannerKind::Incremental,
        weights::Weights::default(),
    );
    let full = replay_large_group(
        Kind::Noise,
        replay::PlannerKind::FullReplan,
        weights::Weights::default(),
    );
    assert!(moves(&incremental) <= 60, "{} moves", moves(&incremental));
    assert!(mean(&incremental.skews) <= mean(&full.skews));
    assert_eq!(
        moves(&replay_large_group(
            Kind::Steady,
            replay::PlannerKind::Incremental,
            weights::Weights::default()
        )),
        0
    );
}

#[test]
fn recovers_from_a_jump_within_one_period() {
    let incremental = replay_large_group(
        Kind::Jump,
        replay::PlannerKind::Incremental,
        weights::Weights::default(),
    );
    let full = replay_large_group(Kind::Jump, replay::PlannerKind::FullReplan, weights::Weights::default());
    // The map for the row of the jump is planned before the jump is visible, so the next row is checked.
    let after = traces::JUMP_AT;
    let (skew, full_skew) = (mean(&incremental.skews[after..]), mean(&full.skews[after..]));
    assert!(
        incremental.skews[after] <= full.skews[after] * 1.05,
        "{} against {}",
        incremental.skews[after],
        full.skews[after]
    );
    assert!(skew <= full_skew * 1.005, "{skew} against {full_skew}");
}

#[test]
fn alternating_loads_are_not_followed() {
    let incremental = replay_large_group(
        Kind::Alternating,
        replay::PlannerKind::Incremental,
        weights::Weights::default(),
    );
    let fixed = replay_large_group(
        Kind::Alternating,
        replay::PlannerKind::Static,
        weights::Weights::default(),
    );
    let full = replay_large_group(
        Kind::Alternating,
        replay::PlannerKind::FullReplan,
        weights::Weights::default(),
    );
    assert!(mean(&incremental.skews) < mean(&fixed.skews));
    assert!(mean(&incremental.skews) < mean(&full.skews) * 0.8);
    assert!(moves(&incremental) <= 150, "{} moves", moves(&incremental));
}

#[test]
fn weights_trade_skew_for_moves() {
    let run = |skew, cost| {
        replay_large_group(
            Kind::Drift,
            replay::PlannerKind::Incremental,
            weights::Weights::new(skew, cost).expect("finite weights"),
        )
    };
    let (high_skew_weight, high_cost_weight) = (run(4.0, 1.0), run(1.0, 4.0));
    assert!(
        moves(&high_cost_weight) * 2 < moves(&high_skew_weight),
        "{} against {}",
        moves(&high_cost_weight),
        moves(&high_skew_weight)
    );
    assert!(mean(&high_skew_weight.skews) < mean(&high_cost_weight.skews));
    assert_eq!(moves(&run(0.0, 1.0)), 0, "moves without any weight of skew");
}
