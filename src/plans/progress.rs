use super::Blocker;

/// Progress of a plan in the current period.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Instances of the pool.
    pub total: u32,
    /// Instances maintained in this period.
    pub done: u32,
    /// Instances that are draining for the plan.
    pub draining: u32,
    /// Instances that are rebooting for the plan.
    pub rebooting: u32,
    /// Instances that are down.
    pub down: u32,
    /// Expected end of the remaining work, in seconds since 1970.
    pub expected_end: u64,
    /// Why the plan started nothing when it last chose.
    pub blocker: Option<Blocker>,
}
