use crate::clock::Instant;
use crate::limit::Permit;

/// A run as the task of its worker knows it.
pub(super) struct Task {
    /// Right to run; an adopted run may end before there is one.
    pub(super) permit: Option<Permit>,
    pub(super) phase: Phase,
    /// Whether it is to be stopped in place of renewed.
    pub(super) stop: bool,
}

/// How far a run is known to be on its worker.
#[derive(Clone, Copy)]
pub(super) enum Phase {
    /// The answer to its start was lost, and the worker denied having it at this time.
    Doubtful(Option<Instant>),
    /// On the worker until this time at the latest unless renewed.
    Sure(Instant),
}
