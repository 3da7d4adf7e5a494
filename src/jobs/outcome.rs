use serde::{Deserialize, Serialize};

/// How a run ended on its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The task succeeded.
    Succeeded,
    /// The task failed.
    Failed,
    /// The task was stopped on request with its progress saved.
    Checkpointed,
    /// The task was stopped without saving its progress.
    Stopped,
}
