//! Lasting tasks without a run: how long they have none, and what holds back the next one.

use std::time::Duration;

use super::hold::Hold;
use super::{Engine, Exclusion, StageKey, Task};
use crate::batch::{Step, TaskId};
use crate::clock::Instant;
use crate::collections::Map;

/// Time between two checks of all lasting tasks.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time without a run after which a task is logged, and between two lines about it.
const LOG_INTERVAL: Duration = Duration::from_secs(3);

impl Engine {
    /// Logs the lasting tasks that have had no run for a while, with what holds them back.
    pub(super) fn log_idle_tasks(&mut self, now: Instant) {
        if now.since(self.idle_checked_at) < CHECK_INTERVAL {
            return;
        }
        self.idle_checked_at = now;
        let overdue = self.update_idle_times(now);
        for (stage_key, index) in overdue {
            self.log_idle_task(stage_key, index, now);
        }
    }

    /// Updates since when each lasting task has had no run. Returns the tasks to log.
    fn update_idle_times(&mut self, now: Instant) -> Vec<(StageKey, u32)> {
        let mut overdue = Vec::new();
        for stage_key in self.lasting_stages() {
            let Some(stage) = self.stage(stage_key.job, stage_key.occurrence, stage_key.step)
            else {
                continue;
            };
            let running: Vec<bool> = stage.tasks.iter().map(|t| self.is_running(t)).collect();
            let Some(stage) = self.stage_mut(stage_key) else {
                continue;
            };
            for ((index, task), running) in (0..).zip(&mut stage.tasks).zip(running) {
                if running {
                    (task.idle_since, task.idle_logged_at) = (None, None);
                    continue;
                }
                let since = *task.idle_since.get_or_insert(now);
                if now.since(task.idle_logged_at.unwrap_or(since)) >= LOG_INTERVAL {
                    task.idle_logged_at = Some(now);
                    overdue.push((stage_key, index));
                }
            }
        }
        overdue
    }

    fn lasting_stages(&self) -> Vec<StageKey> {
        let is_lasting = |key: &&StageKey| {
            let steps = &self.jobs[key.job].record.spec.steps;
            steps.get(key.step as usize).is_some_and(|s| s.lasting)
        };
        let stage_keys = self.ready_stages.values().flatten();
        stage_keys.filter(is_lasting).copied().collect()
    }

    /// Returns whether a worker is known to run a task, and was not told to stop it.
    fn is_running(&self, task: &Task) -> bool {
        let mut runs = task.runs.iter().map(|run| &self.runs[*run]);
        runs.any(|run| run.confirmed_at.is_some() && run.stopping_since.is_none())
    }

    fn log_idle_task(&self, stage_key: StageKey, index: u32, now: Instant) {
        let job = &self.jobs[stage_key.job];
        let Some(task) = self.task(stage_key.job, &self.task_id(stage_key, index)) else {
            return;
        };
        let step = &job.record.spec.steps[stage_key.step as usize];
        let hold: &str = self.hold_of(stage_key, index, task, step, now).into();
        let run = task.runs.first().map(|run| &self.runs[*run]);
        let worker = run.and_then(|run| self.workers.get(run.worker));
        log::warn!(event = "task-idle", job = job.id, step = stage_key.step, index,
            idle_ms = task.idle_since.map_or(0, |at| now.since(at).as_millis()), hold,
            run = run.map_or(0, |run| run.number),
            worker = worker.map_or("", |worker| &worker.profile.id),
            service = job.service, workers = self.describe_workers(stage_key, step, now); "");
    }

    fn task_id(&self, stage_key: StageKey, index: u32) -> TaskId {
        TaskId {
            job: self.jobs[stage_key.job].id.clone(),
            occurrence: stage_key.occurrence,
            step: stage_key.step,
            index,
        }
    }

    fn hold_of(
        &self,
        stage_key: StageKey,
        index: u32,
        task: &Task,
        step: &Step,
        now: Instant,
    ) -> Hold {
        if let Some(run) = task.runs.first().map(|run| &self.runs[*run]) {
            return if run.stopping_since.is_some() {
                Hold::Stopping
            } else if run.uncertain_since.is_some() {
                Hold::Uncertain
            } else {
                Hold::Starting
            };
        }
        if task.not_before > now {
            return Hold::BackOff;
        }
        if !self.is_safe_to_start(stage_key.job) || !self.has_stored_service(stage_key.job) {
            return Hold::MayHaveSuccessor;
        }
        if self.may_have_other_run(stage_key, index, now) {
            return Hold::Inherited;
        }
        let job = &self.jobs[stage_key.job];
        if !self.is_within_maximum(&job.record.workspace, step) {
            return Hold::WorkspaceMaximum;
        }
        let mut exclusions = self.exclusions(stage_key, step, now);
        if exclusions.any(|exclusion| exclusion.is_none()) {
            Hold::Placeable
        } else {
            Hold::NoWorker
        }
    }

    /// Returns for each worker of the service of a step why it gets no task of the step.
    fn exclusions(
        &self,
        stage_key: StageKey,
        step: &Step,
        now: Instant,
    ) -> impl Iterator<Item = Option<Exclusion>> {
        let service = &self.jobs[stage_key.job].service;
        let needs_ticket = self.needs_ticket(stage_key);
        self.workers_of(service).map(move |(key, worker)| {
            let exclusion = self.exclusion(worker, now);
            exclusion.or_else(|| self.step_exclusion(stage_key, step, key, needs_ticket, now))
        })
    }

    /// Counts the workers of the service of a step by the reason for which they get no task of it,
    /// such as `free:1 full:2`.
    fn describe_workers(&self, stage_key: StageKey, step: &Step, now: Instant) -> String {
        let mut counts: Map<Option<Exclusion>, usize> = Map::default();
        for exclusion in self.exclusions(stage_key, step, now) {
            *counts.entry(exclusion).or_default() += 1;
        }
        let mut counts: Vec<(Option<Exclusion>, usize)> = counts.into_iter().collect();
        counts.sort_unstable();
        let text = counts.into_iter().map(|(exclusion, count)| {
            let name: &str = exclusion.map_or("free", Into::into);
            format!("{name}:{count}")
        });
        text.collect::<Vec<String>>().join(" ")
    }
}
