use crate::batch::WorkerKey;
use crate::batch::locality::Releases;

/// A rack in one round of placement.
#[derive(Clone, Debug, Default)]
pub(super) struct NearRack {
    /// Workers on which tasks may be started.
    pub(super) workers: Vec<WorkerKey>,
    pub(super) releases: Releases,
    /// Processors, in thousandths, that tasks wait for which were ranked before.
    pub(super) claimed: u64,
}
