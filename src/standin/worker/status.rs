use serde::{Deserialize, Serialize};

/// State of a job on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Status {
    /// Runs.
    Running,
    /// Ran to its end.
    Succeeded,
    /// Failed by itself.
    Failed,
    /// Stopped with its progress saved.
    Checkpointed,
    /// Stopped by order.
    Stopped,
    /// Stopped because its lease ended.
    Expired,
}
