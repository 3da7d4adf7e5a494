use super::{Basis, LoanId};

/// Message from a lender to a borrower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reply {
    /// Answer to a borrow request.
    Loan {
        /// The loan.
        id: LoanId,
        /// Permits lent, at most as many as requested; 0 is a refusal.
        amount: u32,
        /// What the lender knew.
        basis: Basis,
    },
    /// Answer to a renewal.
    Renewed {
        /// The loan.
        id: LoanId,
        /// Number of the attempt in the request.
        attempt: u32,
        /// Permits usable in the new term; 0 is a refusal.
        amount: u32,
        /// What the lender knew.
        basis: Basis,
    },
}
