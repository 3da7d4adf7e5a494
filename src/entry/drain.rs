use std::time::Duration;

/// Durations of the phases of a graceful shutdown, in their order from SIGTERM on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Drain {
    /// Time for which new connections are still accepted: the balancer sends them until two
    /// readiness checks have failed.
    pub(super) accept: Duration,
    /// Further time for requests in progress.
    pub(super) finish: Duration,
    /// Further time in which a leader may store its changes and resign, even if the store is slow.
    pub(super) resign: Duration,
}

impl Drain {
    /// Divides the time between SIGTERM and SIGKILL.
    pub(super) fn within(grace: Duration) -> Self {
        Self {
            accept: grace.mul_f64(0.42),
            finish: grace.mul_f64(0.35),
            resign: grace.mul_f64(0.15),
        }
    }
}
