//! Runs that another leader started, as this one first finds them on a worker.

use super::{Engine, Run};
use crate::batch::{JobKey, Order, Running, WorkerKey};
use crate::clock::Instant;

impl Engine {
    /// Adopts a run started by a previous leader, or stops it if it is not wanted. Returns whether
    /// it was adopted.
    pub(super) fn adopt_run(&mut self, key: WorkerKey, running: &Running, now: Instant) -> bool {
        let stop = Order::Stop {
            task: running.task.clone(),
            number: running.number,
        };
        let Some(&job) = self.job_ids.get(&running.task.job) else {
            self.log_unwanted_run(key, running, None);
            self.orders.push((key, stop));
            return false;
        };
        self.begin_occurrences_until(job, running.task.occurrence);
        let known_job = &self.jobs[job];
        let step = known_job.record.spec.steps.get(running.task.step as usize);
        let is_wanted = |speculative: bool| {
            let task = self.task(job, &running.task)?;
            Some(!task.done && (speculative || task.runs.is_empty()))
        };
        let Some(step) = step.filter(|s| {
            !known_job.state.is_final() && is_wanted(s.speculative).unwrap_or_default()
        }) else {
            self.log_unwanted_run(key, running, Some(job));
            self.orders.push((key, stop));
            return false;
        };
        let run = Run {
            job,
            task: running.task.clone(),
            number: running.number,
            worker: key,
            workspace: known_job.record.workspace.clone(),
            size: step.size,
            reserved: step.reserved(),
            whole: false,
            decided_at: now,
            confirmed_at: Some(now),
            uncertain_since: None,
            stopping_since: None,
            stop_confirmed_at: None,
            percent: running.percent,
            progressed_at: now,
            load: running.load,
            pace_percent: 100,
            latency_ms: step.latency_ms,
            filling: step.filling,
            lasting: step.lasting,
            saved: (!running.saved.is_empty()).then(|| running.saved.clone()),
        };
        if run.filling {
            // The previous leader may have slowed it down.
            self.orders.push((key, run.pace_order()));
        }
        self.add_run(run);
        if let Some(task) = self.task_mut(job, &running.task) {
            task.number = task.number.max(running.number);
        }
        self.expect_longest_lease(key, now);
        self.mark_started(job);
        true
    }

    /// Logs that a run is stopped because its task needs no further run.
    fn log_unwanted_run(&self, key: WorkerKey, running: &Running, job: Option<JobKey>) {
        let task = job.and_then(|job| self.task(job, &running.task));
        let other = task
            .and_then(|task| task.runs.first())
            .map(|run| &self.runs[*run]);
        let other_worker = other.and_then(|run| self.workers.get(run.worker));
        let id = &running.task;
        log::warn!(event = "run-unwanted", job = id.job, step = id.step, index = id.index,
            run = running.number, worker = self.workers[key].profile.id, known_job = job.is_some(),
            done = task.is_some_and(|task| task.done), other_run = other.map_or(0, |run| run.number),
            other_worker = other_worker.map_or("", |worker| &worker.profile.id); "");
    }
}
