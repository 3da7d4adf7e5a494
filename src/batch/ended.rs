use std::sync::Arc;

use super::{End, TaskId};

/// A run that ended on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ended {
    /// Position in the worker's list of ended runs, from 1.
    pub position: u64,
    /// Task.
    pub task: TaskId,
    /// Number of the run.
    pub number: u64,
    /// How the run ended.
    pub how: End,
    /// Latest saved progress; empty if there is none.
    pub saved: Arc<str>,
}
