use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// One start of one entry instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Owner {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Differs between any two starts of the instance.
    pub incarnation: u64,
}
