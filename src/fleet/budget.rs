use serde::{Deserialize, Serialize};

/// Limits how many instances of a pool may be unavailable at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Budget {
    /// Maximum number of instances that may be down or draining at once, whether planned or not.
    pub unavailable: u32,
    /// Instances per rack if the budget must cover the loss of a rack; 0 if it need not.
    #[serde(default)]
    pub rack: u32,
}
