//! Operator-defined weights of a planner's objectives.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The weights of skew and of moves.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Weights {
    /// Cost of a unit of excess step time; finite and at least 0.
    skew: f64,
    /// Cost of one move; finite and at least 0.
    cost: f64,
}

/// An invalid weight.
#[derive(Debug, Clone, Copy, PartialEq, Error)]
#[error("the {name} weight must be finite and at least 0, but is {value}")]
pub struct WeightError {
    /// The name of the weight.
    pub name: &'static str,
    /// The value of the weight.
    pub value: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self { skew: 1.0, cost: 1.0 }
    }
}

impl Weights {
    /// Creates weights.
    ///
    /// # Errors
    ///
    /// Returns a [`WeightError`] if a weight is negative or not finite.
    pub fn new(skew: f64, cost: f64) -> Result<Self, WeightError> {
        for (name, value) in [("skew", skew), ("cost", cost)] {
            if !value.is_finite() || value < 0.0 {
                return Err(WeightError { name, value });
            }
        }
        Ok(Self { skew, cost })
    }

    /// Returns the cost of a unit of excess step time.
    pub const fn skew(&self) -> f64 {
        self.skew
    }

    /// Returns the cost of one move.
    pub const fn cost(&self) -> f64 {
        self.cost
    }
}
