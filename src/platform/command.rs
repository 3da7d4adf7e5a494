use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Operation that the platform performs on an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Assigns no new work to the instance; expires after 30 s unless repeated.
    Drain,
    /// Restarts the instance if it still has this incarnation number.
    Reboot(u64),
}

/// Idempotent command to the platform for one instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Command {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Fencing token of the manager; a token lower than the highest one accepted is rejected.
    pub token: u64,
    /// Operation to perform.
    pub action: Action,
}
