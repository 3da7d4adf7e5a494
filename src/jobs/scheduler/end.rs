use std::time::Duration;

use super::Scheduler;
use crate::clock::Instant;
use crate::jobs::{Action, Job, JobId, Outcome, Reason, Size, Standing, State, WorkerId};

impl Scheduler {
    /// Records how a run ended. Returns false if the run is not the current one, for example in a
    /// late report from a worker whose lease had expired.
    pub fn run_ended(&mut self, id: JobId, run: u32, outcome: Outcome, now: Instant) -> bool {
        let is_current = |job: &&Job| job.run == run && job.worker.is_some();
        let Some(job) = self.jobs.get(id.0).filter(is_current) else {
            return false;
        };
        let reason = job.stopping.map_or(Reason::Moved, |(reason, _)| reason);
        let cancelled = job.state == State::Cancelled;
        let Some(worker) = self.release(id) else {
            return false;
        };
        match outcome {
            _ if cancelled => self.quarantine.forget(id),
            Outcome::Succeeded => {
                self.jobs[id.0].transition(State::Succeeded, Reason::Completed);
                for (changed, standing) in self.quarantine.record_success(id, worker, now) {
                    self.apply_standing(changed, standing);
                }
            }
            Outcome::Failed => self.handle_failure(id, worker, now),
            Outcome::Checkpointed => {
                self.jobs[id.0].transition(State::Checkpointed, reason);
                self.enqueue(id, true);
            }
            Outcome::Stopped => self.handle_loss(id, now),
        }
        true
    }

    /// Cancels a job. If the job may be on a worker, returns the request to stop it; its resources
    /// stay reserved until the worker reports the end of the run.
    ///
    /// # Errors
    ///
    /// The final state of a job that had already ended; [`State::Refused`] for an unknown job.
    pub fn cancel(&mut self, id: JobId) -> Result<Option<Action>, State> {
        let Some(job) = self.jobs.get(id.0) else {
            return Err(State::Refused);
        };
        let (before, run, worker) = (job.state, job.run, job.worker);
        if before.is_final() {
            return Err(before);
        }
        if before.is_waiting() {
            self.dequeue(id);
            self.remove_earmark(id);
            self.quarantine.forget(id);
        }
        self.jobs[id.0].transition(State::Cancelled, Reason::ByCaller);
        if before.is_waiting() {
            self.remove_cancelled(id);
        }
        Ok(worker.map(|worker| Action::Stop {
            job: id,
            run,
            worker,
        }))
    }

    /// Records that the lease of a worker has expired, so that no run goes on there. Returns its
    /// jobs, which return to the queue.
    pub fn worker_lost(&mut self, worker: WorkerId, now: Instant) -> Vec<JobId> {
        self.placement.set_standing(worker, Standing::Lost);
        let jobs = self.jobs_by_worker[worker.index()].clone();
        for id in &jobs {
            self.release(*id);
            if self.jobs[id.0].state == State::Cancelled {
                self.quarantine.forget(*id);
            } else {
                self.handle_loss(*id, now);
            }
        }
        jobs
    }

    /// Records the usage of a run, measured when the run was `age` old, and adapts the
    /// reservation. Returns a request to checkpoint the job if its worker has too little room for
    /// it.
    pub fn report_usage(
        &mut self,
        id: JobId,
        run: u32,
        used: Size,
        age: Duration,
        now: Instant,
    ) -> Option<Action> {
        let job = self.jobs.get(id.0)?;
        if !self.tuning.policy.learns() || job.run != run || job.state != State::Running {
            return None;
        }
        let (spec, old, worker) = (job.spec, job.charge, job.worker?);
        self.sizing
            .observe(spec.workspace, spec.kind, used, age, now);
        if !self.sizing.has_learned(spec.workspace, spec.kind)
            || job.throttled_processors > 0
            || job.stopping.is_some()
        {
            return None;
        }
        let estimate = self.reservation_size(&spec);
        let is_close = |a: u64, b: u64| a.abs_diff(b) * 10 <= b;
        if is_close(estimate.processors, old.processors) && is_close(estimate.memory, old.memory) {
            return None;
        }
        let available = old + self.placement.worker(worker).free();
        let new = estimate.min(available);
        self.jobs[id.0].charge = new;
        self.placement.resize(worker, old, new);
        self.fairness.resize(spec.workspace, old, new);
        if !new.covers(old) {
            self.clear_stalled();
        }
        // A job that uses more than 1.5 times its reservation harms the other jobs on the worker
        // more than it costs to move it.
        let outgrown = |estimate: u64, reserved: u64| estimate * 2 > reserved * 3;
        (outgrown(estimate.processors, new.processors) || outgrown(estimate.memory, new.memory))
            .then(|| self.request_checkpoint(id, Reason::Outgrown, now))
            .flatten()
    }

