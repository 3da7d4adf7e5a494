use std::sync::Arc;

use crate::fleet::Digest;

/// Request with an idempotency key, to be run at most once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Key of the claim row.
    pub row_key: Arc<str>,
    /// Digest that identifies the request: method, path and body. The same key with another digest is
    /// a mismatch.
    pub digest: Digest,
}

impl ClaimRequest {
    /// Creates the request of `workspace` with the idempotency key `key`.
    ///
    /// ```
    /// use coriandernotch::claim::ClaimRequest;
    /// use coriandernotch::fleet::Digest;
    ///
    /// let request = ClaimRequest::new("quotes", "order-17", Digest::of(b"POST /orders"));
    /// assert!(request.row_key.starts_with("claims/quotes/"));
    /// ```
    pub fn new(workspace: &str, key: &str, digest: Digest) -> Self {
        Self {
            row_key: format!("claims/{workspace}/{}", Digest::of(key.as_bytes())).into(),
            digest,
        }
    }
}
