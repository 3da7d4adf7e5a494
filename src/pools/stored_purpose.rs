use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Reason for a drain, as the row of the instance stores it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StoredPurpose {
    /// Moves to the pool of this name.
    Move(Arc<str>),
    /// Restarts under a maintenance plan.
    Reboot,
}
