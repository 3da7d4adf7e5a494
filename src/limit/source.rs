use super::LoanId;

/// Where a permit came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Source {
    /// The home of the instance itself.
    Home,
    /// A loan from a peer.
    Loan(LoanId),
}
