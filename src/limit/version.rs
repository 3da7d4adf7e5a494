use std::time::Duration;

use super::{Allocation, PeerId, TermsId};
use crate::clock::Instant;
use crate::fleet::WorkspaceId;

/// One known version: its quotas, and the data that decides when older versions are closed.
#[derive(Clone, Debug)]
pub(super) struct Version {
    pub(super) mark: TermsId,
    /// Voters in ascending order of name and incarnation.
    pub(super) voters: Vec<PeerId>,
    /// Index of this instance in `voters`; `None` when it is not a voter.
    pub(super) own_index: Option<usize>,
    /// Quotas of all voters, indexed by workspace.
    pub(super) allocations: Vec<Option<Allocation>>,
    pub(super) longest_run: Duration,
    /// When this instance learned of the version, which is not before it was committed.
    pub(super) learned_at: Instant,
    /// Whether the preceding version, with its quotas and voters, is unknown.
    pub(super) follows_gap: bool,
}

impl Version {
    /// Returns the quota of this instance for a workspace.
    pub(super) fn quota(&self, workspace: WorkspaceId) -> u32 {
        let quota = |index: usize| Some(self.allocation(workspace)?.quotas()[index]);
        self.own_index.and_then(quota).unwrap_or(0)
    }

    /// Returns the limit of a workspace.
    pub(super) fn limit(&self, workspace: WorkspaceId) -> Option<u32> {
        self.allocation(workspace).map(Allocation::limit)
    }

    /// Lists the voters whose quota for a workspace is not 0, with the quota.
    pub(super) fn quotas(&self, workspace: WorkspaceId) -> impl Iterator<Item = (PeerId, u32)> {
        let quotas = self
            .allocation(workspace)
            .map_or(&[][..], Allocation::quotas);
        let pairs = self.voters.iter().copied().zip(quotas.iter().copied());
        pairs.filter(|(_, quota)| *quota > 0)
    }

    /// Returns whether every instance has the same quota for a workspace in both versions.
    pub(super) fn same_quotas(&self, other: &Self, workspace: WorkspaceId) -> bool {
        self.quotas(workspace).eq(other.quotas(workspace))
    }

    fn allocation(&self, workspace: WorkspaceId) -> Option<&Allocation> {
        self.allocations.get(workspace.index())?.as_ref()
    }
}
