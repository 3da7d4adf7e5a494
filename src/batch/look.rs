use super::{Ended, Running};

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
