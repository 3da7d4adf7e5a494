use std::sync::Arc;

use super::Ending;
use crate::clock::Instant;

/// Record of one request that a target began to run.
#[derive(Clone, Debug)]
pub struct Run {
    /// Value of the header `x-request-id`, empty when it was missing.
    pub id: Arc<str>,
    /// Value of the header `x-workspace`, empty when it was missing.
    pub workspace: Arc<str>,
    /// When it began.
    pub start: Instant,
    /// When it ended, or `None` while it runs.
    pub end: Option<Instant>,
    /// How it ended.
    pub ending: Ending,
}
