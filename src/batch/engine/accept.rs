use std::sync::Arc;

use super::{Engine, Job, StageKey};
use crate::batch::{JobKey, Progress, Ranges, Record, State};
use crate::clock::Instant;

impl Engine {
    /// Loads a stored job. A job that is known already, or has ended, stays unchanged: what was
    /// read of it may be older than what this engine has stored since.
    pub fn load_job(
        &mut self,
        id: &Arc<str>,
        record: Record,
        progress: Option<Progress>,
        wall_ms: u64,
        now: Instant,
    ) {
        let cancelled = self.history.take_cancelled(id);
        if self.job_ids.contains_key(id) || (self.history.contains(id) && !cancelled) {
            return;
        }
        let inherited = progress.is_some();
        let progress = progress.unwrap_or_default();
        if progress.state.is_final() {
            self.history.add(id.clone(), progress.ended_ms);
            return;
        }
        let weight = self.config.workspaces.get(&record.workspace);
        let weight = weight.map_or(0, |workspace| workspace.weight);
        let over_rate = self
            .submissions
            .count(&record.workspace, weight, record.arrived_ms);
        let job = Job {
            id: id.clone(),
            over_rate,
            service: record.service.clone(),
            terms: record.terms,
            stretch: None,
            occurrences: Vec::new(),
            next_occurrence: 0,
            complete_occurrences: Ranges::default(),
            run_count: 0,
            state: progress.state,
            ended_ms: 0,
            change_count: 0,
            stored_changes: 0,
            urgent: false,
            dirty: false,
            inherited,
            record,
            known_since: now,
        };
        self.job_memory.add(Self::memory_of(&job.record.spec));
        let key = self.jobs.insert(job);
        self.job_ids.insert(id.clone(), key);
        self.apply_route(key);
        if !inherited {
            self.count_arrival(key, now);
        }
        self.restore_progress(key, &progress);
        self.complete_if_done(key, wall_ms, now);
        if cancelled {
            self.finish_job(key, State::Cancelled, wall_ms, now);
        }
    }

    /// Cancels a job on behalf of its caller. One that is not known yet is cancelled when it is.
    pub fn cancel_job(&mut self, id: &Arc<str>, wall_ms: u64, now: Instant) {
        match self.job_ids.get(id) {
            Some(&key) => self.finish_job(key, State::Cancelled, wall_ms, now),
            None => self.history.add_cancelled(id, wall_ms),
        }
    }

    /// Returns the state of a job in progress. A final state is reported as running until it is
    /// stored.
    pub fn state(&self, id: &Arc<str>) -> Option<State> {
        let job = self.jobs.get(*self.job_ids.get(id)?)?;
        Some(
            if job.stored_changes == job.change_count || !job.state.is_final() {
                job.state
            } else {
                State::Running
            },
        )
    }

    /// Applies the current configuration of its queue to a job.
    pub(super) fn apply_route(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let Some(route) = self.config.route_named(&job.record.route) else {
            return;
        };
        job.terms = route.terms(&job.record.spec);
        job.stretch = Some(route.stretch());
        if job.service == route.service {
            return;
        }
        let old = std::mem::replace(&mut job.service, route.service.clone());
        if let Some(stages) = self.ready_stages.get_mut(&old) {
            let moved: Vec<StageKey> = stages.extract_if(.., |s| s.job == key).collect();
            let service = self.jobs[key].service.clone();
            self.ready_stages.entry(service).or_default().extend(moved);
        }
    }
}
