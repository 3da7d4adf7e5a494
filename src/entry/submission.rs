use tokio::sync::oneshot;

use crate::job_store::Acceptance;

/// A job to store, with the channel for the result.
pub(super) struct Submission {
    pub(super) key: String,
    pub(super) content: Vec<u8>,
    pub(super) reply: oneshot::Sender<Acceptance>,
}
