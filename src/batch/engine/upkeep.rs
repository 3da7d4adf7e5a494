use std::sync::Arc;
use std::time::Duration;

use super::Engine;
use crate::batch::{RunKey, Wave, WorkerKey};
use crate::clock::Instant;
use crate::collections::{Map, Set};

/// Time for which a machine is waited for after its maintenance was ordered.
const RETURN_WITHIN: Duration = Duration::from_secs(15);

/// Time after which short tasks on a machine that is due are stopped.
const PATIENCE: Duration = Duration::from_secs(5);

/// Maintenance of one wave so far.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    pub(super) wave: Wave,
    /// Machines being emptied, and since when.
    emptying: Map<Arc<str>, Instant>,
    /// Machines down, with the worker that lived there and since when.
    down: Map<Arc<str>, (Arc<str>, Instant)>,
    done: Set<Arc<str>>,
    reported: Option<bool>,
}

impl Progress {
    pub(super) fn new(wave: Wave) -> Self {
        Self {
            wave,
            emptying: Map::default(),
            down: Map::default(),
            done: Set::default(),
            reported: None,
        }
    }
}

impl Engine {
    /// Chooses machines that are due and empties them.
    pub(super) fn empty_workers(&mut self, now: Instant, _wall_ms: u64) {
        for number in 0..self.waves.len() {
            self.note_returns(number, now);
            self.choose_machines(number, now);
        }
        let due: Set<Arc<str>> = self
            .waves
            .iter()
            .flat_map(|w| w.emptying.keys().cloned())
            .collect();
        for worker in self.workers.values_mut() {
            worker.cordoned = due.contains(&worker.offer.machine);
        }
        let cordoned = |w: &super::Worker| w.cordoned || w.offer.draining;
        let keys: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, w)| cordoned(w))
            .map(|(k, _)| k)
            .collect();
        for key in keys {
            self.move_lasting(key, now);
        }
    }

    fn note_returns(&mut self, number: usize, now: Instant) {
        let progress = &mut self.waves[number];
        let workers = &self.workers;
        progress.down.retain(|machine, (old, since)| {
            let back = workers.values().any(|w| {
                !w.gone && w.offer.machine == *machine && w.offer.id != *old && w.heard.is_some()
            });
            !back && now.since(*since) < RETURN_WITHIN
        });
    }

    fn choose_machines(&mut self, number: usize, now: Instant) {
        let progress = &self.waves[number];
        let maximum = progress.wave.maximum.max(1);
        let mut room = maximum.saturating_sub(progress.down.len() + progress.emptying.len());
        let mut chosen = Vec::new();
        for machine in &progress.wave.machines {
            let known = progress.emptying.contains_key(machine)
                || progress.down.contains_key(machine)
                || progress.done.contains(machine);
            let here = self
                .workers
                .values()
                .any(|w| w.offer.machine == *machine && !w.gone);
            if room == 0 {
                break;
            }
            if !known && here {
                room -= 1;
                chosen.push(machine.clone());
            }
        }
        for machine in chosen {
            self.waves[number].emptying.insert(machine, now);
        }
    }

    /// Stops lasting tasks on a worker that must become empty, as far as their steps allow.
    fn move_lasting(&mut self, key: WorkerKey, now: Instant) {
        let worker = &self.workers[key];
        let leaving = worker.offer.draining;
        let patient = self
            .waves
            .iter()
            .filter_map(|w| w.emptying.get(&worker.offer.machine));
        let overdue = patient
            .min()
            .is_some_and(|since| now.since(*since) > PATIENCE);
        for run in worker.runs.clone() {
            let run_ref = &self.runs[run];
            let movable = if run_ref.lasting {
                leaving || self.may_move(run, now)
            } else {
                overdue
            };
            if movable && run_ref.stopping.is_none() && run_ref.confirmed.is_some() {
                self.stop(run, now);
            }
        }
    }

    /// Returns whether a lasting task may be stopped: not too many others of its step are away.
    fn may_move(&self, key: RunKey, _now: Instant) -> bool {
        let run = &self.runs[key];
        let Some(stage) = self.stage(run.job, run.task.occurrence, run.task.step) else {
            return true;
        };
        let step = &self.jobs[run.job].record.spec.steps[run.task.step as usize];
        let at_work = |task: &super::Task| {
            task.runs.iter().any(|r| {
                let r = &self.runs[*r];
                r.confirmed.is_some() && r.stopping.is_none() && (r.percent >= 100 || r.pace < 100)
            })
        };
        let others = stage.tasks.iter().enumerate();
        let others = others.filter(|(index, _)| *index != run.task.index as usize);
        let away = others.filter(|(_, task)| !at_work(task)).count();
        away < (step.may_miss as usize).max(1)
    }

    /// Returns the machines that are empty and may go down for a wave: number and machine.
    pub fn upkeep_due(&self) -> Vec<(u64, Arc<str>)> {
        let empty = |machine: &Arc<str>| {
            let mut here = self
                .workers
                .values()
                .filter(|w| w.offer.machine == *machine);
            here.all(|w| w.runs.is_empty())
        };
        let mut due = Vec::new();
        for progress in &self.waves {
            let room = progress
                .wave
                .maximum
                .max(1)
                .saturating_sub(progress.down.len());
            let ready = progress.emptying.keys().filter(|m| empty(m)).take(room);
            due.extend(ready.map(|machine| (progress.wave.number, machine.clone())));
        }
        due
    }

    /// Takes note that the maintenance of a machine has begun, or had been done before.
    pub fn upkeep_begun(&mut self, wave: u64, machine: &Arc<str>, now: Instant) {
        let old = self.workers.values().find(|w| w.offer.machine == *machine);
        let old = old.map(|w| w.offer.id.clone()).unwrap_or_default();
        if let Some(progress) = self.waves.iter_mut().find(|w| w.wave.number == wave) {
            progress.emptying.remove(machine);
            progress.done.insert(machine.clone());
            progress.down.insert(machine.clone(), (old, now));
        }
    }

    /// Takes note that the maintenance of a machine cannot begin; it is chosen again later.
    pub fn upkeep_refused(&mut self, wave: u64, machine: &Arc<str>) {
        if let Some(progress) = self.waves.iter_mut().find(|w| w.wave.number == wave) {
            progress.emptying.remove(machine);
        }
    }

    /// Returns the waves whose state is to be reported: number and whether it is complete.
    pub fn wave_reports(&self) -> Vec<(u64, bool)> {
        let report = |w: &Progress| {
            let complete = w.wave.machines.iter().all(|m| w.done.contains(m)) && w.down.is_empty();
            (w.reported != Some(complete)).then_some((w.wave.number, complete))
        };
        self.waves.iter().filter_map(report).collect()
    }

    /// Takes note that the state of a wave was reported.
    pub fn wave_reported(&mut self, wave: u64, complete: bool) {
        if let Some(progress) = self.waves.iter_mut().find(|w| w.wave.number == wave) {
            progress.reported = Some(complete);
        }
    }
}
