use std::time::Duration;

/// How long the advice service takes and how long its answers hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Advice {
    /// Fixed time of one call.
    pub decide: Duration,
    /// Further time for each worker named in a call.
    pub each: Duration,
    /// Validity of a ticket.
    pub valid: Duration,
}
