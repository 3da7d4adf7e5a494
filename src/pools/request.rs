use super::InstanceId;

/// Request to the platform, derived from the rows.
///
/// Requests are idempotent, so a manager that takes over sends all of them again. The receiver
/// rejects a fencing token older than the newest it has seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Request {
    /// Finish running work and accept no new work.
    Drain {
        /// Instance to drain.
        instance: InstanceId,
        /// Fencing token.
        token: u64,
    },
    /// Restart the instance if `incarnation` is still running.
    Reboot {
        /// Instance to restart.
        instance: InstanceId,
        /// Incarnation to end.
        incarnation: u64,
        /// Fencing token.
        token: u64,
    },
    /// Serve the pool that the row names.
    Admit {
        /// Instance that has moved.
        instance: InstanceId,
        /// Fencing token.
        token: u64,
    },
}
