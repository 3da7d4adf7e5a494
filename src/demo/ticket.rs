use std::sync::Arc;

use crate::clock::Instant;

/// What a caller saw of one submission.
#[derive(Clone, Debug)]
pub(super) struct Ticket {
    pub(super) workspace: Arc<str>,
    pub(super) urgent: bool,
    pub(super) sent: Instant,
    /// Id of the accepted job, and when the answer came.
    pub(super) accepted: Option<(String, Instant)>,
    /// Whether the caller was told that the job was cancelled before it ran.
    pub(super) cancelled: bool,
}
