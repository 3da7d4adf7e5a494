use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Why an instance was drained, as its row states it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Errand {
    /// Moves to the pool of this name.
    Move(Arc<str>),
    /// Restarts under a maintenance plan.
    Reboot,
}
