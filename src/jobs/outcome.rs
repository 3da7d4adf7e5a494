use serde::{Deserialize, Serialize};

/// How a run ended at its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The task ended well.
    Succeeded,
    /// The task failed.
    Failed,
    /// Its progress was saved on request.
    Checkpointed,
    /// It was stopped on request.
    Stopped,
}
