use super::Basis;
use crate::clock::Instant;
use crate::fleet::WorkspaceId;

/// A loan as recorded by its lender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Grant {
    pub(super) workspace: WorkspaceId,
    /// Permits that the lender counts as in use by the borrower.
    pub(super) amount: u32,
    /// Amount and basis of the reply to the borrow request. A duplicate of the request gets the
    /// same reply: a newer basis would claim that the loan fits quotas against which it was
    /// never checked.
    pub(super) reply: (u32, Basis),
    /// When the last unit under the loan must have ended: end of the term plus the longest run.
    pub(super) expires_at: Instant,
}
