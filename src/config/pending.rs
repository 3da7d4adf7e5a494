use super::Prepare;
use crate::clock::Instant;

/// A prepared version whose result this instance does not know.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Pending {
    /// Proposal as received.
    pub prepare: Prepare,
    /// When this instance acknowledged the proposal or, if it has no vote, recorded it.
    pub acknowledged_at: Instant,
}
