use super::Row;

/// Changes of a table since a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Feed {
    /// Changed rows in the order of the changes, and the version from which to continue.
    Changes(Vec<Row>, u64),
    /// The store no longer has these changes; the table must be read again.
    Gone,
}
