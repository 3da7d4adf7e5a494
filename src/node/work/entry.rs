use crate::clock::Instant;
use crate::jobs::{JobId, Record};
use crate::limit::Permit;

/// A job of a queue that this instance holds.
pub(super) struct Entry {
    pub(super) record: Record,
    /// Version of the row in the store.
    pub(super) version: u64,
    /// Key in the scheduler, once the job was added to it.
    pub(super) job: Option<JobId>,
    /// Permit held while the job may be on a worker.
    pub(super) permit: Option<Permit>,
    pub(super) phase: Phase,
    /// Whether the record has changes that are not yet written to the row.
    pub(super) dirty: bool,
}

/// Progress of the current run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The job has no run.
    Waiting,
    /// A start was decided; its row is not yet written and nothing was sent to the worker.
    Decided,
    /// Passed to the client of the worker, which starts or adopts the run and renews it.
    Active,
    /// Started by an earlier holder; this one read the row at the given time.
    Inherited(Instant),
}

impl Entry {
    pub(super) fn new(record: Record, version: u64, now: Instant) -> Self {
        let phase = match record.state.is_placed() {
            true => Phase::Inherited(now),
            false => Phase::Waiting,
        };
        Self {
            record,
            version,
            job: None,
            permit: None,
            phase,
            dirty: false,
        }
    }
}
