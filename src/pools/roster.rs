use std::sync::Arc;

use super::{Assignment, Membership, Operation, Recent};
use crate::collections::Map;
use crate::platform::{Error, Row, Table};

/// Pool and phase of all instances, as an entry instance last read them.
///
/// It reads the row `assignments/recent` again and again, and all rows only when that row misses
/// a change. At 136 entry instances and one reading a second this takes 136 of the about 2,000
/// reads a second that the table service does, and at most 2 KB/s for each instance.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    version: u64,
    last: Option<Operation>,
    instances: Map<Arc<str>, Membership>,
}

impl Roster {
    /// Returns the version of `assignments/recent` that this contains, 0 when there was none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the membership of an instance; without one the document's pool is the first.
    pub fn get(&self, instance: &str) -> Option<&Membership> {
        self.instances.get(instance)
    }

    /// Reads what changed, and everything when `whole`; returns whether anything did.
    ///
    /// # Errors
    ///
    /// Returns the error of the table; the roster stays as it was.
    ///
    /// ```
    /// use coriandernotch::pools::Roster;
    /// use coriandernotch::standin::Store;
    ///
    /// # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
    /// let mut roster = Roster::default();
    /// assert!(!roster.read(&Store::new().client("a"), false).await.unwrap());
    /// assert!(roster.get("w-1").is_none());
    /// # });
    /// ```
    pub async fn read(&mut self, table: &dyn Table, whole: bool) -> Result<bool, Error> {
        let row = table.read(Recent::KEY.into()).await?;
        let version = row.as_ref().map_or(0, |row| row.version);
        let recent = row.as_ref().and_then(parse);
        if !whole && version == self.version {
            return Ok(false);
        }
        let changes = recent.as_ref().zip(self.last).and_then(|(recent, last)| {
            let count = version.checked_sub(self.version)?;
            Some(recent.after(last, count)?.cloned().collect::<Vec<_>>())
        });
        let changes = match changes {
            Some(changes) if !whole => changes,
            // The rows are read after the version, so they are at least as new.
            _ => scan(table).await?,
        };
        for (name, mut membership) in changes {
            membership.since = version;
            self.put(name, membership);
        }
        self.version = version;
        self.last = recent.and_then(|recent| recent.last());
        Ok(true)
    }

    /// A change that is older than what a scan has shown already must not replace it.
    fn put(&mut self, name: Arc<str>, new: Membership) {
        match self.instances.get_mut(&name) {
            Some(known) if known.version >= new.version => {}
            Some(known) => *known = new,
            None => drop(self.instances.insert(name, new)),
        }
    }
}

fn parse(row: &Row) -> Option<Recent> {
    serde_json::from_str(&row.value).ok()
}

async fn scan(table: &dyn Table) -> Result<Vec<(Arc<str>, Membership)>, Error> {
    let rows = super::scan(table, Assignment::PREFIX).await?;
    let read = |row: Row| {
        let name = row.key.strip_prefix(Assignment::PREFIX)?.into();
        match serde_json::from_str(&row.value) {
            Ok(assignment) => Some((name, Membership::new(&assignment, row.version))),
            Err(error) => {
                log::error!(event = "assignment-unreadable", instance:% = name, error:% = error; "");
                None
            }
        }
    };
    Ok(rows.into_iter().filter_map(read).collect())
}
