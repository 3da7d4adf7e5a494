use super::{Position, Voter};

/// An instance's reply to a [`super::Prepare`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Ack {
    /// The voter enforces the proposed version too, and sends no affirmation that leaves it out
    /// until the result is known.
    Acknowledged(Voter),
    /// The instance stores and enforces the proposed version, but has no vote.
    Recorded,
    /// The base is no longer the newest head; holds the newest one that the instance knows.
    Stale(Position),
    /// The instance already keeps [`super::MAX_PENDING`] prepared versions without a known result.
    Busy,
    /// The proposed version is not the one after its base, or its document does not match its
    /// digest.
    Invalid,
}
