use std::time::Duration;

use super::{Engine, StageKey, Worker};
use crate::batch::{End, Ended, JobKey, RunKey, State, WorkerKey};
use crate::clock::Instant;
use crate::telemetry;

/// Number of different jobs that fail in a row on a worker before it is shunned.
const SHUN_AFTER_FAILED_JOBS: usize = 3;

/// Time for which a shunned worker gets no starts.
const SHUN_FOR: Duration = Duration::from_secs(6);

/// Divisor for the workers of a service that may be shunned at once: a third of them. When jobs fail
/// on more workers than that, the jobs are at fault.
const MAX_SHUNNED_DIVISOR: usize = 3;

/// Time after an exclusion in which a worker is not shunned again. It covers a scheduling round, so
/// that waiting tasks get the worker even if another task fails on it in that moment.
const MIN_TIME_BETWEEN_SHUNS: Duration = Duration::from_millis(200);

/// Delay before a failed task runs again.
const RETRY_AFTER: Duration = Duration::from_millis(50);

impl Engine {
    /// Processes the end of a run listed by a worker.
    pub(super) fn process_end(
        &mut self,
        worker: WorkerKey,
        ended: &Ended,
        wall_ms: u64,
        now: Instant,
    ) {
        let Some(&job) = self.job_ids.get(&ended.task.job) else {
            return;
        };
        self.begin_occurrences_until(job, ended.task.occurrence);
        self.apply_end(job, worker, ended, wall_ms, now);
        self.defer_acknowledgement(job, worker, ended.position);
    }

    /// Keeps an end from being acknowledged until all changes of its job are stored. The end may
    /// have changed nothing because it, or another run of its task, was processed before.
    fn defer_acknowledgement(&mut self, job: JobKey, worker: WorkerKey, position: u64) {
        let Some(job_state) = self.jobs.get(job) else {
            return;
        };
        let change = job_state.change_count;
        if job_state.stored_changes < change
            && let Some(worker) = self.workers.get_mut(worker)
        {
            worker.unstored_ends.push((position, job, change));
        }
    }

    fn apply_end(
        &mut self,
        job: JobKey,
        worker: WorkerKey,
        ended: &Ended,
        wall_ms: u64,
        now: Instant,
    ) {
        let run = self.find_run(worker, ended);
        let released = run.and_then(|r| self.remove_run(r));
        let lasting = released.as_ref().is_some_and(|r| r.lasting);
        if ended.how == End::Done
            && let Some(run) = &released
        {
            self.learn(run, now);
        }
        self.mark_started(job);
        let Some(task) = self.task_mut(job, &ended.task) else {
            return;
        };
        if !ended.saved.is_empty() {
            task.saved = Some(ended.saved.clone());
        }
        task.number = task.number.max(ended.number);
        match ended.how {
            End::Done if !lasting => self.record_success(job, ended, wall_ms, now),
            End::Done => {}
            End::Failed => self.record_failure(job, worker, ended, wall_ms, now),
            End::Stopped | End::Lapsed | End::Broken | End::Alone => {}
        }
        if ended.how == End::Done
            && let Some(worker) = self.workers.get_mut(worker)
        {
            worker.failed_jobs.clear();
        }
    }

    fn find_run(&self, worker: WorkerKey, ended: &Ended) -> Option<RunKey> {
        let runs = &self.workers.get(worker)?.runs;
        let is_same_run = |run: &&RunKey| {
            let run = &self.runs[**run];
            run.number == ended.number && run.task == ended.task
        };
        runs.iter().find(is_same_run).copied()
    }

    fn record_success(&mut self, key: JobKey, ended: &Ended, wall_ms: u64, now: Instant) {
        let id = &ended.task;
        let job = &self.jobs[key];
        let Some(step) = job.record.spec.steps.get(id.step as usize) else {
            return;
        };
        if job.state.is_final() || step.lasting {
            return;
        }
        let whole_gang = step.gang;
        let stage_key = StageKey {
            job: key,
            occurrence: id.occurrence,
            step: id.step,
        };
        let Some(stage) = self.stage_mut(stage_key) else {
            return;
        };
        let mut other_runs = Vec::new();
        for (index, task) in (0..).zip(&mut stage.tasks) {
            if (whole_gang || index == id.index) && !task.done {
                task.done = true;
                stage.unfinished -= 1;
                other_runs.extend(task.runs.iter().copied());
            }
        }
        let complete = stage.unfinished == 0;
        self.count_completion(key, id.step as usize, now);
        if !whole_gang {
            other_runs
                .into_iter()
                .for_each(|run| self.stop_run(run, now));
        }
        self.mark_changed(key, false);
        if complete {
            self.remove_ready_stage(stage_key);
            self.mark_ready_stages(key, Some(wall_ms));
            self.complete_if_done(key, wall_ms, now);
        }
    }

