use std::sync::Arc;

use super::{End, TaskId};

/// A run that ended on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ended {
    /// Place in the list of the worker, from 1.
    pub position: u64,
    /// Task.
    pub task: TaskId,
    /// Number of the run.
    pub number: u64,
    /// How it ended.
    pub how: End,
    /// Latest saved progress; empty when there is none.
    pub saved: Arc<str>,
}
