use std::sync::Arc;
use std::time::Duration;

use super::command::Command;
use super::entry::Phase;
use super::holder::Holder;
use crate::clock::Instant;
use crate::collections::Map;
use crate::fleet::WorkspaceId;
use crate::jobs::{Action, Counters, KindId, Reason, Spec, Start, State, WorkerId};

/// Most starts decided in one round.
const MAX_STARTS: usize = 64;

/// Delay before a job is scheduled again after its start was reverted, because its workspace or its
/// worker was full after all.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(200);

impl Holder {
    /// Decides which jobs to start. The start requests are sent once the rows of the jobs are
    /// written.
    pub(super) fn decide_starts(&mut self, now: Instant) {
        let mut full: Map<WorkspaceId, u32> = Map::default();
        for _ in 0..MAX_STARTS {
            let Some(start) = self.scheduler.next_start(now) else {
                break;
            };
            let Some(id) = self.job_ids.get(&start.job).cloned() else {
                continue;
            };
            let Some(workspace) = self.scheduler.job(start.job).map(|job| job.spec.workspace)
            else {
                continue;
            };
            let dispatcher = self.gate.shared.control.dispatcher().clone();
            match dispatcher.with_ledger(|ledger| ledger.take(workspace, now)) {
                Ok(permit) => {
                    self.store_permit(&id, permit);
                    self.record_start(&id, &start);
                }
                Err(_) => {
                    self.scheduler
                        .revert_start(start.job, start.run, RETRY_DELAY, now);
                    // Limits the workspace to its running jobs for this round, so that the
                    // scheduler proposes no other job of it.
                    let running = self.scheduler.fairness().running(workspace);
                    self.scheduler
                        .set_workspace(workspace, self.share(workspace), running);
                    full.insert(workspace, running);
                }
            }
        }
        for (workspace, _) in full {
            let waiting = self.scheduler.fairness().waiting(workspace).max(1);
            let dispatcher = self.gate.shared.control.dispatcher();
            dispatcher.with_ledger(|ledger| ledger.set_waiting(workspace, waiting, now));
            dispatcher.permit_wanted().notify_one();
            let limit = self.limit(workspace);
            self.scheduler
                .set_workspace(workspace, self.share(workspace), limit);
        }
    }

    fn record_start(&mut self, id: &Arc<str>, start: &Start) {
        let worker = self.worker_names.get(start.worker.index()).cloned();
        if let Some(entry) = self.entries.get_mut(id) {
            entry.phase = Phase::Decided;
            entry.record.run = start.run;
            entry.record.worker = worker;
            entry.record.set_state(State::Starting, Reason::Placed);
            self.mark_dirty(id);
        }
    }

    fn share(&self, workspace: WorkspaceId) -> u32 {
        let current = self.gate.shared.control.current();
        current
            .and_then(|c| c.workspace(workspace).map(|t| t.share))
            .unwrap_or(1)
    }

    fn limit(&self, workspace: WorkspaceId) -> u32 {
        let current = self.gate.shared.control.current();
        current
            .and_then(|c| c.workspace(workspace).map(|t| t.limit))
            .unwrap_or(0)
    }

    /// Adds the unscheduled jobs to the scheduler once the sizes of the workers are known.
    pub(super) fn add_unscheduled(&mut self, now: Instant) {
        if self.unscheduled.is_empty() || !self.knows_worker_sizes(now) {
            return;
        }
        for id in std::mem::take(&mut self.unscheduled) {
            if self
                .entries
                .get(&id)
                .is_some_and(|e| !e.record.state.is_final())
            {
                self.add_to_scheduler(&id, None, now);
            }
        }
    }