    fn record_failure(
        &mut self,
        key: JobKey,
        worker: WorkerKey,
        ended: &Ended,
        wall_ms: u64,
        now: Instant,
    ) {
        self.count_failure(worker, key, now);
        let job = &self.jobs[key];
        let limit = job.terms.max_attempts;
        let lasting = (job.record.spec.steps)
            .get(ended.task.step as usize)
            .is_some_and(|step| step.lasting);
        let Some(task) = self.task_mut(key, &ended.task) else {
            return;
        };
        if task.done || task.failures.contains(&ended.number) {
            return;
        }
        task.not_before = now + RETRY_AFTER;
        task.avoid(worker);
        if lasting {
            return;
        }
        task.failures.push(ended.number);
        let failures = task.failures.len();
        let exhausted = failures >= limit as usize;
        log::info!(event = "task-failed", job = ended.task.job, step = ended.task.step,
            index = ended.task.index, run = ended.number, failures, limit; "");
        self.mark_changed(key, false);
        if exhausted {
            self.finish_job(key, State::Failed, wall_ms, now);
        }
    }

    /// Counts a failure against a worker, and shuns it after failures of several different jobs in
    /// a row.
    pub(super) fn count_failure(&mut self, key: WorkerKey, job: JobKey, now: Instant) {
        let may_shun_more = self.may_shun_more(key, now);
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if !worker.failed_jobs.contains(&job) {
            worker.failed_jobs.push(job);
        }
        let may_be_shunned = worker.shunned_until + MIN_TIME_BETWEEN_SHUNS <= now;
        if worker.failed_jobs.len() >= SHUN_AFTER_FAILED_JOBS && may_be_shunned && may_shun_more {
            worker.shunned_until = now + SHUN_FOR;
            log::warn!(event = "worker-excluded", worker = worker.profile.id,
                failed_jobs = worker.failed_jobs.len(), seconds = SHUN_FOR.as_secs(); "");
        }
    }

    /// Returns whether few enough workers of the service of a worker are shunned to shun one more.
    fn may_shun_more(&self, key: WorkerKey, now: Instant) -> bool {
        let Some(worker) = self.workers.get(key) else {
            return false;
        };
        let workers = self.workers_of(&worker.profile.service);
        let workers = workers.map(|(_, worker)| worker).filter(|w| !w.delisted);
        let (shunned, count) = workers.fold((0, 0), |(shunned, count), worker| {
            (shunned + usize::from(worker.shunned_until > now), count + 1)
        });
        shunned * MAX_SHUNNED_DIVISOR < count
    }

    /// Completes a job once all its occurrences are complete.
    pub(super) fn complete_if_done(&mut self, key: JobKey, wall_ms: u64, now: Instant) {
        let job = &mut self.jobs[key];
        if job.record.spec.occurrences > 0 {
            let complete = job.occurrences.extract_if(.., |o| o.is_complete());
            complete.for_each(|o| job.complete_occurrences.insert(o.number));
        }
        let all_begun = job.next_occurrence >= job.record.spec.occurrence_count();
        if all_begun && job.occurrences.iter().all(super::Occurrence::is_complete) {
            self.finish_job(key, State::Completed, wall_ms, now);
        }
    }

    /// Moves a job to a final state and stops its runs.
    pub(super) fn finish_job(&mut self, key: JobKey, state: State, wall_ms: u64, now: Instant) {
        let job = &mut self.jobs[key];
        if job.state.is_final() {
            return;
        }
        (job.state, job.ended_ms) = (state, wall_ms);
        log::info!(event = "job-ended", job = job.id, state:% = state, route = job.record.route,
            workspace = job.record.workspace, after_ms = wall_ms.saturating_sub(job.record.arrived_ms),
            objective_ms = job.terms.objective.as_millis(); "");
        let took = Duration::from_millis(wall_ms.saturating_sub(job.record.arrived_ms));
        telemetry::count_job(
            &job.record.route,
            &job.record.workspace,
            state.into(),
            took,
            took <= job.terms.objective,
        );
        let tasks = job
            .occurrences
            .iter()
            .flat_map(|o| &o.stages)
            .flat_map(|s| &s.tasks);
        let runs: Vec<RunKey> = tasks.flat_map(|t| &t.runs).copied().collect();
        let service = job.service.clone();
        runs.into_iter().for_each(|run| self.stop_run(run, now));
        if let Some(stages) = self.ready_stages.get_mut(&service) {
            stages.retain(|stage_key| stage_key.job != key);
        }
        self.mark_changed(key, true);
    }

    fn remove_ready_stage(&mut self, stage_key: StageKey) {
        let service = self.jobs[stage_key.job].service.clone();
        if let Some(stages) = self.ready_stages.get_mut(&service) {
            stages.retain(|other| *other != stage_key);
        }
    }

    /// Marks a job as changed, so that it is stored; `urgent` if callers wait for it.
    pub(super) fn mark_changed(&mut self, key: JobKey, urgent: bool) {
        let job = &mut self.jobs[key];
        job.change_count += 1;
        job.urgent |= urgent;
        if !std::mem::replace(&mut job.dirty, true) {
            self.dirty.push(key);
        }
    }

    /// Releases all runs of a worker whose lease has expired or whose process has ended.
    pub(super) fn lose_runs(&mut self, key: WorkerKey, reason: &str) {
        self.set_unwanted(key, Vec::new());
        let runs = self.workers.get(key).map(|w: &Worker| w.runs.clone());
        let runs = runs.unwrap_or_default();
        if runs.is_empty() {
            return;
        }
        let id = &self.workers[key].profile.id;
        log::warn!(event = "runs-released", worker = id, runs = runs.len(), reason; "");
        for run in runs {
            self.remove_run(run);
        }
    }
}
