use std::sync::Arc;

use super::TaskId;

/// Content of a start order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Launch {
    /// Task.
    pub task: TaskId,
    /// Number of the run.
    pub number: u64,
    /// Description of the work for the task.
    pub payload: Arc<str>,
    /// Saved progress to resume from.
    pub saved: Option<Arc<str>>,
    /// Proof that the worker may run the step.
    pub ticket: Option<Arc<str>>,
}