    /// Adds a job to the scheduler, placed on `worker` if that worker may be running it.
    pub(super) fn add_to_scheduler(
        &mut self,
        id: &Arc<str>,
        worker: Option<WorkerId>,
        now: Instant,
    ) {
        let Some(spec) = self.spec(id) else {
            return self.finish(id, State::Refused, Reason::UnknownWorkspace);
        };
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        let record = &entry.record;
        let is_new = record.run == 0 && record.state == State::Queued;
        let past = Counters {
            run: record.run,
            failures: record.failures,
            losses: record.losses,
            checkpointed: record.state == State::Checkpointed,
        };
        let added = match is_new && worker.is_none() {
            true => self.scheduler.submit(spec, now),
            false => self.scheduler.adopt(spec, past, worker, now),
        };
        match added {
            Ok(job) => {
                entry.job = Some(job);
                self.job_ids.insert(job, id.clone());
            }
            Err(reason) => self.finish(id, State::Refused, reason),
        }
    }

    fn spec(&mut self, id: &Arc<str>) -> Option<Spec> {
        let record = &self.entries.get(id)?.record;
        let workspace = self
            .gate
            .shared
            .control
            .current()?
            .workspace_id(&record.workspace)?;
        let next = KindId(u32::try_from(self.kinds.len()).unwrap_or(u32::MAX));
        let kind = (record.workspace.clone(), record.kind.clone());
        Some(Spec {
            workspace,
            kind: *self.kinds.entry(kind).or_insert(next),
            declared: record.size,
            urgent: record.urgent,
            checkpoints: record.checkpoints,
        })
    }

    /// Makes room for urgent jobs and for workspaces below their share, and stops runs whose
    /// permits are no longer valid.
    pub(super) fn review_runs(&mut self, now: Instant) {
        if self.gate.is_open(now) {
            let actions = self.scheduler.balance(now);
            self.apply_actions(&actions);
        }
        let dispatcher = self.gate.shared.control.dispatcher();
        let mut invalid: Map<WorkspaceId, Vec<(u64, Arc<str>)>> = Map::default();
        dispatcher.with_ledger(|ledger| {
            for (id, entry) in self
                .entries
                .iter()
                .filter(|(_, e)| e.phase == Phase::Active)
            {
                let Some(permit) = entry.permit else { continue };
                if ledger.check(permit, now).is_err() {
                    let candidate = (entry.record.changed, id.clone());
                    invalid.entry(permit.workspace).or_default().push(candidate);
                }
            }
        });
        // After the quota of this instance has shrunk, all its permits for the workspace are
        // invalid until enough have been released. Each review stops only a quarter of the runs,
        // the most recent first.
        for (_, mut jobs) in invalid {
            jobs.sort();
            let count = jobs.len().div_ceil(4);
            for (_, id) in jobs.iter().rev().take(count) {
                let checkpoints = self.entries[id].record.checkpoints;
                self.send_command(
                    id,
                    if checkpoints {
                        Command::Checkpoint
                    } else {
                        Command::Stop
                    },
                );
            }
        }
    }

    /// Sends the actions of the scheduler to the workers.
    pub(super) fn apply_actions(&mut self, actions: &[Action]) {
        for action in actions {
            let (Action::Checkpoint { job, .. }
            | Action::Stop { job, .. }
            | Action::Throttle { job, .. }) = action;
            let Some(id) = self.job_ids.get(job).cloned() else {
                continue;
            };
            match *action {
                Action::Checkpoint { .. } => {
                    self.send_command(&id, Command::Checkpoint);
                }
                Action::Stop { .. } => {
                    self.send_command(&id, Command::Stop);
                }
                Action::Throttle {
                    job,
                    run,
                    processors,
                    ..
                } => {
                    let charge = self.scheduler.job(job).map_or(1, |j| j.charge.processors);
                    let percent = (processors * 100 / charge.max(1)).clamp(1, 100);
                    let percent = u32::try_from(percent).unwrap_or(100);
                    self.send_command(&id, |run| Command::Throttle(run, percent));
                    self.scheduler.run_throttled(job, run, processors);
                }
            }
        }
    }
}
