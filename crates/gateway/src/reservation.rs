//! Reservations from a budget that several tasks share.

use std::cell::Cell;
use std::rc::Rc;

/// A part of a shared budget, which is returned on drop.
pub(crate) struct Reservation {
    used: Rc<Cell<usize>>,
    amount: usize,
}

impl Reservation {
    pub(crate) fn new(used: &Rc<Cell<usize>>) -> Self {
        Self {
            used: Rc::clone(used),
            amount: 0,
        }
    }

    /// Extends the reservation to `amount`. Returns `false` if all reservations together would exceed `budget`.
    pub(crate) fn grow_to(&mut self, amount: usize, budget: usize) -> bool {
        let others = self.used.get() - self.amount;
        let is_within_budget = amount <= self.amount || others + amount <= budget;
        if is_within_budget && amount > self.amount {
            self.used.set(others + amount);
            self.amount = amount;
        }
        is_within_budget
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.used.set(self.used.get() - self.amount);
    }
}
