use crate::clock::Instant;

/// Answer of the advice service that a worker may not run a step.
#[derive(Clone, Copy, Debug)]
pub(super) struct Denial {
    /// Start time of the worker process that it is about, in milliseconds since 1970.
    pub(super) born_ms: u64,
    /// When the service is asked again.
    pub(super) until: Instant,
}
