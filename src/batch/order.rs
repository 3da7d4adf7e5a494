use super::{RunKey, TaskId};

/// An order to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Start a run.
    Start(RunKey),
    /// Stop a run, or reject it if its start order arrives later.
    Stop {
        /// Task.
        task: TaskId,
        /// Number of the run.
        number: u64,
    },
    /// Set the speed of a run.
    Pace {
        /// Task.
        task: TaskId,
        /// Number of the run.
        number: u64,
        /// Percentage of full speed.
        percent: u64,
    },
}
