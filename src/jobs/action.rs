use super::{JobId, Reason, WorkerId};

/// A request to a worker about a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Save the progress and stop.
    Checkpoint {
        /// Job.
        job: JobId,
        /// Number of the run.
        run: u32,
        /// Worker.
        worker: WorkerId,
        /// Why.
        reason: Reason,
    },
    /// Limit the processors; applies at once and is confirmed by the worker.
    Throttle {
        /// Job.
        job: JobId,
        /// Number of the run.
        run: u32,
        /// Worker.
        worker: WorkerId,
        /// Thousandths of a processor that it may use.
        processors: u64,
    },
    /// Stop without saving.
    Stop {
        /// Job.
        job: JobId,
        /// Number of the run.
        run: u32,
        /// Worker.
        worker: WorkerId,
    },
}
