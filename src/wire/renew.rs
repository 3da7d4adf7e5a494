use std::time::Duration;

use crate::limit::{LoanId, Request};

/// Asks for a longer term.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Renew {
    /// Number of the loan at the borrower.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Number of the renewal.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// Permits that the borrower keeps.
    #[prost(uint32, tag = "3")]
    pub keep: u32,
    /// Longest run of a unit under the loan.
    #[prost(uint64, tag = "4")]
    pub run_ms: u64,
}

impl From<Renew> for Request {
    fn from(renew: Renew) -> Self {
        Self::Renew {
            id: LoanId(renew.id),
            attempt: renew.attempt,
            keep: renew.keep,
            run: Duration::from_millis(renew.run_ms),
        }
    }
}
