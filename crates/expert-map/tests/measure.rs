//! Figures of the planner on seeded traces, with bounds.

#[expect(dead_code, reason = "the bench uses more of it")]
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
    choice: replay::PlannerKind,
    weights: weights::Weights,
) -> replay::ReplayRun {
    let trace = traces::generate(kind, experts as usize, seed);
    let shape = shape::Shape::new(ranks, slots, experts).expect("the experts fit");
    let started = Instant::now();
    replay::run(&trace, shape, weights, choice, || started.elapsed().as_secs_f64() * 1e3)
}

fn near(kind: Kind, choice: replay::PlannerKind, weights: weights::Weights) -> replay::ReplayRun {
    replay(kind, 32, 9, 256, 1, choice, weights)
}

fn mean(skews: &[f64]) -> f64 {
    skews.iter().sum::<f64>() / skews.len() as f64
}

fn moves(run: &replay::ReplayRun) -> usize {
    run.moves.iter().sum()
}

#[test]
fn drift_is_followed_with_a_thirtieth_of_the_moves() {
    let chosen = near(Kind::Drift, replay::PlannerKind::Chosen, weights::Weights::default());
    let full = near(Kind::Drift, replay::PlannerKind::Full, weights::Weights::default());
    let (skew, full_skew) = (mean(&chosen.skews), mean(&full.skews));
    assert!(skew <= full_skew * 1.005, "{skew} against {full_skew}");
    assert!(
        moves(&chosen) * 30 <= moves(&full),
        "{} against {}",
        moves(&chosen),
        moves(&full)
    );
}

#[test]
fn noise_alone_moves_next_to_nothing() {
    let chosen = near(Kind::Noise, replay::PlannerKind::Chosen, weights::Weights::default());
    let full = near(Kind::Noise, replay::PlannerKind::Full, weights::Weights::default());
    assert!(moves(&chosen) <= 60, "{} moves", moves(&chosen));
    assert!(mean(&chosen.skews) <= mean(&full.skews));
    assert_eq!(
        moves(&near(
            Kind::Steady,
            replay::PlannerKind::Chosen,
            weights::Weights::default()
        )),
        0
    );
}

#[test]
fn a_jump_is_made_good_within_one_period() {
    let chosen = near(Kind::Jump, replay::PlannerKind::Chosen, weights::Weights::default());
    let full = near(Kind::Jump, replay::PlannerKind::Full, weights::Weights::default());
    // The map for the row of the jump itself is planned before anyone can know; the next one is judged.
    let after = traces::JUMP_AT;
    let (skew, full_skew) = (mean(&chosen.skews[after..]), mean(&full.skews[after..]));
    assert!(
        chosen.skews[after] <= full.skews[after] * 1.05,
        "{} against {}",
        chosen.skews[after],
        full.skews[after]
    );
    assert!(skew <= full_skew * 1.005, "{skew} against {full_skew}");
}

#[test]
fn what_does_not_last_is_not_chased() {
    let chosen = near(
        Kind::Alternating,
        replay::PlannerKind::Chosen,
        weights::Weights::default(),
    );
    let fixed = near(
        Kind::Alternating,
        replay::PlannerKind::Static,
        weights::Weights::default(),
    );
    let full = near(
        Kind::Alternating,
        replay::PlannerKind::Full,
        weights::Weights::default(),
    );
    assert!(mean(&chosen.skews) < mean(&fixed.skews));
    assert!(mean(&chosen.skews) < mean(&full.skews) * 0.8);
    assert!(moves(&chosen) <= 150, "{} moves", moves(&chosen));
}

#[test]
fn weights_trade_skew_for_moves() {
    let run = |skew, cost| {
        near(
            Kind::Drift,
            replay::PlannerKind::Chosen,
            weights::Weights::new(skew, cost).expect("finite weights"),
        )
    };
    let (statiegeld, parafa) = (run(4.0, 1.0), run(1.0, 4.0));
    assert!(
        moves(&parafa) * 2 < moves(&statiegeld),
        "{} against {}",
        moves(&parafa),
        moves(&statiegeld)
    );
    assert!(mean(&statiegeld.skews) < mean(&parafa.skews));
    assert_eq!(moves(&run(0.0, 1.0)), 0, "no price on skew, no move");
}
