use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc::UnboundedSender;

use super::batch::Batch;
use super::command::Command;
use super::entry::{Entry, Phase};
use super::event::Event;
use super::gate::Gate;
use super::handle::Handle;
use super::lease;
use crate::clock::Instant;
use crate::collections::Map;
use crate::jobs::{JobId, KindId, Ownership, RackId, Record, Scheduler, State, Tuning};
use crate::node::Shared;
use crate::platform::Row;

/// Most waiting jobs of one workspace in a queue; further jobs are refused.
const WAITING_LIMIT: u32 = 20_000;

/// Time between two reviews of the running jobs (urgent jobs, shares, permits).
const REVIEW_INTERVAL: Duration = Duration::from_millis(200);

/// State of a queue while this instance holds its lease.
pub(super) struct Holder {
    pub(super) gate: Arc<Gate>,
    pub(super) shard: Ownership,
    /// Version of the lease row.
    pub(super) version: u64,
    pub(super) scheduler: Scheduler,
    /// Jobs by id, except those whose end is written.
    pub(super) entries: Map<Arc<str>, Entry>,
    /// Ids of the jobs in the scheduler.
    pub(super) job_ids: Map<JobId, Arc<str>>,
    /// Jobs to add to the scheduler once the sizes of the workers are known.
    pub(super) unscheduled: Vec<Arc<str>>,
    /// Workers of the pool by name.
    pub(super) workers: Map<Arc<str>, Handle>,
    /// Names of the workers in the order in which they were added to the scheduler.
    pub(super) worker_names: Vec<Arc<str>>,
    /// Scheduler keys of the job kinds, by workspace and kind.
    pub(super) kinds: Map<(Arc<str>, Arc<str>), KindId>,
    /// Scheduler keys of the racks.
    pub(super) racks: Map<Arc<str>, RackId>,
    /// Configuration version whose workspaces were last passed to the scheduler.
    pub(super) applied_version: u64,
    /// Data centres that are out of service.
    pub(super) out_of_service: Vec<crate::fleet::DataCentreId>,
    /// Channel from the clients of the workers, each event with the name of its worker.
    pub(super) events: Option<UnboundedSender<(Arc<str>, Event)>>,
    /// Jobs with changes that are not yet written.
    pub(super) dirty: VecDeque<Arc<str>>,
    /// Jobs whose change rows were handled and are to be deleted, with the versions of those rows.
    pub(super) handled_changes: Vec<(Arc<str>, u64)>,
    /// Rows of ended jobs: end in milliseconds since 1970, id and version.
    pub(super) ended: VecDeque<(u64, Arc<str>, u64)>,
    /// Batch whose result is unknown or that is to be sent again.
    pub(super) pending: Option<Batch>,
    /// Whether there may be change rows that were not read.
    pub(super) may_have_changes: bool,
    /// When the change rows were last read.
    pub(super) scanned_at: Instant,
    /// When the last write was attempted.
    pub(super) written_at: Instant,
    reviewed_at: Instant,
    /// When this instance took the queue over.
    pub(super) taken_over_at: Instant,
    /// Whether another instance holds the queue now.
    pub(super) queue_lost: bool,
}

impl Holder {
    pub(super) fn new(
        shared: Arc<Shared>,
        queue: Arc<str>,
        shard: Ownership,
        version: u64,
    ) -> Self {
        let tuning = Tuning {
            waiting_limit: WAITING_LIMIT,
            ..Tuning::default()
        };
        Self {
            gate: Arc::new(Gate::new(shared, queue)),
            shard,
            version,
            scheduler: Scheduler::new(tuning),
            entries: Map::default(),
            job_ids: Map::default(),
            unscheduled: Vec::new(),
            workers: Map::default(),
            worker_names: Vec::new(),
            kinds: Map::default(),
            racks: Map::default(),
            applied_version: 0,
            out_of_service: Vec::new(),
            events: None,
            dirty: VecDeque::new(),
            handled_changes: Vec::new(),
            ended: VecDeque::new(),
            pending: None,
            may_have_changes: true,
            scanned_at: Instant::default(),
            written_at: Instant::default(),
            reviewed_at: Instant::default(),
            taken_over_at: Instant::default(),
            queue_lost: false,
        }
    }

    /// Starts to serve the queue with the rows that were read from the store.
    pub(super) fn take_over(
        &mut self,
        rows: Vec<Row>,
        events: UnboundedSender<(Arc<str>, Event)>,
        now: Instant,
    ) {
        self.events = Some(events);
        (self.taken_over_at, self.written_at) = (now, now);
        self.open_gate(now);
        for row in rows {
            self.apply_row(&row, now);
        }
        self.ended.make_contiguous().sort();
        self.reconcile(now);
    }

    /// Opens the gate until the end of the lease that was renewed by the write sent at `sent`.
    pub(super) fn open_gate(&self, sent: Instant) {
        if let Some(token) = self.shard.token(sent) {
            self.gate.open(token, sent + lease::TERM);
        }
    }

