use std::time::Duration;

use super::Malformed;
use crate::fleet::WorkspaceId;
use crate::limit::{LoanId, Request};

/// Asks for a loan.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Borrow {
    /// Number of the loan at the borrower.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Name of the workspace.
    #[prost(string, tag = "2")]
    pub workspace: String,
    /// Permits wanted.
    #[prost(uint32, tag = "3")]
    pub amount: u32,
    /// Longest run of a unit under the loan.
    #[prost(uint64, tag = "4")]
    pub run_ms: u64,
}

impl Borrow {
    /// Converts to a request for the workspace `workspace`, which the caller looked up by name.
    ///
    /// # Errors
    ///
    /// The workspace is unknown here.
    ///
    /// ```
    /// use coriandernotch::fleet::WorkspaceId;
    /// use coriandernotch::wire::Borrow;
    ///
    /// let borrow = Borrow { id: 1, workspace: "quotes".into(), amount: 2, run_ms: 1000 };
    /// assert!(borrow.to_request(Some(WorkspaceId(0))).is_ok());
    /// assert!(borrow.to_request(None).is_err());
    /// ```
    pub fn to_request(&self, workspace: Option<WorkspaceId>) -> Result<Request, Malformed> {
        Ok(Request::Borrow {
            id: LoanId(self.id),
            workspace: workspace.ok_or(Malformed("workspace"))?,
            amount: self.amount,
            run: Duration::from_millis(self.run_ms),
        })
    }
}
