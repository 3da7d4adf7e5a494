use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A maintenance plan, under which each instance of a pool is drained and rebooted once per period.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Plan {
    /// Unique name.
    pub name: Arc<str>,
    /// Pool whose instances are maintained.
    pub pool: Arc<str>,
    /// Period in days within which each instance is maintained once.
    pub period_days: u32,
    /// Hour of the day, in UTC, at which the maintenance window opens.
    #[serde(default)]
    pub window_start_hour: u32,
    /// Hours for which the maintenance window stays open each day.
    #[serde(default = "default_window_hours")]
    pub window_hours: u32,
    /// Whether operators have paused the plan.
    #[serde(default)]
    pub paused: bool,
}

fn default_window_hours() -> u32 {
    24
}
