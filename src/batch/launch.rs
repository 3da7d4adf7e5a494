use std::sync::Arc;

use super::TaskId;

/// What the start of a run says to its worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Launch {
    /// Task.
    pub task: TaskId,
    /// Number of the run.
    pub number: u64,
    /// What the task is to do.
    pub payload: Arc<str>,
    /// Progress to go on from.
    pub saved: Option<Arc<str>>,
    /// Proof that the worker may run the step.
    pub ticket: Option<Arc<str>>,
}
