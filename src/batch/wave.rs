use std::sync::Arc;
use std::time::Duration;

use crate::clock::Instant;

/// A wave of maintenance requested by operators.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Wave {
    /// Number of the wave.
    pub number: u64,
    /// Machines to maintain.
    pub machines: Vec<Arc<str>>,
    /// Maximum number of machines down at once for this wave.
    pub maximum: usize,
    /// Time within which all machines should be maintained.
    pub within: Duration,
    /// When that time is over.
    pub due: Instant,
}
