//! The row that holds the lease of a queue.

use std::sync::Arc;
use std::time::Duration;

use crate::jobs::Owner;
use crate::node::Shared;
use crate::platform::{Condition, Error, Write};

/// Term of the lease of a queue. A holder renews it every second.
pub(super) const TERM: Duration = Duration::from_secs(3);

/// Returns the key of the lease row of a queue.
pub(super) fn key(name: &str) -> Arc<str> {
    format!("shards/{name}").into()
}

/// Reads the lease of a queue and the version of its row, 0 when there is none.
pub(super) async fn read(shared: &Shared, name: &str) -> Result<(Owner, u64), Error> {
    let row = shared.platform.table.read(key(name)).await?;
    Ok(row.map_or((Owner::default(), 0), |row| {
        let tenure = serde_json::from_str(&row.value).unwrap_or_default();
        (tenure, row.version)
    }))
}

/// Makes the write of a lease on condition that its row still has `version`.
pub(super) fn make_write(name: &str, tenure: &Owner, version: u64) -> Write {
    let condition = match version {
        0 => Condition::Absent,
        version => Condition::Version(version),
    };
    let value = serde_json::to_string(tenure).expect("a lease row has only numbers");
    Write::put(&key(name), condition, &value)
}

/// Writes the lease and returns the new version of the row, if this instance now holds it.
pub(super) async fn write(
    shared: &Shared,
    name: &str,
    proposed: Owner,
    version: u64,
) -> Option<u64> {
    let write = make_write(name, &proposed, version);
    match shared.platform.table.transact(vec![write]).await {
        Ok(versions) => versions.first().copied(),
        // After a lost response the row is read back; if the write takes effect only later, the
        // next read of the lease shows it.
        Err(Error::Unknown { .. }) => {
            let (row, version) = read(shared, name).await.ok()?;
            (row == proposed).then_some(version)
        }
        Err(_) => None,
    }
}
