use serde::{Deserialize, Serialize};

/// What must be true of a row for a transaction to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Condition {
    /// Any state of the row.
    Any,
    /// The row does not exist.
    Absent,
    /// The row exists at this version.
    Version(u64),
}
