use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A data centre of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct DataCentre {
    /// Unique name.
    pub name: Arc<str>,
    /// Region of the data centre.
    pub region: Arc<str>,
    /// Whether new work may start in the data centre.
    #[serde(default)]
    pub state: Direction,
}

/// Whether new work may start in a data centre, as set by operators.
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
pub enum Direction {
    /// New work may start.
    #[default]
    In,
    /// Taken out of service by operators; no new work starts.
    Out,
}
