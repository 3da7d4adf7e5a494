use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Identifies one task: a job, an occurrence, a step and an index in the step.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct TaskId {
    /// Id of the job.
    pub job: Arc<str>,
    /// Number of the occurrence, from 0.
    pub occurrence: u32,
    /// Position of the step, from 0.
    pub step: u32,
    /// Index of the task in the step, from 0.
    pub index: u32,
}
