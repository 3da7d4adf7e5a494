use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A data centre of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct DataCentre {
    /// Unique name.
    pub name: Arc<str>,
    /// Region to which it belongs.
    pub region: Arc<str>,
    /// Whether operators let it get new work.
    #[serde(default)]
    pub state: Direction,
}

/// Whether a data centre is in use.
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
    /// Gets new work.
    #[default]
    In,
    /// Taken out by operators; nothing starts there.
    Out,
}
