use serde::{Deserialize, Serialize};

/// Row that fences the writes of older leaders to one partition.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub(super) struct Fence {
    /// Fencing token of the leader that last wrote to the partition.
    pub(super) token: u64,
    /// Number of the write, counted over all leaders.
    pub(super) write: u64,
}
