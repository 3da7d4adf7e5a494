use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A row of the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Row {
    /// Path-like key, for example `fleet/head`.
    pub key: Arc<str>,
    /// Grows by one with each write of this row, starting at 1.
    pub version: u64,
    /// Text of the row, JSON by convention.
    pub value: Arc<str>,
}
