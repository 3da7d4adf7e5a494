//! New runs: their numbers, the room that they take and the orders to start them.

use std::sync::Arc;

use super::{Engine, Run, StageKey};
use crate::batch::{Order, RunKey, Step, TaskId, WorkerKey};
use crate::clock::Instant;

/// Range of run numbers that one leader may use for a task; the next leader continues above it.
const RUN_NUMBERS_PER_LEADER: u64 = 1_000;

impl Engine {
    /// Starts a run of one task on a worker.
    pub(super) fn start_run(
        &mut self,
        stage_key: StageKey,
        index: u32,
        step: &Step,
        worker: WorkerKey,
        saved: Option<Arc<str>>,
        now: Instant,
    ) {
        let Some(stage) = self.stage(stage_key.job, stage_key.occurrence, stage_key.step) else {
            return;
        };
        let task = &stage.tasks[index as usize];
        let number = self.next_run_number(task.number);
        let saved = saved.or_else(|| task.saved.clone());
        let run = self.reserve_run(stage_key, index, step, worker, number, saved, now);
        self.orders.push((worker, Order::Start(run)));
    }

    /// Returns the next run number. Each leader uses its own range of numbers, so none of them has
    /// to be stored.
    pub(super) fn next_run_number(&self, latest: u64) -> u64 {
        latest.max((self.token - 1) * RUN_NUMBERS_PER_LEADER) + 1
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "shared by starts of single tasks and of gangs"
    )]
    pub(super) fn reserve_run(
        &mut self,
        stage_key: StageKey,
        index: u32,
        step: &Step,
        worker: WorkerKey,
        number: u64,
        saved: Option<Arc<str>>,
        now: Instant,
    ) -> RunKey {
        let job = &self.jobs[stage_key.job];
        let task = TaskId {
            job: job.id.clone(),
            occurrence: stage_key.occurrence,
            step: stage_key.step,
            index,
        };
        let is_only_run = self
            .task(stage_key.job, &task)
            .is_some_and(|task| task.runs.is_empty());
        let run = Run {
            job: stage_key.job,
            task: task.clone(),
            number,
            worker,
            workspace: job.record.workspace.clone(),
            size: step.size,
            reserved: step.reserved(),
            whole: is_only_run && saved.is_none(),
            decided_at: now,
            confirmed_at: None,
            uncertain_since: None,
            stopping_since: None,
            stop_confirmed_at: None,
            percent: 0,
            progressed_at: now,
            load: 0,
            pace_percent: 100,
            latency_ms: step.latency_ms,
            filling: step.filling,
            lasting: step.lasting,
            saved,
        };
        if let Some(task) = self.task_mut(stage_key.job, &task) {
            task.number = number;
        }
        self.add_run(run)
    }
}
