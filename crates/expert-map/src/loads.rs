//! Loads of a layer's experts in one period.

use thiserror::Error;

use crate::shape;

/// Number of tokens that each expert processed in one period.
#[derive(Debug, Clone, PartialEq)]
pub struct Loads(
    /// One load per expert; finite and at least 0.
    Vec<f64>,
);

/// An error in a row of loads.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum LoadsError {
    /// The row is empty.
    #[error("the row has no loads")]
    Empty,
    /// A load is negative or not finite.
    #[error("the load of expert {expert} must be finite and at least 0, but is {value}")]
    InvalidLoad {
        /// The index of the expert.
        expert: usize,
        /// The load of the expert.
        value: f64,
    },
    /// The number of loads differs from the number of experts.
    #[error("expected {expected} loads, one per expert, but found {found}")]
    WrongCount {
        /// The number of loads.
        found: usize,
        /// The number of experts.
        expected: usize,
    },
}

impl Loads {
    /// Creates a row of loads.
    ///
    /// # Errors
    ///
    /// Returns a [`LoadsError`] if the row is empty or a load is negative or not finite.
    pub fn new(loads: Vec<f64>) -> Result<Self, LoadsError> {
        if loads.is_empty() {
            return Err(LoadsError::Empty);
        }
        let bad = loads.iter().position(|load| !load.is_finite() || *load < 0.0);
        match bad {
            Some(expert) => Err(LoadsError::InvalidLoad {
                expert,
                value: loads[expert],
            }),
            None => Ok(Self(loads)),
        }
    }

    /// Checks that there is one load for each expert of `shape`.
    ///
    /// # Errors
    ///
    /// Returns [`LoadsError::WrongCount`] if the numbers differ.
    pub fn check_shape(&self, shape: &shape::Shape) -> Result<(), LoadsError> {
        let (found, expected) = (self.0.len(), shape.experts());
        if found == expected {
            Ok(())
        } else {
            Err(LoadsError::WrongCount { found, expected })
        }
    }

    /// Returns the loads, one per expert.
    pub fn values(&self) -> &[f64] {
        &self.0
    }
}
