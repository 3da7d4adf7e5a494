use std::time::Duration;

/// Times of a graceful shutdown, from SIGTERM on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Drain {
    /// Time for which new connections are still served: the balancer needs two misses.
    pub(super) accept: Duration,
    /// Further time for requests under way.
    pub(super) finish: Duration,
    /// Further time in which a leader that meets a slow store may resign.
    pub(super) resign: Duration,
}

impl Drain {
    /// Divides the time until SIGKILL.
    pub(super) fn within(grace: Duration) -> Self {
        Self {
            accept: grace.mul_f64(0.42),
            finish: grace.mul_f64(0.35),
            resign: grace.mul_f64(0.15),
        }
    }
}
