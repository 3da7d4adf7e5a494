use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Response time of the advice service and lifetime of its tickets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Advice {
    /// Fixed part of the response time of one call.
    pub decide: Duration,
    /// Additional response time for each worker named in a call.
    pub each: Duration,
    /// Time for which a ticket is valid.
    pub valid: Duration,
}
