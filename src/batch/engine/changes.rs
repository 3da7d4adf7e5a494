//! Changes of jobs that the store must hold, and rows that it may delete.

use std::sync::Arc;

use super::Engine;
use crate::batch::{JobKey, Progress};

impl Engine {
    /// Returns whether there are changes to store: `None` if there are none, otherwise whether a
    /// caller waits for one of them.
    pub fn has_changes_to_store(&self) -> Option<bool> {
        let urgent = |key: &JobKey| self.jobs.get(*key).is_some_and(|j| j.urgent);
        (!self.dirty.is_empty()).then(|| self.dirty.iter().any(urgent))
    }

    /// Queues all changes again that are not confirmed as stored.
    pub fn queue_unconfirmed_changes(&mut self) {
        for (key, job) in &mut self.jobs {
            if job.stored_changes < job.change_count && !std::mem::replace(&mut job.dirty, true) {
                self.dirty.push(key);
            }
        }
    }

    /// Takes up to `limit` jobs to store for which `selected` holds: key, id, change number and
    /// progress.
    pub fn take_unstored(
        &mut self,
        limit: usize,
        selected: impl Fn(&str) -> bool,
    ) -> Vec<(JobKey, Arc<str>, u64, Progress)> {
        let mut rows = Vec::new();
        let mut skipped = Vec::new();
        for key in std::mem::take(&mut self.dirty) {
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            if rows.len() >= limit || !selected(&job.id) {
                skipped.push(key);
                continue;
            }
            (job.dirty, job.urgent) = (false, false);
            rows.push((key, job.id.clone(), job.change_count, job.progress()));
        }
        self.dirty = skipped;
        rows
    }

    /// Records that a change of a job is stored.
    pub fn record_stored_change(&mut self, key: JobKey, change: u64) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.stored_changes = job.stored_changes.max(change);
        if job.is_removable() {
            self.remove_job(key);
        }
    }

    /// Removes a job that has ended, is stored and has no runs.
    pub(super) fn remove_job(&mut self, key: JobKey) {
        if let Some(job) = self.jobs.remove(key) {
            debug_assert_eq!(job.run_count, 0, "runs refer to their job");
            self.job_ids.remove(&job.id);
            self.job_memory.subtract(Self::memory_of(&job.record.spec));
            self.history.add(job.id, job.ended_ms);
        }
    }

    /// Takes the ids of up to `limit` ended jobs whose retention time is over and for which
    /// `selected` holds, to delete their rows.
    pub fn take_outdated(
        &mut self,
        wall_ms: u64,
        limit: usize,
        selected: impl Fn(&str) -> bool,
    ) -> Vec<Arc<str>> {
        let retention_ms = u64::try_from(self.tuning.retention.as_millis()).unwrap_or(u64::MAX);
        self.history
            .take_before(wall_ms.saturating_sub(retention_ms), limit, selected)
    }

    /// Records that the rows of ended jobs were deleted at a version of the store.
    pub fn record_deletion(&mut self, ids: Vec<Arc<str>>, version: u64) {
        self.history.record_deletion(ids, version);
    }

    /// Forgets the ended jobs whose rows were deleted up to `version`. No read of the store that
    /// is passed to this engine from now on may be older.
    pub fn forget_deleted(&mut self, version: u64) {
        self.history.forget_deleted(version);
    }
}