    /// Returns whether no job of the queue has a run.
    pub(super) fn is_idle(&self) -> bool {
        self.entries.values().all(|e| e.phase == Phase::Waiting)
    }

    /// Runs one round: configuration, adoption, scheduling, review and writes. Returns false when
    /// the queue is lost.
    pub(super) async fn round(&mut self, now: Instant) -> bool {
        self.reconcile(now);
        self.adopt_runs(now);
        self.add_unscheduled(now);
        if self.pending.is_none() {
            self.read_changes(now).await;
            let has_room = self.dirty.len() < Batch::MAX_ROWS;
            if has_room && self.gate.is_open(now) && self.gate.shared.is_ready(now) {
                self.decide_starts(now);
            }
        }
        if now.since(self.reviewed_at) >= REVIEW_INTERVAL {
            self.reviewed_at = now;
            self.review_runs(now);
        }
        self.flush().await;
        !self.queue_lost
    }

    /// Applies a job row that is new or was changed by another instance.
    pub(super) fn apply_row(&mut self, row: &Row, now: Instant) {
        let Some((_, id)) = row.key.rsplit_once('/') else {
            return;
        };
        let Ok(record) = serde_json::from_str::<Record>(&row.value) else {
            log::error!(event = "job-unreadable", key = row.key; "");
            return;
        };
        let id: Arc<str> = id.into();
        match self.entries.get_mut(&id) {
            Some(entry) if entry.version >= row.version => {}
            Some(entry) if !record.cancel => entry.version = row.version,
            Some(entry) => {
                // Other instances change nothing but the cancellation request; for everything else
                // the record in memory is newer than the row.
                entry.version = row.version;
                self.cancel(&id, now);
            }
            None if record.state.is_final() => {
                // The initial load returns each row once, so only later rows can be duplicates.
                let after_load = self.scanned_at > self.taken_over_at;
                let known = after_load && self.ended.iter().any(|(_, other, _)| *other == id);
                if !known {
                    self.ended.push_back((record.changed, id, row.version));
                }
            }
            None => {
                let entry = Entry::new(record, row.version, now);
                if entry.phase == Phase::Waiting {
                    self.unscheduled.push(id.clone());
                }
                self.entries.insert(id, entry);
            }
        }
    }

    /// Cancels a job on request of its caller: at once, or by a stop if it may be on a worker.
    fn cancel(&mut self, id: &Arc<str>, now: Instant) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        entry.record.cancel = true;
        let (phase, job, run) = (entry.phase, entry.job, entry.record.run);
        if phase == Phase::Decided {
            self.release_permit(id);
            if let Some(job) = job {
                self.scheduler.revert_start(job, run, Duration::ZERO, now);
            }
        }
        if let Some(job) = job {
            // The returned action is not needed: the match below sends the stop by the name of the
            // run.
            let _ = self.scheduler.cancel(job);
        }
        match phase {
            Phase::Active => {
                self.send_command(id, Command::Stop);
            }
            // Stopped after adoption, once its worker rejects earlier holders.
            Phase::Inherited(_) => {}
            Phase::Waiting | Phase::Decided => {
                self.finish(id, State::Cancelled, crate::jobs::Reason::ByCaller);
            }
        }
    }

    /// Moves a job that is on no worker to its final state.
    pub(super) fn finish(&mut self, id: &Arc<str>, state: State, reason: crate::jobs::Reason) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.phase = Phase::Waiting;
            entry.record.worker = None;
            entry.record.set_state(state, reason);
            self.mark_dirty(id);
        }
    }

    /// Queues the row of a job for writing.
    pub(super) fn mark_dirty(&mut self, id: &Arc<str>) {
        if let Some(entry) = self.entries.get_mut(id)
            && !entry.dirty
        {
            entry.dirty = true;
            self.dirty.push_back(id.clone());
        }
    }

    /// Sends a command about the current run of a job to the client of its worker.
    ///
    /// Returns false when the worker is no longer known.
    pub(super) fn send_command(
        &self,
        id: &Arc<str>,
        make: impl FnOnce(Arc<str>) -> Command,
    ) -> bool {
        let Some(entry) = self.entries.get(id) else {
            return false;
        };
        let worker = entry.record.worker.as_ref();
        worker
            .and_then(|name| self.workers.get(name))
            .is_some_and(|handle| {
                let run = self.run_name(id, entry.record.run);
                handle.commands.send(make(run)).is_ok()
            })
    }

    /// Returns the name of a run at its worker. It contains the run number, so that a late report
    /// of an earlier run of the job is not taken for one of the current run.
    pub(super) fn run_name(&self, id: &str, run: u32) -> Arc<str> {
        format!("{}.{id}.{run}", self.gate.queue).into()
    }
}
