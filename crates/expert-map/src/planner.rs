//! The planner in force: the fewest moves that buy the most.

use crate::forecast;
use crate::layout;
use crate::search;
use crate::weights;

/// Fall of the skew that pays for one move at equal weights.
const PRICE_OF_MOVE: f64 = 0.000_55;
/// Smallest width over which the maximum is smoothed, in multiples of the mean rank load.
const LEAST_WIDTH: f64 = 0.01;

/// Plans the maps of one group.
#[derive(Debug, Clone)]
pub struct Planner {
    layout: layout::Layout,
    forecast: forecast::Forecast,
    weights: weights::Weights,
    /// Most moves in one period, from the weight store's rate.
    max_moves: usize,
}

impl Planner {
    /// A planner that starts from `layout`.
    pub fn new(layout: layout::Layout, weights: weights::Weights) -> Self {
        let forecast = forecast::Forecast::new(layout.shape().experts());
        Self {
            layout,
            forecast,
            weights,
            max_moves: usize::MAX,
        }
    }

    /// Bounds the moves of one period.
    #[must_use]
    pub fn max_moves(mut self, moves: usize) -> Self {
        self.max_moves = moves;
        self
    }

    /// The map in force.
    pub fn layout(&self) -> &layout::Layout {
        &self.layout
    }

    /// Takes the loads of one period. There must be one for each expert.
    pub fn observe(&mut self, row: &[f64]) {
        self.forecast.observe(row);
    }

    /// Plans the next period's map and gives the number of moves to it.
    pub fn plan(&mut self) -> usize {
        let mut search = search::Search::new(&self.layout, self.forecast.levels(), self.width());
        let mut moves = 0;
        while let Some(offer) = search.best() {
            let cost = offer.change.moves();
            if !self.pays(offer.gain, cost) || moves + cost > self.max_moves {
                break;
            }
            search.apply(offer.change);
            moves += cost;
        }
        let planned = layout::Layout::new(self.layout.shape(), search.slots().to_vec());
        // The search never takes an expert's last replica away.
        let planned = planned.unwrap_or_else(|e| unreachable!("the search keeps every expert: {e}"));
        let moves = planned.changed_slots(&self.layout);
        self.layout = planned;
        moves
    }

    /// Rank loads are expected to stray so far from their forecast.
    fn width(&self) -> f64 {
        let slots = self.layout.shape().slots() as f64;
        (self.forecast.typical_error() / (slots.sqrt() * 1.5)).max(LEAST_WIDTH)
    }

    fn pays(&self, gain: f64, moves: usize) -> bool {
        self.weights.skew() * gain > self.weights.cost() * PRICE_OF_MOVE * moves as f64 + f64::EPSILON
    }
}
