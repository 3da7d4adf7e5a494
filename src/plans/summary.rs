use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Status;

/// Status and progress of one plan, as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Summary {
    /// Name of the plan.
    pub name: Arc<str>,
    /// Name of its pool.
    pub pool: Arc<str>,
    /// State that operators requested.
    pub status: Status,
    /// Operator who last changed the status.
    pub author: Arc<str>,
    /// Instances of the pool.
    pub total: u32,
    /// Instances maintained in this period.
    pub done: u32,
    /// Instances that are draining for the plan.
    pub draining: u32,
    /// Instances that are rebooting for the plan.
    pub rebooting: u32,
    /// Instances that are down.
    pub down: u32,
    /// Expected end of the remaining work, in seconds since 1970.
    pub end: u64,
    /// Why the plan started nothing when it last chose.
    pub wait: Option<String>,
}
