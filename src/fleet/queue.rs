use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A queue of jobs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Queue {
    /// Unique name.
    pub name: Arc<str>,
    /// Pool whose workers run the jobs.
    pub pool: Arc<str>,
    /// Workspaces that may submit jobs; empty means all workspaces.
    #[serde(default)]
    pub workspaces: Vec<Arc<str>>,
}
