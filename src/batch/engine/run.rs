use std::sync::Arc;

use crate::batch::{JobKey, Order, TaskId, WorkerKey};
use crate::clock::Instant;
use crate::jobs::Size;

/// A run of a task that may be present on a worker.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) job: JobKey,
    pub(super) task: TaskId,
    pub(super) number: u64,
    pub(super) worker: WorkerKey,
    pub(super) workspace: Arc<str>,
    /// Resources counted against the maximum of its workspace.
    pub(super) size: Size,
    /// Resources taken from the capacity of its worker.
    pub(super) reserved: Size,
    /// Whether it began its task anew, by order of this leader, while there was no other run, so that
    /// its time is that of the task.
    pub(super) whole: bool,
    /// When the start was decided.
    pub(super) decided_at: Instant,
    /// When the worker was first known to have the run.
    pub(super) confirmed_at: Option<Instant>,
    /// When the outcome of its start order became unknown.
    pub(super) uncertain_since: Option<Instant>,
    /// When the stop was decided.
    pub(super) stopping_since: Option<Instant>,
    /// When the worker confirmed the stop.
    pub(super) stop_confirmed_at: Option<Instant>,
    /// Latest progress or speed in percent, and when it last changed.
    pub(super) percent: u64,
    pub(super) progressed_at: Instant,
    /// Latest load reported by the worker.
    pub(super) load: u64,
    /// Speed at which it was ordered to work, in percent.
    pub(super) pace_percent: u64,
    /// Maximum tail latency of a task that serves requests, in milliseconds; 0 for all others.
    pub(super) latency_ms: u64,
    pub(super) filling: bool,
    pub(super) lasting: bool,
    pub(super) saved: Option<Arc<str>>,
}

impl Run {
    /// Returns the order to work at the current speed of the run.
    pub(super) fn pace_order(&self) -> Order {
        Order::Pace {
            task: self.task.clone(),
            number: self.number,
            percent: self.pace_percent,
        }
    }
}
