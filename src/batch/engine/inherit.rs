use std::sync::Arc;
use std::time::Duration;

use super::unheard::Unheard;
use super::{Engine, StageKey, Worker};
use crate::batch::leadership::ACT_FOR;
use crate::batch::{Busy, RunKey, TaskId};
use crate::clock::Instant;

/// Time beyond that of a stop after which a new leader stops lasting tasks: stops of the last
/// leader are over, so it knows which tasks are away.
const MOVE_AFTER: Duration = Duration::from_millis(1_500);

impl Engine {
    /// Takes over from the last leader, which began to be followed at `begun`.
    ///
    /// The list of a leader that resigned is complete. One that crashed may have started tasks
    /// after it wrote the list, but none on a worker that did not answer.
    pub fn inherit(&mut self, busy: &[Busy], resigned: bool, begun: Instant) {
        let longest = begun + ACT_FOR + self.lapse();
        for worker in busy {
            if self.is_replaced(worker) {
                continue;
            }
            let listed = self.worker_ids.contains_key(&worker.worker);
            let exact = resigned || worker.silent || !listed;
            let until = if resigned || worker.silent {
                begun + Duration::from_millis(worker.lease_ms)
            } else if listed {
                longest
            } else {
                begun + self.lapse()
            };
            let unheard = Unheard {
                service: worker.service.clone(),
                until,
                tasks: exact.then(|| worker.tasks.clone()),
            };
            self.unheard.insert(worker.worker.clone(), unheard);
        }
        if !resigned {
            for worker in self.workers.values() {
                let unheard = || Unheard {
                    service: worker.offer.service.clone(),
                    until: longest,
                    tasks: None,
                };
                self.unheard
                    .entry(worker.offer.id.clone())
                    .or_insert_with(unheard);
            }
        }
        for job in self.jobs.values_mut() {
            job.inherited = true;
        }
        self.moves_from = begun + self.tuning.stop + MOVE_AFTER;
    }

    /// Returns whether a younger worker lives on the machine, so that all runs there have ended.
    fn is_replaced(&self, busy: &Busy) -> bool {
        !busy.machine.is_empty()
            && self.workers.values().any(|worker| {
                worker.offer.machine == busy.machine && worker.offer.born_ms > busy.born_ms
            })
    }

    /// Lists the workers with runs that do not answer or are no longer listed, for a next leader
    /// that comes without notice. It can ask all others.
    pub fn silent(&self, now: Instant) -> Vec<Busy> {
        let silent = |worker: &&Worker| worker.failing || worker.gone;
        self.list(silent, now)
    }

    /// Lists all workers that have runs, for the next leader.
    pub fn busy(&self, now: Instant) -> Vec<Busy> {
        self.list(|_| true, now)
    }

    fn list(&self, wanted: impl Fn(&&Worker) -> bool, now: Instant) -> Vec<Busy> {
        let row = |worker: &Worker| {
            let task = |run: &RunKey| self.runs[*run].task.clone();
            let lease = worker.lease_until.since(now);
            Busy {
                worker: worker.offer.id.clone(),
                service: worker.offer.service.clone(),
                machine: worker.offer.machine.clone(),
                born_ms: worker.offer.born_ms,
                silent: worker.failing || worker.gone,
                lease_ms: u64::try_from(lease.as_millis()).unwrap_or(u64::MAX),
                tasks: worker.runs.iter().map(task).collect(),
            }
        };
        let busy = self.workers.values().filter(|w| !w.runs.is_empty());
        busy.filter(wanted).map(row).collect()
    }

    /// Returns whether the last leader may have a run of a task on a worker that was not heard.
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
