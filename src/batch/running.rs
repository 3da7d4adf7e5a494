use std::sync::Arc;

use super::TaskId;

/// A run that is present on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Running {
    /// Task.
    pub task: TaskId,
    /// Number of the run.
    pub number: u64,
    /// Latest saved progress; empty when there is none.
    pub saved: Arc<str>,
    /// Progress in percent, or for lasting tasks their working speed in percent.
    pub percent: u64,
    /// Tail latency in milliseconds for a task that serves requests, otherwise processors in use in
    /// thousandths.
    pub load: u64,
}
