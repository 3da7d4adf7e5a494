/// Share of a retry that each first attempt adds to the budget.
const RETRIES_PER_CALL: f64 = 0.1;

/// Most retries that the budget holds, enough for the calls in flight when one target dies.
const MAX_BALANCE: f64 = 64.0;

/// Retry budget of one service: limits retries to a tenth of the calls, which prevents retry
/// storms.
///
/// It starts full.
///
/// ```
/// use coriandernotch::call::Budget;
///
/// let mut budget = Budget::default();
/// while budget.try_withdraw() {}
/// (0..11).for_each(|_| budget.deposit());
/// assert!(budget.try_withdraw());
/// assert!(!budget.try_withdraw());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    balance: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            balance: MAX_BALANCE,
        }
    }
}

impl Budget {
    /// Adds the share of one first attempt.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + RETRIES_PER_CALL).min(MAX_BALANCE);
    }

    /// Takes one retry from the budget; returns false when less than one is left.
    pub fn try_withdraw(&mut self) -> bool {
        let available = self.balance >= 1.0;
        if available {
            self.balance -= 1.0;
        }
        available
    }
}
