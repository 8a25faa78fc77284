//! Loads of a layer's experts in one period.

use thiserror::Error;

use crate::shape;

/// Tokens that each expert took in one period.
#[derive(Debug, Clone, PartialEq)]
pub struct Loads(
    /// Finite, at least 0, one an expert.
    Vec<f64>,
);

/// Loads that can't be planned from.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum LoadsError {
    /// There are none.
    #[error("there are no loads")]
    Empty,
    /// A load is negative or not finite.
    #[error("the load of expert {expert} is {value}; use a finite number of at least 0")]
    BadLoad {
        /// The expert.
        expert: usize,
        /// Its load.
        value: f64,
    },
    /// The number of loads is not the number of experts.
    #[error("there are {found} loads for {expected} experts")]
    WrongCount {
        /// Loads.
        found: usize,
        /// Experts.
        expected: usize,
    },
}

impl Loads {
    /// Checks loads.
    ///
    /// # Errors
    ///
    /// [`LoadsError`] when there are none or one of them can't be a load.
    pub fn new(loads: Vec<f64>) -> Result<Self, LoadsError> {
        if loads.is_empty() {
            return Err(LoadsError::Empty);
        }
        let bad = loads.iter().position(|load| !load.is_finite() || *load < 0.0);
        match bad {
            Some(expert) => Err(LoadsError::BadLoad {
                expert,
                value: loads[expert],
            }),
            None => Ok(Self(loads)),
        }
    }

    /// Checks that there is a load for each expert of `shape`.
    ///
    /// # Errors
    ///
    /// [`LoadsError::WrongCount`] otherwise.
    pub fn check_shape(&self, shape: &shape::Shape) -> Result<(), LoadsError> {
        let (found, expected) = (self.0.len(), shape.experts());
        if found == expected {
            Ok(())
        } else {
            Err(LoadsError::WrongCount { found, expected })
        }
    }

    /// The loads, one an expert.
    pub fn values(&self) -> &[f64] {
        &self.0
    }
}
