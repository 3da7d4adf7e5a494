use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A service, whose calls are sent to the instances of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Service {
    /// Unique name, used in the path of calls.
    pub name: Arc<str>,
    /// Pool whose instances are the targets.
    pub pool: Arc<str>,
    /// Workspaces that may call the service; empty means all workspaces.
    #[serde(default)]
    pub workspaces: Vec<Arc<str>>,
    /// Maximum number of calls that one target runs at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Maximum number of connections that one target accepts from the whole fleet.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// Timeout in milliseconds of a call that specifies no deadline.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u32,
    /// Maximum size of a request body in bytes.
    #[serde(default = "default_body_limit")]
    pub body_limit: u64,
    /// Maximum number of calls of one workspace that wait at one entry instance.
    #[serde(default = "default_queue_limit")]
    pub queue_limit: u32,
}

/// Default of [`Service::slots`].
pub(super) const DEFAULT_SLOTS: u32 = 8;

/// Default of [`Service::connections`].
pub(super) const DEFAULT_CONNECTIONS: u32 = 64;

fn default_slots() -> u32 {
    DEFAULT_SLOTS
}

fn default_connections() -> u32 {
    DEFAULT_CONNECTIONS
}

fn default_timeout_ms() -> u32 {
    10_000
}

fn default_body_limit() -> u64 {
    8 << 20
}

fn default_queue_limit() -> u32 {
    1_000
}
