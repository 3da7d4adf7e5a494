use serde::{Deserialize, Serialize};

/// Precondition on a row; a transaction applies only if all of its conditions hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Condition {
    /// Always holds, whether or not the row exists.
    Any,
    /// The row does not exist.
    Absent,
    /// The row exists and has this version.
    Version(u64),
}
