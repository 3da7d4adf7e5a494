use serde::{Deserialize, Serialize};

/// What operators want of a plan.
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
    /// Goes on.
    #[default]
    Running,
    /// Starts nothing until it is resumed.
    Paused,
    /// Ended before all instances were maintained.
    Withdrawn,
}
