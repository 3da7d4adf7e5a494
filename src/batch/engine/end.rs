use std::time::Duration;

use super::{Engine, StageKey, Worker};
use crate::batch::{End, Ended, JobKey, RunKey, State, WorkerKey};
use crate::clock::Instant;
use crate::telemetry;

/// Number of different jobs that fail in a row on a worker before it is shunned.
const STRIKES: usize = 3;

/// Time for which a shunned worker gets no starts.
const SHUN_FOR: Duration = Duration::from_secs(6);

/// Delay before a failed task runs again.
const RETRY_AFTER: Duration = Duration::from_millis(50);

impl Engine {
    /// Processes the end of a run listed by a worker.
    pub(super) fn end(&mut self, worker: WorkerKey, ended: &Ended, wall_ms: u64, now: Instant) {
        let Some(&job) = self.ids.get(&ended.task.job) else {
            return;
        };
        let run = self.find_run(worker, ended);
        let charge = run.and_then(|r| self.release(r));
        let lasting = charge.as_ref().is_some_and(|r| r.lasting);
        let changes = self.jobs[job].changes;
        let Some(task) = self.task_mut(job, &ended.task) else {
            return;
        };
        if !ended.saved.is_empty() {
            task.saved = Some(ended.saved.clone());
        }
        task.number = task.number.max(ended.number);
        match ended.how {
            End::Done if !lasting => self.done(job, ended, wall_ms, now),
            End::Done => {}
            End::Failed => self.failed(job, worker, ended, wall_ms, now),
            End::Stopped | End::Lapsed | End::Broken | End::Alone => {}
        }
        if ended.how == End::Done
            && let Some(worker) = self.workers.get_mut(worker)
        {
            worker.strikes.clear();
        }
        if let Some(job_state) = self.jobs.get(job)
            && job_state.changes != changes
            && let Some(worker) = self.workers.get_mut(worker)
        {
            let row = (ended.position, job, job_state.changes);
            worker.unstored.push(row);
        }
    }

    fn find_run(&self, worker: WorkerKey, ended: &Ended) -> Option<RunKey> {
        let runs = &self.workers.get(worker)?.runs;
        let same = |run: &&RunKey| {
            let run = &self.runs[**run];
            run.number == ended.number && run.task == ended.task
        };
        runs.iter().find(same).copied()
    }

    fn done(&mut self, key: JobKey, ended: &Ended, wall_ms: u64, now: Instant) {
        let id = &ended.task;
        let job = &self.jobs[key];
        let Some(step) = job.record.spec.steps.get(id.step as usize) else {
            return;
        };
        if job.state.is_final() || step.lasting {
            return;
        }
        let all = step.gang;
        let place = StageKey {
            job: key,
            occurrence: id.occurrence,
            step: id.step,
        };
        let Some(stage) = self.stage_mut(place) else {
            return;
        };
        let mut others = Vec::new();
        for (index, task) in (0..).zip(&mut stage.tasks) {
            if (all || index == id.index) && !task.done {
                task.done = true;
                stage.left -= 1;
                others.extend(task.runs.iter().copied());
            }
        }
        let complete = stage.left == 0;
        if !all {
            others.into_iter().for_each(|run| self.stop(run, now));
        }
        self.change(key, false);
        if complete {
            self.close_stage(place);
            self.open_stages(key);
            self.complete(key, wall_ms, now);
        }
    }

    fn failed(
        &mut self,
        key: JobKey,
        worker: WorkerKey,
        ended: &Ended,
        wall_ms: u64,
        now: Instant,
    ) {
        self.strike(worker, key, now);
        let job = &self.jobs[key];
        let limit = job.max_attempts;
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
        if !task.avoid.contains(&worker) {
            task.avoid.push(worker);
        }
        if lasting {
            return;
        }
        task.failures.push(ended.number);
        let failures = task.failures.len();
        let hopeless = failures >= limit as usize;
        log::info!(event = "task-failed", job = ended.task.job, step = ended.task.step,
            index = ended.task.index, run = ended.number, failures, limit; "");
        self.change(key, false);
        if hopeless {
            self.finish(key, State::Failed, wall_ms, now);
        }
    }

