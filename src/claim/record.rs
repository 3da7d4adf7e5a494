use serde::{Deserialize, Serialize};

use super::{Owner, Stamp, State};
use crate::fleet::Digest;

/// Content of a claim row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Claim {
    /// Instance that made the claim.
    pub owner: Owner,
    /// Number of the claim, unique for the owner; tells a lost own write from another's.
    pub operation: u64,
    /// Digest of the request.
    pub digest: Digest,
    /// Time of the last change.
    pub at: Stamp,
    /// How far the request has come.
    pub state: State,
}

impl Claim {
    pub(super) fn text(&self) -> String {
        serde_json::to_string(self).expect("claims serialize")
    }
}
