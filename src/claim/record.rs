use serde::{Deserialize, Serialize};

use super::{Owner, State, Timestamp};
use crate::fleet::Digest;

/// Value of a claim row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Claim {
    /// Process that made the claim.
    pub owner: Owner,
    /// Number of the attempt to claim, unique for the owner. With it an attempt recognizes its own
    /// write after the answer was lost.
    pub operation: u64,
    /// Digest of the request, as in [`super::ClaimRequest::digest`].
    pub digest: Digest,
    /// Time of the last change of the row.
    pub at: Timestamp,
    /// Progress of the request.
    pub state: State,
}

impl Claim {
    pub(super) fn to_json(&self) -> String {
        serde_json::to_string(self).expect("a claim is always serializable")
    }
}
