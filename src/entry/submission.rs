use tokio::sync::oneshot;

use super::committed::Committed;

/// A job to store.
pub(super) struct Submission {
    pub(super) key: String,
    pub(super) content: Vec<u8>,
    pub(super) done: oneshot::Sender<Committed>,
}
