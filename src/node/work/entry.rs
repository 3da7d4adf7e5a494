use crate::clock::Instant;
use crate::jobs::{JobId, Record};
use crate::limit::Permit;

/// A job of a held queue.
pub(super) struct Entry {
    pub(super) record: Record,
    /// Version of the row.
    pub(super) version: u64,
    /// Place in the scheduler, once it is there.
    pub(super) job: Option<JobId>,
    /// Held while it may be on a worker.
    pub(super) permit: Option<Permit>,
    pub(super) phase: Phase,
    /// Whether the row is older than the record.
    pub(super) dirty: bool,
}

/// How far the present run is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// No run.
    Waiting,
    /// A start was decided and the row is being written; nothing was sent.
    Decided,
    /// In the hands of the worker's task.
    Sent,
    /// Begun by an earlier holder, as this one learned at this time.
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
