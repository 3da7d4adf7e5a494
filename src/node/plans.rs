//! Queries and commands for plans, available to operators at any entry instance.

use super::Shared;
use crate::plans::{Overview, Record, Status, set_status};
use crate::platform::Error;
use crate::pools;

impl Shared {
    /// Reads the progress of the plans; `None` before a manager has written it for the first time.
    ///
    /// # Errors
    ///
    /// The table cannot be read.
    pub async fn plans(&self) -> Result<Option<Overview>, Error> {
        let row = self.platform.table.read(Overview::KEY.into()).await?;
        Ok(Overview::read(row.as_ref()))
    }

    /// Pauses, resumes or withdraws a plan; returns the row in force afterwards.
    ///
    /// # Errors
    ///
    /// Returns the error of the table; after [`Error::Unknown`] the command may be in force.
    pub async fn command_plan(
        &self,
        plan: &str,
        status: Status,
        author: &str,
    ) -> Result<Record, Error> {
        // The top bit distinguishes this operation from those of managers, which start with the
        // token of their lease.
        let operation = pools::Operation(self.next_operation().0 as u64 | (1 << 63));
        set_status(&*self.platform.table, plan, status, author, operation).await
    }
}
