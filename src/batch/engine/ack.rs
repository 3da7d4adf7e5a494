use super::{Engine, Worker};
use crate::batch::{JobKey, WorkerKey};
use crate::clock::Instant;

impl Engine {
    /// Returns the position up to which the ends of a worker may be acknowledged on a connection that
    /// was opened at `opened_at`, because their effects are stored; 0 unless its latest answer listed
    /// ends and the connection leads to the process that gave it.
    ///
    /// Another process may have started under the id of the worker since then. It numbers its ends
    /// from the beginning, and would forget those up to the position before they are read.
    pub fn acknowledged(&mut self, key: WorkerKey, opened_at: Instant) -> u64 {
        let Some(worker) = self.workers.get_mut(key) else {
            return 0;
        };
        let jobs = &self.jobs;
        let is_stored =
            |job: JobKey, change: u64| jobs.get(job).is_none_or(|j| j.stored_changes >= change);
        worker
            .unstored_ends
            .retain(|(_, job, change)| !is_stored(*job, *change));
        let unacknowledged = worker
            .unstored_ends
            .iter()
            .map(|(position, ..)| position - 1);
        worker.acknowledged_position = unacknowledged.min().unwrap_or(worker.last_end_position);
        // The registration may name a new process that has not answered yet.
        let is_current = worker.profile.born_ms <= worker.born_ms;
        if worker.lists_ends && is_current && worker.is_reached_since(opened_at) {
            worker.acknowledged_position
        } else {
            0
        }
    }

    /// Returns whether all effects of the ends listed by a worker are stored.
    pub(super) fn has_stored_ends(&self, worker: &Worker) -> bool {
        let is_stored = |(_, job, change): &(u64, JobKey, u64)| {
            self.jobs
                .get(*job)
                .is_none_or(|job| job.stored_changes >= *change)
        };
        worker.unstored_ends.iter().all(is_stored)
    }

    /// Returns whether a worker lists an end whose effects are not stored yet.
    pub fn has_unstored_ends(&self, key: WorkerKey) -> bool {
        self.workers
            .get(key)
            .is_some_and(|w| !w.unstored_ends.is_empty())
    }
}
