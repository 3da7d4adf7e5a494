use serde::{Deserialize, Serialize};

/// Availability budget of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Budget {
    /// Most instances that may be down or draining at once, planned or not.
    pub unavailable: u32,
    /// Instances that share a rack, when one whole rack may be down; 0 when that is not asked.
    #[serde(default)]
    pub rack: u32,
}
