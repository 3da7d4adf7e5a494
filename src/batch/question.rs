use std::sync::Arc;
use std::time::Duration;

use super::TaskId;

/// Question to the advice service: which of these workers may run the step of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Question {
    /// A task of the step.
    pub task: TaskId,
    /// Workers that would suit.
    pub workers: Vec<Arc<str>>,
    /// Declared time of the answer.
    pub takes: Duration,
}
