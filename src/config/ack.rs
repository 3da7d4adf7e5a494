use super::{Position, Voter};

/// Answer to a [`super::Prepare`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Ack {
    /// The voter affirms no older version until the result is known.
    Acknowledged(Voter),
    /// Kept and enforced, but the instance has no vote.
    Recorded,
    /// The base is no longer the head.
    Stale(Position),
    /// Too many prepared versions without a result.
    Busy,
    /// The proposal does not follow its base, or its document does not match its digest.
    Invalid,
}
