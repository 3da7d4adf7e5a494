use std::sync::Arc;

use crate::fleet::Digest;

/// Right to run one request, held by the only holder of its claim.
///
/// It goes back to the manager by `finish` when the request ran or by `release` when it provably did
/// not. A ticket that is dropped leaves the claim as started, and repeats are told so.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    pub(super) row: Arc<str>,
    pub(super) version: u64,
    pub(super) operation: u64,
    pub(super) digest: Digest,
}
