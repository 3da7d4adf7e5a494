use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Head, Operation};
use crate::fleet::Digest;

/// Value of row `fleet/history/{version}`, written in the same transaction as the head row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Change {
    /// Configuration version that the change created.
    pub version: u64,
    /// Digest of the fleet document.
    pub digest: Digest,
    /// Commit attempt that made the change.
    pub operation: Operation,
    /// Operator or instance that made the change.
    pub author: Arc<str>,
    /// Time of the change in milliseconds since 1970.
    pub time: u64,
}

impl Change {
    /// Prefix of the keys of history rows.
    pub const PREFIX: &str = "fleet/history/";

    /// Builds the history row of the change that created `head`.
    ///
    /// ```
    /// use coriandernotch::config::{Change, Head, Operation, Origin, Voter};
    /// use coriandernotch::fleet::Digest;
    ///
    /// let origin = Origin::new(Operation(1), "ana", 0);
    /// let head = Head::first(Digest::of(b"{}"), Voter::new("a", 1), &origin);
    /// assert_eq!(Change::of(&head).operation, Operation(1));
    /// ```
    pub fn of(head: &Head) -> Self {
        Self {
            version: head.version,
            digest: head.digest,
            operation: head.operation,
            author: head.author.clone(),
            time: head.time,
        }
    }

    /// Returns the key of the history row of `version`, zero-padded so that keys sort by version.
    ///
    /// ```
    /// use coriandernotch::config::Change;
    ///
    /// assert!(Change::key(9) < Change::key(10));
    /// ```
    pub fn key(version: u64) -> String {
        format!("{}{version:012}", Self::PREFIX)
    }
}
