use std::time::Duration;

use crate::batch::WorkerKey;

/// A whole run that succeeded on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// Declared run time of its task.
    pub declared: Duration,
    /// Time that the run took.
    pub took: Duration,
    /// Worker on which it ran.
    pub worker: WorkerKey,
}
