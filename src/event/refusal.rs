use crate::fleet::{ServiceId, WorkspaceId};

/// What refusals have in common that are counted together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Refusal {
    /// Reason that the callers got.
    pub reason: &'static str,
    /// Workspace, once its key was known.
    pub workspace: Option<WorkspaceId>,
    /// Service, once it was known.
    pub service: Option<ServiceId>,
}
