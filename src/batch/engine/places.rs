//! For how many tasks of a step there is room on workers.

use super::choose::MAX_RUNS;
use super::{Engine, StageKey, Worker};
use crate::batch::{Step, WorkerKey};
use crate::clock::Instant;

impl Engine {
    /// Returns whether workers with tickets have room for the next start of a step: of one task, or of
    /// all tasks of a gang.
    pub(super) fn has_ticketed_room(&self, stage_key: StageKey, step: &Step, now: Instant) -> bool {
        let Some(stage) = self.stage(stage_key.job, stage_key.occurrence, stage_key.step) else {
            return false;
        };
        let mut missing = if step.gang { step.count as usize } else { 1 };
        for key in stage.tickets.keys() {
            let places = self.ticketed_places(stage_key, step, *key, now);
            if places >= missing {
                return true;
            }
            missing -= places;
        }
        false
    }

    /// Returns for how many tasks of a step a worker has room, 0 without a valid ticket.
    fn ticketed_places(
        &self,
        stage_key: StageKey,
        step: &Step,
        key: WorkerKey,
        now: Instant,
    ) -> usize {
        let worker = self.workers.get(key);
        let Some(worker) = worker.filter(|worker| self.may_start(worker, now)) else {
            return 0;
        };
        if (self.step_exclusion(stage_key, step, key, true, now)).is_some() {
            return 0;
        }
        let limit = match step.max_per_worker {
            0 => usize::MAX,
            limit => limit as usize - self.count_runs_of_step(stage_key, worker),
        };
        let by_size = worker.free_capacity().count_of(step.reserved());
        limit.min(by_size).min(MAX_RUNS - worker.runs.len())
    }

    /// Counts the runs of a step on a worker.
    pub(super) fn count_runs_of_step(&self, stage_key: StageKey, worker: &Worker) -> usize {
        let runs = worker.runs.iter().map(|run| &self.runs[*run]);
        let of_step = runs.filter(|run| {
            run.job == stage_key.job
                && run.task.step == stage_key.step
                && run.task.occurrence == stage_key.occurrence
        });
        of_step.count()
    }
}
