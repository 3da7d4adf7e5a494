use std::time::Duration;

use super::{Engine, Job};
use crate::batch::{JobKey, Launch, Reply, RunKey, State, TaskId, WorkerKey};
use crate::clock::Instant;

/// Time without starts for a worker that reports itself as unhealthy.
const UNHEALTHY_PAUSE: Duration = Duration::from_millis(1_500);

/// Time without starts for a worker that had less free capacity than expected.
const FULL_PAUSE: Duration = Duration::from_millis(300);

/// Number of start orders without an answer in a row after which a worker gets no starts for a time.
const SHUN_AFTER_UNANSWERED: u32 = 3;

/// Time without starts for a worker that leaves start orders unanswered.
const UNANSWERED_PAUSE: Duration = Duration::from_secs(1);

/// Delay before a task starts again whose start order was malformed.
const REJECTED_PAUSE: Duration = Duration::from_secs(1);

impl Engine {
    /// Returns whether the start order of a run may be sent: the run is wanted and its worker answers.
    pub fn may_launch(&self, key: RunKey, now: Instant) -> bool {
        let run = self
            .runs
            .get(key)
            .filter(|run| run.stopping_since.is_none());
        let worker = run.and_then(|run| Some((run, self.workers.get(run.worker)?)));
        worker.is_some_and(|(run, worker)| {
            !worker.unreachable
                && self.predates_successor(worker)
                && !self.must_answer_before_start(run.worker, now)
        })
    }

    /// Returns the content of the start order of a run, or `None` if it may not be sent.
    pub fn launch(&self, key: RunKey, now: Instant) -> Option<Launch> {
        let run = self.runs.get(key).filter(|_| self.may_launch(key, now))?;
        let job = self.jobs.get(run.job)?;
        let ticket = self
            .stage(run.job, run.task.occurrence, run.task.step)
            .and_then(|stage| stage.tickets.get(&run.worker))
            .map(|(ticket, _)| ticket.clone());
        Some(Launch {
            task: run.task.clone(),
            number: run.number,
            payload: job.record.spec.payload.clone(),
            saved: run.saved.clone(),
            ticket,
        })
    }

    /// Returns when the start of a run was decided.
    pub fn decided_at(&self, key: RunKey) -> Option<Instant> {
        let run = self.runs.get(key)?;
        Some(run.decided_at)
    }

    /// Processes the outcome of a start order.
    pub fn record_start_outcome(
        &mut self,
        key: RunKey,
        reply: &Reply,
        clock_ms: Option<u64>,
        now: Instant,
    ) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        let (job, worker, task) = (run.job, run.worker, run.task.clone());
        if let Some(worker) = self.workers.get_mut(worker) {
            match reply {
                Reply::Unsent | Reply::Replaced => worker.set_unreachable(),
                // The worker may answer other calls; a poll tells.
                Reply::Unknown => {}
                _ => {
                    worker.responded_at = Some(now);
                    worker.unreachable = false;
                    worker.unanswered_starts = 0;
                }
            }
            if let Some(clock) = clock_ms {
                worker.clock = Some((clock, now));
            }
        }
        if *reply != Reply::Started {
            log::info!(event = "start-refused", job = task.job, step = task.step, index = task.index,
                run = run.number, reply:? = reply; "");
        }
        match reply {
            Reply::Started => {
                run.confirmed_at = Some(now);
                run.progressed_at = now;
                run.uncertain_since = None;
                self.mark_started(job);
            }
            Reply::Unknown => {
                // It is not known when the run began.
                run.whole = false;
                self.record_late_answer(key, now);
            }
            Reply::Fenced => {
                self.fenced = true;
                self.drop_run(key, Duration::ZERO, now);
            }
            Reply::Stale | Reply::Late | Reply::Unsent | Reply::Replaced => {
                self.drop_run(key, Duration::ZERO, now);
            }
            Reply::Full => {
                self.shun(worker, FULL_PAUSE, now);
                self.drop_run(key, Duration::ZERO, now);
            }
            Reply::Unhealthy => {
                self.shun(worker, UNHEALTHY_PAUSE, now);
                self.drop_run(key, Duration::ZERO, now);
            }
            Reply::Rejected => {
                // Another worker may accept the order.
                if let Some(task) = self.task_mut(job, &task) {
                    task.avoid(worker);
                }
                self.drop_run(key, REJECTED_PAUSE, now);
            }
            Reply::Unadvised => {
                self.drop_ticket(job, &task, worker);
                self.drop_run(key, Duration::ZERO, now);
            }
        }
    }

    /// Records that the answer to a start order is late. The next poll shows whether the worker has
    /// the run.
    pub fn record_late_answer(&mut self, key: RunKey, now: Instant) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        if run.confirmed_at.is_some() || run.uncertain_since.is_some() {
            return;
        }
        run.uncertain_since = Some(now);
        let worker = run.worker;
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        state.unanswered_starts += 1;
        if state.unanswered_starts >= SHUN_AFTER_UNANSWERED {
            self.shun(worker, UNANSWERED_PAUSE, now);
        }
    }

    /// Records that a start order will not be sent.
    pub fn record_start_not_sent(&mut self, key: RunKey, now: Instant) {
        if let Some(run) = self.runs.get(key) {
            let worker = self.workers.get(run.worker);
            log::info!(event = "start-not-sent", job = run.task.job, step = run.task.step,
                index = run.task.index, run = run.number,
                worker = worker.map_or("", |worker| &worker.profile.id),
                unreachable = worker.is_some_and(|worker| worker.unreachable),
                heard_ms = self.time_since_answer(run.worker, now).as_millis(); "");
        }
        self.drop_run(key, Duration::ZERO, now);
    }

    /// Records that a worker confirmed a stop; it rejects the run from now on.
    pub fn record_stop_confirmation(
        &mut self,
        worker: WorkerKey,
        task: &TaskId,
        number: u64,
        now: Instant,
    ) {
        let Some(worker) = self.workers.get(worker) else {
            return;
        };
        let is_same_run = |key: &&RunKey| {
            let run = &self.runs[**key];
            run.number == number && run.task == *task
        };
        if let Some(&key) = worker.runs.iter().find(is_same_run) {
            self.runs[key].stop_confirmed_at = Some(now);
        }
    }

    /// Marks a job as running once a worker is known to have a run of it, or to have had one.
    pub(super) fn mark_started(&mut self, key: JobKey) {
        let queued = |job: &&mut Job| job.state == State::Queued;
        if let Some(job) = self.jobs.get_mut(key).filter(queued) {
            job.state = State::Running;
            self.mark_changed(key, false);
        }
    }

    fn shun(&mut self, key: WorkerKey, pause: Duration, now: Instant) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.shunned_until = worker.shunned_until.max(now + pause);
        }
    }

    /// Releases a run that is not on any worker; its task may start again after `pause`.
    fn drop_run(&mut self, key: RunKey, pause: Duration, now: Instant) {
        if let Some(run) = self.remove_run(key)
            && let Some(task) = self.task_mut(run.job, &run.task)
        {
            task.not_before = task.not_before.max(now + pause);
        }
    }

    fn drop_ticket(&mut self, job: JobKey, task: &TaskId, worker: WorkerKey) {
        let stage_key = super::StageKey {
            job,
            occurrence: task.occurrence,
            step: task.step,
        };
        if let Some(stage) = self.stage_mut(stage_key) {
            stage.tickets.remove(&worker);
        }
    }
}
