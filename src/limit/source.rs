use super::LoanId;

/// Origin of a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Source {
    /// The quota of the instance itself.
    Quota,
    /// A loan from a peer.
    Loan(LoanId),
}
