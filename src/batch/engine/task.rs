use std::sync::Arc;

use crate::batch::{RunKey, WorkerKey};
use crate::clock::Instant;

/// One task of a stage.
#[derive(Clone, Debug, Default)]
pub(super) struct Task {
    /// Whether it has succeeded.
    pub(super) done: bool,
    /// Runs that may be present on workers.
    pub(super) runs: Vec<RunKey>,
    /// Number of the latest run.
    pub(super) number: u64,
    /// Numbers of the runs that failed.
    pub(super) failures: Vec<u64>,
    /// Whether a run of it was stopped because it made no progress.
    pub(super) has_stalled: bool,
    /// Latest saved progress.
    pub(super) saved: Option<Arc<str>>,
    /// Time before which it must not be started.
    pub(super) not_before: Instant,
    /// Since when a lasting task has had no run, as far as this leader knows, and when that was last
    /// logged.
    pub(super) idle_since: Option<Instant>,
    pub(super) idle_logged_at: Option<Instant>,
    /// Since when it has waited for room near its data or its gang.
    pub(super) waits_since: Option<Instant>,
    /// Workers on which it failed or stalled, or that rejected its start.
    pub(super) avoided_workers: Vec<WorkerKey>,
}

impl Task {
    /// Returns whether a run of the task may be started.
    pub(super) fn is_waiting(&self, now: Instant) -> bool {
        !self.done && self.runs.is_empty() && self.not_before <= now
    }

    /// Prefers other workers than the given one for the next runs of the task.
    pub(super) fn avoid(&mut self, worker: WorkerKey) {
        if !self.avoided_workers.contains(&worker) {
            self.avoided_workers.push(worker);
        }
    }
}
