use std::time::Duration;

use super::Malformed;
use crate::fleet::TeamId;
use crate::limit::{LoanId, Request};

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

impl Borrow {
    /// Converts to a request for the team `team`, which the caller looked up by name.
    ///
    /// # Errors
    ///
    /// The team is unknown here.
    ///
    /// ```
    /// use coriandernotch::fleet::TeamId;
    /// use coriandernotch::wire::Borrow;
    ///
    /// let borrow = Borrow { id: 1, team: "quotes".into(), amount: 2, run_ms: 1000 };
    /// assert!(borrow.to_request(Some(TeamId(0))).is_ok());
    /// assert!(borrow.to_request(None).is_err());
    /// ```
    pub fn to_request(&self, team: Option<TeamId>) -> Result<Request, Malformed> {
        Ok(Request::Borrow {
            id: LoanId(self.id),
            team: team.ok_or(Malformed("team"))?,
            amount: self.amount,
            run: Duration::from_millis(self.run_ms),
        })
    }
}
