use super::{Change, Outcome};
use crate::platform::{Error, Table};

/// Times that a transaction with a lost answer is sent.
const ATTEMPTS: usize = 3;

/// Writes a change and finds out what came of it.
///
/// Sending it again after a lost answer is harmless: every write is conditional on the version
/// that the decision was based on, so at most one of the copies takes effect.
///
/// ```
/// use coriandernotch::pools::{Outcome, State, settle};
/// use coriandernotch::standin::Store;
///
/// # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
/// let state = State::example(2, 4);
/// let change = state.found().unwrap().pop().unwrap();
/// let table = Store::new().client("a");
/// assert_eq!(settle(&table, &change).await, Outcome::Applied);
/// # });
/// ```
pub async fn settle(table: &dyn Table, change: &Change) -> Outcome {
    let mut lost = None;
    for _ in 0..ATTEMPTS {
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
        let Ok(row) = table.read(change.probe.clone()).await else {
            continue;
        };
        if row.as_ref().is_some_and(|row| carries(&row.value, change)) {
            return Outcome::Applied;
        }
        // Versions only grow, so a lost copy can no longer take effect either.
        if conflict || row.map_or(0, |row| row.version) != base(change) {
            return Outcome::Conflict;
        }
    }
    Outcome::Unknown(lost.expect("only a lost answer leads to another attempt"))
}

fn carries(value: &str, change: &Change) -> bool {
    let row: Option<serde_json::Value> = serde_json::from_str(value).ok();
    let operation = row.and_then(|row| row.get("operation")?.as_u64());
    operation == Some(change.operation.0)
}

/// Version of the probe row on which the change is conditional.
fn base(change: &Change) -> u64 {
    let write = change.writes.iter().find(|w| w.key == change.probe);
    match write.map(|write| write.condition) {
        Some(crate::platform::Condition::Version(version)) => version,
        _ => 0,
    }
}
