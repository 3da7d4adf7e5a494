use super::Event;
use crate::clock::Instant;

/// An event with its times.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// When it happened first.
    pub first: Instant,
    /// When it happened last.
    pub last: Instant,
    /// How often it happened between the two.
    pub count: u64,
    /// What happened.
    pub event: Event,
}
