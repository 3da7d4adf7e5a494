use serde::{Deserialize, Serialize};

/// Whether an instance may acknowledge and affirm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Vote {
    /// The instance acknowledges and affirms; both count if the head lists it as a voter.
    Held,
    /// The instance has guaranteed that it acknowledges no further version.
    Retired,
    /// The instance was paused for so long that a commit may have excluded it from its quorum.
    Lost,
}