    /// Counts a failure against a worker, and shuns it after failures of several different jobs in
    /// a row.
    pub(super) fn strike(&mut self, key: WorkerKey, job: JobKey, now: Instant) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if !worker.strikes.contains(&job) {
            worker.strikes.push(job);
        }
        if worker.strikes.len() >= STRIKES && worker.shunned_until <= now {
            worker.shunned_until = now + SHUN_FOR;
            log::warn!(event = "worker-shunned", worker = worker.offer.id,
                failed_jobs = worker.strikes.len(), seconds = SHUN_FOR.as_secs(); "");
        }
    }

    /// Completes a job once all its occurrences are complete.
    pub(super) fn complete(&mut self, key: JobKey, wall_ms: u64, now: Instant) {
        let job = &mut self.jobs[key];
        if job.record.spec.occurrences > 0 {
            let complete = job.rounds.extract_if(.., |r| r.is_complete());
            job.complete.extend(complete.map(|r| r.number));
            job.complete.dedup();
        }
        let begun = job.next_round >= job.record.spec.rounds();
        if begun && job.rounds.iter().all(super::Round::is_complete) {
            self.finish(key, State::Completed, wall_ms, now);
        }
    }

    /// Moves a job to a final state and stops its runs.
    pub(super) fn finish(&mut self, key: JobKey, state: State, wall_ms: u64, now: Instant) {
        let job = &mut self.jobs[key];
        if job.state.is_final() {
            return;
        }
        (job.state, job.ended_ms) = (state, wall_ms);
        log::info!(event = "job-ended", job = job.id, state:% = state, route = job.record.route,
            workspace = job.record.workspace, after_ms = wall_ms.saturating_sub(job.record.arrived_ms),
            objective_ms = job.objective.as_millis(); "");
        let took = Duration::from_millis(wall_ms.saturating_sub(job.record.arrived_ms));
        telemetry::count_job(
            &job.record.route,
            &job.record.workspace,
            state.into(),
            took,
            took <= job.objective,
        );
        let tasks = job
            .rounds
            .iter()
            .flat_map(|r| &r.stages)
            .flat_map(|s| &s.tasks);
        let runs: Vec<RunKey> = tasks.flat_map(|t| &t.runs).copied().collect();
        let service = job.service.clone();
        runs.into_iter().for_each(|run| self.stop(run, now));
        if let Some(open) = self.open.get_mut(&service) {
            open.retain(|place| place.job != key);
        }
        self.change(key, true);
    }

    fn close_stage(&mut self, place: StageKey) {
        let service = self.jobs[place.job].service.clone();
        if let Some(open) = self.open.get_mut(&service) {
            open.retain(|other| *other != place);
        }
    }

    /// Marks a job as changed, so that it is stored; `urgent` if callers wait for it.
    pub(super) fn change(&mut self, key: JobKey, urgent: bool) {
        let job = &mut self.jobs[key];
        job.changes += 1;
        job.urgent |= urgent;
        if !std::mem::replace(&mut job.dirty, true) {
            self.dirty.push(key);
        }
    }

    /// Releases all runs of a worker whose lease has expired or whose process has ended.
    pub(super) fn lose_runs(&mut self, key: WorkerKey, reason: &str) {
        let runs = self.workers.get(key).map(|w: &Worker| w.runs.clone());
        let runs = runs.unwrap_or_default();
        if runs.is_empty() {
            return;
        }
        let id = &self.workers[key].offer.id;
        log::warn!(event = "runs-lost", worker = id, runs = runs.len(), reason; "");
        for run in runs {
            self.release(run);
        }
    }
}
