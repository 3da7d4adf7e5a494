use crate::clock::Instant;
use crate::limit::Permit;

/// A run on a worker, as the client of that worker tracks it.
pub(super) struct Execution {
    /// Permit of the run; an adopted run has none at first and may end without one.
    pub(super) permit: Option<Permit>,
    pub(super) phase: Phase,
    /// Whether the run is to be stopped instead of renewed.
    pub(super) stop_requested: bool,
}

/// What is known about a run on its worker.
#[derive(Clone, Copy)]
pub(super) enum Phase {
    /// No usable response to the start arrived; the time is when the worker first denied having the
    /// run.
    Unconfirmed(Option<Instant>),
    /// On the worker, until this time at the latest unless renewed.
    Confirmed(Instant),
}
