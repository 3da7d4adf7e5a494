use std::sync::Arc;

use super::{End, TaskId};

/// What a worker listed about its runs in one answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Look {
    /// Clock of the worker in milliseconds.
    pub clock_ms: u64,
    /// Start of this life of the worker in milliseconds since 1970; 0 when it is not given.
    pub born_ms: u64,
    /// Runs present.
    pub running: Vec<Running>,
    /// Ends that were not acknowledged, oldest first.
    pub ended: Vec<Ended>,
}

/// A run that is present on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Running {
    /// Task.
    pub task: TaskId,
    /// Number of the run.
    pub number: u64,
    /// Latest saved progress; empty when there is none.
    pub saved: Arc<str>,
    /// Progress, or for lasting tasks the speed at which it works, in percent.
    pub percent: u64,
    /// Tail latency in milliseconds of a task that serves, else processors in use in thousandths.
    pub load: u64,
}

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
