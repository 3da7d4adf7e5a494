use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::batch::Busy;

/// Row of the leader.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub(super) struct Leader {
    /// Name of the instance that leads.
    pub(super) holder: Arc<str>,
    /// Start of its process, which tells two processes of one name apart.
    pub(super) incarnation: u64,
    /// Fencing token.
    pub(super) token: u64,
    /// Number of the renewal.
    pub(super) renewal: u64,
    /// Clock of the store when the renewal was sent, in milliseconds; 0 when it was not known.
    pub(super) renewed_ms: u64,
    /// Whether the leader gave up by itself.
    pub(super) vacant: bool,
    /// Jobs that wait, by queue.
    pub(super) pending: Vec<(Arc<str>, u64)>,
    /// Workers with runs that do not answer.
    pub(super) busy: Vec<Busy>,
    /// Machines that are lent, with their pools.
    pub(super) homes: Vec<(Arc<str>, Arc<str>)>,
    /// Machines whose maintenance has begun, by wave.
    pub(super) maintained: Vec<(u64, Vec<Arc<str>>)>,
}
