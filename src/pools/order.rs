use super::InstanceId;

/// Request to the platform that follows from the rows.
///
/// Repeating one is harmless, so a manager that takes over sends all of them again. The receiver
/// rejects a fencing token older than the newest it has seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Finish what runs and accept nothing new.
    Drain {
        /// Instance to drain.
        instance: InstanceId,
        /// Fencing token.
        token: u64,
    },
    /// Restart if `incarnation` still runs.
    Reboot {
        /// Instance to restart.
        instance: InstanceId,
        /// Incarnation to end.
        incarnation: u64,
        /// Fencing token.
        token: u64,
    },
    /// Serve the pool of the row.
    Admit {
        /// Instance that has moved.
        instance: InstanceId,
        /// Fencing token.
        token: u64,
    },
}
