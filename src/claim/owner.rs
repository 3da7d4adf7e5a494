use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// One process of an entry instance; after a restart the instance is another owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Owner {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Number that differs between any two starts of the instance.
    pub incarnation: u64,
}
