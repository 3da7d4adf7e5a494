use std::sync::Arc;
use std::time::Duration;

use super::{Change, HEAD_KEY, Head, Outcome, Reason, Revision};
use crate::platform::{Condition, Error, Row, Table, Write};

/// Maximum number of attempts of the write, and likewise of the read after a conflict.
const MAX_ATTEMPTS: u32 = 4;

/// Delay after the first attempt; doubles with each one, so that all delays total less than 1 s.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Writes `head` and its history row if the head row still has version `base` (0 if it must
/// not exist), and determines the outcome.
pub(super) async fn write_head(table: &dyn Table, head: &Arc<Head>, base: u64) -> Outcome {
    let condition = match base {
        0 => Condition::Absent,
        base => Condition::Version(base),
    };
    let change =
        serde_json::to_string(&Change::of(head)).expect("serialising a change cannot fail");
    let writes = [
        Write::put(HEAD_KEY, condition, &head.to_json()),
        Write::put(&Change::key(head.version), Condition::Absent, &change),
    ];
    let mut in_doubt = false;
    let mut cause = String::new();
    for attempt in 0..MAX_ATTEMPTS {
        match table.transact(writes.to_vec()).await {
            Ok(_) => {
                return Outcome::Accepted(Revision {
                    number: base + 1,
                    head: head.clone(),
                });
            }
            Err(Error::Conflict { .. }) => return read_back(table, head, base, in_doubt).await,
            Err(error @ Error::Unavailable { .. }) => cause = error.to_string(),
            Err(error @ Error::Unknown { .. }) => {
                in_doubt = true;
                cause = error.to_string();
            }
        }
        tokio::time::sleep(INITIAL_BACKOFF * 2u32.pow(attempt)).await;
    }
    match in_doubt {
        true => Outcome::Unknown(head.operation),
        false => Outcome::Refused(Reason::Unavailable(cause.into())),
    }
}

/// Determines, after a conflict, whether an earlier attempt took effect, or else which change or
/// fence was written first.
async fn read_back(table: &dyn Table, head: &Arc<Head>, base: u64, in_doubt: bool) -> Outcome {
    let mut cause: Arc<str> = "the row does not exist".into();
    for attempt in 0..MAX_ATTEMPTS {
        match read_head(table, head).await {
            Ok((Some(row), took_effect)) => {
                let current = match Revision::from_row(&row) {
                    Ok(current) => current,
                    Err(error) => {
                        return Outcome::Refused(Reason::Malformed(error.to_string().into()));
                    }
                };
                return match took_effect {
                    true if current.head.operation == head.operation => Outcome::Accepted(current),
                    true => Outcome::Accepted(Revision {
                        number: base + 1,
                        head: head.clone(),
                    }),
                    false if current.head.version < head.version => {
                        Outcome::Refused(Reason::Fenced)
                    }
                    false => Outcome::Conflict(current),
                };
            }
            Ok((None, _)) => {}
            Err(error) => cause = error.to_string().into(),
        }
        tokio::time::sleep(INITIAL_BACKOFF * 2u32.pow(attempt)).await;
    }
    match in_doubt {
        true => Outcome::Unknown(head.operation),
        false => Outcome::Refused(Reason::Unavailable(cause)),
    }
}

/// Reads the head row, and from the history whether `head` was ever in force.
async fn read_head(table: &dyn Table, head: &Head) -> Result<(Option<Row>, bool), Error> {
    let row = table.read(HEAD_KEY.into()).await?;
    let change = table.read(Change::key(head.version).into()).await?;
    let took_effect = change
        .and_then(|row| serde_json::from_str::<Change>(&row.value).ok())
        .is_some_and(|change| change.operation == head.operation);
    Ok((row, took_effect))
}
