use tokio::time::Instant;

/// End of a run.
#[derive(Clone, Debug)]
pub(crate) struct End {
    /// Number of the end among all ends on the worker, from 1.
    pub(crate) position: u64,
    pub(crate) outcome: &'static str,
    pub(crate) at: Instant,
    /// Whether a poll has acknowledged it, so that it is no longer listed.
    pub(crate) acknowledged: bool,
}
