use super::{Prepare, Revision};

/// Answer to a fetch; empty when the sender does not have it.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Fetched {
    /// Head.
    #[prost(message, optional, tag = "1")]
    pub head: Option<Revision>,
    /// Document.
    #[prost(string, optional, tag = "2")]
    pub content: Option<String>,
    /// Proposal.
    #[prost(message, optional, tag = "3")]
    pub pending: Option<Prepare>,
}
