use std::time::Duration;

use slotmap::{Key, SlotMap};

use super::{Engine, Run, StageKey};
use crate::batch::estimate::Forecast;
use crate::batch::{JobKey, RunKey, Step, TaskId, WorkerKey};
use crate::clock::Instant;

/// Time without progress after which a task counts as stalled, as a multiple of its estimate.
const STALL_FACTOR: f64 = 1.5;

/// Shortest time without progress after which a task counts as stalled.
const MIN_STALL_TIME: Duration = Duration::from_millis(1_500);

/// Age of the latest answer of a worker from which nothing follows about its runs.
const MAX_ANSWER_AGE: Duration = Duration::from_secs(1);

/// Age of a run, as a multiple of its expected time, from which a copy of it may be started.
const COPY_AGE_FACTOR: f64 = 2.0;

/// Age of a run, as a multiple of the time within which nearly all runs of its image end, from which
/// a copy of it may be started. It matters for images whose run times differ much.
const COPY_TAIL_FACTOR: f64 = 1.5;

/// Age from which a run counts as slow if its step has a single task.
const SINGLE_TASK_SLOW_AFTER: Duration = Duration::from_millis(1_000);

/// Time without an answer after which runs on an unreachable worker are copied, if their step
/// allows copies.
const SILENT_AFTER: Duration = Duration::from_millis(1_200);

/// Fraction of a pool in use above which no copies are started, since they would take capacity from
/// waiting jobs.
const MAX_USED_FOR_COPIES: f64 = 0.7;

/// Time, beyond the duration of a stop, after which a stop is repeated if the run is still listed.
const REPEAT_STOP_AFTER: Duration = Duration::from_secs(2);

impl Engine {
    /// Handles lost workers, stalled and slow runs, and maintenance. Must be called several times a
    /// second.
    pub fn check_runs_and_workers(&mut self, now: Instant) {
        self.drop_expired(now);
        self.verify_shutdowns(now);
        self.drop_delisted();
        self.stop_stalled(now);
        self.repeat_stops(now);
        self.copy_slow_runs(now);
        self.empty_due_machines(now);
        self.remove_ended_jobs();
        self.log_idle_tasks(now);
    }

    /// Releases runs on workers whose leases have expired without contact.
    fn drop_expired(&mut self, now: Instant) {
        let sole_leader_until = self.sole_leader_until(now);
        let has_expired = |w: &super::Worker| {
            !(w.runs.is_empty() && w.unwanted.is_empty())
                && w.answered_at.is_some()
                && self.last_lease_expiry(w) < sole_leader_until
        };
        for key in keys_where(&self.workers, has_expired) {
            self.lose_runs(key, "lease lapsed");
        }
        self.log_uncontacted(now);
        self.drop_uncontacted(now);
    }

    /// Removes workers that the store no longer lists and that have neither runs nor ends to store.
    /// Those that may have runs of the previous leader stay, so that they are polled.
    fn drop_delisted(&mut self) {
        let is_removable = |w: &super::Worker| {
            w.delisted
                && w.shut_down_at.is_none()
                && w.runs.is_empty()
                && w.unwanted.is_empty()
                && self.has_stored_ends(w)
                && !self.uncontacted.contains_key(&w.profile.id)
        };
        for key in keys_where(&self.workers, is_removable) {
            self.remove_worker(key);
        }
    }

    /// Stops runs that make no progress, so that their tasks restart elsewhere.
    fn stop_stalled(&mut self, now: Instant) {
        let stalled = self
            .runs
            .iter()
            .filter(|(_, run)| self.is_stalled(run, now));
        let stalled: Vec<RunKey> = stalled.map(|(key, _)| key).collect();
        for key in stalled {
            let run = &self.runs[key];
            let (job, task, worker) = (run.job, run.task.clone(), run.worker);
            log::warn!(event = "run-stalled", job = task.job, step = task.step, index = task.index,
                run = run.number, percent = run.percent, still_ms = now.since(run.progressed_at).as_millis(); "");
            self.stop_run(key, now);
            self.count_failure(worker, job, now);
            if let Some(task) = self.task_mut(job, &task) {
                task.avoid(worker);
                task.has_stalled = true;
            }
        }
    }

    /// Returns whether a run works at full speed on a worker that answers, and makes no progress.
    fn is_stalled(&self, run: &Run, now: Instant) -> bool {
        let Some(step) = self.step_of(run) else {
            return false;
        };
        if run.confirmed_at.is_none() || run.stopping_since.is_some() || run.pace_percent < 100 {
            return false;
        }
        if self.time_since_answer(run.worker, now) >= MAX_ANSWER_AGE {
            return false;
        }
        let unchanged_for = now.since(run.progressed_at);
        if run.lasting {
            run.percent < 100 && unchanged_for > self.tuning.notice
        } else {
            // A task that takes longer than declared makes progress meanwhile, so a learned time
            // never delays this. A task that was stopped once may be longer than others of its
            // image.
            let has_stalled = (self.task(run.job, &run.task)).is_some_and(|task| task.has_stalled);
            let time = if has_stalled {
                step.estimate()
            } else {
                let learned = self.forecast(&self.jobs[run.job], step).tail;
                step.estimate().min(learned)
            };
            unchanged_for > time.mul_f64(STALL_FACTOR).max(MIN_STALL_TIME)
        }
    }

