use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// What the platform is asked to do with an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Start no other work on it; holds for 30 s unless it is repeated.
    Drain,
    /// Restart it if this incarnation still runs.
    Reboot(u64),
}

/// Order to the platform about one instance; repeating one is harmless.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Command {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Fencing token of the manager; one older than the newest seen is rejected.
    pub token: u64,
    /// What to do.
    pub action: Action,
}
