use crate::limit::{LoanId, Request};

/// Gives back permits.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Return {
    /// Number of the loan at the borrower.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Permits that the borrower keeps.
    #[prost(uint32, tag = "2")]
    pub keep: u32,
}

impl From<Return> for Request {
    fn from(give: Return) -> Self {
        Self::Return {
            id: LoanId(give.id),
            keep: give.keep,
        }
    }
}
