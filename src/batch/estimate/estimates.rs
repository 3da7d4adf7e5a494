use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Quartiles;

/// Stored form of what was learned about an image: its workspace, its name, the number of runs, and
/// the quartiles of their durations in milliseconds and of the ratios to the declared ones, as
/// logarithms.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row(
    pub Arc<str>,
    pub Arc<str>,
    pub u32,
    pub Quartiles,
    pub Quartiles,
);

/// Stored form of an [`super::Estimator`], the image that was used last first.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Estimates {
    /// Images.
    pub images: Vec<Row>,
}
