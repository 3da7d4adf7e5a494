use super::JobId;
use crate::collections::Map;

/// Decides on a worker whether a start request may take effect.
#[derive(Debug, Default)]
pub struct Fence {
    /// Highest fencing token of an admitted start.
    token: u64,
    /// Highest admitted run of each job.
    runs: Map<JobId, u32>,
}

impl Fence {
    /// Returns whether a start may take effect. Admits each run at most once, and rejects fencing
    /// tokens lower than the highest one admitted, which come from an earlier holder of the queue.
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
        if token < self.token || self.runs.get(&job).is_some_and(|admitted| run <= *admitted) {
            return false;
        }
        self.token = token;
        self.runs.insert(job, run);
        true
    }

    /// Forgets a job in a final state, once the holder of its queue has confirmed that it knows.
    pub fn forget(&mut self, job: JobId) {
        self.runs.remove(&job);
    }

    /// Returns the highest fencing token of an admitted start.
    pub fn token(&self) -> u64 {
        self.token
    }
}
