use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Status;
use crate::platform::{Condition, Row, Write};
use crate::pools::Operation;

/// Row `plans/{name}`: the state that operators requested for a plan.
///
/// Every transaction that starts a wave rewrites this row on condition of its version, so no wave
/// starts after a pause was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Record {
    /// State that operators requested.
    pub status: Status,
    /// Operator who requested it.
    pub author: Arc<str>,
    /// Operation that last changed the status.
    pub operation: Operation,
    /// Version of the row that was read, 0 when there is none.
    #[serde(skip)]
    pub version: u64,
}

impl Default for Record {
    fn default() -> Self {
        Self {
            status: Status::Running,
            author: "".into(),
            operation: Operation::default(),
            version: 0,
        }
    }
}

impl Record {
    /// Prefix of the keys of these rows.
    pub const PREFIX: &str = "plans/";

    /// Returns the key of the row of a plan.
    ///
    /// ```
    /// assert_eq!(coriandernotch::plans::Record::key("worker-reboots"), "plans/worker-reboots");
    /// ```
    pub fn key(plan: &str) -> String {
        format!("{}{plan}", Self::PREFIX)
    }

    /// Parses a row; a missing row gives the default record, because no operator has changed the
    /// plan.
    ///
    /// Returns `None` for a row that cannot be parsed.
    ///
    /// ```
    /// use coriandernotch::plans::{Record, Status};
    ///
    /// assert_eq!(Record::read(None).unwrap().status, Status::Running);
    /// ```
    pub fn read(row: Option<&Row>) -> Option<Self> {
        let Some(row) = row else {
            return Some(Self::default());
        };
        let record: Self = serde_json::from_str(&row.value).ok()?;
        Some(Self {
            version: row.version,
            ..record
        })
    }

    /// Returns a write of this record that takes effect only if the row still has the version that
    /// was read.
    ///
    /// ```
    /// use coriandernotch::plans::Record;
    /// use coriandernotch::platform::Condition;
    ///
    /// assert_eq!(Record::default().write("p").condition, Condition::Absent);
    /// ```
    pub fn write(&self, plan: &str) -> Write {
        let condition = match self.version {
            0 => Condition::Absent,
            version => Condition::Version(version),
        };
        let value = serde_json::to_string(self).expect("a record serialises to JSON");
        Write::put(&Self::key(plan), condition, &value)
    }
}
