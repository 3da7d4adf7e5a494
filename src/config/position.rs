use serde::{Deserialize, Serialize};

use super::Operation;

/// Identifies a head without its content.
///
/// Positions with equal revisions always have equal versions and operations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Position {
    /// Version of row `fleet/head`; each write of the row increments it, including a fence.
    pub revision: u64,
    /// Version of the configuration.
    pub version: u64,
    /// Commit attempt that created the version.
    pub operation: Operation,
}
