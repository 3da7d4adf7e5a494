use super::{JobId, Size, WorkerId};

/// A decided start, to be sent to its worker with the fencing token of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Start {
    /// Job.
    pub job: JobId,
    /// Number of the run.
    pub run: u32,
    /// Worker.
    pub worker: WorkerId,
    /// Resources reserved there.
    pub size: Size,
}
