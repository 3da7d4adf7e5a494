use std::time::Duration;

use super::JobId;

/// Bounds and delays of repeated runs.
#[derive(Clone, Copy, Debug)]
pub struct Retry {
    /// Failures after which a job is given up.
    pub failures: u32,
    /// Runs lost with their worker after which a job is given up; a job can be the cause.
    pub losses: u32,
    /// Distinct credible workers on which a job fails before it is called bad.
    pub workers: usize,
    /// Delay after the first failure.
    pub base: Duration,
    /// Longest delay.
    pub cap: Duration,
}

impl Default for Retry {
    fn default() -> Self {
        Self {
            failures: 6,
            losses: 20,
            workers: 3,
            base: Duration::from_secs(1),
            cap: Duration::from_secs(60),
        }
    }
}

impl Retry {
    /// Returns the delay before the run after `failures` failures: exponential, and shortened by up
    /// to a half by the id so that jobs that failed together do not return together.
    ///
    /// ```
    /// use std::time::Duration;
    /// use coriandernotch::jobs::{JobId, Retry};
    ///
    /// let delay = Retry::default().delay(40, JobId::from_number(0x1_0000_0001));
    /// assert!(delay <= Duration::from_secs(60) && delay >= Duration::from_secs(30));
    /// ```
    pub fn delay(&self, failures: u32, job: JobId) -> Duration {
        let doublings = failures.saturating_sub(1).min(16);
        let full = (self.base * 2_u32.pow(doublings)).min(self.cap);
        // Fibonacci hashing spreads consecutive ids.
        let spread = job.number().wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 54;
        full - full * u32::try_from(spread).unwrap_or(0) / 2_048
    }
}
