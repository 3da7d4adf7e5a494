/// Retries earned by one first try.
const RATIO: f64 = 0.1;

/// Most retries saved up, enough for the calls in flight when one target dies.
const MAX_SAVED: f64 = 64.0;

/// Budget that keeps retries below a tenth of the calls, so that they cannot become a storm.
///
/// ```
/// use coriandernotch::call::Budget;
///
/// let mut budget = Budget::default();
/// while budget.spend() {}
/// (0..11).for_each(|_| budget.earn());
/// assert!(budget.spend());
/// assert!(!budget.spend());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    saved: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { saved: MAX_SAVED }
    }
}

impl Budget {
    /// Takes account of a first try.
    pub fn earn(&mut self) {
        self.saved = (self.saved + RATIO).min(MAX_SAVED);
    }

    /// Takes one retry from the budget, or returns false when there is none.
    pub fn spend(&mut self) -> bool {
        let enough = self.saved >= 1.0;
        if enough {
            self.saved -= 1.0;
        }
        enough
    }
}
