use serde::{Deserialize, Serialize};

use super::Policy;

/// What operators may tune.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Tuning {
    /// How starts are decided.
    pub policy: Policy,
    /// Percent of the capacity in service that only urgent work may use.
    pub headroom_percent: u64,
    /// Percent added to learned sizes.
    pub margin_percent: u64,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            policy: Policy::Learned,
            headroom_percent: 2,
            margin_percent: 5,
        }
    }
}
