//! What operators may ask of the plans at any entry instance.

use super::Shared;
use crate::plans::{Record, Status, Survey, command};
use crate::platform::Error;
use crate::pools;

impl Shared {
    /// Reads where the plans stand; `None` before any instance has managed them.
    ///
    /// # Errors
    ///
    /// The table cannot be read.
    pub async fn plans(&self) -> Result<Option<Survey>, Error> {
        let row = self.platform.table.read(Survey::KEY.into()).await?;
        Ok(Survey::read(row.as_ref()))
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
        // The top bit keeps it apart from operations of managers, which begin with their tokens.
        let operation = pools::Operation(self.next_operation().0 as u64 | (1 << 63));
        command(&*self.platform.table, plan, status, author, operation).await
    }
}
