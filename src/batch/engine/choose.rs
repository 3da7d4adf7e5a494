use std::sync::Arc;

use super::{Engine, Exclusion, StageKey, Worker};
use crate::batch::{Step, WorkerKey};
use crate::clock::Instant;

/// Largest number of runs on one worker. Tasks that ask for nothing would otherwise all be started
/// at once.
pub(super) const MAX_RUNS: usize = 1_000;

/// Maximum number of lasting tasks packed on one worker. More of them save machines, but each is
/// moved by itself before the machine can be maintained.
const MAX_LASTING_PACKED: usize = 4;

/// Maximum number of lasting tasks of one step packed on a worker, because a step allows only few
/// of its tasks to be down at once.
const MAX_STEP_TASKS_PACKED: usize = 2;

/// Suitability of a worker for a task, compared field by field; the largest is chosen.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct Fit {
    /// The task has neither failed nor stalled on this worker.
    untried: bool,
    near_data: bool,
    /// For a lasting task, the machine is neither lent nor due for maintenance.
    stable_machine: bool,
    /// No task on the worker would interfere with this one.
    no_interference: bool,
    /// For a lasting task, the worker already has some, so that other machines stay free to move.
    packed: bool,
    /// Smallest fraction of processors or memory that stays free.
    free_fraction: f64,
}

impl Engine {
    /// Lists the workers of a service on which tasks may be started. Starting tasks does not change
    /// the list, so it is made once for all tasks that are placed together.
    pub(super) fn startable_workers(&self, service: &str, now: Instant) -> Vec<WorkerKey> {
        let workers = self.workers_of(service);
        let startable = workers.filter(|(_, worker)| self.may_start(worker, now));
        startable.map(|(key, _)| key).collect()
    }

    /// Chooses a worker with enough free capacity for a task from `workers`, which are those that
    /// [`Engine::startable_workers`] lists for the service of the task.
    pub(super) fn choose(
        &self,
        stage_key: StageKey,
        index: u32,
        step: &Step,
        rack: Option<&Arc<str>>,
        workers: &[WorkerKey],
        now: Instant,
    ) -> Option<WorkerKey> {
        let job = &self.jobs[stage_key.job];
        if !self.is_within_maximum(&job.record.workspace, step) {
            return None;
        }
        let stage = self.stage(stage_key.job, stage_key.occurrence, stage_key.step)?;
        let task = &stage.tasks[index as usize];
        let needs_ticket = self.needs_ticket(stage_key);
        let candidates = workers.iter().map(|key| (*key, &self.workers[*key]));
        let candidates = candidates.filter(|(key, worker)| {
            rack.is_none_or(|rack| worker.has_label(rack))
                && self
                    .step_exclusion(stage_key, step, *key, needs_ticket, now)
                    .is_none()
        });
        candidates
            .map(|(key, worker)| {
                let untried = !task.avoided_workers.contains(&key);
                (self.fit_of(stage_key, step, worker, untried), key)
            })
            .max_by(|a, b| a.0.partial_cmp(&b.0).unwrap_or(std::cmp::Ordering::Equal))
            .map(|(_, key)| key)
    }

    /// Returns whether the workspace may run one more task of a step.
    pub(super) fn is_within_maximum(&self, workspace: &Arc<str>, step: &Step) -> bool {
        let known = self.config.workspaces.get(workspace);
        known.is_none_or(|w| w.admits(self.used_by(workspace), step.size))
    }

    /// Returns whether tasks may be started on a worker.
    pub(super) fn may_start(&self, worker: &Worker, now: Instant) -> bool {
        self.exclusion(worker, now).is_none()
    }

    /// Returns why no task may be started on a worker, if that is so.
    pub(super) fn exclusion(&self, worker: &Worker, now: Instant) -> Option<Exclusion> {
        self.exclusion_from_use(worker, now)
            .or_else(|| worker.relocating.then_some(Exclusion::Relocating))
            .or_else(|| self.exclusion_by_succession(worker))
    }

    /// Returns why the next leader may not know of a run on a worker, if that is so.
    fn exclusion_by_succession(&self, worker: &Worker) -> Option<Exclusion> {
        if self.is_reported_silent(worker) {
            Some(Exclusion::ReportedSilent)
        } else if !self.is_known_to_successor(worker) {
            Some(Exclusion::NotMember)
        } else if !self.predates_successor(worker) {
            Some(Exclusion::MayHaveSuccessor)
        } else {
            None
        }
    }

    /// Lists the workers of a service that get no starts only because their machine is to be moved
    /// or maintained, and whose machine stays for now: short tasks still run on it, or lasting
    /// tasks that may not be stopped.
    pub(super) fn workers_that_stay(&self, service: &str, now: Instant) -> Vec<WorkerKey> {
        let stays = |key: WorkerKey, worker: &Worker| {
            let waits_for_tasks = worker.relocating && !worker.runs.is_empty();
            waits_for_tasks || (worker.cordoned && !self.may_stop_all_lasting(key, now))
        };
        let workers = self.workers_of(service).filter(|(key, worker)| {
            stays(*key, worker)
                && self.exclusion_if_machine_stays(worker, now).is_none()
                && self.exclusion_by_succession(worker).is_none()
        });
        workers.map(|(key, _)| key).collect()
    }

    /// Returns whether the workers that may run a step are known by tickets only.
    pub(super) fn needs_ticket(&self, stage_key: StageKey) -> bool {
        self.jobs[stage_key.job].terms.advice.is_some()
    }

