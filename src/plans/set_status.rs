use std::sync::Arc;

use super::{Record, Status};
use crate::platform::{Error, Table};
use crate::pools::Operation;

/// Attempts to write the row, which every start of a wave writes as well.
const MAX_ATTEMPTS: usize = 5;

/// Pauses, resumes or withdraws a plan and returns the record that is stored afterwards.
///
/// A withdrawn plan cannot be resumed; the returned record then still has the status
/// [`Status::Withdrawn`]. `operation` must be unique: after a lost answer, a stored record with
/// the same operation shows that the write took effect.
///
/// # Errors
///
/// Returns the error of the table, or [`Error::Conflict`] when the row cannot be parsed. After
/// [`Error::Unknown`] the command may have taken effect.
///
/// ```
/// use coriandernotch::plans::{Status, set_status};
/// use coriandernotch::pools::Operation;
/// use coriandernotch::standin::Store;
///
/// # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
/// let table = Store::new().client("a");
/// let record = set_status(&table, "reboots", Status::Paused, "ana", Operation(7)).await.unwrap();
/// assert_eq!(record.status, Status::Paused);
/// # });
/// ```
pub async fn set_status(
    table: &dyn Table,
    plan: &str,
    status: Status,
    author: &str,
    operation: Operation,
) -> Result<Record, Error> {
    let key: Arc<str> = Record::key(plan).into();
    let mut last_error = Error::Conflict { key: key.clone() };
    for _ in 0..MAX_ATTEMPTS {
        let row = table.read(key.clone()).await?;
        let Some(current) = Record::read(row.as_ref()) else {
            return Err(Error::Conflict { key });
        };
        if current.operation == operation || current.status == Status::Withdrawn {
            return Ok(current);
        }
        let updated = Record {
            status,
            author: author.into(),
            operation,
            version: current.version,
        };
        match table.transact(vec![updated.write(plan)]).await {
            Ok(_) => {
                let version = updated.version + 1;
                return Ok(Record { version, ..updated });
            }
            Err(error @ Error::Unavailable { .. }) => return Err(error),
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}
