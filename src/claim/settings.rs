use std::time::Duration;

/// Limits of the load that one manager puts on the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Time for which writes are gathered into one transaction.
    pub interval: Duration,
    /// Transactions a second in the long run; the share of this instance in the budget.
    pub rate: f64,
    /// Transactions that may be sent at once after a pause.
    pub burst: f64,
}

impl Settings {
    /// Splits `budget` transactions a second over `instances` entry instances.
    ///
    /// ```
    /// use coriandernotch::claim::Settings;
    ///
    /// assert_eq!(Settings::share(200.0, 8).rate, 25.0);
    /// ```
    pub fn share(budget: f64, instances: usize) -> Self {
        let rate = budget / instances.max(1) as f64;
        Self {
            interval: Duration::from_millis(5),
            rate,
            // Bursts of many instances coincide, so each may exceed its share only for 0.2 s.
            burst: (rate * 0.2).max(2.0),
        }
    }
}
