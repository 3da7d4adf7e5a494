//! Messages of loans. Teams go by name, because ids differ between instances.

use std::time::Duration;

use super::Malformed;
use crate::fleet::TeamId;
use crate::limit::{Basis, LoanId, Mark, Reply, Request};

/// Asks for a loan.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Borrow {
    /// Number of the loan at the borrower.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Name of the team.
    #[prost(string, tag = "2")]
    pub team: String,
    /// Permits wanted.
    #[prost(uint32, tag = "3")]
    pub amount: u32,
    /// Longest run of a unit under the loan.
    #[prost(uint64, tag = "4")]
    pub run_ms: u64,
}

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

/// Answers a loan request, or a renewal when `attempt` is set.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Lent {
    /// Number of the loan at the borrower.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Number of the renewal.
    #[prost(uint32, optional, tag = "2")]
    pub attempt: Option<u32>,
    /// Permits lent.
    #[prost(uint32, tag = "3")]
    pub amount: u32,
    /// Version under which the lender decided.
    #[prost(uint64, tag = "4")]
    pub version: u64,
    /// Pending version that the lender obeyed too.
    #[prost(uint64, optional, tag = "5")]
    pub pending_version: Option<u64>,
    /// Tag of the terms of the pending version.
    #[prost(uint64, tag = "6")]
    pub pending_tag: u64,
}

impl From<Reply> for Lent {
    fn from(reply: Reply) -> Self {
        let (id, attempt, amount, basis) = match reply {
            Reply::Loan { id, amount, basis } => (id, None, amount, basis),
            Reply::Renewed {
                id,
                attempt,
                amount,
                basis,
            } => (id, Some(attempt), amount, basis),
        };
        Self {
            id: id.0,
            attempt,
            amount,
            version: basis.version,
            pending_version: basis.pending.map(|mark| mark.version),
            pending_tag: basis.pending.map_or(0, |mark| mark.tag),
        }
    }
}

impl From<Lent> for Reply {
    fn from(lent: Lent) -> Self {
        let tag = lent.pending_tag;
        let pending = lent.pending_version.map(|version| Mark { version, tag });
        let basis = Basis {
            version: lent.version,
            pending,
        };
        let (id, amount) = (LoanId(lent.id), lent.amount);
        match lent.attempt {
            None => Self::Loan { id, amount, basis },
            Some(attempt) => Self::Renewed {
                id,
                attempt,
                amount,
                basis,
            },
        }
    }
}

impl Borrow {
    /// Converts to a request for the team `team`, which the caller looked up by name.
    ///
    /// # Errors
    ///
    /// The team is unknown here.
    pub fn to_request(&self, team: Option<TeamId>) -> Result<Request, Malformed> {
        Ok(Request::Borrow {
            id: LoanId(self.id),
            team: team.ok_or(Malformed("team"))?,
            amount: self.amount,
            run: Duration::from_millis(self.run_ms),
        })
    }
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

impl From<Return> for Request {
    fn from(give: Return) -> Self {
        Self::Return {
            id: LoanId(give.id),
            keep: give.keep,
        }
    }
}
