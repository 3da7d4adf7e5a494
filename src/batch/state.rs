use serde::{Deserialize, Serialize};

/// State of a job, as shown to callers.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    strum::Display,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum State {
    /// No task has been started.
    #[default]
    Queued,
    /// A task has been started.
    Running,
    /// All tasks have succeeded.
    Completed,
    /// A task failed as often as its queue allows.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

impl State {
    /// Returns whether the job has ended.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}
