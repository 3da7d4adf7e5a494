use super::{Operation, Position};
use crate::fleet::Digest;

/// An item that an instance lacks and has to fetch from peers or from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Want {
    /// The head at this position.
    Head(Position),
    /// The document with this digest.
    Content(Digest),
    /// The proposal of this operation, which a peer has acknowledged.
    Pending(Operation),
}
