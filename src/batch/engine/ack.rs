use std::sync::Arc;
use std::time::Duration;

use super::{Engine, Worker};
use crate::batch::{JobKey, Progress, WorkerKey};
use crate::clock::Instant;

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
        let idle = || {
            let stages = job.occurrences.iter().flat_map(|o| &o.stages);
            stages.flat_map(|s| &s.tasks).all(|t| t.runs.is_empty())
        };
        if job.state.is_final() && job.stored_changes == job.change_count && idle() {
            self.remove_job(key);
        }
    }

    /// Removes a job that has ended, is stored and has no runs.
    pub(super) fn remove_job(&mut self, key: JobKey) {
        if let Some(job) = self.jobs.remove(key) {
            self.job_ids.remove(&job.id);
            self.history.add(job.id, job.ended_ms);
        }
    }

    /// Takes the ids of up to `limit` ended jobs whose retention time is over.
    pub fn take_outdated(&mut self, wall_ms: u64, limit: usize) -> Vec<Arc<str>> {
        let retention_ms = u64::try_from(self.tuning.retention.as_millis()).unwrap_or(u64::MAX);
        self.history
            .take_before(wall_ms.saturating_sub(retention_ms), limit)
    }

    /// Returns the position up to which the ends of a worker may be acknowledged, because their
    /// effects are stored.
    pub fn acknowledged(&mut self, key: WorkerKey) -> u64 {
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
        // A new process numbers its ends anew and would forget some that were not read yet.
        if worker.profile.born_ms > worker.born_ms {
            return 0;
        }
        worker.acknowledged_position
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

    /// Returns whether a worker must be polled: it has runs, has ends to acknowledge, has not
    /// answered this leader yet or did not answer the last call.
    pub fn needs_poll(&self, key: WorkerKey) -> bool {
        self.workers.get(key).is_some_and(|w| {
            !w.runs.is_empty()
                || w.acknowledged_position < w.last_end_position
                || ((w.answered_at.is_none() || w.unreachable) && !w.delisted)
                || self.uncontacted.contains_key(&w.profile.id)
        })
    }

    /// Returns the time since a worker last answered.
    pub fn time_since_answer(&self, key: WorkerKey, now: Instant) -> Duration {
        let answered_at = self.workers.get(key).and_then(|worker| worker.answered_at);
        answered_at.map_or(Duration::MAX, |at| now.since(at))
    }

    /// Returns whether a worker must answer a poll before tasks are started on it. After its last
    /// answer a whole lease has passed, so its process may not answer any more or may have been
    /// replaced.
    pub fn must_answer_before_start(&self, key: WorkerKey, now: Instant) -> bool {
        let reachable = self.workers.get(key).is_some_and(|w| !w.unreachable);
        reachable && self.time_since_answer(key, now) > self.lease()
    }

    /// Returns whether a worker answered the last call.
    pub fn answers(&self, key: WorkerKey) -> bool {
        let worker = self.workers.get(key);
        worker.is_some_and(|w| w.answered_at.is_some() && !w.unreachable)
    }

    /// Returns whether a worker lists an end whose effects are not stored yet.
    pub fn has_unstored_ends(&self, key: WorkerKey) -> bool {
        self.workers
            .get(key)
            .is_some_and(|w| !w.unstored_ends.is_empty())
    }

    /// Grants a lease from `now` and returns its deadline on the worker's clock. Returns `None`
    /// while that clock is unknown, or while the worker does not answer or the stored list shows it
    /// as silent: its runs are given up when the leases granted before have expired.
    pub fn grant_lease(&mut self, key: WorkerKey, now: Instant) -> Option<u64> {
        let expiry = now + self.lease_expiry();
        let lease_ms = u64::try_from(self.lease().as_millis()).unwrap_or(u64::MAX / 2);
        if self.is_reported_silent(self.workers.get(key)?) {
            return None;
        }
        let worker = self.workers.get_mut(key).filter(|w| !w.unreachable)?;
        let clock_ms = worker.clock_ms(now)?;
        worker.lease_until = worker.lease_until.max(expiry);
        Some(clock_ms + lease_ms)
    }
}
