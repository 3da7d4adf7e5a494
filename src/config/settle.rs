use std::sync::Arc;
use std::time::Duration;

use super::{Change, HEAD_KEY, Head, Outcome, Reason, Revision};
use crate::platform::{Condition, Error, Row, Table, Write};

/// Number of times the write or a read back is tried.
const ATTEMPTS: u32 = 4;

/// Time before the second attempt; doubles with each, so that all waits take less than 1 s.
const BACKOFF: Duration = Duration::from_millis(50);

/// Writes `head` over row version `base` and finds out what came of it.
pub(super) async fn settle(table: &dyn Table, head: &Arc<Head>, base: u64) -> Outcome {
    let condition = match base {
        0 => Condition::Absent,
        base => Condition::Version(base),
    };
    let change = serde_json::to_string(&Change::of(head)).expect("a change has only plain fields");
    let writes = [
        Write::put(HEAD_KEY, condition, &head.to_json()),
        Write::put(&Change::key(head.version), Condition::Absent, &change),
    ];
    let mut unsure = false;
    let mut cause = String::new();
    for attempt in 0..ATTEMPTS {
        match table.transact(writes.to_vec()).await {
            Ok(_) => {
                return Outcome::Accepted(Revision {
                    number: base + 1,
                    head: head.clone(),
                });
            }
            Err(Error::Conflict { .. }) => return read_back(table, head, base, unsure).await,
            Err(error @ Error::Unavailable { .. }) => cause = error.to_string(),
            Err(error @ Error::Unknown { .. }) => {
                unsure = true;
                cause = error.to_string();
            }
        }
        tokio::time::sleep(BACKOFF * 2u32.pow(attempt)).await;
    }
    match unsure {
        true => Outcome::Unknown(head.operation),
        false => Outcome::Refused(Reason::Unavailable(cause.into())),
    }
}

/// Finds out, after a conflict, whether an earlier attempt took effect or which change came first.
async fn read_back(table: &dyn Table, head: &Arc<Head>, base: u64, unsure: bool) -> Outcome {
    let mut cause: Arc<str> = "the row does not exist".into();
    for attempt in 0..ATTEMPTS {
        match read(table, head).await {
            Ok((Some(row), wrote)) => {
                let current = match Revision::from_row(&row) {
                    Ok(current) => current,
                    Err(error) => {
                        return Outcome::Refused(Reason::Malformed(error.to_string().into()));
                    }
                };
                return match wrote {
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
        tokio::time::sleep(BACKOFF * 2u32.pow(attempt)).await;
    }
    match unsure {
        true => Outcome::Unknown(head.operation),
        false => Outcome::Refused(Reason::Unavailable(cause)),
    }
}

/// Reads the head row, and whether `head` was ever in force.
async fn read(table: &dyn Table, head: &Head) -> Result<(Option<Row>, bool), Error> {
    let row = table.read(HEAD_KEY.into()).await?;
    let change = table.read(Change::key(head.version).into()).await?;
    let wrote = change
        .and_then(|row| serde_json::from_str::<Change>(&row.value).ok())
        .is_some_and(|change| change.operation == head.operation);
    Ok((row, wrote))
}
