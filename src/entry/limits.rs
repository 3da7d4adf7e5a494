use std::time::Duration;

use serde::Deserialize;

use crate::intake;

/// Longest time for which a request of a caller is served, in milliseconds: ten times what callers
/// wait.
const MAX_DEADLINE_MS: u64 = 30_000;

/// Limits on callers in the settings. Those that are left out follow from the memory and the
/// descriptors.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct Limits {
    /// MiB of all connections of callers and their requests together.
    pub budget_mb: Option<u32>,
    /// Connections of callers.
    pub connections: Option<u32>,
    /// Connections of callers that wait to be accepted.
    pub backlog: Option<u32>,
    /// MiB that the jobs in progress may take at the leader.
    pub jobs_mb: Option<u32>,
    /// Bytes of the head of a request, at least 8,192.
    pub head_bytes: Option<u32>,
    /// Time for a head to arrive, in milliseconds.
    pub head_ms: Option<u64>,
    /// Time for a body to arrive, in milliseconds.
    pub body_ms: Option<u64>,
    /// Time after which a connection without a request is closed, in milliseconds.
    pub idle_ms: Option<u64>,
    /// Time for which a caller may leave an answer untaken, in milliseconds.
    pub write_ms: Option<u64>,
    /// Longest time for which a request is served, whatever its caller asks for, in milliseconds.
    pub deadline_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            budget_mb: None,
            connections: None,
            backlog: None,
            jobs_mb: None,
            head_bytes: None,
            head_ms: None,
            body_ms: None,
            idle_ms: None,
            write_ms: None,
            deadline_ms: MAX_DEADLINE_MS,
        }
    }
}

impl Limits {
    /// Puts the limits that are set in place of derived ones.
    pub(super) fn apply(&self, derived: intake::Limits) -> intake::Limits {
        let time = |ms: Option<u64>, or: Duration| ms.map_or(or, Duration::from_millis);
        let budget = self.budget_mb.map(|mb| (mb as usize) << 20);
        let limits = budget.map_or(derived, |bytes| derived.with_bytes(bytes));
        intake::Limits {
            connections: self.connections.map_or(limits.connections, |n| n as usize),
            backlog: self.backlog.map_or(limits.backlog, |n| n as usize),
            head_bytes: self
                .head_bytes
                .map_or(limits.head_bytes, |n| n as usize)
                .max(8 << 10),
            head_time: time(self.head_ms, limits.head_time),
            body_time: time(self.body_ms, limits.body_time),
            idle_time: time(self.idle_ms, limits.idle_time),
            write_time: time(self.write_ms, limits.write_time),
            ..limits
        }
    }
}
