use std::sync::Arc;

use super::{Engine, StageKey, Worker};
use crate::batch::{Step, WorkerKey};
use crate::clock::Instant;

/// Maximum number of lasting tasks packed on one worker. More of them save machines, but each is
/// moved by itself before the machine can be maintained.
const LASTING_TOGETHER: usize = 4;

/// Maximum number of lasting tasks of one step packed on a worker, because a step allows only few
/// of its tasks to be down at once.
const STEP_TOGETHER: usize = 2;

/// Suitability of a worker for a task, compared field by field; the largest is chosen.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct Fit {
    /// The task has neither failed nor stalled on this worker.
    untried: bool,
    near_data: bool,
    /// For a lasting task, the machine is neither lent nor due for maintenance.
    settled: bool,
    /// No task on the worker would interfere with this one.
    undisturbed: bool,
    /// For a lasting task, the worker already has some, so that other machines stay free to move.
    together: bool,
    /// Smallest fraction of processors or memory that stays free.
    spare: f64,
}

impl Engine {
    /// Chooses a worker with enough free capacity for a task.
    pub(super) fn choose(
        &self,
        place: StageKey,
        index: u32,
        step: &Step,
        rack: Option<&Arc<str>>,
        now: Instant,
    ) -> Option<WorkerKey> {
        let job = &self.jobs[place.job];
        if !self.is_within_maximum(&job.record.workspace, step) {
            return None;
        }
        let stage = self.stage(place.job, place.occurrence, place.step)?;
        let advised = self
            .config
            .route_named(&job.record.route)
            .is_some_and(|route| route.advice.is_some());
        let task = &stage.tasks[index as usize];
        let suits = |key: WorkerKey, worker: &Worker| {
            *worker.offer.service == *job.service
                && self.may_start(worker, now)
                && step.label.as_ref().is_none_or(|label| worker.has(label))
                && rack.is_none_or(|rack| worker.has(rack))
                && worker.free().fits(step.charge())
                && self.has_spread(place, step, worker)
                && (!advised
                    || stage
                        .tickets
                        .get(&key)
                        .is_some_and(|(_, until)| *until > now))
        };
        let candidates = self
            .workers
            .iter()
            .filter(|(key, worker)| suits(*key, worker));
        candidates
            .map(|(key, worker)| {
                let untried = !task.avoid.contains(&key);
                (self.fit(place, step, worker, untried), key)
            })
            .max_by(|a, b| a.0.partial_cmp(&b.0).unwrap_or(std::cmp::Ordering::Equal))
            .map(|(_, key)| key)
    }

    /// Returns whether the workspace may run one more task of a step.
    fn is_within_maximum(&self, workspace: &Arc<str>, step: &Step) -> bool {
        let known = self.config.workspaces.get(workspace);
        known.is_none_or(|w| w.admits(self.used_by(workspace), step.size))
    }

    /// Returns whether tasks may be started on a worker.
    pub(super) fn may_start(&self, worker: &Worker, now: Instant) -> bool {
        let reported = worker.reported > 0 && worker.reported >= self.stored_report;
        self.is_usable(worker, now) && !worker.leaving && !reported
    }

    /// Returns whether tasks may be started on a worker, except that its machine may be due to
    /// move.
    pub(super) fn is_usable(&self, worker: &Worker, now: Instant) -> bool {
        !worker.gone
            && !worker.offer.draining
            && !worker.cordoned
            && !worker.failing
            && worker.heard.is_some()
            && worker.shunned_until <= now
            && !self.out.contains(&worker.offer.data_centre)
    }

    fn has_spread(&self, place: StageKey, step: &Step, worker: &Worker) -> bool {
        let same = |run: &&crate::batch::RunKey| {
            let run = &self.runs[**run];
            run.job == place.job
                && run.task.step == place.step
                && run.task.occurrence == place.occurrence
        };
        step.max_per_worker == 0
            || worker.runs.iter().filter(same).count() < step.max_per_worker as usize
    }

    fn fit(&self, place: StageKey, step: &Step, worker: &Worker, untried: bool) -> Fit {
        let disturbs = |run: &&crate::batch::RunKey| {
            let run = &self.runs[**run];
            (step.filling && run.latency_ms > 0) || (step.latency_ms > 0 && run.filling)
        };
        let rest = worker.free() - step.charge();
        let capacity = worker.offer.capacity;
        let part = |rest: u64, of: u64| {
            if of == 0 {
                1.0
            } else {
                rest as f64 / of as f64
            }
        };
        Fit {
            untried,
            near_data: step.data_rack.as_ref().is_none_or(|rack| worker.has(rack)),
            settled: !step.lasting || self.is_settled(worker),
            undisturbed: !worker.runs.iter().any(|run| disturbs(&run)),
            together: step.lasting && self.has_company(place, worker),
            spare: part(rest.processors, capacity.processors)
                .min(part(rest.memory, capacity.memory)),
        }
    }

    /// Returns whether a lasting task can stay on a worker: its machine is neither lent nor due for
    /// maintenance.
    fn is_settled(&self, worker: &Worker) -> bool {
        let machine = &worker.offer.machine;
        !self.pools.is_borrowed(machine) && !self.waves.iter().any(|w| w.is_due(machine))
    }

    /// Returns whether a worker has lasting tasks and may take one more of a step.
    fn has_company(&self, place: StageKey, worker: &Worker) -> bool {
        let lasting = worker.runs.iter().map(|run| &self.runs[*run]);
        let lasting = lasting.filter(|run| run.lasting);
        let same = lasting
            .clone()
            .filter(|run| run.job == place.job && run.task.step == place.step);
        let count = lasting.count();
        (1..LASTING_TOGETHER).contains(&count) && same.count() < STEP_TOGETHER
    }

    /// Returns the racks of a service, in descending order of free processors.
    pub(super) fn racks_of(&self, place: StageKey) -> Vec<Arc<str>> {
        let service = &self.jobs[place.job].service;
        let mut free: Vec<(u64, Arc<str>)> = Vec::new();
        let workers = self
            .workers
            .values()
            .filter(|w| w.offer.service == *service);
        for worker in workers {
            let Some(rack) = worker.offer.labels.last() else {
                continue;
            };
            match free.iter_mut().find(|(_, known)| known == rack) {
                Some((sum, _)) => *sum += worker.free().processors,
                None => free.push((worker.free().processors, rack.clone())),
            }
        }
        free.sort_by(|a, b| b.cmp(a));
        free.into_iter().map(|(_, rack)| rack).collect()
    }
}
