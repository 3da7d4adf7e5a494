use std::sync::Arc;
use std::time::Duration;

use super::wave_progress::{Slot, WaveProgress};
use super::{Engine, Worker};
use crate::batch::{RunKey, WorkerKey};
use crate::clock::Instant;
use crate::collections::{Map, Set};
use crate::jobs::Size;

/// Time after which a machine counts as back even if no worker has appeared on it.
const RETURN_WITHIN: Duration = Duration::from_secs(15);

/// Time beyond the maintenance itself after which a machine that had no worker counts as back.
const RETURN_SLACK: Duration = Duration::from_millis(1_200);

/// Time allowed for emptying a machine and for its worker to return, beyond the maintenance itself.
const EMPTY_WITHIN: Duration = Duration::from_millis(2_200);

/// Fraction of the time of a wave that is planned for; the rest is reserve for failures and delays.
const PLANNED: f64 = 0.75;

/// Divisor for the machines of one service that are down at once: a third of those of all services.
const SERVICES_AT_ONCE: usize = 3;

/// Time after which short tasks are stopped on a machine that is due.
const PATIENCE: Duration = Duration::from_secs(5);

/// Time before maintenance is tried again after it was refused.
const REFUSED_FOR: Duration = Duration::from_secs(1);

/// Age of the latest answer of a worker from which its tasks count as down.
const HEARD_WITHIN: Duration = Duration::from_millis(1_500);

impl Engine {
    /// Chooses machines that are due for maintenance, and moves tasks off them and off draining
    /// workers.
    pub(super) fn empty_workers(&mut self, now: Instant) {
        for number in 0..self.waves.len() {
            self.note_returns(number, now);
            while let Some((machine, slot)) = self.choose_machine(number, now) {
                self.waves[number].emptying.insert(machine, slot);
            }
        }
        let due = self.waves.iter().flat_map(|w| w.emptying.keys().cloned());
        let due: Set<Arc<str>> = due.collect();
        for worker in self.workers.values_mut() {
            worker.cordoned = due.contains(&worker.offer.machine);
        }
        let leaving = |w: &Worker| w.cordoned || w.offer.draining;
        let keys = self.workers.iter().filter(|(_, w)| leaving(w));
        let keys: Vec<WorkerKey> = keys.map(|(key, _)| key).collect();
        for key in keys {
            self.move_tasks(key, now);
        }
    }

    fn note_returns(&mut self, number: usize, now: Instant) {
        let workers = &self.workers;
        let absent = self.tuning.upkeep + RETURN_SLACK;
        self.waves[number].down.retain(|machine, slot| {
            let back = workers.values().any(|w| {
                let younger = w.offer.born_ms > slot.born_ms;
                let new = younger || (w.offer.born_ms == 0 && w.offer.id != slot.worker);
                !w.gone && w.offer.machine == *machine && new && w.heard.is_some()
            });
            let age = now.since(slot.since);
            let over = slot.worker.is_empty() && age > absent;
            !back && !over && age < RETURN_WITHIN
        });
    }

    /// Chooses the next machine of a wave, of the least used service. Returns `None` once as many
    /// are in progress as the remaining time requires.
    fn choose_machine(&self, number: usize, now: Instant) -> Option<(Arc<str>, Slot)> {
        let progress = &self.waves[number];
        let at_once = self.machines_at_once(progress, now);
        if progress.down.len() + progress.emptying.len() >= at_once {
            return None;
        }
        let most = at_once.div_ceil(SERVICES_AT_ONCE);
        let used = self.used_parts();
        let mut best: Option<(f64, Arc<str>, Slot)> = None;
        for machine in &progress.wave.machines {
            if !progress.is_left(machine, now) {
                continue;
            }
            let here = self
                .workers
                .values()
                .filter(|w| w.offer.machine == *machine);
            // The store may still list an earlier process on the machine.
            let here = here.max_by_key(|w| w.offer.born_ms);
            let slot = Slot {
                service: here.map(|w| w.offer.service.clone()).unwrap_or_default(),
                worker: here.map(|w| w.offer.id.clone()).unwrap_or_default(),
                born_ms: here.map_or(0, |w| w.offer.born_ms),
                since: now,
            };
            let service = &slot.service;
            if !service.is_empty() && progress.taken(service) >= most {
                continue;
            }
            let part = used.get(service).copied().unwrap_or_default();
            if best.as_ref().is_none_or(|(least, ..)| part < *least) {
                best = Some((part, machine.clone(), slot));
            }
        }
        best.map(|(_, machine, slot)| (machine, slot))
    }

    fn machines_at_once(&self, progress: &WaveProgress, now: Instant) -> usize {
        let left = progress.wave.machines.len() - progress.done.len();
        let time = progress.wave.due.since(now).mul_f64(PLANNED);
        let each = self.tuning.upkeep + EMPTY_WITHIN;
        let needed = each.as_secs_f64() * left as f64 / time.as_secs_f64().max(1.0);
        (needed.ceil() as usize).clamp(1, progress.wave.maximum.max(1))
    }

