use super::{Basis, LoanId};

/// Message from a lender to a borrower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reply {
    /// Reply to a borrow request.
    Loan {
        /// Id of the loan.
        id: LoanId,
        /// Permits lent, at most as many as requested; 0 is a refusal.
        amount: u32,
        /// Versions that the lender enforced.
        basis: Basis,
    },
    /// Reply to a renewal request.
    Renewed {
        /// Id of the loan.
        id: LoanId,
        /// Number of the attempt, from the request.
        attempt: u32,
        /// Permits usable in the new term; 0 is a refusal.
        amount: u32,
        /// Versions that the lender enforced.
        basis: Basis,
    },
}
