use serde::{Deserialize, Serialize};

use super::Policy;

/// Scheduling settings that operators can change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Tuning {
    /// Scheduling policy.
    pub policy: Policy,
    /// Maximum number of waiting jobs per workspace, and of waiting urgent jobs in total. Bounds
    /// the memory used.
    pub waiting_limit: u32,
    /// Percentage of the usable capacity that is reserved for urgent jobs.
    pub headroom_percent: u64,
    /// Percentage added to the learned processor usage. Small, because a shortage of processors
    /// only slows down the jobs of a worker, and the deviations of its jobs cancel out.
    pub margin_percent: u64,
    /// Percentage added to the learned memory usage, on top of twice its mean deviation, because
    /// jobs are lost when a worker runs out of memory.
    pub memory_margin_percent: u64,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            policy: Policy::Learned,
            waiting_limit: 1_000,
            headroom_percent: 1,
            margin_percent: 1,
            memory_margin_percent: 5,
        }
    }
}
