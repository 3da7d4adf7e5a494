use crate::limit::{Basis, LoanId, Reply, TermsId};

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
        let pending = lent.pending_version.map(|version| TermsId { version, tag });
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
