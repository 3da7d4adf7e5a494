use super::{JobId, Size, WorkerId};

/// A request to start a run. The caller sends it to the worker with the fencing token of the
/// queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Start {
    /// Job to run.
    pub job: JobId,
    /// Number of the run.
    pub run: u32,
    /// Worker to run it on.
    pub worker: WorkerId,
    /// Resources reserved on the worker.
    pub size: Size,
}
