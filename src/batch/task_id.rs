use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// One task: a job, an occurrence, a step and a place in the step.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct TaskId {
    /// Job.
    pub job: Arc<str>,
    /// Occurrence, from 0.
    pub occurrence: u32,
    /// Step, from 0.
    pub step: u32,
    /// Place in the step, from 0.
    pub index: u32,
}
