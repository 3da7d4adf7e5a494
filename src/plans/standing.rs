use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Status;

/// Where one plan stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Standing {
    /// Name of the plan.
    pub name: Arc<str>,
    /// Name of its pool.
    pub pool: Arc<str>,
    /// What operators want.
    pub status: Status,
    /// Operator who last asked for it.
    pub author: Arc<str>,
    /// Instances of the pool.
    pub total: u32,
    /// Instances maintained in this period.
    pub done: u32,
    /// Instances that drain for the plan.
    pub draining: u32,
    /// Instances that reboot for the plan.
    pub rebooting: u32,
    /// Instances that are down.
    pub down: u32,
    /// Expected end in seconds since 1970.
    pub end: u64,
    /// Why nothing starts now.
    pub wait: Option<String>,
}
