//! Budget for retries.
//!
//! Retries multiply load exactly when endpoints have least of it to spare. Each first try earns a share of a retry, so
//! that retries stay below that share of traffic however many calls fail.

/// Hundredths of a retry that each first try earns.
const HUNDREDTHS_PER_CALL: u32 = 20;
/// Hundredths that one retry costs.
const HUNDREDTHS_PER_RETRY: u32 = 100;
/// Hundredths that can be saved up, so that a quiet instance may still retry.
const MAX_BALANCE_HUNDREDTHS: u32 = 1_000;

/// Retries that an entry may still spend.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    /// Hundredths of a retry, at most [`MAX_BALANCE_HUNDREDTHS`].
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
    /// Notes a call's first try.
    pub fn record_first_attempt(&mut self) {
        self.balance_hundredths = (self.balance_hundredths + HUNDREDTHS_PER_CALL).min(MAX_BALANCE_HUNDREDTHS);
    }

    /// Takes one retry; `false` when the budget is spent.
    pub fn try_spend(&mut self) -> bool {
        let affordable = self.balance_hundredths >= HUNDREDTHS_PER_RETRY;
        if affordable {
            self.balance_hundredths -= HUNDREDTHS_PER_RETRY;
        }
        affordable
    }
}
