use super::{Ended, Running};

/// State of a worker and its runs, from one answer to a poll.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Clock of the worker in milliseconds.
    pub clock_ms: u64,
    /// Start time of the worker process in milliseconds since 1970; 0 if unknown.
    pub born_ms: u64,
    /// Runs that are present on the worker.
    pub running: Vec<Running>,
    /// Ends that are not acknowledged, oldest first.
    pub ended: Vec<Ended>,
    /// Whether there may be more ends, which are listed once these are acknowledged.
    pub has_more_ends: bool,
}
