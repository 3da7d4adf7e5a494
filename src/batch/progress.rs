use serde::{Deserialize, Serialize};

use super::State;

/// Stored progress of the tasks of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Progress {
    /// State shown to callers.
    pub state: State,
    /// Succeeded tasks, as (occurrence, step, index).
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<(u32, u32, u32)>,
    /// Failed tasks, as (occurrence, step, index, numbers of the failed runs). A worker lists an
    /// end until it is acknowledged, so a new leader may read one that is already stored.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub failed: Vec<(u32, u32, u32, Vec<u64>)>,
    /// When the job ended, in milliseconds since 1970; 0 before.
    pub ended_ms: u64,
}
