use super::{JobId, Reason, WorkerId};

/// A request to a worker to change or stop one of its runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Save the progress of the run and stop it.
    Checkpoint {
        /// Job that the run belongs to.
        job: JobId,
        /// Number of the run.
        run: u32,
        /// Worker that has the run.
        worker: WorkerId,
        /// Why the run is stopped.
        reason: Reason,
    },
    /// Limit the processors of the run. Takes effect at once; the worker confirms it.
    Throttle {
        /// Job that the run belongs to.
        job: JobId,
        /// Number of the run.
        run: u32,
        /// Worker that has the run.
        worker: WorkerId,
        /// New limit, in thousandths of a processor.
        processors: u64,
    },
    /// Stop the run without saving its progress.
    Stop {
        /// Job that the run belongs to.
        job: JobId,
        /// Number of the run.
        run: u32,
        /// Worker that has the run.
        worker: WorkerId,
    },
}
