use coriandernotch::batch::{
    Fence, Leader, LeaderPart, Member, Occupancy, Profile, Progress, Record,
};

/// Content of a row of the modelled store.
#[derive(Clone, Debug)]
pub(crate) enum Content {
    Leader(Leader),
    LeaderPart(LeaderPart),
    /// Fencing token of the leader that resigned, and the workers that may have runs.
    Handover(u64, Vec<Occupancy>),
    Registration(Profile),
    Member(Member),
    Fence(Fence),
    Job(Record),
    Progress(Progress),
}
