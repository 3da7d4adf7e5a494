use super::position::read_operation;
use super::{Malformed, Position};
use crate::config::Want;
use crate::fleet::Digest;

/// Asks for one thing; exactly one field is set.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Fetch {
    /// Head at a position.
    #[prost(message, optional, tag = "1")]
    pub head: Option<Position>,
    /// Document with a digest, in hexadecimal digits.
    #[prost(string, optional, tag = "2")]
    pub content: Option<String>,
    /// Proposal of an operation, in hexadecimal digits.
    #[prost(string, optional, tag = "3")]
    pub pending: Option<String>,
}

impl From<Want> for Fetch {
    fn from(want: Want) -> Self {
        let mut out = Self::default();
        match want {
            Want::Head(position) => out.head = Some(position.into()),
            Want::Content(digest) => out.content = Some(digest.to_string()),
            Want::Pending(operation) => out.pending = Some(operation.to_string()),
        }
        out
    }
}

impl TryFrom<Fetch> for Want {
    type Error = Malformed;

    fn try_from(fetch: Fetch) -> Result<Self, Malformed> {
        match fetch {
            Fetch {
                head: Some(position),
                ..
            } => Ok(Self::Head(position.try_into()?)),
            Fetch {
                content: Some(digest),
                ..
            } => Digest::try_from(digest)
                .map(Self::Content)
                .map_err(|_| Malformed("digest")),
            Fetch {
                pending: Some(operation),
                ..
            } => read_operation(operation).map(Self::Pending),
            _ => Err(Malformed("fetch")),
        }
    }
}