    /// Returns the step of a run, or `None` if its job has no such step.
    fn step_of(&self, run: &Run) -> Option<&Step> {
        let steps = &self.jobs[run.job].record.spec.steps;
        steps.get(run.task.step as usize)
    }

    /// Repeats stop orders that a worker did not carry out.
    fn repeat_stops(&mut self, now: Instant) {
        let repeat_before = now - (REPEAT_STOP_AFTER + self.tuning.stop);
        let is_overdue = |run: &Run| run.stopping_since.is_some_and(|at| at < repeat_before);
        for key in keys_where(&self.runs, is_overdue) {
            self.runs[key].stopping_since = None;
            self.stop_run(key, now);
        }
    }

    /// Returns whether a run is slow compared with the other tasks of its step. Age alone does not
    /// show it: declared times can be far too short, and then all tasks of a step take longer than
    /// declared.
    fn is_straggler(&self, run: &Run, age: Duration) -> bool {
        let stage = self.stage(run.job, run.task.occurrence, run.task.step);
        stage.is_some_and(|stage| match stage.tasks.len() {
            1 => age > SINGLE_TASK_SLOW_AFTER,
            count => stage.unfinished * 2 <= count,
        })
    }

    /// Returns whether a worker has not answered for [`SILENT_AFTER`].
    fn is_silent(&self, key: WorkerKey, now: Instant) -> bool {
        let worker = self
            .workers
            .get(key)
            .filter(|w| w.unreachable || w.delisted);
        worker.is_some_and(|w| w.answered_at.is_none_or(|at| now.since(at) > SILENT_AFTER))
    }

    /// Starts copies of runs that take much longer than expected, or whose worker does not answer.
    fn copy_slow_runs(&mut self, now: Instant) {
        let used_fractions = self.used_fractions();
        let needs_copy = |run: &&Run| {
            let silent = self.is_silent(run.worker, now);
            let used_fraction = used_fractions.get(&self.jobs[run.job].service);
            let has_room = used_fraction.is_none_or(|fraction| *fraction <= MAX_USED_FOR_COPIES);
            (silent || has_room) && self.may_be_copied(run) && (silent || self.is_slow(run, now))
        };
        let slow = self.runs.values().filter(needs_copy);
        let slow = slow.map(|run| (run.job, run.task.clone(), run.worker));
        let slow: Vec<(JobKey, TaskId, WorkerKey)> = slow.collect();
        for (job, task, worker) in slow {
            self.copy_run(job, &task, worker, now);
        }
    }

    /// Returns whether a second run of the task of a run may be started.
    fn may_be_copied(&self, run: &Run) -> bool {
        let is_only_run = |task: &super::Task| !task.done && task.runs.len() == 1;
        run.stopping_since.is_none()
            && self
                .step_of(run)
                .is_some_and(|step| step.speculative && !step.gang && !step.lasting)
            && self.task(run.job, &run.task).is_some_and(is_only_run)
    }

    /// Returns whether a run takes much longer than expected and than other tasks of its step.
    fn is_slow(&self, run: &Run, now: Instant) -> bool {
        let age = now.since(run.decided_at);
        let job = &self.jobs[run.job];
        let forecast = self.step_of(run).map(|step| self.forecast(job, step));
        forecast.is_some_and(|Forecast { expected, tail }| {
            let slow_after = expected.mul_f64(COPY_AGE_FACTOR);
            age > slow_after.max(tail.mul_f64(COPY_TAIL_FACTOR))
        }) && self.is_straggler(run, age)
    }

    /// Starts a second run of a task on another worker than the given one.
    fn copy_run(&mut self, job: JobKey, task: &TaskId, worker: WorkerKey, now: Instant) {
        let stage_key = StageKey {
            job,
            occurrence: task.occurrence,
            step: task.step,
        };
        let index = task.index;
        if let Some(task) = self.task_mut(job, task) {
            task.avoid(worker);
        }
        let step = self.jobs[job].record.spec.steps[stage_key.step as usize].clone();
        let workers = self.startable_workers(&self.jobs[job].service, now);
        let chosen = self.choose(stage_key, index, &step, None, &workers, now);
        if let Some(other) = chosen.filter(|other| *other != worker) {
            self.start_run(stage_key, index, &step, other, None, now);
        }
    }

    fn remove_ended_jobs(&mut self) {
        for key in keys_where(&self.jobs, super::Job::is_removable) {
            self.remove_job(key);
        }
    }
}

/// Returns the keys of the entries that satisfy `wanted`, so that the entries can be modified.
fn keys_where<K: Key, V>(entries: &SlotMap<K, V>, wanted: impl Fn(&V) -> bool) -> Vec<K> {
    let entries = entries.iter().filter(|(_, entry)| wanted(entry));
    entries.map(|(key, _)| key).collect()
}
