use std::time::Duration;

use slotmap::{Key, SlotMap};

use super::{Engine, StageKey};
use crate::batch::{RunKey, WorkerKey};
use crate::clock::Instant;

/// Time without progress after which a task counts as stalled, as a multiple of its estimate.
const STILL_FACTOR: f64 = 1.5;

/// Shortest time without progress after which a task counts as stalled.
const STILL_AFTER: Duration = Duration::from_millis(1_500);

/// Age of a run, as a multiple of its estimate, from which a copy of it may be started.
const COPY_FACTOR: f64 = 2.0;

/// Age from which a run counts as slow if its step has a single task.
const LONE_AFTER: Duration = Duration::from_millis(1_000);

/// Time without an answer after which runs on an unreachable worker are copied, if their step
/// allows copies.
const SILENT_FOR: Duration = Duration::from_millis(1_200);

/// Fraction of a pool in use above which no copies are started, since they would take capacity from
/// waiting jobs.
const COPY_BELOW: f64 = 0.7;

/// Time, beyond the duration of a stop, after which a stop is repeated if the run is still listed.
const STOP_AGAIN: Duration = Duration::from_secs(2);

impl Engine {
    /// Handles lost workers, stalled and slow runs, and maintenance. Must be called several times a
    /// second.
    pub fn review(&mut self, now: Instant) {
        self.drop_lapsed(now);
        self.drop_gone();
        self.stop_still(now);
        self.repeat_stops(now);
        self.copy_slow(now);
        self.empty_workers(now);
        self.forget_ended();
    }

    /// Releases runs on workers whose leases have expired without contact.
    fn drop_lapsed(&mut self, now: Instant) {
        let lapsed =
            |w: &super::Worker| !w.runs.is_empty() && w.heard.is_some() && w.lease_until < now;
        for key in keys_where(&self.workers, lapsed) {
            self.lose_runs(key, "lease lapsed");
        }
        self.report_unheard(now);
        self.drop_unheard(now);
    }

    /// Removes workers that the store no longer lists and that have no runs.
    fn drop_gone(&mut self) {
        let dead = |w: &super::Worker| w.gone && w.runs.is_empty();
        for key in keys_where(&self.workers, dead) {
            if let Some(worker) = self.workers.remove(key) {
                log::info!(event = "worker-removed", worker = worker.offer.id; "");
                self.worker_ids.remove(&worker.offer.id);
            }
        }
    }

    /// Stops runs that make no progress, so that their tasks restart elsewhere.
    fn stop_still(&mut self, now: Instant) {
        let mut still: Vec<RunKey> = Vec::new();
        for (key, run) in &self.runs {
            let Some(step) = self.jobs[run.job]
                .record
                .spec
                .steps
                .get(run.task.step as usize)
            else {
                continue;
            };
            let patience = step.estimate().mul_f64(STILL_FACTOR).max(STILL_AFTER);
            let started = run.confirmed.is_some() && run.stopping.is_none();
            let heard = self.workers.get(run.worker).and_then(|w| w.heard);
            let fresh = heard.is_some_and(|at| now.since(at) < Duration::from_secs(1));
            let stands = if run.lasting {
                run.percent < 100 && run.pace == 100 && now.since(run.moved) > self.tuning.notice
            } else {
                now.since(run.moved) > patience
            };
            if started && fresh && stands {
                still.push(key);
            }
        }
        for key in still {
            let run = &self.runs[key];
            let (job, task, worker) = (run.job, run.task.clone(), run.worker);
            log::warn!(event = "run-still", job = task.job, step = task.step, index = task.index,
                run = run.number, percent = run.percent, still_ms = now.since(run.moved).as_millis(); "");
            self.stop(key, now);
            self.strike(worker, job, now);
            if let Some(task) = self.task_mut(job, &task) {
                task.avoid.push(worker);
            }
        }
    }

    /// Repeats stop orders that a worker did not carry out.
    fn repeat_stops(&mut self, now: Instant) {
        let late = now - (STOP_AGAIN + self.tuning.stop);
        let old = |run: &super::Run| run.stopping.is_some_and(|at| at < late);
        for key in keys_where(&self.runs, old) {
            self.runs[key].stopping = None;
            self.stop(key, now);
        }
    }

    /// Returns whether a run is slow compared with the other tasks of its step. Age alone does not
    /// show it: declared times can be far too short, and then all tasks of a step take longer than
    /// declared.
    fn is_straggler(&self, run: &super::Run, age: Duration) -> bool {
        let stage = self.stage(run.job, run.task.occurrence, run.task.step);
        stage.is_some_and(|stage| match stage.tasks.len() {
            1 => age > LONE_AFTER,
            count => stage.left * 2 <= count,
        })
    }

    /// Returns whether a worker has not answered for [`SILENT_FOR`].
    fn is_silent(&self, key: WorkerKey, now: Instant) -> bool {
        let worker = self.workers.get(key).filter(|w| w.failing || w.gone);
        worker.is_some_and(|w| w.heard.is_none_or(|at| now.since(at) > SILENT_FOR))
    }

    /// Starts copies of runs that take much longer than declared, or whose worker does not answer.
    fn copy_slow(&mut self, now: Instant) {
        let used = self.used_parts();
        let mut slow = Vec::new();
        for run in self.runs.values() {
            let service = &self.jobs[run.job].service;
            let silent = self.is_silent(run.worker, now);
            if !silent && used.get(service).is_some_and(|part| *part > COPY_BELOW) {
                continue;
            }
            let Some(step) = self.jobs[run.job]
                .record
                .spec
                .steps
                .get(run.task.step as usize)
            else {
                continue;
            };
            if !step.speculative || step.gang || step.lasting || run.stopping.is_some() {
                continue;
            }
            let age = now.since(run.decided);
            let alone = self
                .task(run.job, &run.task)
                .is_some_and(|t| !t.done && t.runs.len() == 1);
            let old = age > step.estimate().mul_f64(COPY_FACTOR);
            if alone && (silent || (old && self.is_straggler(run, age))) {
                slow.push((run.job, run.task.clone(), run.worker, step.clone()));
            }
        }
        for (job, task, worker, step) in slow {
            let place = StageKey {
                job,
                occurrence: task.occurrence,
                step: task.step,
            };
            if let Some(task) = self.task_mut(job, &task)
                && !task.avoid.contains(&worker)
            {
                task.avoid.push(worker);
            }
            let chosen = self.choose(place, task.index, &step, None, now);
            if let Some(other) = chosen.filter(|other| *other != worker) {
                self.start(place, task.index, &step, other, None, now);
            }
        }
    }

    fn forget_ended(&mut self) {
        let over = |job: &super::Job| {
            let stages = job.rounds.iter().flat_map(|r| &r.stages);
            job.state.is_final()
                && job.stored == job.changes
                && stages.flat_map(|s| &s.tasks).all(|t| t.runs.is_empty())
        };
        for key in keys_where(&self.jobs, over) {
            self.forget(key);
        }
    }
}

/// Returns the keys of the entries that satisfy `wanted`, so that the entries can be modified.
fn keys_where<K: Key, V>(entries: &SlotMap<K, V>, wanted: impl Fn(&V) -> bool) -> Vec<K> {
    let entries = entries.iter().filter(|(_, entry)| wanted(entry));
    entries.map(|(key, _)| key).collect()
}
