use std::time::Duration;

use super::Scheduler;
use crate::clock::Instant;
use crate::fleet::WorkspaceId;
use crate::jobs::{Action, JobId, Reason, Size, State, WorkerId};

/// Maximum number of workers compared to make room for one job, and of urgent jobs considered per
/// call; bounds the time of one call.
const MAX_CANDIDATES: usize = 32;

/// Time after which a request for room that has not helped its job is repeated.
const EARMARK_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Cost per processor of checkpointing a job, relative to throttling it: a checkpointed job is
/// idle for about 2 s, while a throttled one only gives up the processors that the urgent job
/// uses.
const CHECKPOINT_COST: u64 = 2;

impl Scheduler {
    /// Makes room for urgent jobs and for workspaces below their fair share. To be called a few
    /// times per second, after [`next_start`](Self::next_start) has returned `None`.
    pub fn balance(&mut self, now: Instant) -> Vec<Action> {
        if !self.tuning.policy.is_fair() {
            return Vec::new();
        }
        self.measure_surplus(now);
        let mut actions = self.make_room_for_urgent(now);
        if actions.is_empty() && self.urgent.is_empty() {
            actions = self.unthrottle();
        }
        actions.extend(self.reclaim(now));
        actions
    }

    /// Records that a worker has limited the processors of a run, in thousandths.
    pub fn run_throttled(&mut self, id: JobId, run: u32, processors: u64) {
        let Some(job) = self.jobs.get_mut(id.0).filter(|j| j.run == run) else {
            return;
        };
        let Some(worker) = job.worker else { return };
        if job.stopping.is_some() || processors >= job.charge.processors {
            return;
        }
        let (workspace, old) = (job.spec.workspace, job.charge);
        job.throttled_processors += old.processors - processors;
        job.charge.processors = processors;
        let new = job.charge;
        self.throttled_jobs.push(id);
        self.placement.resize(worker, old, new);
        self.fairness.resize(workspace, old, new);
        self.clear_stalled();
    }

