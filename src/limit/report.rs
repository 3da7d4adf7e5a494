use crate::fleet::WorkspaceId;

/// Report of an instance to its peers about its permits.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Newest version in which the instance has settled: its permits in use or lent fit its quotas
    /// in this version and in all older ones that are not closed. `u64::MAX` once the instance is
    /// shutting down and has no permits in use or lent.
    pub settled: u64,
    /// Newest version that the instance knows to be closed: no unit in the fleet runs under the
    /// quotas of older versions any more.
    pub closed: u64,
    /// Running units per workspace; workspaces without running units are left out.
    pub running: Vec<(WorkspaceId, u32)>,
}
