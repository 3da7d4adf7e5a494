use super::{Operation, Position, Vote, Voter};

/// Answer to a pull: what the sender has acknowledged, and the ages of what it heard of others.
///
/// The sender states that it has acknowledged nothing but what `position` settles and `pending`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Affirmation {
    /// Sender.
    pub from: Voter,
    /// Whether the sender's own statement counts.
    pub vote: Vote,
    /// Newest head that the sender knows, or `None` before the first.
    pub position: Option<Position>,
    /// Prepared versions at that position without a known result.
    pub pending: Vec<Operation>,
    /// Per voter of the head, in its order: age of the newest such statement in units of
    /// [`super::AGE_UNIT`], rounded up, or [`Self::RETIRED`] or [`Self::UNKNOWN`].
    pub ages: Vec<u8>,
}

impl Affirmation {
    /// The voter has retired.
    pub const RETIRED: u8 = 254;
    /// No statement of the voter is known that is recent enough to count.
    pub const UNKNOWN: u8 = 255;
}
