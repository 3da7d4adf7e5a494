use super::Wait;

/// Where a plan stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Instances of the pool.
    pub total: u32,
    /// Instances maintained in this period.
    pub done: u32,
    /// Instances that drain for the plan.
    pub draining: u32,
    /// Instances that reboot for the plan.
    pub rebooting: u32,
    /// Instances that are down.
    pub down: u32,
    /// Expected end in seconds since 1970.
    pub end: u64,
    /// Why nothing starts now.
    pub wait: Option<Wait>,
}
