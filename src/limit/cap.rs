use std::sync::Arc;

use crate::fleet::WorkspaceId;

/// Limit on the running units of one workspace in one version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cap {
    /// Id of the workspace in this process.
    pub workspace: WorkspaceId,
    /// Name of the workspace; the split hashes the name because ids differ between processes.
    pub name: Arc<str>,
    /// Maximum number of units that may run at the same time in the whole fleet.
    pub limit: u32,
}
