use std::sync::Arc;

/// Maintenance that operators ask for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Wave {
    /// Number of the wave.
    pub number: u64,
    /// Machines that are due.
    pub machines: Vec<Arc<str>>,
    /// Most machines down at once for this wave.
    pub maximum: usize,
}
