use std::sync::Arc;
use std::time::Duration;

use super::{Engine, Job, Occurrence, StageKey, Worker};
use crate::batch::{JobKey, Profile, Progress, Ranges, Record, State, WorkerKey};
use crate::clock::Instant;
use crate::collections::Set;

/// Fraction of the longest lease that is granted. 4.2 s of 6 s cover a takeover, which takes 2.3 s
/// from the last renewal, and a poll that was answered a second before.
const LEASE_FRACTION: f64 = 0.7;

/// Unfinished tasks of a scheduled job at which its next occurrence waits. Billions of occurrences
/// can be due at once; each takes memory and time in every scheduling round.
const MAX_UNFINISHED_TASKS: usize = 1_000;

/// Number of occurrences of a job that a previous leader may have begun beyond the stored ones.
const MAX_INHERITED_OCCURRENCES: u32 = 10_000;

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
        if self.job_ids.contains_key(id) || self.history.contains(id) {
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
            priority: 0,
            max_attempts: u32::MAX,
            objective: Duration::ZERO,
            occurrences: Vec::new(),
            next_occurrence: 0,
            complete_occurrences: Ranges::default(),
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
        let key = self.jobs.insert(job);
        self.job_ids.insert(id.clone(), key);
        self.apply_route(key);
        if !inherited {
            self.count_arrival(key, now);
        }
        self.restore_progress(key, &progress);
        self.complete_if_done(key, wall_ms, now);
    }

    /// Returns the lease granted by an order. It is shorter than workers allow, so that the work of
    /// an unreachable worker restarts elsewhere sooner, and longer than a takeover takes.
    pub(super) fn lease(&self) -> Duration {
        self.tuning.lease.mul_f64(LEASE_FRACTION)
    }

    /// Returns the longest time from an order until the lease granted by it has expired.
    pub(super) fn lease_expiry(&self) -> Duration {
        expiry_of_lease(self.lease())
    }

    /// Returns the longest time from an order of another leader until the lease granted by it has
    /// expired; other leaders may grant longer leases.
    pub(super) fn longest_lease_expiry(&self) -> Duration {
        expiry_of_lease(self.tuning.lease)
    }

    /// Cancels a job on behalf of its caller.
    pub fn cancel_job(&mut self, id: &Arc<str>, wall_ms: u64, now: Instant) {
        if let Some(&key) = self.job_ids.get(id) {
            self.finish_job(key, State::Cancelled, wall_ms, now);
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

    /// Sets the workers listed in the store.
    pub fn set_workers(&mut self, profiles: Vec<Profile>) {
        let listed: Set<Arc<str>> = profiles.iter().map(|p| p.id.clone()).collect();
        for worker in self.workers.values_mut() {
            worker.set_delisted(!listed.contains(&worker.profile.id));
        }
        profiles.into_iter().for_each(|profile| {
            self.update_worker(profile);
        });
    }

    /// Adds a worker, or updates what it reports about itself.
    pub fn update_worker(&mut self, profile: Profile) -> WorkerKey {
        if let Some(&key) = self.worker_ids.get(&profile.id) {
            let worker = &mut self.workers[key];
            worker.set_delisted(false);
            worker.profile = profile;
            self.update_membership(key);
            return key;
        }
        let id = profile.id.clone();
        let key = self.workers.insert(Worker::new(profile));
        self.worker_ids.insert(id, key);
        self.update_membership(key);
        key
    }

    /// Records that the store no longer lists a worker.
    pub fn mark_delisted(&mut self, id: &str) {
        if let Some(&key) = self.worker_ids.get(id) {
            self.workers[key].set_delisted(true);
        }
    }

    /// Returns the workers to contact: key, id and address.
    pub fn worker_addresses(&self) -> Vec<(WorkerKey, Arc<str>, Arc<str>)> {
        let contact =
            |(key, w): (WorkerKey, &Worker)| (key, w.profile.id.clone(), w.profile.address.clone());
        self.workers.iter().map(contact).collect()
    }

    /// Applies the current configuration of its queue to a job.
    pub(super) fn apply_route(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let Some(route) = self.config.route_named(&job.record.route) else {
            return;
        };
        let critical_path = job.record.spec.critical_path();
        job.priority = route.priority;
        job.max_attempts = route.max_attempts.max(1);
        job.objective = critical_path.mul_f64(route.stretch.max(1.0)) + route.allowance;
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

    /// Creates the occurrences that have begun, and restores the stored progress of their tasks.
    fn restore_progress(&mut self, key: JobKey, progress: &Progress) {
        let job = &mut self.jobs[key];
        if job.record.spec.occurrences == 0 {
            job.occurrences.push(Occurrence::new(0, &job.record.spec));
            job.next_occurrence = 1;
        } else {
            let done = progress.done_tasks().map(|(occurrence, ..)| occurrence);
            let failed = progress.failed.iter().map(|(occurrence, ..)| *occurrence);
            let begun = done.chain(failed).chain(progress.complete.last()).max();
            job.next_occurrence = begun.map_or(0, |last| last + 1);
            for number in (0..job.next_occurrence).filter(|n| !progress.complete.contains(*n)) {
                job.occurrences
                    .push(Occurrence::new(number, &job.record.spec));
            }
        }
        for (number, step, index) in progress.done_tasks() {
            let occurrence = job.occurrences.iter_mut().find(|o| o.number == number);
            let stage = occurrence.and_then(|o| o.stages.get_mut(step as usize));
            if let Some(stage) = stage
                && let Some(task) = stage.tasks.get_mut(index as usize)
                && !task.done
            {
                task.done = true;
                stage.unfinished -= 1;
            }
        }
        for (number, step, index, failures) in &progress.failed {
            let occurrence = job.occurrences.iter_mut().find(|o| o.number == *number);
            let stage = occurrence.and_then(|o| o.stages.get_mut(*step as usize));
            if let Some(task) = stage.and_then(|s| s.tasks.get_mut(*index as usize)) {
                task.failures.clone_from(failures);
            }
        }
        if job.record.spec.occurrences > 0 {
            let complete = job.occurrences.extract_if(.., |o| o.is_complete());
            let complete = complete.map(|o| o.number);
            job.complete_occurrences = progress.complete.iter().chain(complete).collect();
        }
        self.mark_ready_stages(key);
    }

    /// Begins the occurrences that are due, as far as their jobs may have further unfinished tasks.
    pub(super) fn begin_due_occurrences(&mut self, wall_ms: u64) {
        let is_due = |job: &Job| job.is_occurrence_due(wall_ms);
        let keys: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_, j)| is_due(j))
            .map(|(k, _)| k)
            .collect();
        self.submissions.remove_old(wall_ms);
        for key in keys {
            let job = &mut self.jobs[key];
            let mut unfinished = job.unfinished_tasks();
            while unfinished < MAX_UNFINISHED_TASKS && job.is_occurrence_due(wall_ms) {
                let occurrence = Occurrence::new(job.next_occurrence, &job.record.spec);
                unfinished += occurrence.unfinished_tasks();
                job.occurrences.push(occurrence);
                job.next_occurrence += 1;
            }
            self.mark_ready_stages(key);
        }
    }

    /// Begins the occurrences of a job up to one of which a worker lists a run. The previous leader
    /// began it, by a clock that may be ahead of the present one.
    pub(super) fn begin_occurrences_until(&mut self, key: JobKey, number: u32) {
        let job = &mut self.jobs[key];
        let is_possible = number < job.record.spec.occurrence_count()
            && number.saturating_sub(job.next_occurrence) < MAX_INHERITED_OCCURRENCES;
        if job.state.is_final() || !is_possible || number < job.next_occurrence {
            return;
        }
        for next in job.next_occurrence..=number {
            let occurrence = Occurrence::new(next, &job.record.spec);
            job.occurrences.push(occurrence);
        }
        job.next_occurrence = number + 1;
        self.mark_ready_stages(key);
    }

    /// Marks the stages as ready whose dependencies are complete.
    pub(super) fn mark_ready_stages(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        for occurrence in &mut job.occurrences {
            let unfinished: Vec<usize> = occurrence.stages.iter().map(|s| s.unfinished).collect();
            for (position, stage) in occurrence.stages.iter_mut().enumerate() {
                let after = &job.record.spec.steps[position].after;
                let dependencies_complete = after.iter().all(|s| unfinished[*s as usize] == 0);
                if stage.ready || stage.unfinished == 0 || !dependencies_complete {
                    continue;
                }
                stage.ready = true;
                let step = u32::try_from(position).expect("the number of steps fits in a u32");
                let stage_key = StageKey {
                    job: key,
                    occurrence: occurrence.number,
                    step,
                };
                self.ready_stages
                    .entry(job.service.clone())
                    .or_default()
                    .push(stage_key);
            }
        }
    }
}

/// Returns the longest time until a lease has expired. The worker's clock may be slow by 2%; the
/// rest covers the transmission of the order.
fn expiry_of_lease(lease: Duration) -> Duration {
    lease.mul_f64(1.025) + Duration::from_millis(300)
}
