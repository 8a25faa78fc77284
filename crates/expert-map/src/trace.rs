//! Recorded expert loads.

use thiserror::Error;

use crate::loads;

/// Rows of loads, one per period.
#[derive(Debug, Clone, PartialEq)]
pub struct Trace {
    /// At least one row. All rows have the same number of loads.
    rows: Vec<loads::Loads>,
}

/// An error in the rows of a trace.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum TraceError {
    /// The trace has no rows.
    #[error("the trace has no rows")]
    Empty,
    /// A row has invalid loads.
    #[error("invalid loads in row {row}")]
    InvalidRow {
        /// The number of the row, starting from 1.
        row: usize,
        /// The error in its loads.
        source: loads::LoadsError,
    },
    /// A row has a different number of loads than the first one.
    #[error("row {row} has {found} loads, but row 1 has {expected}")]
    Ragged {
        /// The number of the row, starting from 1.
        row: usize,
        /// The number of loads in the row.
        found: usize,
        /// The number of loads in the first row.
        expected: usize,
    },
}

impl Trace {
    /// Creates a trace from rows of loads.
    ///
    /// # Errors
    ///
    /// Returns a [`TraceError`] that contains the number of the invalid row, or [`TraceError::Empty`] if there are no
    /// rows.
    pub fn new(rows: Vec<Vec<f64>>) -> Result<Self, TraceError> {
        let expected = rows.first().map(Vec::len).ok_or(TraceError::Empty)?;
        let mut checked = Vec::with_capacity(rows.len());
        for (at, row) in rows.into_iter().enumerate() {
            let (row_number, found) = (at + 1, row.len());
            if found != expected {
                return Err(TraceError::Ragged {
                    row: row_number,
                    found,
                    expected,
                });
            }
            let loads = loads::Loads::new(row).map_err(|source| TraceError::InvalidRow {
                row: row_number,
                source,
            })?;
            checked.push(loads);
        }
        Ok(Self { rows: checked })
    }

    /// Returns the number of experts.
    pub fn experts(&self) -> usize {
        self.rows[0].values().len()
    }

    /// Returns the rows in order.
    pub fn rows(&self) -> &[loads::Loads] {
        &self.rows
    }
}