    /// Returns the fraction of the processors of each service that is in use.
    pub(super) fn used_parts(&self) -> Map<Arc<str>, f64> {
        let mut sums: Map<Arc<str>, (Size, Size)> = Map::default();
        for worker in self.workers.values().filter(|w| !w.gone) {
            let (used, all) = sums.entry(worker.offer.service.clone()).or_default();
            (*used, *all) = (*used + worker.used, *all + worker.offer.capacity);
        }
        let part =
            |(used, all): (Size, Size)| used.processors as f64 / all.processors.max(1) as f64;
        sums.into_iter()
            .map(|(service, sum)| (service, part(sum)))
            .collect()
    }

    /// Stops tasks on a worker that must become empty, as far as their steps allow.
    fn move_tasks(&mut self, key: WorkerKey, now: Instant) {
        let worker = &self.workers[key];
        let leaving = worker.offer.draining;
        let slots = self
            .waves
            .iter()
            .filter_map(|w| w.emptying.get(&worker.offer.machine));
        let since = slots.map(|slot| slot.since).min();
        let overdue = since.is_some_and(|since| now.since(since) > PATIENCE);
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

    /// Returns whether a lasting task may be stopped: few enough others of its step are down.
    pub(super) fn may_move(&self, key: RunKey, now: Instant) -> bool {
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
        let at_work = |task: &super::Task| task.runs.iter().any(|run| self.is_at_work(*run, now));
        let away = others.filter(|(_, task)| !at_work(task)).count();
        away < (step.may_miss as usize).max(1)
    }

    fn is_at_work(&self, key: RunKey, now: Instant) -> bool {
        let run = &self.runs[key];
        let worker = self.workers.get(run.worker).filter(|w| !w.failing);
        let heard = worker.and_then(|w| w.heard);
        heard.is_some_and(|at| now.since(at) < HEARD_WITHIN)
            && run.confirmed.is_some()
            && run.stopping.is_none()
            && (run.percent >= 100 || run.pace < 100)
    }

    /// Returns the machines that are empty and may go down now: wave number and machine. A worker
    /// with unstored ends does not count as empty, since they would be lost with it.
    pub fn upkeep_due(&self) -> Vec<(u64, Arc<str>)> {
        let empty = |machine: &Arc<str>| {
            let mut here = self
                .workers
                .values()
                .filter(|w| w.offer.machine == *machine);
            here.all(|w| w.runs.is_empty() && self.has_stored_ends(w))
        };
        let mut due = Vec::new();
        for progress in &self.waves {
            let maximum = progress.wave.maximum.max(1);
            let room = maximum.saturating_sub(progress.down.len());
            let ready = progress.emptying.keys().filter(|m| empty(m)).take(room);
            due.extend(ready.map(|machine| (progress.wave.number, machine.clone())));
        }
        due
    }

    /// Records that the maintenance of a machine has begun, or was done before.
    pub fn upkeep_begun(&mut self, wave: u64, machine: &Arc<str>, now: Instant) {
        let Some(progress) = self.waves.iter_mut().find(|w| w.wave.number == wave) else {
            return;
        };
        if let Some(slot) = progress.emptying.remove(machine) {
            progress
                .down
                .insert(machine.clone(), Slot { since: now, ..slot });
        }
        progress.done.insert(machine.clone());
        for worker in self.workers.values_mut() {
            worker.gone |= worker.offer.machine == *machine;
        }
    }

    /// Records that the maintenance of a machine was refused; the machine is chosen again later.
    pub fn upkeep_refused(&mut self, wave: u64, machine: &Arc<str>, now: Instant) {
        if let Some(progress) = self.waves.iter_mut().find(|w| w.wave.number == wave) {
            progress.emptying.remove(machine);
            progress.refused.insert(machine.clone(), now + REFUSED_FOR);
        }
    }

    /// Returns the machines whose maintenance has begun, by wave number, for the next leader.
    pub fn maintained(&self) -> Vec<(u64, Vec<Arc<str>>)> {
        let row = |w: &WaveProgress| (w.wave.number, w.done.iter().cloned().collect());
        self.waves.iter().map(row).collect()
    }

    /// Restores which machines the previous leader has maintained.
    pub fn inherit_waves(&mut self, maintained: &[(u64, Vec<Arc<str>>)]) {
        for (number, machines) in maintained {
            if let Some(progress) = self.waves.iter_mut().find(|w| w.wave.number == *number) {
                progress.done.extend(machines.iter().cloned());
            }
        }
    }

    /// Returns the waves whose state must be reported: number and whether the wave is complete.
    pub fn wave_reports(&self) -> Vec<(u64, bool)> {
        let report = |w: &WaveProgress| {
            let complete = w.wave.machines.iter().all(|m| w.done.contains(m)) && w.down.is_empty();
            (w.reported != Some(complete)).then_some((w.wave.number, complete))
        };
        self.waves.iter().filter_map(report).collect()
    }

    /// Records that the state of a wave was reported.
    pub fn wave_reported(&mut self, wave: u64, complete: bool) {
        if let Some(progress) = self.waves.iter_mut().find(|w| w.wave.number == wave) {
            progress.reported = Some(complete);
        }
    }
}
