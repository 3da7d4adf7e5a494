use std::time::Duration;

use super::LoanId;
use crate::fleet::WorkspaceId;

/// Message from a borrower to a lender. Every variant is idempotent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Request {
    /// Requests a loan.
    Borrow {
        /// Id that the loan has if it is granted.
        id: LoanId,
        /// Workspace that needs the permits.
        workspace: WorkspaceId,
        /// Number of permits requested.
        amount: u32,
        /// Longest time for which the borrower lets a unit run under this loan.
        run: Duration,
    },
    /// Requests another term for a loan.
    Renew {
        /// Id of the loan.
        id: LoanId,
        /// Number of the attempt, repeated in the reply.
        attempt: u32,
        /// Permits still needed or in use; the rest is returned.
        keep: u32,
        /// Longest time for which the borrower lets a unit run under this loan.
        run: Duration,
    },
    /// Returns permits before the loan expires.
    Return {
        /// Id of the loan.
        id: LoanId,
        /// Permits that the borrower keeps.
        keep: u32,
    },
}
