use std::time::Duration;

/// Durations of the phases of a graceful shutdown, in their order from SIGTERM on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Drain {
    /// Time for which new connections are still accepted: the balancer sends them until two
    /// readiness checks have failed.
    pub(super) accept: Duration,
    /// Further time for requests in progress. A leader may store its changes and resign until the end
    /// of it, even if the store is slow.
    pub(super) finish: Duration,
}

impl Drain {
    /// Divides the time between SIGTERM and SIGKILL. A quarter remains for the last lines of the log
    /// and for processors that are slow.
    pub(super) fn within(grace: Duration) -> Self {
        Self {
            accept: grace.mul_f64(0.42),
            finish: grace.mul_f64(0.33),
        }
    }
}
