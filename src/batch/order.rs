use super::{RunKey, TaskId};

/// What a worker is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Start a run.
    Start(RunKey),
    /// Stop a run, or refuse it when it arrives later.
    Stop {
        /// Task.
        task: TaskId,
        /// Number of the run.
        number: u64,
    },
    /// Let a run work at a share of its speed.
    Pace {
        /// Task.
        task: TaskId,
        /// Number of the run.
        number: u64,
        /// Share in percent.
        percent: u64,
    },
}
