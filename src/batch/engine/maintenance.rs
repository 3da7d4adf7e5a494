use std::sync::Arc;
use std::time::Duration;

use super::emptying::STOP_SHORT_TASKS_AFTER;
use super::wave_progress::{Maintenance, WaveProgress};
use super::{Engine, Worker};
use crate::batch::WorkerKey;
use crate::clock::Instant;
use crate::collections::{Map, Set};
use crate::jobs::Size;

/// Time after which a machine counts as back even if no worker has appeared on it.
const RETURN_TIMEOUT: Duration = Duration::from_secs(15);

/// Time beyond the maintenance itself after which a machine that had no worker counts as back.
const NO_WORKER_RETURN_MARGIN: Duration = Duration::from_millis(1_200);

/// Time allowed for emptying a machine and for its worker to return, beyond the maintenance itself.
const EMPTY_AND_RETURN_TIME: Duration = Duration::from_millis(2_200);

/// Fraction of the time of a wave that is planned for; the rest allows for failures
/// and delays.
const PLANNED_FRACTION: f64 = 0.75;

/// Divisor for the machines of one service that are down at once: a third of those of all services.
const SERVICE_LIMIT_DIVISOR: usize = 3;

/// Time before maintenance is tried again after it was refused.
const REFUSED_PAUSE: Duration = Duration::from_secs(1);

impl Engine {
    /// Chooses machines that are due for maintenance, and moves tasks off them and off draining
    /// workers.
    pub(super) fn empty_due_machines(&mut self, now: Instant) {
        self.drop_gone_machines();
        for wave_index in 0..self.waves.len() {
            self.drop_returned(wave_index, now);
            while let Some((machine, maintenance)) = self.choose_machine(wave_index, now) {
                self.waves[wave_index].emptying.insert(machine, maintenance);
            }
        }
        let due = self.waves.iter().flat_map(|w| w.emptying.keys().cloned());
        let due: Set<Arc<str>> = due.collect();
        for worker in self.workers.values_mut() {
            worker.cordoned = due.contains(&worker.profile.machine);
        }
        let must_empty = |w: &Worker| w.cordoned || w.profile.draining;
        let keys = self.workers.iter().filter(|(_, w)| must_empty(w));
        let keys: Vec<WorkerKey> = keys.map(|(key, _)| key).collect();
        for key in keys {
            self.move_tasks(key, now);
        }
    }

    /// Takes machines that do not exist any more out of all waves: their maintenance would be refused
    /// without end.
    fn drop_gone_machines(&mut self) {
        let pools = &self.pools;
        for progress in &mut self.waves {
            let machines = &mut progress.wave.machines;
            machines.retain(|machine| !pools.is_gone(machine));
            progress
                .emptying
                .retain(|machine, _| !pools.is_gone(machine));
            progress.down.retain(|machine, _| !pools.is_gone(machine));
            progress.done.retain(|machine| !pools.is_gone(machine));
        }
    }

    fn drop_returned(&mut self, wave_index: usize, now: Instant) {
        let workers = &self.workers;
        let return_time = self.tuning.upkeep + NO_WORKER_RETURN_MARGIN;
        self.waves[wave_index].down.retain(|machine, maintenance| {
            let has_returned = workers.values().any(|w| {
                let started_later = w.profile.born_ms > maintenance.born_ms;
                let is_new =
                    started_later || (w.profile.born_ms == 0 && w.profile.id != maintenance.worker);
                !w.delisted && w.profile.machine == *machine && is_new && w.answered_at.is_some()
            });
            let age = now.since(maintenance.since);
            let assumed_returned = maintenance.worker.is_empty() && age > return_time;
            !has_returned && !assumed_returned && age < RETURN_TIMEOUT
        });
    }

    /// Chooses the next machine of a wave, of the least used service. Returns `None` once as many
    /// are in progress as the remaining time requires.
    fn choose_machine(&self, wave_index: usize, now: Instant) -> Option<(Arc<str>, Maintenance)> {
        let progress = &self.waves[wave_index];
        let max_machines = self.machines_at_once(progress, now);
        if progress.down.len() + progress.emptying.len() >= max_machines {
            return None;
        }
        let max_of_service = max_machines.div_ceil(SERVICE_LIMIT_DIVISOR);
        let used_fractions = self.used_fractions();
        let mut best: Option<(f64, Arc<str>, Maintenance)> = None;
        for machine in &progress.wave.machines {
            // The platform refuses the maintenance of a machine in transit.
            let in_transit = self.pools.transfers.contains_key(machine);
            if in_transit || !progress.may_be_chosen(machine, now) {
                continue;
            }
            let on_machine = self
                .workers
                .values()
                .filter(|w| w.profile.machine == *machine);
            // The store may still list an earlier process on the machine.
            let on_machine = on_machine.max_by_key(|w| w.recency());
            let maintenance = Maintenance {
                service: on_machine
                    .map(|w| w.profile.service.clone())
                    .unwrap_or_default(),
                worker: on_machine.map(|w| w.profile.id.clone()).unwrap_or_default(),
                born_ms: on_machine.map_or(0, |w| w.profile.born_ms),
                since: now,
            };
            let service = &maintenance.service;
            if !service.is_empty() && progress.count_in_progress(service) >= max_of_service {
                continue;
            }
            let fraction = used_fractions.get(service).copied().unwrap_or_default();
            if best.as_ref().is_none_or(|(least, ..)| fraction < *least) {
                best = Some((fraction, machine.clone(), maintenance));
            }
        }
        best.map(|(_, machine, maintenance)| (machine, maintenance))
    }

