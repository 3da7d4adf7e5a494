use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Need;

/// Order to run a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Order {
    /// Shard under whose lease the order is given.
    pub shard: Arc<str>,
    /// Fencing token of that lease.
    pub token: u64,
    /// Time until the job is stopped unless renewed, in milliseconds.
    pub lease_ms: u64,
    /// Declared size.
    pub need: Need,
    /// Size that the job really has.
    pub real: Need,
    /// Time that the job really runs at full speed, in milliseconds.
    pub run_ms: u64,
}
