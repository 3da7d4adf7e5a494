use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Occupancy, QueueService};

/// Row with a part of the lists of a [`super::Leader`] that are too long for its own row. It is
/// written in the same transaction as the leader row and names the same write.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct LeaderPart {
    /// Fencing token of the leader.
    pub token: u64,
    /// Number of the write of the leader row to which this part belongs.
    pub renewal: u64,
    /// Position among the parts, from 0.
    pub position: u32,
    /// Further workers that may have runs and do not answer.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub busy: Vec<Occupancy>,
    /// Further services that queues use.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub queue_services: Vec<QueueService>,
    /// Further machines lent to other pools, with their home pools.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub homes: Vec<(Arc<str>, Arc<str>)>,
    /// Further machines whose maintenance has begun, by wave.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub maintained: Vec<(u64, Vec<Arc<str>>)>,
    /// Further queues with their numbers of waiting jobs.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub pending: Vec<(Arc<str>, u64)>,
}
