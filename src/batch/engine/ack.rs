use std::sync::Arc;
use std::time::Duration;

use super::{Engine, Worker};
use crate::batch::{JobKey, Progress, WorkerKey};
use crate::clock::Instant;

impl Engine {
    /// Returns whether there are changes to store: `None` if there are none, otherwise whether a
    /// caller waits for one of them.
    pub fn unstored(&self) -> Option<bool> {
        let urgent = |key: &JobKey| self.jobs.get(*key).is_some_and(|j| j.urgent);
        (!self.dirty.is_empty()).then(|| self.dirty.iter().any(urgent))
    }

    /// Queues all changes again that are not confirmed as stored.
    pub fn mark_unstored(&mut self) {
        for (key, job) in &mut self.jobs {
            if job.stored < job.changes && !std::mem::replace(&mut job.dirty, true) {
                self.dirty.push(key);
            }
        }
    }

    /// Takes up to `limit` jobs to store for which `part` holds: key, id, change number and
    /// progress.
    pub fn take_unstored(
        &mut self,
        limit: usize,
        part: impl Fn(&str) -> bool,
    ) -> Vec<(JobKey, Arc<str>, u64, Progress)> {
        let mut rows = Vec::new();
        let mut rest = Vec::new();
        for key in std::mem::take(&mut self.dirty) {
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            if rows.len() >= limit || !part(&job.id) {
                rest.push(key);
                continue;
            }
            (job.dirty, job.urgent) = (false, false);
            rows.push((key, job.id.clone(), job.changes, job.progress()));
        }
        self.dirty = rest;
        rows
    }

    /// Records that a change of a job is stored.
    pub fn stored(&mut self, key: JobKey, change: u64) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.stored = job.stored.max(change);
        let idle = || {
            let stages = job.rounds.iter().flat_map(|r| &r.stages);
            stages.flat_map(|s| &s.tasks).all(|t| t.runs.is_empty())
        };
        if job.state.is_final() && job.stored == job.changes && idle() {
            self.forget(key);
        }
    }

    /// Removes a job that has ended, is stored and has no runs.
    pub(super) fn forget(&mut self, key: JobKey) {
        if let Some(job) = self.jobs.remove(key) {
            self.ids.remove(&job.id);
            self.past.add(job.id, job.ended_ms);
        }
    }

    /// Takes the ids of up to `limit` ended jobs whose retention time is over.
    pub fn take_outdated(&mut self, wall_ms: u64, limit: usize) -> Vec<Arc<str>> {
        let kept = u64::try_from(self.tuning.kept.as_millis()).unwrap_or(u64::MAX);
        self.past.take_before(wall_ms.saturating_sub(kept), limit)
    }

    /// Returns the position up to which the ends of a worker may be acknowledged, because their
    /// effects are stored.
    pub fn acknowledged(&mut self, key: WorkerKey) -> u64 {
        let Some(worker) = self.workers.get_mut(key) else {
            return 0;
        };
        let jobs = &self.jobs;
        let is_stored = |job: JobKey, change: u64| jobs.get(job).is_none_or(|j| j.stored >= change);
        worker
            .unstored
            .retain(|(_, job, change)| !is_stored(*job, *change));
        let open = worker.unstored.iter().map(|(position, ..)| position - 1);
        worker.acknowledged = open.min().unwrap_or(worker.seen);
        worker.acknowledged
    }

    /// Returns whether all effects of the ends listed by a worker are stored.
    pub(super) fn has_stored_ends(&self, worker: &Worker) -> bool {
        let is_stored = |(_, job, change): &(u64, JobKey, u64)| {
            self.jobs.get(*job).is_none_or(|job| job.stored >= *change)
        };
        worker.unstored.iter().all(is_stored)
    }

    /// Returns whether a worker must be polled: it has runs, has ends to acknowledge, or has not
    /// answered this leader yet.
    pub fn wants_look(&self, key: WorkerKey) -> bool {
        self.workers.get(key).is_some_and(|w| {
            !w.runs.is_empty()
                || w.acknowledged < w.seen
                || (w.heard.is_none() && !w.gone)
                || self.unheard.contains_key(&w.offer.id)
        })
    }

    /// Returns the time since a worker last answered.
    pub fn heard(&self, key: WorkerKey, now: Instant) -> Duration {
        let heard = self.workers.get(key).and_then(|worker| worker.heard);
        heard.map_or(Duration::MAX, |at| now.since(at))
    }

    /// Returns whether a worker lists an end whose effects are not stored yet.
    pub fn has_unstored_ends(&self, key: WorkerKey) -> bool {
        self.workers
            .get(key)
            .is_some_and(|w| !w.unstored.is_empty())
    }

    /// Grants a lease from `now` and returns its deadline on the worker's clock. Returns `None`
    /// while that clock is unknown, or while the worker does not answer: its runs are given up when
    /// the leases granted before have expired.
    pub fn grant(&mut self, key: WorkerKey, now: Instant) -> Option<u64> {
        let until = now + self.lapse();
        let lease = u64::try_from(self.lease().as_millis()).unwrap_or(u64::MAX / 2);
        let worker = self.workers.get_mut(key).filter(|w| !w.failing)?;
        let clock = worker.clock_ms(now)?;
        worker.lease_until = worker.lease_until.max(until);
        Some(clock + lease)
    }
}
