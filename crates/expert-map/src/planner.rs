//! An incremental planner that improves the map with as few moves as possible.

use crate::forecast;
use crate::layout;
use crate::search;
use crate::weights;

/// Reduction of the skew that justifies one move at equal weights.
const MOVE_COST: f64 = 0.000_55;
/// Smallest width over which the maximum is smoothed, in multiples of the mean rank load.
const MIN_SMOOTHING_WIDTH: f64 = 0.01;

/// Plans the maps of one group.
#[derive(Debug, Clone)]
pub struct Planner {
    layout: layout::Layout,
    forecast: forecast::Forecast,
    weights: weights::Weights,
    /// Largest number of moves in one period, limited by the throughput of the weight store.
    max_moves: usize,
}

impl Planner {
    /// Creates a planner that starts from `layout`.
    pub fn new(layout: layout::Layout, weights: weights::Weights) -> Self {
        let forecast = forecast::Forecast::new(layout.shape().experts());
        Self {
            layout,
            forecast,
            weights,
            max_moves: usize::MAX,
        }
    }

    /// Limits the number of moves in one period.
    #[must_use]
    pub fn with_max_moves(mut self, moves: usize) -> Self {
        self.max_moves = moves;
        self
    }

    /// Returns the current map.
    pub fn layout(&self) -> &layout::Layout {
        &self.layout
    }

    /// Adds the loads of one period. The row has one load per expert.
    pub fn observe(&mut self, row: &[f64]) {
        self.forecast.observe(row);
    }

    /// Plans the map of the next period and returns the number of moves to it.
    pub fn plan(&mut self) -> usize {
        let mut search = search::Search::new(&self.layout, self.forecast.levels(), self.smoothing_width());
        let mut moves = 0;
        while let Some(candidate) = search.best_change() {
            let changed = candidate.change.changed_slots();
            if !self.is_worthwhile(candidate.gain, changed) || moves + changed > self.max_moves {
                break;
            }
            search.apply(candidate.change);
            moves += changed;
        }
        let planned = layout::Layout::new(self.layout.shape(), search.slots().to_vec());
        // The search never removes the last replica of an expert.
        let planned = planned.unwrap_or_else(|e| unreachable!("the search removed an expert: {e}"));
        let moves = planned.changed_slots(&self.layout);
        self.layout = planned;
        moves
    }

    /// Returns the expected deviation of rank loads from their forecast, given independent errors of the slots.
    fn smoothing_width(&self) -> f64 {
        let slots = self.layout.shape().slots_per_rank() as f64;
        (self.forecast.typical_error() / (slots.sqrt() * 1.5)).max(MIN_SMOOTHING_WIDTH)
    }

    fn is_worthwhile(&self, gain: f64, moves: usize) -> bool {
        self.weights.skew() * gain > self.weights.cost() * MOVE_COST * moves as f64 + f64::EPSILON
    }
}
