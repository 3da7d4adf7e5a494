/// What a poll of a worker renews and acknowledges.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Renewal {
    /// End of the lease on the clock of the worker, in milliseconds; `None` renews nothing.
    pub deadline_ms: Option<u64>,
    /// Position up to which ends are acknowledged.
    pub position: u64,
    /// Whether the worker may hold back its answer. On a new connection it shows at once which
    /// process it is.
    pub may_wait: bool,
}
