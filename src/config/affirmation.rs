use super::{Operation, Position, Vote, Voter};

/// Reply to a pull: what the sender has acknowledged, and how old its evidence on each voter is.
///
/// The sender states that it has acknowledged no version except those that are settled at
/// `position` and those in `pending`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Affirmation {
    /// Instance that sends the affirmation.
    pub from: Voter,
    /// Whether the sender may still vote; its own statement counts only with [`Vote::Held`].
    pub vote: Vote,
    /// Newest head that the sender knows, or `None` while it knows no head.
    pub position: Option<Position>,
    /// Operations prepared on that head whose result the sender does not know.
    pub pending: Vec<Operation>,
    /// For each voter of the head, in the order of its list: age of the voter's newest affirmation
    /// known to the sender, in units of [`super::AGE_UNIT`] and rounded up, or [`Self::RETIRED`] or
    /// [`Self::UNKNOWN`].
    pub ages: Vec<u8>,
}

impl Affirmation {
    /// Value in [`Self::ages`] of a voter that has retired.
    pub const RETIRED: u8 = 254;
    /// Value in [`Self::ages`] of a voter without a known affirmation, or with one that is too old
    /// to represent.
    pub const UNKNOWN: u8 = 255;
}
