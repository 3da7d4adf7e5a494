use std::sync::Arc;

use super::{Head, Position};
use crate::platform::Row;

/// A head and the version of its row.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Revision {
    /// Version of row `fleet/head`.
    pub number: u64,
    /// Value of the row.
    pub head: Arc<Head>,
}

impl Revision {
    /// Parses the head row of the table.
    ///
    /// # Errors
    ///
    /// Returns the parser's message when the row holds no head.
    ///
    /// ```
    /// use coriandernotch::config::{HEAD_KEY, Revision};
    /// use coriandernotch::platform::Row;
    ///
    /// let row = Row { key: HEAD_KEY.into(), version: 1, value: "?".into() };
    /// assert!(Revision::from_row(&row).is_err());
    /// ```
    pub fn from_row(row: &Row) -> Result<Self, serde_json::Error> {
        Ok(Self {
            number: row.version,
            head: Arc::new(Head::from_json(&row.value)?),
        })
    }

    /// Returns the position that identifies this head.
    ///
    /// ```
    /// use coriandernotch::config::{Head, Operation, Origin, Revision, Voter};
    /// use coriandernotch::fleet::Digest;
    ///
    /// let origin = Origin::new(Operation(1), "ana", 0);
    /// let head = Head::first(Digest::of(b"{}"), Voter::new("a", 1), &origin);
    /// assert_eq!(Revision { number: 3, head: head.into() }.position().revision, 3);
    /// ```
    pub fn position(&self) -> Position {
        self.head.position(self.number)
    }
}
