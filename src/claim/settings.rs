use std::time::Duration;

/// Limits on the load that one manager puts on the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Time for which writes are collected for one transaction.
    pub batch_interval: Duration,
    /// Mean number of transactions per second, the part of this instance in the budget of the fleet.
    pub rate: f64,
    /// Largest number of transactions without a wait after an idle period.
    pub burst: f64,
}

impl Settings {
    /// Divides a budget of `budget` transactions per second equally among `instances` entry instances.
    ///
    /// ```
    /// use coriandernotch::claim::Settings;
    ///
    /// assert_eq!(Settings::share(200.0, 8).rate, 25.0);
    /// ```
    pub fn share(budget: f64, instances: usize) -> Self {
        let rate = budget / instances.max(1) as f64;
        Self {
            batch_interval: Duration::from_millis(5),
            rate,
            // Bursts of several instances can coincide, so each burst is limited to 0.2 s of the rate.
            burst: (rate * 0.2).max(2.0),
        }
    }
}
