use super::JobId;
use crate::collections::Map;

/// Decides at a worker whether a start request may take effect.
#[derive(Debug, Default)]
pub struct Fence {
    token: u64,
    runs: Map<JobId, u32>,
}

impl Fence {
    /// Admits a start once per run, and not from a holder older than the newest seen.
    ///
    /// ```
    /// use coriandernotch::jobs::{Fence, JobId};
    ///
    /// let mut fence = Fence::default();
    /// let job = JobId::from_number(0x1_0000_0001);
    /// assert!(fence.admit(2, job, 1));
    /// assert!(!fence.admit(2, job, 1), "repeated request");
    /// assert!(!fence.admit(1, job, 2), "older holder");
    /// ```
    pub fn admit(&mut self, token: u64, job: JobId, run: u32) -> bool {
        if token < self.token || self.runs.get(&job).is_some_and(|seen| run <= *seen) {
            return false;
        }
        self.token = token;
        self.runs.insert(job, run);
        true
    }

    /// Forgets a job that has ended for good, once its holder has confirmed that it knows.
    pub fn forget(&mut self, job: JobId) {
        self.runs.remove(&job);
    }

    /// Returns the newest token seen.
    pub fn token(&self) -> u64 {
        self.token
    }
}
