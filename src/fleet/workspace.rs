use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Key;

/// A workspace that calls services and submits jobs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Workspace {
    /// Unique name.
    pub name: Arc<str>,
    /// Weight of the workspace when demand exceeds capacity.
    pub share: u32,
    /// Maximum number of calls and job runs at once in the whole fleet.
    pub limit: u32,
    /// API keys of the workspace.
    #[serde(default)]
    pub keys: Vec<Key>,
}
