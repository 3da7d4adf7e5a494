//! The runs that may be present on workers, and the resources that they hold.

use std::sync::Arc;

use super::{Engine, Run};
use crate::batch::{Order, RunKey};
use crate::clock::Instant;
use crate::jobs::Size;

impl Engine {
    /// Removes a run and frees the resources that it holds.
    pub(super) fn remove_run(&mut self, key: RunKey) -> Option<Run> {
        let run = self.runs.remove(key)?;
        if let Some(worker) = self.workers.get_mut(run.worker) {
            worker.runs.retain(|r| *r != key);
            worker.used = worker.used - run.reserved;
        }
        if let Some(usage) = self.usage.get_mut(&run.workspace) {
            *usage = *usage - run.size;
        }
        if let Some(job) = self.jobs.get_mut(run.job) {
            job.run_count -= 1;
        }
        if let Some(task) = self.task_mut(run.job, &run.task) {
            task.runs.retain(|r| *r != key);
        }
        Some(run)
    }

    /// Adds a run to its worker and task, and reserves its resources.
    pub(super) fn add_run(&mut self, run: Run) -> RunKey {
        let (job, task, worker) = (run.job, run.task.clone(), run.worker);
        *self.usage.entry(run.workspace.clone()).or_default() =
            self.used_by(&run.workspace) + run.size;
        let reserved = run.reserved;
        let key = self.runs.insert(run);
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.runs.push(key);
            worker.used = worker.used + reserved;
        }
        if let Some(job) = self.jobs.get_mut(job) {
            job.run_count += 1;
        }
        if let Some(task) = self.task_mut(job, &task) {
            task.runs.push(key);
        }
        key
    }

    pub(super) fn used_by(&self, workspace: &Arc<str>) -> Size {
        self.usage.get(workspace).copied().unwrap_or_default()
    }

    /// Orders a worker to stop a run, unless a stop is already pending.
    pub(super) fn stop_run(&mut self, key: RunKey, now: Instant) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        if run.stopping_since.is_some() {
            return;
        }
        run.stopping_since = Some(now);
        let (worker, task, number) = (run.worker, run.task.clone(), run.number);
        self.orders.push((worker, Order::Stop { task, number }));
    }
}
