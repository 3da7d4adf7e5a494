use std::sync::Arc;

/// Key of a row of the modelled store, in the order of its tables.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Key {
    Leader,
    /// Runs that a leader hands over when it resigns.
    Handover,
    /// Part of the lists of the leader row.
    LeaderPart(u32),
    /// Registration of a worker, by id.
    Registration(Arc<str>),
    Member(Arc<str>),
    /// Fence row of a partition.
    Fence(u8),
    Job(u8, Arc<str>),
    Progress(u8, Arc<str>),
}
