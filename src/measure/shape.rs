use serde::{Deserialize, Serialize};

/// A fleet to measure.
///
/// ```
/// use coriandernotch::measure::Shape;
///
/// assert_eq!("rennes".parse::<Shape>().unwrap(), Shape::Rennes);
/// ```
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
    strum::VariantNames,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Shape {
    /// Three data centres in Peru, workers with 32 processors.
    Huallaga,
    /// Three data centres in Brittany, workers with 64 processors.
    Rennes,
    /// Size in two years: 2,300 workers, 3,900 accelerators, 150 workspaces, 17 data centres.
    Target,
}
