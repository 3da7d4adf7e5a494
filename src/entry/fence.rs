use serde::{Deserialize, Serialize};

/// Row that fences the writes to one partition.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub(super) struct Fence {
    /// Fencing token of the leader that wrote last.
    pub(super) token: u64,
    /// Number of its write.
    pub(super) write: u64,
}
