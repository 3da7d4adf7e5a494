use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::batch::Busy;

/// The leader row: the current leader and what its successor needs to know.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub(super) struct Leader {
    /// Name of the leading instance.
    pub(super) holder: Arc<str>,
    /// Start time of its process in milliseconds since 1970, which distinguishes processes with the
    /// same name.
    pub(super) incarnation: u64,
    /// Fencing token of the leader, which increases with each change of leadership.
    pub(super) token: u64,
    /// Number of renewals in this term.
    pub(super) renewal: u64,
    /// Clock of the store when the renewal was sent, in milliseconds; 0 if unknown.
    pub(super) renewed_ms: u64,
    /// Whether the leader has resigned.
    pub(super) vacant: bool,
    /// Number of waiting jobs of each queue.
    pub(super) pending: Vec<(Arc<str>, u64)>,
    /// Workers that may have runs and do not answer.
    pub(super) busy: Vec<Busy>,
    /// Machines lent to other pools, with their home pools.
    pub(super) homes: Vec<(Arc<str>, Arc<str>)>,
    /// Machines whose maintenance has begun, by wave.
    pub(super) maintained: Vec<(u64, Vec<Arc<str>>)>,
}
