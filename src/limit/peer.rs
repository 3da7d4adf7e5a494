use super::{LoanId, Voter};

/// State that a ledger keeps about one entry instance.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) voter: Voter,
    /// Newest version in which the peer reported to have settled.
    pub(super) settled: u64,
    /// Highest loan id received from the peer, so that a delayed duplicate of a borrow request
    /// creates no second loan.
    pub(super) highest_loan: LoanId,
    /// Running units that the peer reported, indexed by workspace.
    pub(super) running: Vec<u32>,
}

impl Peer {
    pub(super) fn new(voter: Voter) -> Self {
        Self {
            voter,
            settled: 0,
            highest_loan: LoanId(0),
            running: Vec::new(),
        }
    }
}
