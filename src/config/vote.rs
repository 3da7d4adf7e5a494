use serde::{Deserialize, Serialize};

/// Whether an instance may acknowledge and affirm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Vote {
    /// It acknowledges and affirms, if the head lists it.
    Held,
    /// It has promised to acknowledge nothing more.
    Retired,
    /// It was stopped for so long that a commit may have left it out.
    Lost,
}
