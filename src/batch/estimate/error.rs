use std::time::Duration;

use super::log_ms;

/// Weight of a new run in the mean errors.
const WEIGHT: f64 = 0.02;

/// Mean errors of declared and of learned run times over the latest runs, as factors: 2 means twice
/// or half the real time.
///
/// ```
/// use std::time::Duration;
/// use coriandernotch::batch::estimate::Error;
///
/// let mut error = Error::default();
/// let seconds = Duration::from_secs;
/// (0..500).for_each(|_| error.record(seconds(2), seconds(8), seconds(4)));
/// assert!((error.declared() - 2.0).abs() < 0.01 && (error.learned() - 2.0).abs() < 0.01);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Error {
    /// Mean absolute binary logarithms of the factors.
    declared: f64,
    learned: f64,
}

impl Error {
    /// Records the declared, the expected and the real time of a run.
    pub fn record(&mut self, declared: Duration, expected: Duration, took: Duration) {
        let error = |estimate: Duration| f64::from((log_ms(estimate) - log_ms(took)).abs());
        self.declared += WEIGHT * (error(declared) - self.declared);
        self.learned += WEIGHT * (error(expected) - self.learned);
    }

    /// Returns the mean factor between declared and real times.
    pub fn declared(&self) -> f64 {
        self.declared.exp2()
    }

    /// Returns the mean factor between expected and real times.
    pub fn learned(&self) -> f64 {
        self.learned.exp2()
    }
}
