use std::sync::Arc;

use crate::batch::WorkerKey;

/// A machine that can be moved, now or once its worker is empty.
pub(super) struct Candidate {
    pub(super) machine: Arc<str>,
    pub(super) pool: Arc<str>,
    pub(super) home: Arc<str>,
    pub(super) processors: u64,
    /// Whether nothing may run on it, because operators have taken its data centre out of service.
    pub(super) data_centre_out: bool,
    /// Its worker; `None` while the machine is switched off.
    pub(super) worker: Option<WorkerKey>,
    pub(super) empty: bool,
}
