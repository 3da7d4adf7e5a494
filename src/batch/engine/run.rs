use std::sync::Arc;

use crate::batch::{JobKey, TaskId, WorkerKey};
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
    /// What it counts against the upper limit of its workspace.
    pub(super) size: Size,
    /// What it takes from the capacity of its worker.
    pub(super) charge: Size,
    /// When its start was decided.
    pub(super) decided: Instant,
    /// When the worker was known to have it.
    pub(super) confirmed: Option<Instant>,
    /// When it became unknown whether its start was carried out.
    pub(super) doubtful: Option<Instant>,
    /// When its stop was decided.
    pub(super) stopping: Option<Instant>,
    /// When the worker confirmed the stop.
    pub(super) stopped: Option<Instant>,
    /// Latest progress or speed in percent, and when it last grew.
    pub(super) percent: u64,
    pub(super) moved: Instant,
    /// Latest load that the worker reported.
    pub(super) load: u64,
    /// Share of its speed at which it was told to work.
    pub(super) pace: u64,
    /// Whether it serves users of its own, and its longest tail latency in milliseconds.
    pub(super) latency_ms: u64,
    pub(super) filling: bool,
    pub(super) lasting: bool,
    pub(super) saved: Option<Arc<str>>,
}
