use serde::{Deserialize, Serialize};

use super::{KindId, Size};
use crate::fleet::WorkspaceId;

/// A job as declared by its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Spec {
    /// Workspace that the job is charged to.
    pub workspace: WorkspaceId,
    /// Kind of job within the workspace.
    pub kind: KindId,
    /// Declared resources; processors and memory may be too high or too low by a factor of 10.
    pub declared: Size,
    /// Whether the job must start within 1.3 s.
    #[serde(default)]
    pub urgent: bool,
    /// Whether the job can save its progress and continue on another worker.
    #[serde(default)]
    pub checkpoints: bool,
}
