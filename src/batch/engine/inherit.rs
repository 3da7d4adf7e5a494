use std::sync::Arc;
use std::time::Duration;

use super::unheard::Unheard;
use super::{Engine, StageKey, Worker};
use crate::batch::leadership::ACT_FOR;
use crate::batch::{Busy, RunKey, TaskId};
use crate::clock::Instant;

impl Engine {
    /// Takes over from the last leader, which began to be followed at `begun`.
    ///
    /// The list of a leader that resigned is complete. One that crashed may have started tasks
    /// after it wrote the list, but none on a worker that did not answer.
    pub fn inherit(&mut self, busy: &[Busy], resigned: bool, begun: Instant) {
        let longest = begun + ACT_FOR + self.lapse();
        for worker in busy {
            let exact = resigned || worker.silent;
            let until = begun + Duration::from_millis(worker.lease_ms);
            let unheard = Unheard {
                service: worker.service.clone(),
                until: if exact { until } else { longest },
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
    }

    /// Lists the workers that may have runs, for the next leader.
    pub fn busy(&self, now: Instant) -> Vec<Busy> {
        let row = |worker: &Worker| {
            let task = |run: &RunKey| self.runs[*run].task.clone();
            let lease = worker.lease_until.since(now);
            Busy {
                worker: worker.offer.id.clone(),
                service: worker.offer.service.clone(),
                silent: worker.failing,
                lease_ms: u64::try_from(lease.as_millis()).unwrap_or(u64::MAX),
                tasks: worker.runs.iter().map(task).collect(),
            }
        };
        let busy = self.workers.values().filter(|w| !w.runs.is_empty());
        busy.map(row).collect()
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
