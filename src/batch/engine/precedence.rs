use super::{Stage, Worker};
use crate::batch::WorkerKey;
use crate::clock::Instant;

/// Order in which the advice service is asked about workers for a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Precedence {
    /// The worker was allowed to run the step, and its ticket has expired.
    Allowed,
    /// The service has not answered about the worker.
    Unknown,
    /// The worker was not allowed to run the step, and counted as denied until this time.
    Denied(Instant),
}

impl Precedence {
    /// Returns the precedence of a worker without a valid ticket.
    pub(super) fn of(stage: &Stage, key: WorkerKey, worker: &Worker) -> Self {
        if stage.tickets.contains_key(&key) {
            return Self::Allowed;
        }
        let denial = stage.denials.get(&key);
        let denial = denial.filter(|denial| denial.born_ms == worker.born_ms);
        denial.map_or(Self::Unknown, |denial| Self::Denied(denial.until))
    }
}
