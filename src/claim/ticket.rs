use std::sync::Arc;

use crate::fleet::Digest;

/// Permission to run one request, given only to the holder of its claim.
///
/// It is returned with [`super::Manager::finish`] when the request ran, or with
/// [`super::Manager::release`] when it provably did not. If it is dropped, the claim stays in state
/// [`super::State::Started`], and repeated requests do not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    pub(super) row_key: Arc<str>,
    pub(super) version: u64,
    pub(super) operation: u64,
    pub(super) digest: Digest,
}
