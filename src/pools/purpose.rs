use crate::fleet::PoolId;

/// Why an instance was drained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Purpose {
    /// Moves to another pool.
    Move(PoolId),
    /// Restarts under a maintenance plan.
    Reboot,
}
