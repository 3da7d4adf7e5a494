//! Runs that workers list and this leader does not keep.

use super::{Engine, StageKey};
use crate::batch::{TaskId, WorkerKey};

impl Engine {
    /// Records the tasks of the unwanted runs in the latest answer of a worker, or that there are
    /// none because its runs have ended.
    pub(super) fn set_unwanted(&mut self, key: WorkerKey, tasks: Vec<TaskId>) {
        if tasks.is_empty() {
            self.unwanted_on.remove(&key);
        } else {
            self.unwanted_on.insert(key);
        }
        if let Some(worker) = self.workers.get_mut(key) {
            worker.unwanted = tasks;
        }
    }

    /// Returns whether an unwanted run of a task may still work. It may be listed by a worker before
    /// this leader reads its job.
    pub(super) fn has_unwanted_run(&self, stage_key: StageKey, index: u32) -> bool {
        let job = &self.jobs[stage_key.job].id;
        let is_same_task = |task: &TaskId| {
            task.index == index
                && task.step == stage_key.step
                && task.occurrence == stage_key.occurrence
                && task.job == *job
        };
        let workers = self.unwanted_on.iter();
        let mut workers = workers.filter_map(|key| self.workers.get(*key));
        workers.any(|worker| worker.unwanted.iter().any(is_same_task))
    }
}
