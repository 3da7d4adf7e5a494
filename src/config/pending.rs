use super::Prepare;
use crate::clock::Instant;

/// A prepared version whose result is unknown here.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Pending {
    /// The proposal.
    pub prepare: Prepare,
    /// When it was acknowledged or, without a vote, learnt.
    pub acknowledged: Instant,
}
