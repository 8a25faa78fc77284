//! Seeded traces of expert loads.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sycamorestile_expert_map::trace;

/// Number of rows in a trace.
pub const ROWS: usize = 40;
/// The row at which loads jump.
pub const JUMP_AT: usize = 20;
/// Noise of a load, as the standard deviation of its logarithm.
const NOISE: f64 = 0.08;
/// Spread of popularity, as the standard deviation of its logarithm.
const SPREAD: f64 = 1.0;
/// Drift of popularity per row, as the standard deviation of its logarithm.
const DRIFT: f64 = 0.06;
/// Number of tokens per row.
const TOKENS: f64 = 1e6;

/// The kind of a trace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Constant loads without noise.
    Steady,
    /// Constant popularity with noise.
    Noise,
    /// Popularity that drifts.
    Drift,
    /// Popularity that changes completely once.
    Jump,
    /// One expert becomes by far the most popular.
    HotExpert,
    /// Popularity that alternates between two distributions.
    Alternating,
}

/// All kinds.
pub const ALL: [Kind; 6] = [
    Kind::Steady,
    Kind::Noise,
    Kind::Drift,
    Kind::Jump,
    Kind::HotExpert,
    Kind::Alternating,
];

fn normal(rng: &mut ChaCha8Rng) -> f64 {
    let sum: f64 = (0..12).map(|_| rng.random::<f64>()).sum();
    sum - 6.0
}

fn popularity(rng: &mut ChaCha8Rng, experts: usize) -> Vec<f64> {
    (0..experts).map(|_| SPREAD * normal(rng)).collect()
}

/// Generates a trace of `kind` for `experts` experts.
pub fn generate(kind: Kind, experts: usize, seed: u64) -> trace::Trace {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut logs = popularity(&mut rng, experts);
    let other = popularity(&mut rng, experts);
    let mut rows = Vec::with_capacity(ROWS);
    for row in 0..ROWS {
        match kind {
            Kind::Drift => logs.iter_mut().for_each(|log| *log += DRIFT * normal(&mut rng)),
            Kind::Jump if row == JUMP_AT => logs.clone_from(&other),
            Kind::HotExpert if row == JUMP_AT => logs[experts / 2] = 4.0,
            _ => {}
        }
        let source = if kind == Kind::Alternating && row % 2 == 1 {
            &other
        } else {
            &logs
        };
        let noise = if kind == Kind::Steady { 0.0 } else { NOISE };
        let loads: Vec<f64> = source
            .iter()
            .map(|log| (log + noise * normal(&mut rng)).exp())
            .collect();
        let scale = TOKENS / loads.iter().sum::<f64>();
        rows.push(loads.into_iter().map(|load| load * scale).collect());
    }
    trace::Trace::new(rows).expect("loads are positive")
}
