use crate::fleet::PoolId;

/// Reason for a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Purpose {
    /// Moves to another pool.
    Move(PoolId),
    /// Restarts under a maintenance plan.
    Reboot,
}
