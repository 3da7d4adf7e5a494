use serde::{Deserialize, Serialize};

/// Shortfall of a pool: spare instances that it would need after the next failure, beyond its
/// budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Shortfall {
    /// After the loss of one rack.
    pub rack: u32,
    /// After the loss of one data centre.
    pub data_centre: u32,
}
