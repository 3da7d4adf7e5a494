use coriandernotch::batch::Leader;

/// Why an instance calls the store, with what it needs to handle the answer.
#[derive(Clone, Debug)]
pub(crate) enum Purpose {
    /// Following the leader row.
    Follow,
    /// Reading the parts of the lists of the leader row.
    ReadParts,
    /// Reading what the previous leader handed over when it resigned.
    ReadHandover,
    /// Writing the leader row; the number of attempts that are left after a conflict.
    TakeOver(Leader, u32),
    /// Reading and raising the fence of a partition at the start of a term.
    ReadFence(u8),
    RaiseFence(u8),
    LoadJobs,
    LoadProgress,
    LoadWorkers,
    LoadMembers,
    /// Renewing the leadership; the number of attempts that are left after a conflict.
    Renew(Leader, u32),
    FollowJobs,
    /// Reading all jobs again, in the attempt with this number.
    RereadJobs(u32),
    FollowWorkers,
    /// Reading the fence of a partition before the first write.
    PrepareFlush(u8),
    /// Storing changes of jobs.
    Flush(u8),
    /// Reading the fence of a partition after a conflict.
    ResolveFlush(u8),
    /// Giving up the leadership; the number of attempts that are left after a conflict.
    Resign(Leader, u32),
}

impl Purpose {
    /// Returns whether the task that stores changes makes the call.
    pub(crate) fn is_flush(&self) -> bool {
        matches!(
            self,
            Self::PrepareFlush(_) | Self::Flush(_) | Self::ResolveFlush(_)
        )
    }
}
