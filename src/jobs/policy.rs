use serde::{Deserialize, Serialize};

/// Policy by which jobs are started.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Policy {
    /// Baseline: jobs start in submission order on the first worker with room for their declared
    /// size, and no capacity is reclaimed.
    FirstFit,
    /// Fair shares with reclaiming of borrowed capacity, on declared sizes.
    Fair,
    /// Fair shares with reclaiming of borrowed capacity, on learned sizes.
    #[default]
    Learned,
}

impl Policy {
    /// Returns whether workspaces get fair shares and borrowed capacity is reclaimed.
    pub fn is_fair(self) -> bool {
        self != Self::FirstFit
    }

    /// Returns whether sizes are learned from reported usage.
    pub fn learns(self) -> bool {
        self == Self::Learned
    }
}
