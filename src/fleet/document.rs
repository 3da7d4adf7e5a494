use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{DataCentre, Plan, Pool, Queue, Service, Workspace};

/// Configuration of the fleet as declared by operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Document {
    /// Name of the fleet.
    pub name: Arc<str>,
    /// Maximum time in milliseconds that one call may run on a target.
    #[serde(default = "default_longest_run_ms")]
    pub longest_run_ms: u32,
    /// Data centres of the fleet.
    pub data_centres: Vec<DataCentre>,
    /// Workspaces with their shares, limits and keys.
    pub workspaces: Vec<Workspace>,
    /// Pools of instances.
    pub pools: Vec<Pool>,
    /// Services whose calls are sent to targets.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Queues of jobs.
    #[serde(default)]
    pub queues: Vec<Queue>,
    /// Maintenance plans.
    #[serde(default)]
    pub plans: Vec<Plan>,
}

fn default_longest_run_ms() -> u32 {
    30_000
}
