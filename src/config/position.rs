use serde::{Deserialize, Serialize};

use super::Operation;

/// Short name of a head: equal revisions always have equal versions and operations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Position {
    /// Version of row `fleet/head`; grows with each write, also with a fence.
    pub revision: u64,
    /// Version of the configuration.
    pub version: u64,
    /// Attempt that committed the version.
    pub operation: Operation,
}