    /// Returns whether a machine is still due in a wave that ends too soon for a move before its
    /// maintenance.
    pub(super) fn must_stay_for_maintenance(&self, machine: &Arc<str>, now: Instant) -> bool {
        let move_time = self.tuning.relocation + EMPTY_AND_RETURN_TIME;
        let empty_time = STOP_SHORT_TASKS_AFTER + self.tuning.stop;
        self.waves.iter().any(|progress| {
            let left = progress.wave.due.since(now);
            progress.is_due(machine) && left > Duration::ZERO && left < move_time + empty_time
        })
    }

    fn machines_at_once(&self, progress: &WaveProgress, now: Instant) -> usize {
        let remaining = progress
            .wave
            .machines
            .len()
            .saturating_sub(progress.done.len());
        // The reserve is a share of the whole time: a share of what is left would shrink with it, and
        // the last machine would begin just before the end.
        let reserve = progress.wave.within.mul_f64(1.0 - PLANNED_FRACTION);
        let planned_time = progress.wave.due.since(now).saturating_sub(reserve);
        let time_per_machine = self.tuning.upkeep + EMPTY_AND_RETURN_TIME;
        let needed =
            time_per_machine.as_secs_f64() * remaining as f64 / planned_time.as_secs_f64().max(1.0);
        (needed.ceil() as usize).clamp(1, progress.wave.maximum.max(1))
    }

    /// Returns the fraction of the processors of each service that is in use.
    pub(super) fn used_fractions(&self) -> Map<Arc<str>, f64> {
        let mut sums: Map<Arc<str>, (Size, Size)> = Map::default();
        for worker in self.workers.values().filter(|w| !w.delisted) {
            let (used, all) = sums.entry(worker.profile.service.clone()).or_default();
            (*used, *all) = (*used + worker.used, *all + worker.profile.capacity);
        }
        let fraction =
            |(used, all): (Size, Size)| used.processors as f64 / all.processors.max(1) as f64;
        sums.into_iter()
            .map(|(service, sum)| (service, fraction(sum)))
            .collect()
    }

    /// Returns the machines that are empty and may go down now: wave number and machine. A worker
    /// with unstored ends does not count as empty, since they would be lost with it, and neither
    /// does one that may have runs of the previous leader.
    pub fn maintenance_due(&self) -> Vec<(u64, Arc<str>)> {
        let is_empty = |machine: &Arc<str>| {
            let mut on_machine = self
                .workers
                .values()
                .filter(|w| w.profile.machine == *machine);
            on_machine.all(|w| w.runs.is_empty() && self.has_stored_ends(w))
                && !self.may_have_inherited_runs(machine)
        };
        let mut due = Vec::new();
        for progress in &self.waves {
            let maximum = progress.wave.maximum.max(1);
            let available = maximum.saturating_sub(progress.down.len());
            let ready = progress
                .emptying
                .keys()
                .filter(|m| is_empty(m))
                .take(available);
            due.extend(ready.map(|machine| (progress.wave.number, machine.clone())));
        }
        due
    }

    /// Records that the maintenance of a machine has begun, or was done before.
    pub fn record_maintenance_start(&mut self, wave: u64, machine: &Arc<str>, now: Instant) {
        let Some(progress) = self.waves.iter_mut().find(|w| w.wave.number == wave) else {
            return;
        };
        if let Some(maintenance) = progress.emptying.remove(machine) {
            progress.down.insert(
                machine.clone(),
                Maintenance {
                    since: now,
                    ..maintenance
                },
            );
        }
        progress.done.insert(machine.clone());
        self.record_shutdown(machine, now);
    }

    /// Records that the maintenance of a machine was refused; the machine is chosen again later.
    pub fn record_refused_maintenance(&mut self, wave: u64, machine: &Arc<str>, now: Instant) {
        if let Some(progress) = self.waves.iter_mut().find(|w| w.wave.number == wave) {
            progress.emptying.remove(machine);
            progress
                .refused_until
                .insert(machine.clone(), now + REFUSED_PAUSE);
        }
    }

    /// Returns the machines whose maintenance has begun, by wave number, for the next leader.
    pub fn maintained(&self) -> Vec<(u64, Vec<Arc<str>>)> {
        let row = |w: &WaveProgress| (w.wave.number, w.done.iter().cloned().collect());
        self.waves.iter().map(row).collect()
    }

    /// Restores which machines the previous leader has maintained.
    pub fn restore_maintained(&mut self, maintained: &[(u64, Vec<Arc<str>>)]) {
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
            (w.reported_complete != Some(complete)).then_some((w.wave.number, complete))
        };
        self.waves.iter().filter_map(report).collect()
    }

    /// Records that the state of a wave was reported.
    pub fn record_wave_report(&mut self, wave: u64, complete: bool) {
        if let Some(progress) = self.waves.iter_mut().find(|w| w.wave.number == wave) {
            progress.reported_complete = Some(complete);
        }
    }
}
