use super::Source;
use crate::fleet::WorkspaceId;

/// Permission to run one unit of a workspace, valid in the ledger that issued it.
///
/// Dropping a permit does not release it: the caller that took it must give it back exactly once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Permit {
    /// Workspace for which the unit runs.
    pub workspace: WorkspaceId,
    /// Whether the permit came from the quota or from a loan.
    pub source: Source,
}