    /// Removes cancelled jobs from a workspace queue once they are more than about half of it.
    /// Otherwise a caller that submits and cancels jobs behind one that does not fit would make it
    /// grow without bound. A cancelled urgent job is removed at once.
    fn remove_cancelled(&mut self, id: JobId) {
        if self.jobs[id.0].spec.urgent && self.tuning.policy.is_fair() {
            self.urgent.retain(|other| *other != id);
            return;
        }
        let queue = self.queue_index(self.jobs[id.0].spec.workspace);
        self.cancelled_counts[queue] += 1;
        if self.cancelled_counts[queue] * 2 > self.workspace_queues[queue].len() + 64 {
            let mut ids = std::mem::take(&mut self.workspace_queues[queue]);
            ids.retain(|id| self.is_ready(*id));
            self.workspace_queues[queue] = ids;
            self.cancelled_counts[queue] = 0;
        }
    }

    /// Releases the reservation of a job. Returns its worker, or `None` if it has no reservation.
    pub(super) fn release(&mut self, id: JobId) -> Option<WorkerId> {
        let job = &mut self.jobs[id.0];
        let worker = job.worker.take()?;
        let (workspace, size, placed) = (job.spec.workspace, job.charge, job.placed);
        if job.stopping.take().is_some() {
            let releasing = &mut self.releasing[workspace.index()];
            *releasing = *releasing - self.fairness.charged_size(size);
        }
        if job.throttled_processors > 0 {
            job.throttled_processors = 0;
            self.throttled_jobs.retain(|j| *j != id);
        }
        self.placement.release(worker, workspace, size);
        self.fairness.remove_running(workspace, size);
        self.placed_by_workspace[workspace.index()].remove(&(placed, id));
        self.jobs_by_worker[worker.index()].retain(|j| *j != id);
        self.clear_stalled();
        Some(worker)
    }

    /// Delays a job after a failure, or gives it up. The failure counts against the job only if
    /// the worker is credible, else as a lost run.
    fn handle_failure(&mut self, id: JobId, worker: WorkerId, now: Instant) {
        let credible = self.quarantine.is_credible(worker);
        let worker_count = self.jobs_by_worker.len();
        if let Some(standing) = self
            .quarantine
            .record_failure(id, worker, worker_count, now)
        {
            self.apply_standing(worker, standing);
        }
        let job = &mut self.jobs[id.0];
        if !job.failed_on.contains(&worker) && job.failed_on.len() < Job::MAX_FAILED_ON {
            job.failed_on.push(worker);
        }
        if credible {
            job.failures += 1;
        } else {
            job.losses += 1;
        }
        let failed_on = job.failed_on.iter();
        let credible_workers = failed_on
            .filter(|w| self.quarantine.is_credible(**w))
            .count();
        let job = &mut self.jobs[id.0];
        if credible_workers >= self.retry.max_failed_workers {
            job.transition(State::Failed, Reason::FailsEverywhere);
        } else if job.failures >= self.retry.max_failures || job.losses >= self.retry.max_losses {
            job.transition(State::Failed, Reason::AttemptsExhausted);
        } else {
            job.transition(State::Queued, Reason::Retried);
            let due = now + self.retry.delay(job.failures.max(1), id);
            job.delayed_until = Some(due);
            self.delayed.insert((due, id));
            return;
        }
        self.quarantine.forget(id);
    }

    /// Queues a job again after its run was lost, or gives it up.
    fn handle_loss(&mut self, id: JobId, now: Instant) {
        let job = &mut self.jobs[id.0];
        job.losses += 1;
        if job.losses >= self.retry.max_losses {
            job.transition(State::Failed, Reason::AttemptsExhausted);
            self.quarantine.forget(id);
        } else {
            job.transition(State::Queued, Reason::WorkerLost);
            job.placed = now;
            self.enqueue(id, true);
        }
    }

    /// Sets the standing of a worker unless it is leaving or lost.
    fn apply_standing(&mut self, worker: WorkerId, standing: Standing) {
        let current = self.placement.worker(worker).standing;
        if !matches!(current, Standing::Leaving | Standing::Lost) {
            self.placement.set_standing(worker, standing);
            self.clear_stalled();
        }
    }
}
