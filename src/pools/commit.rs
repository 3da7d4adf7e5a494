use super::{Change, Outcome};
use crate::platform::{Error, Table};

/// Most times that a transaction is sent when replies are lost.
const MAX_ATTEMPTS: usize = 3;

/// Writes a change and finds out whether it took effect.
///
/// Sending it again after a lost reply is safe: its writes are conditional on the versions that the
/// decision was based on, so at most one of the copies takes effect.
///
/// ```
/// use coriandernotch::pools::{Outcome, State, commit};
/// use coriandernotch::standin::Store;
///
/// # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
/// let state = State::example(2, 4);
/// let change = state.missing_rows().unwrap().pop().unwrap();
/// let table = Store::new().client("a");
/// assert_eq!(commit(&table, &change).await, Outcome::Applied);
/// # });
/// ```
pub async fn commit(table: &dyn Table, change: &Change) -> Outcome {
    // Error of the last attempt whose reply was lost.
    let mut lost = None;
    for _ in 0..MAX_ATTEMPTS {
        let error = match table.transact(change.writes.clone()).await {
            Ok(_) => return Outcome::Applied,
            Err(error) => error,
        };
        let conflict = matches!(error, Error::Conflict { .. });
        match error {
            Error::Conflict { .. } if lost.is_none() => return Outcome::Conflict,
            Error::Unavailable { .. } if lost.is_none() => return Outcome::Unavailable(error),
            Error::Unknown { .. } => lost = Some(error),
            Error::Unavailable { .. } | Error::Conflict { .. } => {}
        }
        let Ok(row) = table.read(change.probe_key.clone()).await else {
            continue;
        };
        if row
            .as_ref()
            .is_some_and(|row| has_operation(&row.value, change))
        {
            return Outcome::Applied;
        }
        // Versions only grow, so no copy that is still in transit can take effect either.
        if conflict || row.map_or(0, |row| row.version) != base_version(change) {
            return Outcome::Conflict;
        }
    }
    Outcome::Unknown(lost.expect("only a lost reply leads to another attempt"))
}

fn has_operation(value: &str, change: &Change) -> bool {
    let row: Option<serde_json::Value> = serde_json::from_str(value).ok();
    let operation = row.and_then(|row| row.get("operation")?.as_u64());
    operation == Some(change.operation.0)
}

/// Returns the version of the probe row on which the change is conditional, 0 if the row must be
/// missing.
fn base_version(change: &Change) -> u64 {
    let write = change.writes.iter().find(|w| w.key == change.probe_key);
    match write.map(|write| write.condition) {
        Some(crate::platform::Condition::Version(version)) => version,
        _ => 0,
    }
}
