use std::sync::Arc;

use super::{Assignment, Changelog, Membership, Operation};
use crate::collections::Map;
use crate::platform::{Error, Row, Table};

/// Pool and phase of all instances, as an entry instance last read them.
///
/// An entry instance polls the row `assignments/recent`, and reads all rows only when that row
/// lacks a change. With 136 entry instances that poll once a second, this takes 136 of the about
/// 2,000 reads per second that the table service can do, and at most 2 KB/s for each entry
/// instance.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    version: u64,
    /// Last operation in the row `assignments/recent`.
    last_operation: Option<Operation>,
    instances: Map<Arc<str>, Membership>,
}

impl Roster {
    /// Returns the version of `assignments/recent` that the roster contains, 0 if there was no row.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the membership of an instance, or `None` if it has no row; the document then names
    /// its pool.
    pub fn get(&self, instance: &str) -> Option<&Membership> {
        self.instances.get(instance)
    }

    /// Reads the changes, or all rows if `full` is set; returns whether the roster was updated.
    ///
    /// # Errors
    ///
    /// Returns the error of the table; the roster is unchanged.
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
    pub async fn read(&mut self, table: &dyn Table, full: bool) -> Result<bool, Error> {
        let row = table.read(Changelog::KEY.into()).await?;
        let version = row.as_ref().map_or(0, |row| row.version);
        let recent = row.as_ref().and_then(parse_recent);
        if !full && version == self.version {
            return Ok(false);
        }
        let changes = recent
            .as_ref()
            .zip(self.last_operation)
            .and_then(|(recent, last)| {
                let count = version.checked_sub(self.version)?;
                Some(
                    recent
                        .changes_after(last, count)?
                        .cloned()
                        .collect::<Vec<_>>(),
                )
            });
        let changes = match changes {
            Some(changes) if !full => changes,
            // These rows are read after the version, so they are at least as new.
            _ => scan_memberships(table).await?,
        };
        for (name, mut membership) in changes {
            membership.since = version;
            self.update(name, membership);
        }
        self.version = version;
        self.last_operation = recent.and_then(|recent| recent.last_operation());
        Ok(true)
    }

    /// Stores a membership, unless a newer one is known already from a scan of all rows.
    fn update(&mut self, name: Arc<str>, new: Membership) {
        match self.instances.get_mut(&name) {
            Some(known) if known.version >= new.version => {}
            Some(known) => *known = new,
            None => drop(self.instances.insert(name, new)),
        }
    }
}

fn parse_recent(row: &Row) -> Option<Changelog> {
    serde_json::from_str(&row.value).ok()
}

async fn scan_memberships(table: &dyn Table) -> Result<Vec<(Arc<str>, Membership)>, Error> {
    let rows = super::scan(table, Assignment::PREFIX).await?;
    let parse = |row: Row| {
        let name = row.key.strip_prefix(Assignment::PREFIX)?.into();
        match serde_json::from_str(&row.value) {
            Ok(assignment) => Some((name, Membership::new(&assignment, row.version))),
            Err(error) => {
                log::error!(event = "assignment-unreadable", instance:% = name, error:% = error; "");
                None
            }
        }
    };
    Ok(rows.into_iter().filter_map(parse).collect())
}
