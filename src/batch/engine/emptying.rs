//! Workers that must become empty: which of their tasks may be stopped.

use std::time::Duration;

use super::{Engine, StageKey, Task};
use crate::batch::{RunKey, WorkerKey};
use crate::clock::Instant;

/// Time after which short tasks are stopped on a machine that is due.
pub(super) const STOP_SHORT_TASKS_AFTER: Duration = Duration::from_secs(5);

/// Age of the latest answer of a worker from which its tasks count as down.
const MAX_ANSWER_AGE: Duration = Duration::from_millis(1_500);

impl Engine {
    /// Stops tasks on a worker that must become empty, as far as their steps allow.
    pub(super) fn move_tasks(&mut self, key: WorkerKey, now: Instant) {
        let worker = &self.workers[key];
        let is_draining = worker.profile.draining;
        let maintenance = self
            .waves
            .iter()
            .filter_map(|w| w.emptying.get(&worker.profile.machine));
        let since = maintenance.map(|maintenance| maintenance.since).min();
        let overdue = since.is_some_and(|since| now.since(since) > STOP_SHORT_TASKS_AFTER);
        let runs = worker.runs.clone();
        let may_stop_all = self.may_stop_all_lasting(key, now);
        for run in runs {
            let current = &self.runs[run];
            let movable = if current.lasting {
                is_draining
                    || (self.may_move(run, now) && (may_stop_all || self.fits_elsewhere(run, now)))
            } else {
                overdue
            };
            if movable && current.stopping_since.is_none() && current.confirmed_at.is_some() {
                self.stop_run(run, now);
            }
        }
    }

    /// Returns whether a lasting task may be stopped: few enough others of its step are down.
    fn may_move(&self, key: RunKey, now: Instant) -> bool {
        let run = &self.runs[key];
        if now < self.moves_from {
            return false;
        }
        let Some(stage) = self.stage(run.job, run.task.occurrence, run.task.step) else {
            return true;
        };
        let step = &self.jobs[run.job].record.spec.steps[run.task.step as usize];
        let others = stage.tasks.iter().enumerate();
        let others = others.filter(|(index, _)| *index != run.task.index as usize);
        let is_task_working = |task: &Task| task.runs.iter().any(|run| self.is_working(*run, now));
        let down = others.filter(|(_, task)| !is_task_working(task)).count();
        down < (step.may_miss as usize).max(1)
    }

    /// Returns whether all lasting tasks of a worker may be down at once. Otherwise it can be emptied
    /// only if some of them start on other workers.
    pub(super) fn may_stop_all_lasting(&self, key: WorkerKey, now: Instant) -> bool {
        let is_working_elsewhere = |task: &Task| {
            let mut runs = task.runs.iter();
            runs.any(|run| self.runs[*run].worker != key && self.is_working(*run, now))
        };
        let runs = self.workers[key].runs.iter().map(|run| &self.runs[*run]);
        let mut lasting = runs.filter(|run| run.lasting);
        lasting.all(|run| {
            let Some(stage) = self.stage(run.job, run.task.occurrence, run.task.step) else {
                return true;
            };
            let step = &self.jobs[run.job].record.spec.steps[run.task.step as usize];
            let tasks = stage.tasks.iter();
            let down = tasks.filter(|task| !is_working_elsewhere(task)).count();
            down <= (step.may_miss as usize).max(1)
        })
    }

    /// Returns whether another worker has room for the task of a run.
    fn fits_elsewhere(&self, key: RunKey, now: Instant) -> bool {
        let run = &self.runs[key];
        let stage_key = StageKey {
            job: run.job,
            occurrence: run.task.occurrence,
            step: run.task.step,
        };
        let job = &self.jobs[run.job];
        let step = &job.record.spec.steps[run.task.step as usize];
        let workers = self.startable_workers(&job.service, now);
        // Advice is asked for only once a task waits.
        let has_room = |other: &WorkerKey| {
            let step_exclusion = self.step_exclusion(stage_key, step, *other, false, now);
            *other != run.worker && step_exclusion.is_none()
        };
        workers.iter().any(has_room)
    }

    fn is_working(&self, key: RunKey, now: Instant) -> bool {
        let run = &self.runs[key];
        let worker = self.workers.get(run.worker).filter(|w| !w.unreachable);
        let answered_at = worker.and_then(|w| w.answered_at);
        answered_at.is_some_and(|at| now.since(at) < MAX_ANSWER_AGE)
            && run.confirmed_at.is_some()
            && run.stopping_since.is_none()
            && (run.percent >= 100 || run.pace_percent < 100)
    }
}
