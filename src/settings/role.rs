use serde::{Deserialize, Serialize};

/// What an operator may do; each role includes the ones before it.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, strum::Display,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// Read status, history and the document.
    View,
    /// Also pause plans, take data centres out and cancel jobs.
    Operate,
    /// Also replace the document and issue keys.
    Administer,
}
