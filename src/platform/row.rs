use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A row of the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Row {
    /// Path-like key, for example `fleet/head`.
    pub key: Arc<str>,
    /// Version that starts at 1 and increases by one with each write of this row.
    pub version: u64,
    /// Content of the row, JSON by convention.
    pub value: Arc<str>,
}
