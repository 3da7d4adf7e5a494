use std::time::Duration;

use super::JobId;

/// Limits and delays of retries.
#[derive(Clone, Copy, Debug)]
pub struct Retry {
    /// Number of failures after which a job is given up.
    pub max_failures: u32,
    /// Number of lost runs after which a job is given up, since a job can itself take its workers
    /// down.
    pub max_losses: u32,
    /// Number of distinct credible workers with a failure of a job after which the job is given up
    /// as the cause of the failures.
    pub max_failed_workers: usize,
    /// Delay of the retry after the first failure.
    pub initial_delay: Duration,
    /// Longest delay before a retry.
    pub max_delay: Duration,
}

impl Default for Retry {
    fn default() -> Self {
        Self {
            max_failures: 6,
            max_losses: 20,
            max_failed_workers: 3,
            initial_delay: Duration::from_secs(1),
            max_delay: Duration::from_secs(60),
        }
    }
}

impl Retry {
    /// Returns the delay of the retry after `failures` failures. It grows exponentially and is
    /// shortened by up to half depending on the id, so that jobs that failed together are not
    /// retried together.
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
        let full_delay = (self.initial_delay * 2_u32.pow(doublings)).min(self.max_delay);
        // Fibonacci hashing of the id spreads consecutive ids over 10 bits.
        let jitter = job.number().wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 54;
        full_delay - full_delay * u32::try_from(jitter).unwrap_or(0) / 2_048
    }
}