    /// Makes room for waiting urgent jobs.
    fn make_room_for_urgent(&mut self, now: Instant) -> Vec<Action> {
        let expired = self.earmarks.iter();
        let expired = expired.filter(|(_, (_, at))| now.since(*at) >= EARMARK_TIMEOUT);
        for id in expired.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.remove_earmark(id);
        }
        let mut waiting: Vec<JobId> = self.urgent.iter().copied().collect();
        waiting.retain(|id| self.is_ready(*id));
        waiting.truncate(MAX_CANDIDATES);
        let mut actions = Vec::new();
        for id in waiting {
            let job = &self.jobs[id.0];
            if self.earmarks.contains_key(&id) || !self.fairness.below_limit(job.spec.workspace) {
                continue;
            }
            let size = job.charge;
            actions.extend(self.make_room(id, size, true, now));
        }
        actions
    }

    /// Makes room for a job of `size` by throttling or checkpointing jobs on the worker where that
    /// costs least.
    pub(super) fn make_room(
        &mut self,
        id: JobId,
        size: Size,
        urgent: bool,
        now: Instant,
    ) -> Vec<Action> {
        let workers = if size.accelerators > 0 {
            self.placement.accelerator_candidates(size, MAX_CANDIDATES)
        } else {
            self.workers_of_newest(size)
        };
        self.make_room_on(id, size, &workers, urgent, now)
    }

    /// Returns workers that run the newest jobs of the workspaces with the highest weighted
    /// shares.
    fn workers_of_newest(&self, size: Size) -> Vec<WorkerId> {
        let capacity = self.shared_capacity();
        let mut workspaces: Vec<WorkspaceId> =
            (0..).map(WorkspaceId).take(self.fairness.len()).collect();
        let weighted_share =
            |workspace: &WorkspaceId| self.fairness.weighted_share(*workspace, capacity);
        workspaces.sort_by(|a, b| weighted_share(b).total_cmp(&weighted_share(a)));
        let newest = workspaces.iter().flat_map(|workspace| {
            self.placed_by_workspace[workspace.index()]
                .iter()
                .rev()
                .take(8)
        });
        let mut workers: Vec<WorkerId> = Vec::new();
        for (_, id) in newest {
            let Some(worker) = self.jobs[id.0].worker else {
                continue;
            };
            let large_enough = self.placement.worker(worker).capacity.covers(size);
            let is_available =
                self.placement.is_open(worker) && !self.placement.worker(worker).earmarked;
            if large_enough && is_available && !workers.contains(&worker) {
                workers.push(worker);
            }
            if workers.len() == MAX_CANDIDATES {
                break;
            }
        }
        workers
    }

    /// Makes room for a job on the cheapest of `workers` and sets that worker aside for the job.
    fn make_room_on(
        &mut self,
        job: JobId,
        size: Size,
        workers: &[WorkerId],
        urgent: bool,
        now: Instant,
    ) -> Vec<Action> {
        let options = workers.iter().flat_map(|w| {
            let throttle = urgent.then(|| self.throttle_cost(*w, size)).flatten();
            let throttle = throttle.map(|c| (c, *w, true));
            let checkpoint = self.victims(*w, size, urgent).map(|(c, _)| (c, *w, false));
            throttle.into_iter().chain(checkpoint)
        });
        let Some((cost, worker, throttle)) = options.min() else {
            return Vec::new();
        };
        self.placement.set_earmarked(worker, true);
        self.earmarks.insert(job, (worker, now));
        if throttle {
            return self.throttle(worker, cost);
        }
        let victims = self.victims(worker, size, urgent);
        let victims = victims.map_or(Vec::new(), |(_, v)| v);
        let reason = if urgent {
            Reason::Preempted
        } else {
            Reason::Reclaimed
        };
        let checkpoint = |id| self.request_checkpoint(id, reason, now);
        victims.into_iter().filter_map(checkpoint).collect()
    }

    /// Makes the worker that is set aside for a job available to other jobs again.
    pub(super) fn remove_earmark(&mut self, job: JobId) {
        if let Some((worker, _)) = self.earmarks.remove(&job) {
            self.placement.set_earmarked(worker, false);
            self.clear_stalled();
        }
    }

    /// Returns the processors that throttling must take from the jobs on a worker to make room for
    /// `size`, or `None` if throttling cannot make room or would take more than half of their
    /// processors.
    fn throttle_cost(&self, worker: WorkerId, size: Size) -> Option<u64> {
        let free = self.placement.worker(worker).free();
        let total: u64 = self.throttle_candidates(worker).map(|(_, n)| n).sum();
        let shortfall = size.processors.saturating_sub(free.processors);
        let others_fit = (free + Size::new(shortfall, 0, 0)).covers(size);
        (others_fit && shortfall > 0 && shortfall <= total / 2).then_some(shortfall)
    }

    /// Returns the jobs on a worker that can be throttled, with their processors.
    fn throttle_candidates(&self, worker: WorkerId) -> impl Iterator<Item = (JobId, u64)> {
        self.jobs_by_worker[worker.index()].iter().filter_map(|id| {
            let job = &self.jobs[id.0];
            let can_throttle = job.state == State::Running
                && !job.spec.urgent
                && job.throttled_processors == 0
                && job.stopping.is_none();
            can_throttle.then_some((*id, job.charge.processors))
        })
    }

    /// Takes `shortfall` processors from the jobs on a worker, in proportion to their
    /// reservations.
    fn throttle(&self, worker: WorkerId, shortfall: u64) -> Vec<Action> {
        let total: u64 = self.throttle_candidates(worker).map(|(_, n)| n).sum();
        self.throttle_candidates(worker)
            .map(|(id, processors)| Action::Throttle {
                job: id,
                run: self.jobs[id.0].run,
                worker,
                processors: processors - (processors * shortfall).div_ceil(total.max(1)),
            })
            .collect()
    }

    /// Returns a small set of jobs on a worker whose checkpoints make room for `size`, with their
    /// cost, or `None` if there is none. Prefers jobs of workspaces above their fair share.
    fn victims(&self, worker: WorkerId, size: Size, urgent: bool) -> Option<(u64, Vec<JobId>)> {
        let mut room = self.placement.worker(worker).free();
        let free = self.schedulable_capacity() - self.placement.reserved();
        // If enough accelerators are free elsewhere, a job that is moved gets another one.
        let enough_accelerators_free =
            size.accelerators > 0 && free.accelerators >= size.accelerators;
        let mut candidates: Vec<(bool, u64, JobId)> = Vec::new();
        for id in &self.jobs_by_worker[worker.index()] {
            let job = &self.jobs[id.0];
            // Jobs already asked to stop do not count: their room is meant for another job.
            let can_checkpoint =
                job.state == State::Running && job.spec.checkpoints && !job.spec.urgent;
            let needs_no_accelerators = size.accelerators > 0 && job.charge.accelerators == 0;
            let reclaimable = self.is_reclaimable(*id);
            if can_checkpoint
                && job.stopping.is_none()
                && (urgent || reclaimable || needs_no_accelerators || enough_accelerators_free)
            {
                candidates.push((
                    !reclaimable,
                    self.fairness.processors_with_accelerators(job.charge),
                    *id,
                ));
            }
        }
        candidates.sort_unstable();
        let mut cost = 0;
        let mut victims = Vec::new();
        while !room.covers(size) {
            let shortfall = size - room;
            // Takes the first job in this order that suffices alone, else the last one. The
            // smallest jobs come first in each of the two groups.
            let sufficient = candidates
                .iter()
                .position(|(_, _, id)| self.jobs[id.0].charge.covers(shortfall));
            let index = sufficient.or_else(|| candidates.len().checked_sub(1))?;
            let (within_share, processors, id) = candidates.remove(index);
            room = room + self.jobs[id.0].charge;
            let cost_factor = if within_share { 2 } else { 1 };
            cost += processors * CHECKPOINT_COST * cost_factor;
            victims.push(id);
        }
        Some((cost, victims))
    }

    /// Returns their processors to throttled jobs on workers with enough room.
    fn unthrottle(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        for id in self.throttled_jobs.clone() {
            let job = &mut self.jobs[id.0];
            let Some(worker) = job.worker else { continue };
            let (workspace, old) = (job.spec.workspace, job.charge);
            let returned = Size::new(job.throttled_processors, 0, 0);
            if !self.placement.worker(worker).free().covers(returned) || job.stopping.is_some() {
                continue;
            }
            job.throttled_processors = 0;
            job.charge = old + returned;
            let (new, run) = (job.charge, job.run);
            self.throttled_jobs.retain(|j| *j != id);
            self.placement.resize(worker, old, new);
            self.fairness.resize(workspace, old, new);
            actions.push(Action::Throttle {
                job: id,
                run,
                worker,
                processors: new.processors,
            });
        }
        actions
    }
}
