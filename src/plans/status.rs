use serde::{Deserialize, Serialize};

/// State that operators requested for a plan.
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
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Status {
    /// Maintains instances within its window.
    #[default]
    Running,
    /// Starts no drains until it is resumed.
    Paused,
    /// Ended for good, whether or not all instances were maintained.
    Withdrawn,
}
