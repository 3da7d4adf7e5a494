use super::Scheduler;
use crate::clock::Instant;
use crate::fleet::WorkspaceId;
use crate::jobs::{Job, JobId, Reason, Size, Standing, Start, State, WorkerId};

/// Number of jobs of a workspace that are tried before the workspace is skipped. Lets small jobs
/// overtake a large one that does not fit.
pub(super) const LOOK_AHEAD_JOBS: usize = 4;

impl Scheduler {
    /// Chooses a job and a worker, reserves the resources and returns the start request to send.
    /// Returns `None` if no job fits; to be called until then.
    ///
    /// Only this method starts jobs, so a cancellation comes either before or after a start, never
    /// in between.
    pub fn next_start(&mut self, now: Instant) -> Option<Start> {
        self.process_due(now);
        if !self.tuning.policy.is_fair() {
            let first = self.waiting_job_at(0, 0)?;
            return self.try_start(first, now, self.schedulable_capacity());
        }
        if let Some(start) = self.next_urgent(now) {
            return Some(start);
        }
        let (capacity, shared) = (self.schedulable_capacity(), self.shared_capacity());
        loop {
            let workspace = self
                .fairness
                .next_workspace(shared, |workspace| !self.stalled[workspace.index()])?;
            if let Some(start) = self.next_from(workspace, now, capacity) {
                return Some(start);
            }
            self.stalled[workspace.index()] = true;
        }
    }

    /// Records that a worker confirmed a start. Returns false if the run is not the current one or
    /// the job is not starting.
    pub fn confirm_start(&mut self, id: JobId, run: u32) -> bool {
        self.jobs
            .get_mut(id.0)
            .is_some_and(|job| job.run == run && job.transition(State::Running, Reason::Confirmed))
    }

    /// Queues delayed jobs whose time has come, and ends quarantines and pauses of workers whose
    /// time is over.
    fn process_due(&mut self, now: Instant) {
        while let Some((due, id)) = self.delayed.first().copied().filter(|(due, _)| *due <= now) {
            self.delayed.remove(&(due, id));
            self.jobs[id.0].delayed_until = None;
            self.enqueue(id, false);
        }
        for worker in self.quarantine.end_due(now) {
            let standing = self.placement.worker(worker).standing;
            if !matches!(standing, Standing::Leaving | Standing::Lost) {
                self.placement.set_standing(worker, Standing::Probation);
                self.clear_stalled();
            }
        }
    }

    /// Starts the first job that fits among the next `4 * LOOK_AHEAD_JOBS` urgent jobs. Urgent jobs
    /// may use the headroom.
    fn next_urgent(&mut self, now: Instant) -> Option<Start> {
        let mut index = 0;
        while let Some(id) = self.urgent.get(index).copied() {
            if !self.is_ready(id) {
                self.urgent.remove(index);
                continue;
            }
            let open = self.placement.open_capacity();
            if let Some(start) = self.try_start(id, now, open) {
                self.urgent.remove(index);
                return Some(start);
            }
            index += 1;
            if index == 4 * LOOK_AHEAD_JOBS {
                break;
            }
        }
        None
    }

    /// Starts the first job that fits among the next `LOOK_AHEAD_JOBS` of a workspace.
    fn next_from(&mut self, workspace: WorkspaceId, now: Instant, capacity: Size) -> Option<Start> {
        let mut rejected_size: Option<Size> = None;
        for index in 0..LOOK_AHEAD_JOBS {
            let id = self.waiting_job_at(workspace.index(), index)?;
            // A job at least as large as one that did not fit does not fit either, unless room was
            // made for it.
            let size = self.jobs[id.0].charge;
            if rejected_size.is_some_and(|rejected| size.covers(rejected))
                && !self.earmarks.contains_key(&id)
            {
                continue;
            }
            if let Some(start) = self.try_start(id, now, capacity) {
                return Some(start);
            }
            rejected_size = Some(self.jobs[id.0].charge);
        }
        None
    }

    /// Returns the job at `index` of a queue, after removing jobs before it that no longer wait
    /// there.
    fn waiting_job_at(&mut self, queue: usize, index: usize) -> Option<JobId> {
        loop {
            let id = *self.workspace_queues.get(queue)?.get(index)?;
            if self.is_ready(id) {
                return Some(id);
            }
            self.workspace_queues[queue].remove(index);
        }
    }

    /// Returns whether a job waits for a worker and is not delayed.
    pub(super) fn is_ready(&self, id: JobId) -> bool {
        let ready = |job: &Job| job.state.is_waiting() && job.delayed_until.is_none();
        self.jobs.get(id.0).is_some_and(ready)
    }

    /// Starts a job if there is room for it within `capacity`, after updating its size.
    fn try_start(&mut self, id: JobId, now: Instant, capacity: Size) -> Option<Start> {
        let size = self.reservation_size(&self.jobs[id.0].spec);
        let job = &mut self.jobs[id.0];
        let workspace = job.spec.workspace;
        let counts_as_waiting = !(job.spec.urgent && self.tuning.policy.is_fair());
        if counts_as_waiting && size != job.charge {
            self.fairness.remove_waiting(workspace, job.charge);
            self.fairness.add_waiting(workspace, size);
        }
        job.charge = size;
        if !self.fairness.below_limit(workspace) {
            return None;
        }
        // Room that was made for the job is used regardless of the headroom.
        if let Some((earmarked, _)) = self.earmarks.get(&id).copied()
            && self.placement.is_open(earmarked)
            && self.placement.worker(earmarked).free().covers(size)
        {
            self.remove_earmark(id);
            return Some(self.place(id, earmarked, now));
        }
        if !leaves_headroom(self.placement.reserved(), size, capacity) {
            return None;
        }
        let policy = self.tuning.policy;
        let avoid = &self.jobs[id.0].failed_on;
        let mut worker = self.placement.choose(workspace, size, avoid, policy);
        if worker.is_none() && !avoid.is_empty() {
            worker = self.placement.choose(workspace, size, &[], policy);
        }
        let worker = worker?;
        self.remove_earmark(id);
        Some(self.place(id, worker, now))
    }

    /// Reserves resources for a waiting job on a worker and begins its next run.
    pub(super) fn place(&mut self, id: JobId, worker: WorkerId, now: Instant) -> Start {
        self.dequeue(id);
        let job = &mut self.jobs[id.0];
        let (workspace, size) = (job.spec.workspace, job.charge);
        let transitioned = job.transition(State::Starting, Reason::Placed);
        debug_assert!(transitioned, "only waiting jobs are placed");
        job.run += 1;
        job.placed = now;
        job.worker = Some(worker);
        let run = job.run;
        let queue = self.queue_index(workspace);
        if let Some(index) = self.workspace_queues[queue]
            .iter()
            .take(LOOK_AHEAD_JOBS)
            .position(|j| *j == id)
        {
            self.workspace_queues[queue].remove(index);
        }
        self.placement.reserve(worker, workspace, size);
        self.fairness.add_running(workspace, size);
        self.jobs_by_worker[worker.index()].push(id);
        self.placed_by_workspace[workspace.index()].insert((now, id));
        Start {
            job: id,
            run,
            worker,
            size,
        }
    }
}

/// Returns whether the usage stays within `capacity` with a job of `size` added, for each resource
/// that the job needs.
fn leaves_headroom(used: Size, size: Size, capacity: Size) -> bool {
    let within = |used: u64, size: u64, capacity: u64| size == 0 || used + size <= capacity;
    within(used.processors, size.processors, capacity.processors)
        && within(used.memory, size.memory, capacity.memory)
        && within(used.accelerators, size.accelerators, capacity.accelerators)
}
