use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Budget;

/// A pool of instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Pool {
    /// Unique name.
    pub name: Arc<str>,
    /// Intended number of instances.
    pub size: u32,
    /// Whether this is the spare pool, which lends instances to the other pools.
    #[serde(default)]
    pub spare: bool,
    /// Limits how many instances may be unavailable at once.
    pub budget: Budget,
    /// Names of the instances that initially belong to this pool.
    #[serde(default)]
    pub instances: Vec<Arc<str>>,
}
