//! Retry budget.
//!
//! Retries add load just when endpoints are least able to bear it. Each first attempt adds a fraction of a retry to the
//! budget, so retries stay below that fraction of the traffic no matter how many calls fail.

/// Hundredths of a retry that a first attempt adds to the budget.
const HUNDREDTHS_PER_CALL: u32 = 20;
/// Hundredths that a retry takes from the budget.
const HUNDREDTHS_PER_RETRY: u32 = 100;
/// Maximum balance, in hundredths of a retry, which lets an instance with little traffic retry too.
const MAX_BALANCE_HUNDREDTHS: u32 = 1_000;

/// Budget for the retries of one entry.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    /// Available hundredths of a retry, at most [`MAX_BALANCE_HUNDREDTHS`].
    balance_hundredths: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance_hundredths: MAX_BALANCE_HUNDREDTHS,
        }
    }
}

impl RetryBudget {
    /// Records the first attempt of a call.
    pub fn record_first_attempt(&mut self) {
        self.balance_hundredths = (self.balance_hundredths + HUNDREDTHS_PER_CALL).min(MAX_BALANCE_HUNDREDTHS);
    }

    /// Takes one retry from the budget, and returns `false` if the balance is too low.
    pub fn try_spend(&mut self) -> bool {
        let affordable = self.balance_hundredths >= HUNDREDTHS_PER_RETRY;
        if affordable {
            self.balance_hundredths -= HUNDREDTHS_PER_RETRY;
        }
        affordable
    }
}
