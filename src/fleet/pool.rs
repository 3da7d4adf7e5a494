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
    /// True for the pool that lends instances to the others.
    #[serde(default)]
    pub spare: bool,
    /// Availability budget.
    pub budget: Budget,
    /// Instances that start in this pool.
    #[serde(default)]
    pub instances: Vec<Arc<str>>,
}
