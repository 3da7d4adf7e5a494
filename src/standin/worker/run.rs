use std::sync::Arc;

use super::Status;
use crate::clock::Instant;

/// When a job ran on a machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Job.
    pub id: Arc<str>,
    /// State.
    pub status: Status,
    /// When it started.
    pub start: Instant,
    /// When it ended.
    pub end: Option<Instant>,
}
