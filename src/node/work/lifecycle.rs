use std::sync::Arc;
use std::time::Duration;

use super::command::Command;
use super::entry::{Entry, Phase};
use super::event::Event;
use super::holder::Holder;
use super::report::{Report, Status};
use super::schedule::RETRY_DELAY;
use crate::clock::Instant;
use crate::jobs::{Outcome, RackId, Reason, Size, State, Worker};

impl Holder {
    /// Handles an event from the client of a worker.
    pub(super) fn handle_event(&mut self, worker: &Arc<str>, event: Event, now: Instant) {
        match event {
            Event::Ready(size) => self.add_worker(worker, size, now),
            Event::Started(run_name) => {
                if let Some((id, run)) = self.find_run(&run_name) {
                    self.confirm_start(&id, run);
                }
            }
            Event::Refused(run_name) => {
                if let Some((id, run)) = self.find_run(&run_name) {
                    self.revert_start(&id, run, now);
                }
            }
            Event::Gone(run_name) => {
                if let Some((id, run)) = self.find_run(&run_name) {
                    self.end_run(&id, run, Outcome::Stopped, 0, now);
                }
            }
            Event::Report(report) => self.apply_report(&report, now),
            Event::Reachable(reachable) => {
                if let Some(handle) = self.workers.get_mut(worker) {
                    handle.reachable = reachable;
                }
                self.update_availability(worker, now);
            }
            Event::Superseded => {
                log::warn!(event = "queue-lost", queue = self.gate.queue, peer = worker; "");
                self.gate.close();
                self.queue_lost = true;
            }
        }
    }

    fn add_worker(&mut self, name: &Arc<str>, size: Size, now: Instant) {
        let instances = self.gate.shared.instances();
        let Some(instance) = instances.iter().find(|i| i.name == *name) else {
            return;
        };
        let current = self.gate.shared.control.current();
        let data_centre = current.and_then(|c| c.data_centre_id(&instance.data_centre));
        let (Some(handle), Some(data_centre)) = (self.workers.get_mut(name), data_centre) else {
            return;
        };
        let next = RackId(u32::try_from(self.racks.len()).unwrap_or(u32::MAX));
        let rack = *self.racks.entry(instance.rack.clone()).or_insert(next);
        let worker = self
            .scheduler
            .add_worker(Worker::new(rack, data_centre, size));
        handle.ready = Some((worker, now));
        self.worker_names.push(name.clone());
        if self.out_of_service.contains(&data_centre) {
            let actions = self.scheduler.set_out_of_service(data_centre, true, now);
            self.apply_actions(&actions);
        }
        self.update_availability(name, now);
    }

    /// Returns the job id and run number for the name of a run, if it is the current run of the job
    /// and was passed to a client.
    fn find_run(&self, name: &str) -> Option<(Arc<str>, u32)> {
        let (rest, run) = name.rsplit_once('.')?;
        let (_, id) = rest.rsplit_once('.')?;
        let run: u32 = run.parse().ok()?;
        let (id, entry) = self.entries.get_key_value(id)?;
        (entry.record.run == run && entry.phase == Phase::Active).then(|| (id.clone(), run))
    }

