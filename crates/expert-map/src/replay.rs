//! Replays a trace through planners and scores their maps.
//!
//! The map for a row is planned from the rows before it and scored on that row. All planners start from the full plan
//! of the first row, which is therefore not scored.

use serde::Serialize;

use crate::baseline;
use crate::layout;
use crate::planner;
use crate::shape;
use crate::trace;
use crate::weights;

/// The results of a planner on a trace.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PlannerScore {
    /// The name of the planner.
    pub name: &'static str,
    /// Mean skew of the scored rows, where skew is the largest rank load relative to the mean.
    pub mean_skew: f64,
    /// Largest skew of the scored rows.
    pub worst_skew: f64,
    /// Number of slots whose expert changed, summed over all rows.
    pub moves: usize,
    /// Planning time over all rows, in milliseconds.
    pub plan_ms: f64,
}

/// The planner to replay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlannerKind {
    /// The incremental planner, [`planner::Planner`].
    Incremental,
    /// No planning: the first map is kept.
    Static,
    /// A full plan in each period.
    FullReplan,
}

impl PlannerKind {
    /// All planners.
    pub const ALL: [Self; 3] = [Self::Incremental, Self::Static, Self::FullReplan];

    /// Returns the name of the planner.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Incremental => "chosen",
            Self::Static => "static",
            Self::FullReplan => "full",
        }
    }
}

/// The skew of each scored row and the moves before it.
#[derive(Debug, Clone, PartialEq)]
pub struct ReplayRun {
    /// Skew of each row after the first.
    pub skews: Vec<f64>,
    /// Number of moves before each of these rows.
    pub moves: Vec<usize>,
    /// Planning time over all rows, in milliseconds.
    pub planning_ms: f64,
}

/// Replays `trace`. `clock` returns milliseconds and is only read immediately before and after planning.
pub fn run<C>(
    trace: &trace::Trace,
    shape: shape::Shape,
    weights: weights::Weights,
    kind: PlannerKind,
    clock: C,
) -> ReplayRun
where
    C: Fn() -> f64,
{
    let rows = trace.rows();
    let first = baseline::full_plan(shape, rows[0].values());
    let mut planner = planner::Planner::new(first, weights);
    let mut result = ReplayRun {
        skews: Vec::with_capacity(rows.len()),
        moves: Vec::with_capacity(rows.len()),
        planning_ms: 0.0,
    };
    let mut layout = planner.layout().clone();
    for pair in rows.windows(2) {
        let (past, scored) = (pair[0].values(), pair[1].values());
        let started = clock();
        let next = next_layout(kind, &mut planner, &layout, past);
        result.planning_ms += clock() - started;
        result.moves.push(next.changed_slots(&layout));
        result.skews.push(next.skew(scored));
        layout = next;
    }
    result
}

fn next_layout(
    kind: PlannerKind,
    planner: &mut planner::Planner,
    layout: &layout::Layout,
    past: &[f64],
) -> layout::Layout {
    match kind {
        PlannerKind::Static => layout.clone(),
        PlannerKind::FullReplan => baseline::full_plan(layout.shape(), past).aligned_to(layout),
        PlannerKind::Incremental => {
            planner.observe(past);
            planner.plan();
            planner.layout().clone()
        }
    }
}

impl ReplayRun {
    /// Returns the aggregated results.
    pub fn score(&self, name: &'static str) -> PlannerScore {
        let row_count = self.skews.len().max(1) as f64;
        let worst = self.skews.iter().copied().fold(0.0, f64::max);
        // A trace of one row has no scored rows.
        let (mean_skew, worst_skew) = if self.skews.is_empty() {
            (1.0, 1.0)
        } else {
            (self.skews.iter().sum::<f64>() / row_count, worst)
        };
        PlannerScore {
            name,
            mean_skew,
            worst_skew,
            moves: self.moves.iter().sum(),
            plan_ms: self.planning_ms,
        }
    }
}
