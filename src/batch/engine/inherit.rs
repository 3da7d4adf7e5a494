use std::sync::Arc;
use std::time::Duration;

use super::unheard::Unheard;
use super::{Engine, StageKey, Worker};
use crate::batch::leadership::ACT_FOR;
use crate::batch::{Busy, RunKey, TaskId};
use crate::clock::Instant;

/// Time that a new leader waits, beyond the duration of a stop, before it moves lasting tasks.
/// Stops ordered by the previous leader are over by then, so it knows which tasks are down.
const MOVE_AFTER: Duration = Duration::from_millis(1_500);

impl Engine {
    /// Takes over from the previous leader; `begun` is the start of this leader's term.
    ///
    /// The list of a leader that resigned is complete. A leader that crashed may have started tasks
    /// after it wrote the list, but not on a worker that did not answer.
    pub fn inherit(&mut self, busy: &[Busy], resigned: bool, begun: Instant) {
        let longest = begun + ACT_FOR + self.longest_lapse();
        for worker in busy {
            let listed = self.worker_ids.contains_key(&worker.worker);
            let exact = resigned || worker.silent || !listed;
            let until = if resigned || worker.silent {
                begun + Duration::from_millis(worker.lease_ms)
            } else if listed {
                longest
            } else {
                begun + self.longest_lapse()
            };
            let unheard = Unheard {
                service: worker.service.clone(),
                machine: worker.machine.clone(),
                born_ms: worker.born_ms,
                until,
                tasks: (exact && !worker.unknown).then(|| worker.tasks.clone()),
            };
            self.unheard.insert(worker.worker.clone(), unheard);
        }
        if !resigned {
            for worker in self.workers.values() {
                let unheard = || Unheard {
                    service: worker.offer.service.clone(),
                    machine: worker.offer.machine.clone(),
                    born_ms: worker.offer.born_ms,
                    until: longest,
                    tasks: None,
                };
                self.unheard
                    .entry(worker.offer.id.clone())
                    .or_insert_with(unheard);
            }
        }
        self.drop_unheard(begun);
        for job in self.jobs.values_mut() {
            job.inherited = true;
        }
        self.moves_from = begun + self.tuning.stop + MOVE_AFTER;
    }

    /// Removes unreached workers whose runs have certainly ended: the lease has expired, a newer
    /// worker process runs on the machine, or the machine was shut down or moved to another pool.
    pub(super) fn drop_unheard(&mut self, now: Instant) {
        let (workers, machines) = (&self.workers, &self.pools.machines);
        self.unheard.retain(|_, unheard| {
            let younger = |worker: &Worker| {
                worker.offer.machine == unheard.machine && worker.offer.born_ms > unheard.born_ms
            };
            let replaced = !unheard.machine.is_empty() && workers.values().any(younger);
            let machine = machines.get(&unheard.machine);
            let away = machine.is_some_and(|m| !m.up || m.pool != unheard.service);
            now < unheard.until && !replaced && !away
        });
    }

    /// Lists the workers with runs that do not answer or are no longer in the store, for a
    /// successor in case this leader crashes. The successor can poll all others.
    ///
    /// The successor treats the list of tasks on such a worker as complete, so nothing is started
    /// there until a renewal without that worker has succeeded.
    pub fn report_silent(&mut self, now: Instant) -> Vec<Busy> {
        self.reports += 1;
        let silent = |worker: &Worker| worker.failing || worker.gone;
        let mut list = self.list(|worker| silent(worker), now);
        // The successor already assumes that any task may run on a worker that the store lists.
        let told = |row: &Busy| !row.unknown || !self.worker_ids.contains_key(&row.worker);
        list.extend(self.list_unheard(now).filter(told));
        for row in &list {
            if let Some(key) = self.worker_ids.get(&row.worker) {
                self.workers[*key].reported = self.reports;
            }
        }
        list
    }

    /// Lists all workers that have runs, for the next leader.
    pub fn busy(&self, now: Instant) -> Vec<Busy> {
        let mut list = self.list(|_| true, now);
        list.extend(self.list_unheard(now));
        list
    }

    /// Lists the inherited workers that have not answered this leader.
    fn list_unheard(&self, now: Instant) -> impl Iterator<Item = Busy> {
        let unheard = self.unheard.iter();
        let unheard = unheard.filter(move |(_, unheard)| now < unheard.until);
        unheard.map(move |(worker, unheard)| Busy {
            worker: worker.clone(),
            service: unheard.service.clone(),
            machine: unheard.machine.clone(),
            born_ms: unheard.born_ms,
            silent: true,
            lease_ms: remaining_ms(unheard.until, now),
            tasks: unheard.tasks.clone().unwrap_or_default(),
            unknown: unheard.tasks.is_none(),
        })
    }

    fn list(&self, wanted: impl Fn(&&Worker) -> bool, now: Instant) -> Vec<Busy> {
        let row = |worker: &Worker| {
            let task = |run: &RunKey| self.runs[*run].task.clone();
            Busy {
                worker: worker.offer.id.clone(),
                service: worker.offer.service.clone(),
                machine: worker.offer.machine.clone(),
                born_ms: worker.offer.born_ms,
                silent: worker.failing || worker.gone,
                lease_ms: remaining_ms(worker.lease_until, now),
                tasks: worker.runs.iter().map(task).collect(),
                unknown: false,
            }
        };
        let busy = self.workers.values().filter(|w| !w.runs.is_empty());
        busy.filter(wanted).map(row).collect()
    }

    /// Logs the workers for which a new leader still waits.
    pub(super) fn report_unheard(&mut self, now: Instant) {
        if self.unheard.is_empty() || now < self.moves_from || self.unheard_reported {
            return;
        }
        self.unheard_reported = true;
        for (id, unheard) in &self.unheard {
            log::warn!(event = "worker-unheard", worker = id, service = unheard.service,
                exact = unheard.tasks.is_some(), listed = self.worker_ids.contains_key(id),
                wait_ms = unheard.until.since(now).as_millis(); "");
        }
    }

    /// Returns whether a task may still be running on an inherited worker that has not answered.
    pub(super) fn may_run_unheard(&self, place: StageKey, index: u32, now: Instant) -> bool {
        let job = &self.jobs[place.job];
        if !job.inherited || self.unheard.is_empty() {
            return false;
        }
        let same = |task: &TaskId| {
            task.index == index
                && task.step == place.step
                && task.occurrence == place.occurrence
                && task.job == job.id
        };
        let service: &Arc<str> = &job.service;
        self.unheard.values().any(|unheard| {
            now < unheard.until
                && match &unheard.tasks {
                    Some(tasks) => tasks.iter().any(same),
                    None => unheard.service == *service,
                }
        })
    }
}

fn remaining_ms(until: Instant, now: Instant) -> u64 {
    u64::try_from(until.since(now).as_millis()).unwrap_or(u64::MAX)
}
