use super::Scheduler;
use super::start::LOOK_AHEAD_JOBS;
use crate::clock::Instant;
use crate::fleet::WorkspaceId;
use crate::jobs::{Job, JobId, Reason, Size, Spec};

/// Queues of the waiting jobs.
impl Scheduler {
    /// Queues a job, or returns the reason why it is refused.
    pub fn submit(&mut self, spec: Spec, now: Instant) -> Result<JobId, Reason> {
        let size = self.reservation_size(&spec);
        match self.fairness.limit(spec.workspace) {
            None => return Err(Reason::UnknownWorkspace),
            Some(0) => return Err(Reason::LimitZero),
            Some(_) if spec.declared.processors == 0 => return Err(Reason::Empty),
            Some(_) if !self.placement.can_ever_fit(size) => return Err(Reason::TooLarge),
            Some(_) if self.is_queue_full(&spec) => return Err(Reason::QueueFull),
            Some(_) => {}
        }
        let job = Job::new(spec, size, now);
        let id = JobId(self.jobs.insert(job));
        self.enqueue(id, false);
        Ok(id)
    }

    /// Returns the size to reserve for a job: learned if enough usage was observed, limited to the
    /// largest capacity of the workers.
    pub(super) fn reservation_size(&self, spec: &Spec) -> Size {
        if !self.tuning.policy.learns() || !self.sizing.has_learned(spec.workspace, spec.kind) {
            return spec.declared;
        }
        let learned = self
            .sizing
            .estimate(spec.workspace, spec.kind, spec.declared);
        learned.min(
            self.placement
                .largest_capacity(spec.declared.accelerators)
                .max(Size::new(0, 0, spec.declared.accelerators)),
        )
    }

    /// Returns the index of the queue in which the jobs of a workspace wait: one for each
    /// workspace, or a single one under the baseline policy.
    pub(super) fn queue_index(&self, workspace: WorkspaceId) -> usize {
        if self.tuning.policy.is_fair() {
            workspace.index()
        } else {
            0
        }
    }

    /// Returns whether the limit on waiting jobs is reached.
    pub(super) fn is_queue_full(&self, spec: &Spec) -> bool {
        let limit = self.tuning.waiting_limit;
        if spec.urgent {
            self.urgent.len() >= limit as usize
        } else {
            self.fairness.waiting(spec.workspace) >= limit
        }
    }

    /// Adds a job to the back or front of its queue. Urgent jobs always go to the back of theirs.
    pub(super) fn enqueue(&mut self, id: JobId, front: bool) {
        let job = &self.jobs[id.0];
        let (workspace, size) = (job.spec.workspace, job.charge);
        if job.spec.urgent && self.tuning.policy.is_fair() {
            self.urgent.push_back(id);
            return;
        }
        self.fairness.add_waiting(workspace, size);
        let queue = self.queue_index(workspace);
        if front {
            self.workspace_queues[queue].push_front(id);
        } else {
            self.workspace_queues[queue].push_back(id);
        }
        // A job behind those that are tried does not make a stalled workspace eligible.
        if front || self.workspace_queues[queue].len() <= LOOK_AHEAD_JOBS {
            self.stalled[queue] = false;
        }
    }

    /// Removes a waiting job from the demand of its workspace. Its id stays in the queue for now.
    pub(super) fn dequeue(&mut self, id: JobId) {
        let job = &mut self.jobs[id.0];
        if let Some(due) = job.delayed_until.take() {
            self.delayed.remove(&(due, id));
        } else if !(job.spec.urgent && self.tuning.policy.is_fair()) {
            self.fairness.remove_waiting(job.spec.workspace, job.charge);
        }
    }
}
