use std::cmp::Reverse;

use crate::clock::Instant;

/// Order of eviction: the connection with the lowest priority is evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Priority {
    /// A request that has stopped arriving or an answer that is not taken: the share that arrived
    /// lately, and since when.
    Stalled(usize, Instant),
    /// No request: since when.
    Idle(Instant),
    /// A large request that arrives: the share that arrived lately, and the admission of its
    /// connection; the newest first.
    Large(usize, Reverse<Instant>),
    /// A new connection without a request: its admission; the newest first.
    New(Reverse<Instant>),
    /// A small request that arrives, ordered like large ones.
    Small(usize, Reverse<Instant>),
}
