use std::sync::Arc;

use super::{Record, Status};
use crate::platform::{Error, Table};
use crate::pools::Operation;

/// Attempts against waves that write the row at the same time.
const ATTEMPTS: usize = 5;

/// Pauses, resumes or withdraws a plan; returns the row in force afterwards.
///
/// A withdrawn plan stays withdrawn; the caller sees that in the status of the row. A lost answer
/// is found out by the operation, which must be unique.
///
/// # Errors
///
/// Returns the error of the table; after [`Error::Unknown`] the command may be in force.
///
/// ```
/// use coriandernotch::plans::{Status, command};
/// use coriandernotch::pools::Operation;
/// use coriandernotch::standin::Store;
///
/// # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
/// let table = Store::new().client("a");
/// let record = command(&table, "reboots", Status::Paused, "ana", Operation(7)).await.unwrap();
/// assert_eq!(record.status, Status::Paused);
/// # });
/// ```
pub async fn command(
    table: &dyn Table,
    plan: &str,
    status: Status,
    author: &str,
    operation: Operation,
) -> Result<Record, Error> {
    let key: Arc<str> = Record::key(plan).into();
    let mut last = Error::Conflict { key: key.clone() };
    for _ in 0..ATTEMPTS {
        let row = table.read(key.clone()).await?;
        let Some(current) = Record::read(row.as_ref()) else {
            return Err(Error::Conflict { key });
        };
        if current.operation == operation || current.status == Status::Withdrawn {
            return Ok(current);
        }
        let new = Record {
            status,
            author: author.into(),
            operation,
            version: current.version,
        };
        match table.transact(vec![new.write(plan)]).await {
            Ok(_) => {
                let version = new.version + 1;
                return Ok(Record { version, ..new });
            }
            Err(error @ Error::Unavailable { .. }) => return Err(error),
            Err(error) => last = error,
        }
    }
    Err(last)
}
