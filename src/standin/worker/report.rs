use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Need, Status};

/// What a worker reports of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Report {
    /// Job.
    pub id: Arc<str>,
    /// Shard under which it was started.
    pub shard: Arc<str>,
    /// State.
    pub status: Status,
    /// Resources in use, zero unless it runs.
    pub usage: Need,
    /// Work done at full speed, in milliseconds.
    pub done_ms: u64,
}
