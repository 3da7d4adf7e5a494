use std::time::Duration;

use super::Scheduler;
use crate::clock::Instant;
use crate::jobs::{Counters, Job, JobId, Reason, Spec, State, WorkerId};

impl Scheduler {
    /// Takes over a job that an earlier holder of the queue accepted. `worker` is the worker that
    /// the job may be on, or `None` if it waits.
    ///
    /// Limits on waiting jobs do not apply, because the job was already accepted.
    ///
    /// # Errors
    ///
    /// The workspace is unknown.
    ///
    /// ```
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::fleet::{DataCentreId, WorkspaceId};
    /// use coriandernotch::jobs::{Counters, KindId, RackId, Scheduler, Size, Spec, State, Tuning, Worker};
    ///
    /// let now = Instant::default();
    /// let mut scheduler = Scheduler::new(Tuning::default());
    /// let size = Size::new(1_000, 1_024, 0);
    /// let worker = scheduler.add_worker(Worker::new(RackId(0), DataCentreId(0), size));
    /// scheduler.set_workspace(WorkspaceId(0), 1, 100);
    /// let (workspace, kind) = (WorkspaceId(0), KindId(0));
    /// let spec = Spec { workspace, kind, declared: size, urgent: false, checkpoints: false };
    /// let counters = Counters { run: 3, ..Counters::default() };
    /// let job = scheduler.adopt(spec, counters, Some(worker), now).unwrap();
    /// assert_eq!(scheduler.job(job).unwrap().run, 3);
    /// assert!(scheduler.confirm_start(job, 3));
    /// ```
    pub fn adopt(
        &mut self,
        spec: Spec,
        counters: Counters,
        worker: Option<WorkerId>,
        now: Instant,
    ) -> Result<JobId, Reason> {
        self.fairness
            .limit(spec.workspace)
            .ok_or(Reason::UnknownWorkspace)?;
        let mut job = Job::new(spec, self.reservation_size(&spec), now);
        (job.failures, job.losses) = (counters.failures, counters.losses);
        job.run = counters.run;
        if counters.checkpointed {
            job.state = State::Checkpointed;
        }
        let id = JobId(self.jobs.insert(job));
        self.enqueue(id, false);
        if let Some(worker) = worker {
            self.urgent.retain(|other| *other != id);
            self.place(id, worker, now);
            let queue = self.queue_index(spec.workspace);
            self.workspace_queues[queue].retain(|other| *other != id);
            // `place` counts a new run, but the run that the earlier holder started goes on.
            self.jobs[id.0].run = counters.run;
        }
        Ok(id)
    }

    /// Reverts a start that did not take place. The job waits for `delay`; its failures and losses
    /// do not change. Returns false if the run is not the current one.
    ///
    /// ```
    /// use std::time::Duration;
    /// use coriandernotch::clock::Instant;
    /// use coriandernotch::jobs::{JobId, Scheduler, Tuning};
    ///
    /// let mut scheduler = Scheduler::new(Tuning::default());
    /// let none = JobId::from_number(0x1_0000_0001);
    /// assert!(!scheduler.revert_start(none, 1, Duration::ZERO, Instant::default()));
    /// ```
    pub fn revert_start(&mut self, id: JobId, run: u32, delay: Duration, now: Instant) -> bool {
        let is_current = |job: &&Job| job.run == run && job.worker.is_some();
        if self.jobs.get(id.0).filter(is_current).is_none() {
            return false;
        }
        self.release(id);
        let job = &mut self.jobs[id.0];
        if job.transition(State::Queued, Reason::Submitted) {
            let due = now + delay;
            job.delayed_until = Some(due);
            self.delayed.insert((due, id));
        }
        true
    }
}