    fn confirm_start(&mut self, id: &Arc<str>, run: u32) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        if let Some(job) = entry.job {
            self.scheduler.confirm_start(job, run);
        }
        if entry.record.state == State::Starting {
            entry.record.set_state(State::Running, Reason::Confirmed);
            self.mark_dirty(id);
        }
    }

    /// Queues a job again whose run did not start.
    pub(super) fn revert_start(&mut self, id: &Arc<str>, run: u32, now: Instant) {
        self.release_permit(id);
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        entry.phase = Phase::Waiting;
        entry.record.worker = None;
        if let Some(job) = entry.job {
            self.scheduler.revert_start(job, run, RETRY_DELAY, now);
        }
        if entry.record.cancel {
            return self.finish(id, State::Cancelled, Reason::ByCaller);
        }
        entry.record.set_state(State::Queued, Reason::Submitted);
        self.mark_dirty(id);
    }

    fn apply_report(&mut self, report: &Report, now: Instant) {
        let Some((id, run)) = self.find_run(&report.id) else {
            return;
        };
        let outcome = match report.status {
            Status::Running => {
                self.confirm_start(&id, run);
                if let Some(job) = self.entries[&id].job {
                    let used = Size::from(report.usage);
                    let action = self
                        .scheduler
                        .report_usage(job, run, used, Duration::ZERO, now);
                    self.apply_actions(action.as_slice());
                }
                return;
            }
            Status::Succeeded => Outcome::Succeeded,
            Status::Failed => Outcome::Failed,
            Status::Checkpointed => Outcome::Checkpointed,
            Status::Stopped | Status::Expired => Outcome::Stopped,
        };
        self.end_run(&id, run, outcome, report.done_ms, now);
    }

    /// Records that a run has provably ended.
    pub(super) fn end_run(
        &mut self,
        id: &Arc<str>,
        run: u32,
        outcome: Outcome,
        done_ms: u64,
        now: Instant,
    ) {
        self.release_permit(id);
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        entry.phase = Phase::Waiting;
        let Some(job) = entry.job else {
            return;
        };
        // A short run can end before its start was confirmed.
        self.scheduler.confirm_start(job, run);
        self.scheduler.run_ended(job, run, outcome, now);
        let (mut state, mut reason) = match self.scheduler.job(job) {
            Some(job) => (job.state, job.reason),
            None => (State::Failed, Reason::AttemptsExhausted),
        };
        if let Some(job) = self.scheduler.job(job) {
            (entry.record.failures, entry.record.losses) = (job.failures, job.losses);
        }
        if state == State::Cancelled && outcome == Outcome::Succeeded {
            (state, reason) = (State::Succeeded, Reason::Completed);
        }
        if outcome == Outcome::Checkpointed {
            entry.record.done_ms += done_ms;
        }
        if state.is_final() {
            return self.finish(id, state, reason);
        }
        entry.record.worker = None;
        entry.record.set_state(state, reason);
        self.mark_dirty(id);
    }

    /// Adopts the runs of earlier holders on each worker that rejects those holders.
    pub(super) fn adopt_runs(&mut self, now: Instant) {
        let inherited: Vec<(Arc<str>, Instant)> = self
            .entries
            .iter()
            .filter_map(|(id, e)| match e.phase {
                Phase::Inherited(since) => Some((id.clone(), since)),
                _ => None,
            })
            .collect();
        for (id, since) in inherited {
            self.adopt_run(&id, since, now);
        }
        self.acquire_permits(now);
    }

    fn adopt_run(&mut self, id: &Arc<str>, since: Instant, now: Instant) {
        let record = &self.entries[id].record;
        let worker = record.worker.clone().unwrap_or_default();
        let Some((worker, _)) = self.workers.get(&worker).and_then(|s| s.ready) else {
            if self.has_worker_ended(&worker, since, now) {
                self.requeue(id, now);
            }
            return;
        };
        if self.entries[id].job.is_none() {
            self.add_to_scheduler(id, Some(worker), now);
        }
        let Some(entry) = self.entries.get_mut(id).filter(|e| e.job.is_some()) else {
            return;
        };
        entry.phase = Phase::Active;
        let cancelled = entry.job.filter(|_| entry.record.cancel);
        self.send_command(id, Command::Adopt);
        if let Some(job) = cancelled {
            let _ = self.scheduler.cancel(job);
            self.send_command(id, Command::Stop);
        }
    }

    /// Acquires permits for adopted runs; without a permit a run is not renewed and ends with its
    /// lease.
    fn acquire_permits(&mut self, now: Instant) {
        let lacks_permit = |e: &Entry| e.phase == Phase::Active && e.permit.is_none();
        let runs = self.entries.iter().filter(|(_, e)| lacks_permit(e));
        let runs: Vec<_> = runs.map(|(id, e)| (id.clone(), e.job)).collect();
        let dispatcher = self.gate.shared.control.dispatcher().clone();
        for (id, job) in runs {
            let job = job.and_then(|job| self.scheduler.job(job));
            let Some(workspace) = job.map(|job| job.spec.workspace) else {
                continue;
            };
            if let Ok(permit) = dispatcher.with_ledger(|ledger| ledger.take(workspace, now)) {
                self.store_permit(&id, permit);
                self.send_command(&id, |run| Command::Permit { run, permit });
            } else {
                dispatcher.permit_wanted().notify_one();
            }
        }
    }

    /// Queues a job again whose worker ended before this holder could reach it.
    fn requeue(&mut self, id: &Arc<str>, now: Instant) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        entry.phase = Phase::Waiting;
        entry.record.worker = None;
        entry.record.losses += 1;
        if entry.record.cancel {
            return self.finish(id, State::Cancelled, Reason::ByCaller);
        }
        entry.record.set_state(State::Queued, Reason::WorkerLost);
        self.mark_dirty(id);
        self.add_to_scheduler(id, None, now);
    }
}
