use std::sync::Arc;
use std::time::Duration;

use crate::clock::Instant;

/// Maintenance that operators ask for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Wave {
    /// Number of the wave.
    pub number: u64,
    /// Machines that are due.
    pub machines: Vec<Arc<str>>,
    /// Most machines down at once for this wave.
    pub maximum: usize,
    /// Time within which all of them are to be done.
    pub within: Duration,
    /// When that time ends.
    pub due: Instant,
}