    /// Returns why a worker on which tasks may be started cannot take one of a step, if that is so.
    pub(super) fn step_exclusion(
        &self,
        stage_key: StageKey,
        step: &Step,
        key: WorkerKey,
        needs_ticket: bool,
        now: Instant,
    ) -> Option<Exclusion> {
        let worker = &self.workers[key];
        let has_ticket = || {
            let stage = self.stage(stage_key.job, stage_key.occurrence, stage_key.step);
            let ticket = stage.and_then(|stage| stage.tickets.get(&key));
            ticket.is_some_and(|(_, until)| *until > now)
        };
        let mut label = step.label.iter();
        if !label.all(|label| worker.has_label(label)) {
            Some(Exclusion::Label)
        } else if worker.runs.len() >= MAX_RUNS || !worker.free_capacity().covers(step.reserved()) {
            Some(Exclusion::Full)
        } else if !self.is_below_worker_limit(stage_key, step, worker) {
            Some(Exclusion::WorkerLimit)
        } else if needs_ticket && !has_ticket() {
            Some(Exclusion::NoTicket)
        } else {
            None
        }
    }

    /// Returns whether the process of a worker first answered while no other instance can have led.
    /// A later one may not know the fencing token of another leader and accept orders of both.
    pub(super) fn predates_successor(&self, worker: &Worker) -> bool {
        let first_answered_at = worker.first_answered_at;
        first_answered_at.is_some_and(|at| self.was_sole_leader(at))
    }

    /// Returns whether the next leader will know a worker although its registration may expire. A
    /// leadership that does not expire has no successor.
    fn is_known_to_successor(&self, worker: &Worker) -> bool {
        self.renewed_at.is_none() || worker.is_member
    }

    /// Returns whether tasks may be started on a worker, except that its machine may be due to
    /// move.
    pub(super) fn is_usable(&self, worker: &Worker, now: Instant) -> bool {
        self.exclusion_from_use(worker, now).is_none()
    }

    fn exclusion_from_use(&self, worker: &Worker, now: Instant) -> Option<Exclusion> {
        self.exclusion_if_machine_stays(worker, now)
            .or_else(|| worker.cordoned.then_some(Exclusion::Cordoned))
    }

    /// Returns why a worker could not be used even if its machine were to stay, if that is so.
    fn exclusion_if_machine_stays(&self, worker: &Worker, now: Instant) -> Option<Exclusion> {
        let excluded = &self.excluded_data_centres;
        if worker.delisted {
            Some(Exclusion::Delisted)
        } else if worker.profile.draining {
            Some(Exclusion::Draining)
        } else if worker.unreachable {
            Some(Exclusion::Unreachable)
        } else if worker.answered_at.is_none() {
            Some(Exclusion::Unanswered)
        } else if worker.shunned_until > now {
            Some(Exclusion::Shunned)
        } else if excluded.contains(&worker.profile.data_centre) {
            Some(Exclusion::DataCentreOut)
        } else {
            None
        }
    }

    fn is_below_worker_limit(&self, stage_key: StageKey, step: &Step, worker: &Worker) -> bool {
        step.max_per_worker == 0
            || self.count_runs_of_step(stage_key, worker) < step.max_per_worker as usize
    }

    fn fit_of(&self, stage_key: StageKey, step: &Step, worker: &Worker, untried: bool) -> Fit {
        let interferes = |run: &&crate::batch::RunKey| {
            let run = &self.runs[**run];
            (step.filling && run.latency_ms > 0) || (step.latency_ms > 0 && run.filling)
        };
        let remaining = worker.free_capacity() - step.reserved();
        let capacity = worker.profile.capacity;
        let fraction = |remaining: u64, total: u64| {
            if total == 0 {
                1.0
            } else {
                remaining as f64 / total as f64
            }
        };
        Fit {
            untried,
            near_data: step
                .data_rack
                .as_ref()
                .is_none_or(|rack| worker.has_label(rack)),
            stable_machine: !step.lasting || self.is_stable(worker),
            no_interference: !worker.runs.iter().any(|run| interferes(&run)),
            packed: step.lasting && self.may_pack(stage_key, worker),
            free_fraction: fraction(remaining.processors, capacity.processors)
                .min(fraction(remaining.memory, capacity.memory)),
        }
    }

    /// Returns whether a lasting task can stay on a worker: its machine is neither lent nor due for
    /// maintenance.
    fn is_stable(&self, worker: &Worker) -> bool {
        let machine = &worker.profile.machine;
        !self.pools.is_lent(machine) && !self.waves.iter().any(|w| w.is_due(machine))
    }

    /// Returns whether a worker has lasting tasks and may take one more of a step.
    fn may_pack(&self, stage_key: StageKey, worker: &Worker) -> bool {
        let lasting = worker.runs.iter().map(|run| &self.runs[*run]);
        let lasting = lasting.filter(|run| run.lasting);
        let same_step = lasting
            .clone()
            .filter(|run| run.job == stage_key.job && run.task.step == stage_key.step);
        let count = lasting.count();
        (1..MAX_LASTING_PACKED).contains(&count) && same_step.count() < MAX_STEP_TASKS_PACKED
    }

    /// Returns the racks of a service, in descending order of free processors.
    pub(super) fn racks_by_free_processors(&self, stage_key: StageKey) -> Vec<Arc<str>> {
        let service = &self.jobs[stage_key.job].service;
        let mut free: Vec<(u64, Arc<str>)> = Vec::new();
        for (_, worker) in self.workers_of(service) {
            let Some(rack) = worker.profile.labels.last() else {
                continue;
            };
            match free.iter_mut().find(|(_, known)| known == rack) {
                Some((sum, _)) => *sum += worker.free_capacity().processors,
                None => free.push((worker.free_capacity().processors, rack.clone())),
            }
        }
        free.sort_by(|a, b| b.cmp(a));
        free.into_iter().map(|(_, rack)| rack).collect()
    }
}
