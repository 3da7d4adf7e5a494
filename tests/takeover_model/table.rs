use crate::key::Key;

/// Rows that one read returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Table {
    /// The leader row and the handover.
    Leaders,
    /// Parts of the lists of the leader row.
    LeaderParts,
    Registrations,
    Members,
    /// Fence row of a partition.
    Fence(u8),
    Jobs(u8),
    Progress(u8),
}

impl Table {
    pub(crate) fn contains(self, key: &Key) -> bool {
        match key {
            Key::Leader | Key::Handover => self == Self::Leaders,
            Key::LeaderPart(_) => self == Self::LeaderParts,
            Key::Registration(_) => self == Self::Registrations,
            Key::Member(_) => self == Self::Members,
            Key::Fence(part) => self == Self::Fence(*part),
            Key::Job(part, _) => self == Self::Jobs(*part),
            Key::Progress(part, _) => self == Self::Progress(*part),
        }
    }
}
