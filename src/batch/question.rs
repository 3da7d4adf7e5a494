use std::sync::Arc;
use std::time::Duration;

use super::TaskId;

/// A question to the advice service: which of these workers may run the step of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Question {
    /// A task of the step in question.
    pub task: TaskId,
    /// Ids of the workers that are suitable otherwise.
    pub workers: Vec<Arc<str>>,
    /// Expected response time.
    pub expected_time: Duration,
}
