use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Bounds, Level, Listen, Operator, Platform};

/// Settings of one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance, unique in the fleet.
    pub name: Arc<str>,
    /// Data centre in which the process runs.
    pub data_centre: Arc<str>,
    /// Addresses on which the process listens.
    pub listen: Listen,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Least severe log lines that are written.
    #[serde(default)]
    pub log: Level,
    /// Bounds on callers.
    #[serde(default)]
    pub bounds: Bounds,
    /// Operators who may use the operators' port.
    #[serde(default)]
    pub operators: Vec<Operator>,
}
